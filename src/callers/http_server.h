// An HTTP server on libmicrohttpd, used for the callers' port and the
// operators' port. A few threads serve all connections. A handler doesn't need
// to block them, since an exchange may be answered later and from any thread.
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
#include <unordered_set>
#include <vector>

#include "base/error.h"
#include "base/memory_budget.h"
#include "base/thread.h"
#include "base/time.h"
#include "callers/http_exchange.h"
#include "settings/process_settings.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace baobabrun {

struct HttpServerOptions {
  Address listen;
  std::string name;  // the thread that checks for closed peers is NAME-watch
  std::size_t threads = 2;
  std::size_t max_body_bytes = 4 << 20;
  std::size_t max_connections = 20'000;
  // A connection is closed if the peer sends nothing, or accepts no byte of its
  // answer, for this time.
  Duration idle_timeout = seconds(10);
  // Whether to check periodically for callers that close the connection while
  // their request waits. Not needed if the handler always answers before it
  // returns.
  bool watch_peers = true;
  TlsSettings tls;
  // Bounds the bodies and answers that are held. Null for no bound.
  MemoryBudgetPtr budget = nullptr;
  // Refuses a request for whose body there is no memory; must be set if
  // `budget` is.
  std::function<void(HttpExchange& exchange)> no_memory = nullptr;
};

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
  friend struct HttpServerCallbacks;

  HttpServer(HttpServerOptions options, Handler handler, TooLarge too_large);
  Status Listen();
  Status ReadTlsFiles();
  void WatchPeers();
  std::vector<HttpExchangePtr> OpenExchanges() const;

  const HttpServerOptions options_;
  const Handler handler_;
  const TooLarge too_large_;
  std::string certificate_;
  std::string private_key_;
  Address address_;
  MHD_Daemon* daemon_ = nullptr;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> max_body_bytes_;
  std::atomic<Duration> idle_timeout_;

  mutable std::mutex mutex_;
  std::unordered_set<HttpExchange*>
      open_exchanges_;  // from request line to completion
  struct OpenConnection {
    int requests = 0;   // in progress
    bool used = false;  // has had a request
    Instant accepted;
    Instant idle_since;  // if it has had a request and has none in progress
    bool reading_ended = false;  // CloseIdle() has shut down reading
  };
  std::unordered_map<MHD_Connection*, OpenConnection> connections_;
  const SystemClock clock_;
  std::unique_ptr<DutyThread> watcher_;
};

}  // namespace baobabrun

#endif  // CALLERS_HTTP_SERVER_H_
