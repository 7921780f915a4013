// One HTTP request and its answer, on a connection of an HttpServer.
//
// The exchange keeps itself alive by shared ownership: the connection holds one
// reference, and the code that answers holds another. The public members may be
// called from any thread. What they add to the answer is kept here until the
// connection takes it, so that no thread blocks on the caller.
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
  // the server's threads.
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

  // Whether CloseIdle() had already chosen the connection to be closed when the
  // request was read. The handler should refuse it before it returns, since the
  // process is about to end; the connection is closed after the answer.
  bool reading_was_closed() const { return reading_was_closed_; }
  bool begun() const;
  // Whether the connection has ended.
  bool gone() const;

 private:
  friend class HttpConnection;

  // What the connection has to send next.
  struct Output {
    bool begun = false;      // status and headers are known
    bool streaming = false;  // the body's length isn't known
    int status = 0;
    std::vector<Header> headers;  // set in the first output only
    std::string body;
    bool ended = false;  // no more output will follow
    bool complete = true;
  };

  // Called by HttpConnection on its thread.
  bool HasMemoryFor(std::size_t body_bytes) const;
  // Whether there is no memory for large bodies.
  bool IsShortOfMemory() const;
  // Returns false, without appending, if there is no memory for it.
  bool AppendToBody(std::string_view bytes);
  void DropBody();
  Output TakeOutput();
  // Tells that `bytes` of the bodies taken have been passed to the system.
  void Sent(std::size_t bytes);
  // Ends the exchange. `complete` tells whether the whole answer was sent.
  void ConnectionEnded(bool complete);
  bool ended() const;
  bool streaming() const;

  // The bytes that the connection hasn't passed to the system.
  std::size_t UnsentLocked() const { return buffer_.size() + taken_bytes_; }
  void WakeLocked();

  const MemoryBudgetPtr budget_;
  HttpRequest request_;
  // Covers the capacity of the request's body.
  MemoryLease request_lease_;
  bool reading_was_closed_ = false;  // set before the handler runs

  mutable std::mutex mutex_;
  bool begun_ = false;      // status and headers are known
  bool streaming_ = false;  // the body comes through Write()
  bool ended_ = false;      // no more bytes will come
  bool complete_ = true;
  bool gone_ = false;
  bool over_high_water_ = false;
  int status_ = 0;
  std::vector<Header> headers_;
  std::string buffer_;           // bytes of the body that weren't taken
  std::size_t taken_bytes_ = 0;  // taken, but not sent
  MemoryLease answer_lease_;  // covers the unsent bytes, as far as it has room
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  // Tells the connection that there is output. Called at most once until the
  // output is taken; null once the exchange has ended.
  std::function<void()> wake_;
  bool wake_pending_ = false;
};
using HttpExchangePtr = std::shared_ptr<HttpExchange>;

}  // namespace baobabrun

#endif  // CALLERS_HTTP_EXCHANGE_H_
