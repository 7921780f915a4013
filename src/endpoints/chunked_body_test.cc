// Tests that chunks are read the same however their bytes are split, and that
// what RFC 9112 doesn't allow is found.
#include "endpoints/chunked_body.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>

#include "endpoints/answer_forms_test.h"

namespace baobabrun {
namespace {

struct ReadBody {
  bool good = true;
  bool complete = false;
  std::string data;
};

// Adds `bytes` in pieces of `size` bytes, after one of `first` bytes.
ReadBody ReadInPieces(std::string_view bytes,
                      std::size_t first,
                      std::size_t size) {
  ChunkedBody body;
  ReadBody read;
  for (auto n = first; read.good && !bytes.empty(); n = size) {
    const auto piece = bytes.substr(0, n);
    bytes.remove_prefix(piece.size());
    read.good = body.Add(piece, [&read](std::string_view data) {
      read.data += data;
      return true;
    });
  }
  read.complete = body.complete();
  return read;
}

ReadBody Read(std::string_view bytes) {
  return ReadInPieces(bytes, bytes.size(), bytes.size());
}

}  // namespace

class ChunkedBodyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChunkedBodyTest);
  CPPUNIT_TEST(SoundChunksAreReadHoweverTheyAreSplit);
  CPPUNIT_TEST(BodyIsNotCompleteBeforeItsLastByte);
  CPPUNIT_TEST(InvalidChunksAreFoundHoweverTheyAreSplit);
  CPPUNIT_TEST(LinesAndTrailersWithoutEndAreCutOff);
  CPPUNIT_TEST(BytesAfterTheEndAreIgnored);
  CPPUNIT_TEST(ReaderOfTheDataCanStop);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SoundChunksAreReadHoweverTheyAreSplit() {
    for (const auto& form : SoundChunks()) {
      for (std::size_t n = 1; n <= form.body.size(); ++n) {
        for (const auto size : {std::size_t{1}, form.body.size()}) {
          const auto read = ReadInPieces(form.body, n, size);
          CPPUNIT_ASSERT_MESSAGE(form.body, read.good && read.complete);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(form.body, form.payload, read.data);
        }
      }
    }
  }

  void BodyIsNotCompleteBeforeItsLastByte() {
    for (const auto& form : SoundChunks()) {
      for (std::size_t n = 0; n < form.body.size(); ++n) {
        const auto read = Read(std::string_view(form.body).substr(0, n));
        CPPUNIT_ASSERT_MESSAGE(form.body, read.good && !read.complete);
      }
    }
  }

  void InvalidChunksAreFoundHoweverTheyAreSplit() {
    for (const auto& forms : {InvalidChunks(), InvalidTrailers()}) {
      for (const auto& form : forms) {
        for (std::size_t n = 1; n <= form.body.size(); ++n) {
          for (const auto size : {std::size_t{1}, form.body.size()}) {
            const auto read = ReadInPieces(form.body, n, size);
            CPPUNIT_ASSERT_MESSAGE(form.body, !read.good && !read.complete);
          }
        }
      }
    }
  }

  void LinesAndTrailersWithoutEndAreCutOff() {
    const std::string too_long(ChunkedBody::kMaxLineBytes + 1, 'a');
    std::string trailers;
    while (trailers.size() <= ChunkedBody::kMaxTrailerBytes + too_long.size()) {
      trailers += "X: " + std::string(1'000, 'a') + "\r\n";
    }
    for (const auto& it : {"1;" + too_long, "1\r\na" + too_long,
                           "0\r\nX: " + too_long, "0\r\n" + trailers}) {
      CPPUNIT_ASSERT(!Read(it).good);
      CPPUNIT_ASSERT(!ReadInPieces(it, 1, 1).good);
    }
  }

  void BytesAfterTheEndAreIgnored() {
    const auto read = Read("1\r\na\r\n0\r\n\r\nx\x01\r\n");
    CPPUNIT_ASSERT(read.good && read.complete);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), read.data);
  }

  void ReaderOfTheDataCanStop() {
    ChunkedBody body;
    CPPUNIT_ASSERT(!body.Add("1\r\na\r\n0\r\n\r\n",
                             [](std::string_view) { return false; }));
    CPPUNIT_ASSERT(!body.malformed());
    CPPUNIT_ASSERT(!body.complete());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChunkedBodyTest);

}  // namespace baobabrun
