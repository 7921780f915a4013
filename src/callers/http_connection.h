// One connection of an HttpServer: reads requests one after the other, hands
// each complete one to the server's handler and sends its answer.
//
// The connection keeps itself alive by shared ownership: each pending operation
// holds a reference. All members run on the thread of the connection's
// io_context, except that an exchange's wake-up is posted from any thread.
//
// Included by the server's own files only: it needs Asio's headers.
#ifndef CALLERS_HTTP_CONNECTION_H_
#define CALLERS_HTTP_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "callers/caller_stream.h"
#include "callers/http_exchange.h"
#include "callers/request_reader.h"

namespace baobabrun {

class HttpServer;

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(HttpServer* server,
                 boost::asio::io_context& context,
                 boost::asio::ip::tcp::socket socket,
                 boost::asio::ssl::context* tls);

  void Start();
  // Ends the connection after CloseIdle() has chosen it, unless a request is in
  // progress or has arrived meanwhile; its answer then ends the connection.
  void EndIfIdle();
  // Ends the connection, whatever is in progress.
  void Abort();
  // The exchange in progress; null if there is none.
  const HttpExchangePtr& exchange() const { return exchange_; }

  boost::asio::io_context& context() { return context_; }

 private:
  enum class Phase {
    kReading,    // the next request, or a part of one, is awaited
    kAnswering,  // a handler has the request, or its answer is being sent
    kClosing,    // no byte will be sent; the caller's end is awaited
    kEnded,
  };
  using Error = CallerStream::Error;

  void StartRead();
  void OnRead(Error error, std::size_t bytes);
  void OnReadEnded(Error error);
  // Reads requests from `pending_` until one waits for its answer.
  void Advance();
  void BeginExchange();
  void OnHead();
  void OnBody(std::string_view bytes);
  void OnRequestEnd();
  // Answers in place of the handler and closes the connection.
  void Refuse(int status, std::string_view reason);
  void RefuseBody(bool too_large);

  // Sends what the exchange has.
  void Flush();
  void AppendHead(const HttpExchange::Output& it);
  void Write();
  void OnWritten(Error error, std::size_t bytes);
  void OnAllWritten();
  void OnAnswerSent();
  bool AnswerHasBody() const;

  // Waits for the caller to close, so that it can read the whole answer.
  void BeginClosing();
  void End(bool reset);
  void Expect(Duration within);
  void StartTimer(Duration wait);
  void OnTimer(Error error);

  HttpServer* const server_;
  boost::asio::io_context& context_;
  CallerStream stream_;
  boost::asio::steady_timer timer_;
  // The connection ends if nothing moves until then. The largest instant while
  // it waits for the handler.
  Instant deadline_;

  Phase phase_ = Phase::kReading;
  RequestReader reader_;
  HttpExchangePtr exchange_;  // set from a request's first byte to its end
  std::vector<char> read_buffer_;
  std::string pending_;  // bytes that arrived and weren't read yet
  bool reading_ = false;
  bool caller_finished_ = false;  // it has sent its last byte
  bool ending_ = false;           // CloseIdle() has chosen the connection
  // The rest of the request isn't read, or the server ends the connection, so
  // bytes of the caller may be on their way.
  bool unread_bytes_expected_ = false;

  bool keep_alive_ = true;  // for the answer in progress
  bool head_only_ = false;  // the request's method is HEAD
  bool knows_chunks_ = true;
  bool head_sent_ = false;
  int status_ = 0;
  bool streaming_ = false;
  bool answer_ended_ = false;  // all output has been taken
  bool answer_complete_ = true;
  bool writing_ = false;
  // What is being written, in this order; the first `written_` bytes are sent.
  std::string before_;
  std::string body_;
  std::string after_;
  std::size_t written_ = 0;
};
using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

}  // namespace baobabrun

#endif  // CALLERS_HTTP_CONNECTION_H_
