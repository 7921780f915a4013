// Implements libmicrohttpd's callbacks, and starts and stops the server.
#include "callers/http_server.h"

#include <ace/INET_Addr.h>
#include <fmt/core.h>
#include <microhttpd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <thread>
#include <utility>

#include "base/file.h"
#include "base/log.h"
#include "callers/callers_error.h"
#include "callers/request_framing.h"

namespace baobabrun {
namespace {

unsigned int WholeSeconds(Duration duration) {
  const auto n = std::chrono::ceil<seconds>(duration).count();
  return static_cast<unsigned int>(std::max<std::int64_t>(n, 1));
}

}  // namespace

// The callbacks that libmicrohttpd calls. `cls` is the server, and `*con_cls`
// owns one reference to the exchange.
struct HttpServerCallbacks {
  static void* FirstLine(void* cls,
                         const char* uri,
                         MHD_Connection* connection) {
    auto* server = static_cast<HttpServer*>(cls);
    auto exchange = std::make_shared<HttpExchange>(server->options_.budget);
    exchange->connection_ = connection;
    const std::string_view text = uri;
    const auto mark = text.find('?');
    exchange->request_.path = text.substr(0, mark);
    if (mark != std::string_view::npos) {
      exchange->request_.query = text.substr(mark + 1);
    }
    std::lock_guard lock(server->mutex_);
    server->open_exchanges_.insert(exchange.get());
    auto& open = server->connections_[connection];
    ++open.requests;
    open.used = true;
    exchange->reading_was_closed_ = open.reading_ended;
    return new HttpExchangePtr(std::move(exchange));
  }

  static MHD_Result Access(void* cls,
                           MHD_Connection* connection,
                           const char* /*url*/,
                           const char* method,
                           const char* version,
                           const char* upload,
                           std::size_t* upload_size,
                           void** con_cls) {
    auto* server = static_cast<HttpServer*>(cls);
    auto& exchange = *static_cast<HttpExchangePtr*>(*con_cls);
    switch (exchange->phase_) {
      case HttpExchange::Phase::kFresh:
        exchange->peer_knows_chunks_ =
            version != std::string_view(MHD_HTTP_VERSION_1_0);
        return Headers(*server, *exchange, connection, method);
      case HttpExchange::Phase::kReceiving:
        if (*upload_size > 0) {
          return Upload(*server, *exchange, upload, upload_size);
        }
        return BodyReceived(*server, exchange, connection);
      case HttpExchange::Phase::kWaiting:
        return QueueResponse(*exchange, connection);
      case HttpExchange::Phase::kAnswering:
        break;
    }
    return MHD_NO;
  }

