// Tests of event splitting and of the checks of streams, with a table of faulty
// streams, and of the JSON form of announcements.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "endpoints/announcement.h"
#include "endpoints/event_splitter.h"
#include "endpoints/stream_guard.h"

namespace baobabrun {
namespace {

std::string Chunk(int id, const std::string& text) {
  return "id: " + std::to_string(id) +
         "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + text +
         "\"}}]}\n\n";
}

struct StreamResult {
  std::string text;
  bool invalid = false;
  bool whole = false;
};

StreamResult Run(const std::string& bytes,
                 std::size_t step,
                 std::uint64_t delivered) {
  EventSplitter splitter;
  StreamGuard guard(delivered, "");
  StreamResult result;
  for (std::size_t n = 0; n < bytes.size() && !result.invalid; n += step) {
    for (const auto& it : splitter.Push(bytes.substr(n, step))) {
      result.invalid |= guard.Accept(it) == StreamGuard::Verdict::kInvalid;
    }
  }
  result.text = guard.delivered();
  result.whole = guard.complete();
  return result;
}

}  // namespace

class StreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamTest);
  CPPUNIT_TEST(FaultyStreamsAreDetected);
  CPPUNIT_TEST(TooLongEventOverflows);
  CPPUNIT_TEST(AnnouncementSurvivesJsonRoundTrip);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FaultyStreamsAreDetected() {
    const std::string done = "data: [DONE]\n\n";
    struct Row {
      const char* name;
      std::string bytes;
      std::uint64_t delivered;
      const char* text;
      bool invalid;
      bool whole;
    };
    const Row rows[] = {
        {"complete stream", Chunk(1, "a") + Chunk(2, "b") + done, 0, "ab",
         false, true},
        {"cut before marker", Chunk(1, "a"), 0, "a", false, false},
        {"cut mid-event", Chunk(1, "a") + "id: 2\ndata: {", 0, "a", false,
         false},
        {"marker without blank line", Chunk(1, "a") + "data: [DONE]\n", 0, "a",
         false, false},
        {"duplicate event",
         Chunk(1, "a") + Chunk(1, "a") + Chunk(2, "b") + done, 0, "ab", false,
         true},
        {"gap", Chunk(1, "a") + Chunk(3, "c") + done, 0, "a", true, false},
        {"no id", "data: {}\n\n", 0, "", true, false},
        {"after the end", Chunk(1, "a") + done + Chunk(2, "b"), 0, "a", false,
         true},
        {"continuation", Chunk(3, "c") + done, 2, "c", false, true},
        {"continuation repeats", Chunk(1, "a") + Chunk(2, "b") + done, 2, "",
         false, true},
        {"carriage returns", "id: 1\r\ndata: {}\r\n\r\n" + done, 0, "", false,
         true},
        {"comment", ": ping\n\n" + Chunk(1, "a") + done, 0, "a", false, true},
    };
    for (const auto& it : rows) {
      for (const std::size_t step : {1U, 3U, 4096U}) {
        const auto result = Run(it.bytes, step, it.delivered);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(it.text),
                                     result.text);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.invalid, result.invalid);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.whole, result.whole);
      }
    }
  }

  void TooLongEventOverflows() {
    EventSplitter splitter;
    splitter.Push("data: " + std::string(EventSplitter::kMaxEventBytes, 'x'));
    CPPUNIT_ASSERT(splitter.overflowed());
    CPPUNIT_ASSERT(splitter.Push("\n\n").empty());
  }

  void AnnouncementSurvivesJsonRoundTrip() {
    Announcement first;
    first.endpoint = EndpointId("e");
    first.incarnation = Incarnation(3);
    first.zone = ZoneId("z");
    first.address = {"127.0.0.1", 9};
    first.models = {{ModelId("m"), "v", ""}};
    first.events = {7, {{CacheEvent::Op::kEvict, 0xffffffffffffffffU}}};
    const auto second = ParseAnnouncement(ToJson(first));
    CPPUNIT_ASSERT(second.ok());
    CPPUNIT_ASSERT_EQUAL(ToJson(first), ToJson(second.value()));
    for (const char* it :
         {"", "[]", "{}", R"({"endpoint":"e","zone":"z","kind":"engine"})",
          R"({"endpoint":"e","zone":"z","kind":"engine","incarnation":1,
              "address":"127.0.0.1:1","events":{"items":[{"op":"x"}]}})"}) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseAnnouncement(it).ok());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

}  // namespace baobabrun
