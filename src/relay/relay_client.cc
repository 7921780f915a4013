// Forwards requests as libcurl transfers.
#include "relay/relay_client.h"

#include <curl/curl.h>
#include <fmt/core.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "base/log.h"
#include "endpoints/response_reader.h"
#include "endpoints/transfer_loop.h"

namespace baobabrun {
namespace {

constexpr NameEntry<RelayOutcome> kOutcomes[] = {
    {RelayOutcome::kComplete, "complete"},
    {RelayOutcome::kNotSent, "not-sent"},
    {RelayOutcome::kBroken, "broken"},
    {RelayOutcome::kSilent, "silent"},
    {RelayOutcome::kCancelled, "cancelled"},
};

// A sound endpoint may stand still, and read nothing, for a second or so. If
// data isn't taken for longer than this, its machine is down.
constexpr milliseconds kTcpUserTimeout{2'500};

}  // namespace

// The sockets of all connections. libcurl tells before a request is sent which
// connection carries it, but not its socket, and looks at no connection that is
// idle. Used on the loop's thread only.
class ConnectionSockets {
 public:
  struct Connection {
    std::string remote;  // address and port
    int local_port = 0;
    bool operator<(const Connection& other) const {
      return std::tie(remote, local_port) <
             std::tie(other.remote, other.local_port);
    }
  };

  explicit ConnectionSockets(
      std::function<void(const Address& endpoint)> on_surplus)
      : on_surplus_(std::move(on_surplus)) {}

  void Add(Connection connection, curl_socket_t fd, const Address& endpoint) {
    sockets_[std::move(connection)] = {fd, endpoint};
  }
  // Returns CURL_SOCKET_BAD if there is none.
  curl_socket_t Use(const Connection& connection) {
    const auto it = sockets_.find(connection);
    if (it == sockets_.end()) {
      return CURL_SOCKET_BAD;
    }
    it->second.idle = false;
    return it->second.fd;
  }
  // The connection's request has been answered. Returns whether libcurl has
  // kept the connection.
  bool Release(const Connection& connection) {
    const auto it = sockets_.find(connection);
    if (it != sockets_.end()) {
      it->second.idle = true;
    }
    return it != sockets_.end();
  }
  void ReportSurplus(const Address& endpoint) const {
    if (on_surplus_) {
      on_surplus_(endpoint);
    }
  }
  // Ends the idle connections on which bytes have arrived, at most once in
  // kSurplusInterval: nobody reads them, and they would be held for as long as
  // the connection is.
  void EndSurplus(Instant now) {
    if (now < next_check_) {
      return;
    }
    next_check_ = now + kSurplusInterval;
    std::vector<pollfd> polls;
    std::vector<Socket*> idle;
    for (auto& [connection, it] : sockets_) {
      if (it.idle) {
        polls.push_back({it.fd, POLLIN, 0});
        idle.push_back(&it);
      }
    }
    if (polls.empty() || poll(polls.data(), polls.size(), 0) <= 0) {
      return;
    }
    for (std::size_t n = 0; n < polls.size(); ++n) {
      if (polls[n].revents != 0 && UnaskedBytes(polls[n].fd) > 0) {
        // libcurl finds the connection dead when it would use it again.
        shutdown(polls[n].fd, SHUT_RDWR);
        idle[n]->idle = false;
        ReportSurplus(idle[n]->endpoint);
      }
    }
  }
  // Above zero if there are bytes, zero at the connection's end, and below zero
  // if there is nothing.
  static std::ptrdiff_t UnaskedBytes(curl_socket_t fd) {
    char byte = 0;
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  }
  // A callback of libcurl, which closes no socket of a connection otherwise.
  static int Close(void* cls, curl_socket_t fd) {
    std::erase_if(static_cast<ConnectionSockets*>(cls)->sockets_,
                  [fd](const auto& it) { return it.second.fd == fd; });
    return close(fd);
  }

 private:
  struct Socket {
    curl_socket_t fd = CURL_SOCKET_BAD;
    Address endpoint;
    bool idle = false;
  };

  static constexpr Duration kSurplusInterval = seconds(1);

  const std::function<void(const Address& endpoint)> on_surplus_;
  std::map<Connection, Socket> sockets_;
  Instant next_check_;
};

namespace {

class RelayTransfer : public Transfer {
 public:
  RelayTransfer(RelayRequest request,
                RelayHooks hooks,
                ConnectionSockets& sockets)
      : request_(std::move(request)),
        hooks_(std::move(hooks)),
        sockets_(sockets),
        easy_(curl_easy_init()),
        response_(request_.method != "HEAD") {
    SetRequest();
    SetCallbacks();
    SetConnectionLimits(easy_, request_.connect_timeout, kTcpUserTimeout);
    const auto idle =
        std::chrono::floor<seconds>(request_.longest_idle).count();
    curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(std::max<std::int64_t>(idle, 1)));
    if (request_.fresh_connection) {
      curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
    }
  }
  ~RelayTransfer() override {
    curl_easy_cleanup(easy_);
    curl_slist_free_all(header_list_);
  }
  RelayTransfer(const RelayTransfer&) = delete;
  RelayTransfer& operator=(const RelayTransfer&) = delete;