  static MHD_Result Headers(const HttpServer& server,
                            HttpExchange& exchange,
                            MHD_Connection* connection,
                            const char* method) {
    exchange.phase_ = HttpExchange::Phase::kReceiving;
    exchange.request_.method = method;
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                              WholeSeconds(server.idle_timeout_));
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader,
                              &exchange.request_.headers);
    const auto fault =
        FramingFault(exchange.request_.headers, exchange.peer_knows_chunks_);
    if (!fault.empty()) {
      return Refuse(exchange, connection, fault);
    }
    const auto length = exchange.request_.HeaderValue("content-length");
    std::size_t n = 0;
    std::from_chars(length.data(), length.data() + length.size(), n);
    if (n > server.max_body_bytes_) {
      server.too_large_(exchange);
      return QueueResponse(exchange, connection);
    }
    if (!exchange.HasMemoryFor(n)) {
      server.options_.no_memory(exchange);
      return QueueResponse(exchange, connection);
    }
    return MHD_YES;
  }

  // The connection is closed, since it isn't known where the next request
  // begins.
  static MHD_Result Refuse(HttpExchange& exchange,
                           MHD_Connection* connection,
                           std::string_view fault) {
    constexpr int kBadRequest = 400;
    Log(Event::kRequestMalformed, "a request was refused: {}", fault);
    exchange.Respond(kBadRequest,
                     {{"Content-Type", "text/plain"}, {"Connection", "close"}},
                     fmt::format("the request is malformed: {}\n", fault));
    return QueueResponse(exchange, connection);
  }

  static MHD_Result AddHeader(void* cls,
                              MHD_ValueKind /*kind*/,
                              const char* name,
                              const char* value) {
    Header header{name, value == nullptr ? "" : value};
    std::transform(header.name.begin(), header.name.end(), header.name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    static_cast<std::vector<Header>*>(cls)->push_back(std::move(header));
    return MHD_YES;
  }

  static MHD_Result Upload(const HttpServer& server,
                           HttpExchange& exchange,
                           const char* upload,
                           std::size_t* upload_size) {
    // The length of a chunked body isn't known in advance. A body over the
    // limit is read to its end, discarded and refused; once it exceeds twice
    // the limit, the connection is closed.
    const std::size_t limit = server.max_body_bytes_;
    exchange.received_ += *upload_size;
    if (exchange.received_ > 2 * limit) {
      return MHD_NO;
    }
    if (exchange.received_ > limit) {
      exchange.too_large_ = true;
    } else if (!exchange.AppendToBody({upload, *upload_size})) {
      exchange.no_memory_ = true;
    }
    if (exchange.too_large_ || exchange.no_memory_) {
      exchange.DropBody();
    }
    *upload_size = 0;
    return MHD_YES;
  }

  static MHD_Result BodyReceived(HttpServer& server,
                                 const HttpExchangePtr& exchange,
                                 MHD_Connection* connection) {
    exchange->phase_ = HttpExchange::Phase::kWaiting;
    if (exchange->too_large_ || exchange->no_memory_) {
      const auto& refuse =
          exchange->too_large_ ? server.too_large_ : server.options_.no_memory;
      refuse(*exchange);
      return QueueResponse(*exchange, connection);
    }
    if (exchange->reading_was_closed_) {
      // Reading on this connection has been shut down, so libmicrohttpd would
      // close it on resumption if it were suspended. If the handler gives no
      // answer before it returns, the connection is closed now.
      server.handler_(exchange);
      return QueueResponse(*exchange, connection);
    }
    exchange->Suspend();
    server.handler_(exchange);
    return MHD_YES;
  }

  static MHD_Result QueueResponse(HttpExchange& exchange,
                                  MHD_Connection* connection) {
    exchange.phase_ = HttpExchange::Phase::kAnswering;
    int status = 0;
    MHD_Response* response = exchange.TakeResponse(&status);
    if (response == nullptr) {
      return MHD_NO;
    }
    const auto result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
  }

  static void Notify(void* cls,
                     MHD_Connection* connection,
                     void** /*socket_context*/,
                     MHD_ConnectionNotificationCode code) {
    auto* server = static_cast<HttpServer*>(cls);
    std::lock_guard lock(server->mutex_);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      server->connections_[connection].accepted = server->clock_.Now();
    } else {
      server->connections_.erase(connection);
    }
  }

  static void Completed(void* cls,
                        MHD_Connection* connection,
                        void** con_cls,
                        MHD_RequestTerminationCode code) {
    auto* owner = static_cast<HttpExchangePtr*>(*con_cls);
    if (owner == nullptr) {
      return;
    }
    auto* server = static_cast<HttpServer*>(cls);
    {
      std::lock_guard lock(server->mutex_);
      server->open_exchanges_.erase(owner->get());
      auto& open = server->connections_[connection];
      --open.requests;
      open.idle_since = server->clock_.Now();
    }
    (*owner)->ConnectionEnded(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    delete owner;
    *con_cls = nullptr;
  }
};

namespace {

constexpr std::size_t kConnectionMemoryBytes = 64 * 1024;
constexpr milliseconds kPeerCheckInterval{200};
// A new connection that hasn't sent its first request by then is idle.
constexpr Duration kFirstRequestTime = seconds(1);

}  // namespace

HttpServer::HttpServer(HttpServerOptions options,
                       Handler handler,
                       TooLarge too_large)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      too_large_(std::move(too_large)),
      max_body_bytes_(options_.max_body_bytes),
      idle_timeout_(options_.idle_timeout) {}

void HttpServer::SetLimits(std::size_t max_body_bytes, Duration idle_timeout) {
  max_body_bytes_ = max_body_bytes;
  idle_timeout_ = idle_timeout;
}

Result<std::unique_ptr<HttpServer>> HttpServer::Start(HttpServerOptions options,
                                                      Handler handler,
                                                      TooLarge too_large) {
  std::unique_ptr<HttpServer> server(new HttpServer(
      std::move(options), std::move(handler), std::move(too_large)));
  auto status = server->ReadTlsFiles();
  if (status.ok()) {
    status = server->Listen();
  }
  if (!status.ok()) {
    return status.error();
  }
  if (!server->options_.watch_peers) {
    return server;
  }
  auto* self = server.get();
  auto watcher = DutyThread::Start(server->options_.name + "-watch",
                                   [self] { self->WatchPeers(); });
  if (!watcher.ok()) {
    return watcher.error();
  }
  server->watcher_ = std::move(watcher.value());
  return server;
}

