// Reads HTTP/1.1 requests from a connection's bytes, strictly: a request whose
// end two readers may find in different places is a fault (RFC 9112). Lines end
// with CRLF and nothing else, no line is folded, and a chunk holds exactly what
// its size says.
//
// The reader has no socket. Its owner passes it bytes as they arrive, in pieces
// of any size, and gets one step at a time:
//
//   while (true) {
//     const auto it = reader.Read(input);
//     input.remove_prefix(it.consumed);
//     if (it.step == ReadStep::kBody) { body.append(it.body); }
//     ...
//   }
#ifndef CALLERS_REQUEST_READER_H_
#define CALLERS_REQUEST_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "requests/request.h"

namespace baobabrun {

enum class ReadStep {
  kMore,   // all of the input was read; the request goes on
  kHead,   // the head is complete and sound
  kBody,   // ReadResult::body holds bytes of the body
  kEnd,    // the request is complete
  kFault,  // no later byte of the connection can be read
};

struct ReadResult {
  ReadStep step = ReadStep::kMore;
  std::size_t consumed = 0;  // bytes of the input
  std::string_view body;     // a part of the input
};

struct RequestHead {
  std::string method;
  std::string target;           // as sent
  std::vector<Header> headers;  // without blanks around the values
  bool knows_chunks = true;     // false for HTTP/1.0
};

class RequestReader {
 public:
  // Bound on the bytes of the head and of the trailers, together.
  static constexpr std::size_t kMaxHeadBytes = std::size_t{64} * 1024;
  // Bound on a line that states the size of a chunk.
  static constexpr std::size_t kMaxChunkLineBytes = 4096;

  // Reads up to the next step. After kEnd, the next call begins a new request.
  ReadResult Read(std::string_view input);

  // Whether a byte of a request has been read that isn't complete.
  bool in_request() const;
  // After kHead, once for each request.
  RequestHead TakeHead() { return std::move(head_); }
  // Bytes of the body that were read or announced so far: by the length, or by
  // the sizes of the chunks. The largest number stands for any above 64 bits.
  std::uint64_t announced_bytes() const { return announced_; }
  // After kFault: the status to answer with, and the reason in plain words.
  int fault_status() const { return fault_status_; }
  std::string_view fault() const { return fault_; }

 private:
  enum class State {
    kRequestLine,
    kHeaderLine,
    kFixedBody,
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailerLine,
    kDone,
    kFaulty,
  };

  ReadResult ReadLine(std::string_view input);
  ReadResult ReadBody(std::string_view input);
  // Each takes the complete line in line_, without its end.
  ReadStep OnLine();
  ReadStep OnRequestLine();
  ReadStep OnHeaderLine();
  ReadStep OnHeadEnd();
  ReadStep OnChunkSize();
  ReadStep OnTrailerLine();
  bool AddField(std::vector<Header>* fields);
  ReadStep Fail(int status, std::string_view reason);
  void Announce(std::uint64_t bytes);

  State state_ = State::kRequestLine;
  std::string line_;            // the line so far
  std::size_t head_bytes_ = 0;  // at most kMaxHeadBytes
  RequestHead head_;
  std::uint64_t remaining_ = 0;  // of the fixed body, or of the chunk
  std::uint64_t announced_ = 0;
  int fault_status_ = 0;
  std::string_view fault_;
};

}  // namespace baobabrun

#endif  // CALLERS_REQUEST_READER_H_
