// Finds the data of a body in chunks (RFC 9112, section 7.1).
//
// libcurl ends a chunk's size at the first character that is no digit, so it
// takes `0x15` for the last chunk, and reads any line as a trailer. Clients
// therefore get the chunks as they were sent and read them here; libcurl still
// tells where the answer ends.
#ifndef ENDPOINTS_CHUNKED_BODY_H_
#define ENDPOINTS_CHUNKED_BODY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace baobabrun {

class ChunkedBody {
 public:
  // Bound on a line: that of a chunk's size, or a trailer.
  static constexpr std::size_t kMaxLineBytes = 4096;
  // Bound on the bytes of all trailers together.
  static constexpr std::size_t kMaxTrailerBytes = 32 * 1024;

  // Reads the next bytes and passes the chunks' data in them to `on_data`.
  // Returns false if they are malformed, or as soon as `on_data` returns false;
  // nothing may be added then. Bytes after the body's end are ignored.
  bool Add(std::string_view bytes,
           const std::function<bool(std::string_view data)>& on_data);

  // Whether the last chunk and the trailers have arrived.
  bool complete() const { return state_ == State::kComplete; }
  // Whether bytes were added that RFC 9112 doesn't allow.
  bool malformed() const { return state_ == State::kMalformed; }

 private:
  enum class State { kSize, kData, kDataEnd, kTrailer, kComplete, kMalformed };

  void AddToLine(std::string_view part);
  // Returns the state after a whole line, without its end.
  State StateAfter(std::string_view line);

  State state_ = State::kSize;
  std::string line_;             // the begin of a line
  std::uint64_t remaining_ = 0;  // bytes of the chunk that is being read
  std::size_t trailer_bytes_ = 0;
};

}  // namespace baobabrun

#endif  // ENDPOINTS_CHUNKED_BODY_H_