Status HttpServer::ReadTlsFiles() {
  if (options_.tls.certificate_file.empty()) {
    return Ok();
  }
  auto certificate = ReadTextFile(options_.tls.certificate_file);
  auto key = ReadTextFile(options_.tls.key_file);
  if (!certificate.ok()) {
    return Error{CallersError::kBadCertificate, certificate.error().message};
  }
  if (!key.ok()) {
    return Error{CallersError::kBadCertificate, key.error().message};
  }
  certificate_ = std::move(certificate.value());
  private_key_ = std::move(key.value());
  return Ok();
}

Status HttpServer::Listen() {
  ACE_INET_Addr listen(options_.listen.port, options_.listen.host.c_str());
  unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_SUSPEND_RESUME;
  std::vector<MHD_OptionItem> items = {
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<intptr_t>(&HttpServerCallbacks::FirstLine), this},
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<intptr_t>(&HttpServerCallbacks::Completed), this},
      {MHD_OPTION_NOTIFY_CONNECTION,
       reinterpret_cast<intptr_t>(&HttpServerCallbacks::Notify), this},
      {MHD_OPTION_SOCK_ADDR, 0, listen.get_addr()},
      {MHD_OPTION_THREAD_POOL_SIZE, static_cast<intptr_t>(options_.threads),
       nullptr},
      {MHD_OPTION_CONNECTION_LIMIT,
       static_cast<intptr_t>(options_.max_connections), nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes, nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT,
       static_cast<intptr_t>(WholeSeconds(options_.idle_timeout)), nullptr},
      {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
      {MHD_OPTION_STRICT_FOR_CLIENT, 1, nullptr},
  };
  if (!certificate_.empty()) {
    flags |= MHD_USE_TLS;
    items.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, certificate_.data()});
    items.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, private_key_.data()});
  }
  items.push_back({MHD_OPTION_END, 0, nullptr});
  daemon_ = MHD_start_daemon(flags, options_.listen.port, nullptr, nullptr,
                             &HttpServerCallbacks::Access, this,
                             MHD_OPTION_ARRAY, items.data(), MHD_OPTION_END);
  if (daemon_ == nullptr) {
    return Error{CallersError::kCannotListen,
                 fmt::format("cannot listen on {}", ToString(options_.listen))};
  }
  address_ = options_.listen;
  const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
  if (info != nullptr) {
    address_.port = info->port;
  }
  return Ok();
}

HttpServer::~HttpServer() {
  stopping_ = true;
  watcher_.reset();
  if (daemon_ == nullptr) {
    return;
  }
  // libmicrohttpd can't stop while connections are suspended.
  for (const auto& it : OpenExchanges()) {
    it->Abort();
  }
  MHD_stop_daemon(daemon_);
}

std::vector<HttpExchangePtr> HttpServer::OpenExchanges() const {
  std::lock_guard lock(mutex_);
  std::vector<HttpExchangePtr> exchanges;
  exchanges.reserve(open_exchanges_.size());
  for (auto* it : open_exchanges_) {
    exchanges.push_back(it->shared_from_this());
  }
  return exchanges;
}

std::size_t HttpServer::open_exchanges() const {
  std::lock_guard lock(mutex_);
  return open_exchanges_.size();
}

std::size_t HttpServer::connections() const {
  std::lock_guard lock(mutex_);
  return connections_.size();
}

void HttpServer::CloseIdle(Duration min_idle) {
  std::lock_guard lock(mutex_);
  const auto now = clock_.Now();
  for (auto& [connection, it] : connections_) {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    // After the shutdown, libmicrohttpd reads end-of-file and closes the
    // connection.
    const bool expects_first =
        !it.used && now - it.accepted < kFirstRequestTime;
    const bool expects_next = it.used && now - it.idle_since < min_idle;
    if (it.requests == 0 && !expects_first && !expects_next &&
        info != nullptr) {
      it.reading_ended = true;
      shutdown(info->connect_fd, SHUT_RD);
    }
  }
}

void HttpServer::WatchPeers() {
  while (!stopping_) {
    std::this_thread::sleep_for(kPeerCheckInterval);
    for (const auto& it : OpenExchanges()) {
      it->CloseIfPeerGone();
    }
  }
}

}  // namespace baobabrun
