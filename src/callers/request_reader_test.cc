// Tests the reader of requests without a network: the pieces in which bytes
// arrive change nothing, what is kept is bounded, and damaged requests neither
// confuse the reader nor read on.
#include "callers/request_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace baobabrun {
namespace {

const std::string kHead = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-A:  b c\t\r\n";

const std::vector<std::string>& SoundRequests() {
  static const std::vector<std::string> kRequests = {
      kHead + "\r\n",
      kHead + "Content-Length: 9\r\n\r\ntwo seats",
      kHead +
          "Transfer-Encoding: chunked\r\n\r\n"
          "3\r\ntwo\r\n6;a=\"b\"\r\n seats\r\n0\r\nX-T: u\r\n\r\n",
      "\r\nGET / HTTP/1.0\r\n\r\n",
  };
  return kRequests;
}

// All that a reader makes of `text`, as one line of text.
struct Reading {
  std::string steps;
  std::size_t consumed = 0;
  bool operator==(const Reading&) const = default;
};

Reading ReadInPieces(RequestReader* reader,
                     std::string_view text,
                     std::size_t piece) {
  Reading reading;
  std::string body;
  for (std::size_t begin = 0; begin < text.size(); begin += piece) {
    auto input = text.substr(begin, piece);
    for (;;) {
      const auto it = reader->Read(input);
      input.remove_prefix(it.consumed);
      reading.consumed += it.consumed;
      body += it.body;
      if (it.step == ReadStep::kHead) {
        const auto head = reader->TakeHead();
        reading.steps += head.method + " " + head.target;
        for (const auto& [name, value] : head.headers) {
          reading.steps.append("|").append(name).append("=").append(value);
        }
      } else if (it.step == ReadStep::kEnd) {
        reading.steps += "|body=" + std::exchange(body, {}) + "|end\n";
      } else if (it.step == ReadStep::kFault) {
        reading.steps += "|fault " + std::string(reader->fault());
        // What follows a fault isn't read, so how much of it was consumed
        // depends on the pieces.
        reading.consumed = 0;
        return reading;
      }
      // An end without a body takes no byte.
      if (it.step == ReadStep::kMore && input.empty()) {
        break;
      }
    }
  }
  return reading;
}

Reading ReadInPieces(std::string_view text, std::size_t piece) {
  RequestReader reader;
  return ReadInPieces(&reader, text, piece);
}

}  // namespace

class RequestReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestReaderTest);
  CPPUNIT_TEST(RequestsAreReadOneAfterTheOther);
  CPPUNIT_TEST(PiecesChangeNothing);
  CPPUNIT_TEST(HeadsAndTrailersAreBounded);
  CPPUNIT_TEST(ChunkLinesAreBounded);
  CPPUNIT_TEST(BodyIsAnnouncedBeforeItIsRead);
  CPPUNIT_TEST(DamagedRequestsAreReadAlikeInAnyPieces);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsAreReadOneAfterTheOther() {
    std::string all;
    for (const auto& it : SoundRequests()) {
      all += it;
    }
    const auto reading = ReadInPieces(all, all.size());
    const std::string head = "POST /a?b=c|host=h|x-a=b c";
    CPPUNIT_ASSERT_EQUAL(head + "|body=|end\n" + head +
                             "|content-length=9|body=two seats|end\n" + head +
                             "|transfer-encoding=chunked|body=two seats|end\n" +
                             "GET /|body=|end\n",
                         reading.steps);
    CPPUNIT_ASSERT_EQUAL(all.size(), reading.consumed);
  }

  void PiecesChangeNothing() {
    for (const auto& it : SoundRequests()) {
      const auto whole = ReadInPieces(it, it.size());
      for (std::size_t piece = 1; piece < it.size(); ++piece) {
        CPPUNIT_ASSERT(whole == ReadInPieces(it, piece));
      }
    }
  }

  // A caller may send lines, or one line, without end.
  void HeadsAndTrailersAreBounded() {
    const std::string trailers =
        kHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    const std::pair<std::string, std::string> rows[] = {
        {"", "\r\n"}, {"", "x"},       {kHead, "X-A: b\r\n"},
        {kHead, "x"}, {trailers, "x"}, {trailers, "X-A: b\r\n"},
    };
    for (const auto& [begin, repeated] : rows) {
      RequestReader reader;
      ReadInPieces(&reader, begin, begin.size());
      auto step = ReadStep::kMore;
      std::size_t sent = 0;
      while (step == ReadStep::kMore && sent < 1'000'000) {
        step = reader.Read(repeated).step;
        sent += repeated.size();
      }
      CPPUNIT_ASSERT(step == ReadStep::kFault);
      CPPUNIT_ASSERT_EQUAL(431, reader.fault_status());
      CPPUNIT_ASSERT(sent <= RequestReader::kMaxHeadBytes + repeated.size());
    }
  }

  void ChunkLinesAreBounded() {
    RequestReader reader;
    CPPUNIT_ASSERT(
        reader.Read(kHead + "Transfer-Encoding: chunked\r\n\r\n").step ==
        ReadStep::kHead);
    auto step = reader.Read("1;").step;
    std::size_t sent = 0;
    while (step == ReadStep::kMore && sent < 1'000'000) {
      step = reader.Read("x").step;
      ++sent;
    }
    CPPUNIT_ASSERT(step == ReadStep::kFault);
    CPPUNIT_ASSERT(sent <= RequestReader::kMaxChunkLineBytes);
  }

  void BodyIsAnnouncedBeforeItIsRead() {
    constexpr auto kMost = std::numeric_limits<std::uint64_t>::max();
    RequestReader fixed;
    fixed.Read(kHead + "Content-Length: 700\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{700}, fixed.announced_bytes());
    RequestReader overlong;
    overlong.Read(kHead + "Content-Length: 99999999999999999999\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(kMost, overlong.announced_bytes());
    RequestReader chunks;
    chunks.Read(kHead + "Transfer-Encoding: chunked\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, chunks.announced_bytes());
    ReadInPieces(&chunks, "3\r\ntwo\r\nff\r\n", 100);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{258}, chunks.announced_bytes());
    ReadInPieces(&chunks, std::string(255, 'x') + "\r\nffffffffffffffff\r\n",
                 1'000);
    CPPUNIT_ASSERT_EQUAL(kMost, chunks.announced_bytes());
  }

  // Seeded mutations of sound requests: bytes changed, removed, doubled.
  void DamagedRequestsAreReadAlikeInAnyPieces() {
    constexpr int kRounds = 20'000;
    constexpr std::string_view kBytes("\r\n\t\0 :;,09afGx\x7f\xc3", 16);
    std::mt19937 random(1);
    int faults = 0;
    for (int round = 0; round < kRounds; ++round) {
      auto text = SoundRequests()[random() % SoundRequests().size()] +
                  SoundRequests()[random() % SoundRequests().size()];
      for (auto n = 1 + random() % 3; n > 0; --n) {
        const auto at = random() % text.size();
        switch (random() % 3) {
          case 0:
            text[at] = kBytes[random() % kBytes.size()];
            break;
          case 1:
            text.erase(at, 1);
            break;
          default:
            text.insert(at, 1, kBytes[random() % kBytes.size()]);
            break;
        }
      }
      const auto whole = ReadInPieces(text, text.size());
      CPPUNIT_ASSERT_MESSAGE(text, whole == ReadInPieces(text, 1));
      CPPUNIT_ASSERT_MESSAGE(
          text, whole == ReadInPieces(text, 2 + random() % text.size()));
      faults += whole.steps.find("|fault") != std::string::npos;
    }
    CPPUNIT_ASSERT(faults > kRounds / 4);
    CPPUNIT_ASSERT(faults < kRounds);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestReaderTest);

}  // namespace baobabrun
