// Accepts connections, spreads them over the threads and keeps account of them.
#include "callers/http_server.h"

#include <fmt/core.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

#include "base/file.h"
#include "base/log.h"
#include "base/thread.h"
#include "callers/callers_error.h"
#include "callers/http_connection.h"

namespace baobabrun {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using NetworkError = boost::system::error_code;

// A new connection that hasn't sent its first request by then is idle.
constexpr Duration kFirstRequestTime = seconds(1);
// Pause after an error of the system, such as a lack of descriptors.
constexpr milliseconds kAcceptPause{100};

}  // namespace

struct HttpServer::Network {
  // One io_context a thread, so that a connection's members need no lock.
  struct Worker {
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{
        context.get_executor()};
    std::unique_ptr<DutyThread> thread;
  };

  std::optional<asio::ssl::context> tls;
  std::vector<std::unique_ptr<Worker>> workers;
  // The first worker accepts, for all.
  std::optional<tcp::acceptor> acceptor;
  std::optional<asio::steady_timer> accept_timer;
  std::size_t next_worker = 0;
};

HttpServer::HttpServer(HttpServerOptions options,
                       Handler handler,
                       TooLarge too_large)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      too_large_(std::move(too_large)),
      max_body_bytes_(options_.max_body_bytes),
      idle_timeout_(options_.idle_timeout),
      network_(std::make_unique<Network>()) {}

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
  if (status.ok()) {
    status = server->StartThreads();
  }
  if (!status.ok()) {
    return status.error();
  }
  return server;
}

Status HttpServer::ReadTlsFiles() {
  const auto& files = options_.tls;
  if (files.certificate_file.empty()) {
    return Ok();
  }
  const auto certificate = ReadTextFile(files.certificate_file);
  const auto key = ReadTextFile(files.key_file);
  if (!certificate.ok()) {
    return Error{CallersError::kBadCertificate, certificate.error().message};
  }
  if (!key.ok()) {
    return Error{CallersError::kBadCertificate, key.error().message};
  }
  auto& tls = network_->tls.emplace(asio::ssl::context::tls_server);
  NetworkError error;
  tls.use_certificate_chain(asio::buffer(certificate.value()), error);
  if (error) {
    return Error{CallersError::kBadCertificate,
                 fmt::format("{}: no certificate chain: {}",
                             files.certificate_file.string(), error.message())};
  }
  tls.use_private_key(asio::buffer(key.value()), asio::ssl::context::pem,
                      error);
  if (error) {
    return Error{CallersError::kBadCertificate,
                 fmt::format("{}: no private key of the certificate in {}: {}",
                             files.key_file.string(),
                             files.certificate_file.string(), error.message())};
  }
  return Ok();
}

Status HttpServer::Listen() {
  network_->workers.resize(std::max<std::size_t>(options_.threads, 1));
  for (auto& it : network_->workers) {
    it = std::make_unique<Network::Worker>();
  }
  auto& context = network_->workers.front()->context;
  auto& acceptor = network_->acceptor.emplace(context);
  network_->accept_timer.emplace(context);
  NetworkError error;
  const auto host = asio::ip::make_address(options_.listen.host, error);
  const tcp::endpoint listen(host, options_.listen.port);
  if (!error) {
    acceptor.open(listen.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(listen, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error{CallersError::kCannotListen,
                 fmt::format("cannot listen on {}: {}",
                             ToString(options_.listen), error.message())};
  }
  address_ = options_.listen;
  address_.port = acceptor.local_endpoint(error).port();
  return Ok();
}

Status HttpServer::StartThreads() {
  Accept();
  for (auto& it : network_->workers) {
    auto* context = &it->context;
    auto thread =
        DutyThread::Start(options_.name, [context] { context->run(); });
    if (!thread.ok()) {
      return thread.error();
    }
    it->thread = std::move(thread.value());
  }
  return Ok();
}

HttpServer::~HttpServer() {
  for (std::size_t n = 0; n < network_->workers.size(); ++n) {
    auto& context = network_->workers[n]->context;
    asio::post(context, [this, n, &context] {
      if (n == 0) {
        NetworkError error;
        network_->acceptor->close(error);
      }
      AbortConnections(n);
      context.stop();
    });
  }
  for (auto& it : network_->workers) {
    it->thread = nullptr;
  }
}

void HttpServer::AbortConnections(std::size_t thread) {
  const auto* context = &network_->workers[thread]->context;
  std::vector<std::shared_ptr<HttpConnection>> connections;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [connection, it] : connections_) {
      if (&connection->context() == context) {
        connections.push_back(it.connection);
      }
    }
  }
  for (const auto& it : connections) {
    it->Abort();
  }
}

void HttpServer::Accept() {
  auto& workers = network_->workers;
  auto& context = workers[network_->next_worker]->context;
  network_->next_worker = (network_->next_worker + 1) % workers.size();
  network_->acceptor->async_accept(
      context, [this, &context](NetworkError error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          Log(Event::kAcceptFailed,
              "a connection to {} could not be accepted: {}",
              ToString(address_), error.message());
          AcceptLater();
          return;
        }
        auto* tls = network_->tls.has_value() ? &*network_->tls : nullptr;
        AddConnection(std::make_shared<HttpConnection>(this, context,
                                                       std::move(socket), tls));
        std::lock_guard lock(mutex_);
        accept_paused_ = connections_.size() >= options_.max_connections;
        if (!accept_paused_) {
          Accept();
        }
      });
}

void HttpServer::AcceptLater() {
  network_->accept_timer->expires_after(kAcceptPause);
  network_->accept_timer->async_wait([this](NetworkError error) {
    if (!error) {
      Accept();
    }
  });
}

void HttpServer::AddConnection(
    const std::shared_ptr<HttpConnection>& connection) {
  {
    std::lock_guard lock(mutex_);
    auto& it = connections_[connection.get()];
    it.connection = connection;
    it.accepted = clock_.Now();
  }
  asio::post(connection->context(), [connection] { connection->Start(); });
}

bool HttpServer::OnRequestBegan(HttpConnection* connection) {
  std::lock_guard lock(mutex_);
  auto& it = connections_.at(connection);
  it.in_request = true;
  it.used = true;
  ++open_exchanges_;
  return it.chosen_to_close;
}

void HttpServer::OnRequestEnded(HttpConnection* connection) {
  std::lock_guard lock(mutex_);
  auto& it = connections_.at(connection);
  it.in_request = false;
  it.idle_since = clock_.Now();
  --open_exchanges_;
}

void HttpServer::OnClosed(HttpConnection* connection) {
  std::lock_guard lock(mutex_);
  connections_.erase(connection);
  if (std::exchange(accept_paused_, false)) {
    asio::post(network_->workers.front()->context, [this] { Accept(); });
  }
}

std::size_t HttpServer::open_exchanges() const {
  std::lock_guard lock(mutex_);
  return open_exchanges_;
}

std::size_t HttpServer::connections() const {
  std::lock_guard lock(mutex_);
  return connections_.size();
}

void HttpServer::CloseIdle(Duration min_idle) {
  std::lock_guard lock(mutex_);
  const auto now = clock_.Now();
  for (auto& [key, it] : connections_) {
    const bool expects_first =
        !it.used && now - it.accepted < kFirstRequestTime;
    const bool expects_next = it.used && now - it.idle_since < min_idle;
    if (!it.in_request && !expects_first && !expects_next &&
        !it.chosen_to_close) {
      it.chosen_to_close = true;
      asio::post(it.connection->context(),
                 [connection = it.connection] { connection->EndIfIdle(); });
    }
  }
}

}  // namespace baobabrun
