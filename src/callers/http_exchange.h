// One HTTP request and its answer, on a connection that libmicrohttpd serves.
//
// The exchange keeps itself alive by shared ownership: libmicrohttpd's
// connection holds one reference, and the code that answers holds another. The
// public members may be called from any thread. While there is nothing to send,
// the connection is suspended, so that no thread blocks on it.
#ifndef CALLERS_HTTP_EXCHANGE_H_
#define CALLERS_HTTP_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "base/memory_budget.h"
#include "requests/request.h"

struct MHD_Connection;
struct MHD_Response;

namespace baobabrun {

struct HttpRequest {
  std::string method;
  std::string path;   // as sent, without the query
  std::string query;  // as sent, without the '?'
  std::vector<Header> headers;
  std::string body;

  // Returns the value of the first header called `name` (lower case), or an
  // empty string if there is none.
  std::string_view HeaderValue(std::string_view name) const;
  std::size_t CountHeaders(std::string_view name) const;
};

class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  // Number of unsent bytes above which Write() asks the producer to pause,
  // since the reader is slow.
  static constexpr std::size_t kHighWaterBytes = std::size_t{256} * 1024;

  // With a budget, the bodies of the request and of the answer are counted, and
  // a request for whose body there is no memory is refused.
  explicit HttpExchange(MemoryBudgetPtr budget = nullptr);

  const HttpRequest& request() const { return request_; }
  const MemoryBudgetPtr& budget() const { return budget_; }
  // Frees the body of the request. It still counts until the exchange ends, for
  // the copy that the handler has made.
  void FreeBody();

  // Sets the callbacks. `on_gone` is called once if the connection ends before
  // the whole answer has been sent, or at once if it has already ended.
  // `on_drained` is called each time that the unsent bytes have fallen below
  // half of kHighWaterBytes after Write() returned false. Both may run on
  // libmicrohttpd's threads.
  void SetHooks(std::function<void()> on_gone,
                std::function<void()> on_drained);

  // Sends an answer with a complete body. Ignored if an answer has begun.
  void Respond(int status, std::vector<Header> headers, std::string body);

  // Begins an answer of unknown length. Ignored if an answer has begun.
  void Begin(int status, std::vector<Header> headers);
  // Appends `bytes` to the body of the answer. Returns false if the producer
  // should pause until `on_drained`.
  bool Write(std::string_view bytes);
  // Ends the answer. Unless `complete` is set, the connection is closed without
  // the end marker, or reset if the answer has none, so that the reader can
  // tell that the answer is incomplete.
  void End(bool complete);

  // Whether CloseIdle() had already shut down reading on the connection when
  // the request was read. If so, only an answer that the handler gives before
  // it returns reaches the caller.
  bool reading_was_closed() const { return reading_was_closed_; }
  bool begun() const;
  // Whether the connection has ended.
  bool gone() const;

 private:
  friend class HttpServer;
  friend struct HttpServerCallbacks;

  enum class Phase { kFresh, kReceiving, kWaiting, kAnswering };

  // Called by HttpServer on libmicrohttpd's threads.
  bool HasMemoryFor(std::size_t body_bytes) const;
  // Whether there is no memory for large bodies.
  bool IsShortOfMemory() const;
  // Returns false, without appending, if there is no memory for it.
  bool AppendToBody(std::string_view bytes);
  void DropBody();
  void Suspend();
  MHD_Response* TakeResponse(int* status);
  std::ptrdiff_t Read(char* buf, std::size_t max);
  // `complete` tells whether the whole answer was sent.
  void ConnectionEnded(bool complete);
  // Closes the connection if it is suspended and its peer has closed it.
  void CloseIfPeerGone();
  void Abort();

  void ResumeLocked();
  void ResetConnection();
  // Resets the connection of an incomplete stream whose reader would take its
  // end in good order for the end of the stream.
  void ResetIfEndIsTheMarkLocked();
  bool HasPeerClosed() const;

  const MemoryBudgetPtr budget_;
  HttpRequest request_;
  // Covers the capacity of the request's body.
  MemoryLease request_lease_;
  MHD_Connection* connection_ = nullptr;
  Phase phase_ = Phase::kFresh;  // used by the connection's thread only
  // Without chunks, only the end of the connection marks the end of a stream.
  bool peer_knows_chunks_ = true;
  std::size_t received_ = 0;         // bytes of the body
  bool too_large_ = false;           // the body exceeds the limit
  bool no_memory_ = false;           // the budget has no room for the body
  bool reading_was_closed_ = false;  // set before the handler runs

  mutable std::mutex mutex_;
  bool suspended_ = false;
  bool aborted_ = false;  // close the connection without completing the answer
  bool begun_ = false;    // status and headers are known
  bool streaming_ = false;  // the body comes through Write()
  bool ended_ = false;      // no more bytes will come
  bool complete_ = true;
  bool all_read_ = false;  // libmicrohttpd has read the last byte
  bool gone_ = false;
  bool over_high_water_ = false;
  int status_ = 0;
  std::vector<Header> headers_;
  std::string buffer_;  // bytes of the body from read_offset_ on are unsent
  std::size_t read_offset_ = 0;
  MemoryLease answer_lease_;  // covers the unsent bytes, as far as it has room
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
};
using HttpExchangePtr = std::shared_ptr<HttpExchange>;

}  // namespace baobabrun

#endif  // CALLERS_HTTP_EXCHANGE_H_
