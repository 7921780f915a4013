// An HTTP/1.1 server, used for the callers' port and the operators' port. A few
// threads serve all connections, each connection on one of them. A handler
// doesn't need to block them, since an exchange may be answered later and from
// any thread. Requests that aren't sound are refused (request_reader.h).
//
//   auto server = HttpServer::Start(options, [](HttpExchangePtr it) {
//     it->Respond(200, {}, "ok");
//   });
#ifndef CALLERS_HTTP_SERVER_H_
#define CALLERS_HTTP_SERVER_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/memory_budget.h"
#include "base/time.h"
#include "callers/http_exchange.h"
#include "settings/process_settings.h"

namespace baobabrun {

struct HttpServerOptions {
  Address listen;
  std::string name;  // of the threads
  std::size_t threads = 2;
  std::size_t max_body_bytes = 4 << 20;
  // Above this, callers wait in the system's queue until a connection ends.
  std::size_t max_connections = 20'000;
  // A connection is closed if the peer sends nothing, or accepts no byte of its
  // answer, for this time.
  Duration idle_timeout = seconds(10);
  // Whether a caller that closes its side of the connection while its request
  // waits has gone. Otherwise it still gets its answer.
  bool watch_peers = true;
  TlsSettings tls;
  // Bounds the bodies and answers that are held. Null for no bound.
  MemoryBudgetPtr budget = nullptr;
  // Refuses a request for whose body there is no memory; must be set if
  // `budget` is.
  std::function<void(HttpExchange& exchange)> no_memory = nullptr;
};

class HttpConnection;

class HttpServer {
 public:
  // Called on one of the server's threads, once for each complete request.
  using Handler = std::function<void(HttpExchangePtr exchange)>;
  // Answers a request whose body exceeds the limit.
  using TooLarge = std::function<void(HttpExchange& exchange)>;

  // Errors: CallersError; the message names the address or the file.
  static Result<std::unique_ptr<HttpServer>> Start(HttpServerOptions options,
                                                   Handler handler,
                                                   TooLarge too_large);
  // Closes all connections.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Sets the size limit of bodies and the timeout of idle connections. Both
  // apply from the next request on.
  void SetLimits(std::size_t max_body_bytes, Duration idle_timeout);

  // Returns the address in use. If port 0 was requested, it holds the port that
  // the system assigned.
  const Address& address() const { return address_; }
  std::size_t open_exchanges() const;
  std::size_t connections() const;
  // Closes the connections on which no request is in progress. A connection
  // that was accepted within the last second stays open for its first request,
  // and one that has been idle for less than `min_idle` for its next one.
  void CloseIdle(Duration min_idle = Duration::zero());

 private:
  friend class HttpConnection;
  struct Network;  // sockets and threads

  HttpServer(HttpServerOptions options, Handler handler, TooLarge too_large);
  Status ReadTlsFiles();
  Status Listen();
  Status StartThreads();
  void Accept();
  void AcceptLater();
  void AddConnection(const std::shared_ptr<HttpConnection>& connection);
  void AbortConnections(std::size_t thread);

  // Called by connections on their threads. The first returns whether
  // CloseIdle() has chosen the connection.
  bool OnRequestBegan(HttpConnection* connection);
  void OnRequestEnded(HttpConnection* connection);
  void OnClosed(HttpConnection* connection);

  const HttpServerOptions options_;
  const Handler handler_;
  const TooLarge too_large_;
  Address address_;
  std::atomic<std::size_t> max_body_bytes_;
  std::atomic<Duration> idle_timeout_;
  const SystemClock clock_;
  // Destroyed after the connections, which use its sockets.
  std::unique_ptr<Network> network_;

  mutable std::mutex mutex_;  // guards the rest
  struct OpenConnection {
    std::shared_ptr<HttpConnection> connection;
    bool in_request = false;
    bool used = false;  // has had a request
    Instant accepted;
    Instant idle_since;  // if it has had a request and has none in progress
    bool chosen_to_close = false;  // by CloseIdle()
  };
  std::unordered_map<HttpConnection*, OpenConnection> connections_;
  std::size_t open_exchanges_ = 0;  // connections that are in a request
  bool accept_paused_ = false;      // there are as many as allowed
};

}  // namespace baobabrun

#endif  // CALLERS_HTTP_SERVER_H_