  CURL* easy() const override { return easy_; }
  AttemptId id() const override { return request_.attempt; }
  void Started(Instant now) override {
    started_ = now;
    last_byte_ = now;
  }

  void Finish(CURLcode code) override {
    const bool kept = connection_ && sockets_.Release(*connection_);
    if (code == CURLE_OK && !kept && MayKeepConnection()) {
      // libcurl closes such a connection only if more came than was due.
      sockets_.ReportSurplus(request_.address);
    }
    if (code == CURLE_OK && response_.AddEnd()) {
      End(RelayOutcome::kComplete, "");
      return;
    }
    const auto fault = response_.fault();
    End(sends_ == 0 ? RelayOutcome::kNotSent : RelayOutcome::kBroken,
        fault.empty() ? curl_easy_strerror(code) : std::string(fault));
  }

  bool Restart() override {
    if (!stale_connection_) {
      return false;
    }
    stale_connection_ = false;
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
    return true;
  }

  void Abandon(AbortReason reason) override {
    const bool silent = reason == AbortReason::kTimedOut;
    const auto outcome = sends_ == 0 ? RelayOutcome::kNotSent
                         : silent    ? RelayOutcome::kSilent
                                     : RelayOutcome::kCancelled;
    End(outcome, silent ? "silent" : "cancelled");
  }

  bool TimedOut(Instant now) const override {
    const bool too_long =
        request_.total_timeout && now - started_ > *request_.total_timeout;
    return too_long || (!paused_ && now - last_byte_ > request_.idle_timeout);
  }

  void Unpause(Instant now) override {
    if (paused_) {
      paused_ = false;
      last_byte_ = now;
      curl_easy_pause(easy_, CURLPAUSE_CONT);
    }
  }

 private:
  void End(RelayOutcome outcome, std::string detail) {
    const auto& head = response_.head();
    hooks_.on_end({outcome, head.status(), std::move(detail), head.framing(),
                   body_bytes_});
  }

  void SetRequest() {
    const auto url =
        fmt::format("http://{}{}", ToString(request_.address), request_.target);
    curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    const bool has_body =
        (request_.body != nullptr && !request_.body->empty()) ||
        request_.method == "POST" || request_.method == "PUT";
    if (request_.method == "HEAD") {
      curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    } else if (has_body) {
      const auto size = request_.body == nullptr ? 0 : request_.body->size();
      curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(size));
      curl_easy_setopt(easy_, CURLOPT_POSTFIELDS,
                       size == 0 ? "" : request_.body->data());
      curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
    } else {
      curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
    }
    for (const auto& it : request_.headers) {
      // libcurl takes "Name;" for a header without a value.
      AddHeader(it.value.empty() ? it.name + ";"
                                 : fmt::format("{}: {}", it.name, it.value));
    }
    // Removes the headers that libcurl would add by itself.
    for (const std::string_view name : {"accept", "content-type", "expect"}) {
      if (!HasHeader(name)) {
        AddHeader(fmt::format("{}:", name));
      }
    }
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, header_list_);
  }

