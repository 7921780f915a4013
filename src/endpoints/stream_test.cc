// Tests of event cutting and stream order, with a table of faulty streams.
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

struct Seen {
  std::string text;
  bool invalid = false;
  bool whole = false;
};

Seen Run(const std::string& bytes, std::size_t step, std::uint64_t delivered) {
  EventSplitter splitter;
  StreamGuard guard(delivered, "");
  Seen seen;
  for (std::size_t n = 0; n < bytes.size() && !seen.invalid; n += step) {
    for (const auto& it : splitter.Push(bytes.substr(n, step))) {
      seen.invalid |= guard.Accept(it) == StreamGuard::Verdict::kInvalid;
    }
  }
  seen.text = guard.delivered();
  seen.whole = guard.whole();
  return seen;
}

}  // namespace

class StreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamTest);
  CPPUNIT_TEST(FaultyStreams);
  CPPUNIT_TEST(LongEventOverflows);
  CPPUNIT_TEST(AnnouncementRoundTrip);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FaultyStreams() {
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
        {"whole", Chunk(1, "a") + Chunk(2, "b") + done, 0, "ab", false, true},
        {"cut before marker", Chunk(1, "a"), 0, "a", false, false},
        {"cut mid-event", Chunk(1, "a") + "id: 2\ndata: {", 0, "a", false,
         false},
        {"marker without blank line", Chunk(1, "a") + "data: [DONE]\n", 0, "a",
         false, false},
        {"doubled event", Chunk(1, "a") + Chunk(1, "a") + Chunk(2, "b") + done,
         0, "ab", false, true},
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
        const auto seen = Run(it.bytes, step, it.delivered);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(it.text), seen.text);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.invalid, seen.invalid);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.whole, seen.whole);
      }
    }
  }

  void LongEventOverflows() {
    EventSplitter splitter;
    splitter.Push("data: " + std::string(EventSplitter::kMaxEventBytes, 'x'));
    CPPUNIT_ASSERT(splitter.overflowed());
    CPPUNIT_ASSERT(splitter.Push("\n\n").empty());
  }

  void AnnouncementRoundTrip() {
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