  void SetCallbacks() {
    curl_easy_setopt(easy_, CURLOPT_PRIVATE, static_cast<Transfer*>(this));
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &RelayTransfer::OnHeader);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &RelayTransfer::OnBody);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION,
                     &RelayTransfer::OnConnected);
    curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy_, CURLOPT_OPENSOCKETFUNCTION, &OpenSocket);
    curl_easy_setopt(easy_, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETFUNCTION,
                     &ConnectionSockets::Close);
    curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETDATA, &sockets_);
    curl_easy_setopt(easy_, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  }

  void AddHeader(const std::string& line) {
    header_list_ = curl_slist_append(header_list_, line.c_str());
  }

  bool HasHeader(std::string_view name) const {
    return std::any_of(request_.headers.begin(), request_.headers.end(),
                       [name](const auto& it) { return it.name == name; });
  }

  // Called before each time the request is sent. libcurl sends a request again
  // by itself if a reused connection breaks before the response. That could run
  // the request twice, so only the first send is allowed.
  static int OnConnected(void* cls,
                         char* remote_ip,
                         char* /*local_ip*/,
                         int remote_port,
                         int local_port) {
    const bool send = static_cast<RelayTransfer*>(cls)->MaySend(
        {fmt::format("{}:{}", remote_ip, remote_port), local_port});
    return send ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
  }

  bool MaySend(ConnectionSockets::Connection connection) {
    if (++sends_ > 1) {
      return false;
    }
    const bool reused = opened_ == CURL_SOCKET_BAD;
    const auto unasked =
        reused ? ConnectionSockets::UnaskedBytes(sockets_.Use(connection)) : -1;
    if (unasked > 0) {
      sockets_.ReportSurplus(request_.address);
    }
    // libcurl also reuses idle connections on which bytes have arrived.
    if (unasked >= 0) {
      sends_ = 0;
      stale_connection_ = true;
      Log(Event::kUnaskedBytes,
          "attempt {:x}: the kept connection to {} was closed or holds bytes "
          "that belong to no request; another one is opened",
          request_.attempt.value(), ToString(request_.address));
      return false;
    }
    if (!reused) {
      sockets_.Add(connection, opened_, request_.address);
    }
    connection_ = std::move(connection);
    if (hooks_.on_connected) {
      hooks_.on_connected(reused);
    }
    return true;
  }

  static curl_socket_t OpenSocket(void* cls,
                                  curlsocktype /*purpose*/,
                                  curl_sockaddr* address) {
    auto* self = static_cast<RelayTransfer*>(cls);
    self->opened_ = socket(address->family, address->socktype | SOCK_CLOEXEC,
                           address->protocol);
    return self->opened_;
  }

  static std::size_t OnHeader(char* data,
                              std::size_t /*size*/,
                              std::size_t n,
                              void* cls) {
    return static_cast<RelayTransfer*>(cls)->HandleHeader({data, n}) ? n : 0;
  }

  static std::size_t OnBody(char* data,
                            std::size_t /*size*/,
                            std::size_t n,
                            void* cls) {
    auto* self = static_cast<RelayTransfer*>(cls);
    if (self->paused_) {
      return CURL_WRITEFUNC_PAUSE;
    }
    return self->HandleBytes({data, n}) ? n : 0;
  }

  bool HandleBytes(std::string_view bytes) {
    last_byte_ = SystemClock().Now();
    return response_.AddBytes(
        bytes, [this](std::string_view data) { return PassOn(data); });
  }

  bool PassOn(std::string_view data) {
    body_bytes_ += data.size();
    const auto action = hooks_.on_body(data);
    paused_ = paused_ || action == RelayHooks::BodyAction::kPause;
    return action != RelayHooks::BodyAction::kAbort;
  }

  bool HandleHeader(std::string_view line) {
    last_byte_ = SystemClock().Now();
    const auto& head = response_.head();
    const bool was_complete = head.complete();
    if (!response_.AddLine(line)) {
      return false;
    }
    if (was_complete || !head.complete()) {
      return true;
    }
    CloseConnectionIfBodyUnsent();
    return hooks_.on_head(head.status(), head.headers());
  }

  // A response that arrives before the whole request body was sent leaves the
  // connection in the middle of that body, so it can't be reused.
  void CloseConnectionIfBodyUnsent() {
    curl_off_t sent = 0;
    curl_easy_getinfo(easy_, CURLINFO_SIZE_UPLOAD_T, &sent);
    const auto size = request_.body == nullptr ? 0 : request_.body->size();
    if (std::cmp_less(sent, size)) {
      curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
      body_unsent_ = true;
    }
  }

  // Whether the connection can carry another request after the answer.
  bool MayKeepConnection() const {
    const auto& head = response_.head();
    const bool has_end = head.framing() == BodyFraming::kLength ||
                         head.framing() == BodyFraming::kChunked;
    return head.complete() && has_end && !head.closes() && !body_unsent_;
  }

  const RelayRequest request_;
  const RelayHooks hooks_;
  ConnectionSockets& sockets_;
  CURL* easy_;
  curl_slist* header_list_ = nullptr;
  int sends_ = 0;
  curl_socket_t opened_ = CURL_SOCKET_BAD;  // unless a connection is reused
  bool stale_connection_ = false;           // nothing was sent on it
  bool body_unsent_ = false;  // the answer came before the whole request
  std::optional<ConnectionSockets::Connection> connection_;
  bool paused_ = false;
  ResponseReader response_;
  std::uint64_t body_bytes_ = 0;
  Instant started_;
  Instant last_byte_;
};

}  // namespace

std::string_view NameOf(RelayOutcome outcome) {
  return NameOf<RelayOutcome>(kOutcomes, outcome);
}

RelayClient::RelayClient(std::unique_ptr<ConnectionSockets> sockets,
                         std::unique_ptr<TransferLoop> loop)
    : sockets_(std::move(sockets)), loop_(std::move(loop)) {}

RelayClient::~RelayClient() = default;

Result<std::unique_ptr<RelayClient>> RelayClient::Start(
    std::function<void(const Address& endpoint)> on_surplus) {
  auto sockets = std::make_unique<ConnectionSockets>(std::move(on_surplus));
  TransferLoopOptions options;
  options.on_check = [it = sockets.get()](Instant now) { it->EndSurplus(now); };
  auto loop = TransferLoop::Start(std::move(options));
  if (!loop.ok()) {
    return loop.error();
  }
  return std::unique_ptr<RelayClient>(
      new RelayClient(std::move(sockets), std::move(loop.value())));
}

bool RelayClient::Send(RelayRequest request, RelayHooks hooks) {
  return loop_->Send(std::make_unique<RelayTransfer>(
      std::move(request), std::move(hooks), *sockets_));
}

bool RelayClient::Cancel(AttemptId attempt) {
  return loop_->Cancel(attempt);
}

bool RelayClient::Resume(AttemptId attempt) {
  return loop_->Resume(attempt);
}

}  // namespace baobabrun
