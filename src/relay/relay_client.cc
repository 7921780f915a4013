// Forwards requests as libcurl transfers.
#include "relay/relay_client.h"

#include <curl/curl.h>
#include <fmt/core.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"
#include "endpoints/connection_sockets.h"
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

class RelayTransfer : public Transfer {
 public:
  RelayTransfer(RelayRequest request,
                RelayHooks hooks,
                ConnectionSockets& sockets)
      : request_(std::move(request)),
        hooks_(std::move(hooks)),
        easy_(curl_easy_init()),
        connection_(easy_,
                    sockets,
                    request_.address,
                    [this](curl_socket_t fd, bool reused) {
                      return MaySend(fd, reused);
                    }),
        response_(request_.method != "HEAD", [this] {
          return connection_.RequestArrived(request_body_bytes());
        }) {
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
    connection_.LookForConnection();
    started_ = now;
    last_byte_ = now;
  }

  void Finish(CURLcode code) override {
    if (code == CURLE_OK && connection_.ClosedAtEnd() && MayKeepConnection()) {
      // libcurl would have kept the connection if no more had come than was
      // due.
      connection_.ReportSurplus(SurplusFound::kAtEnd);
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
    connection_.LookForConnection();
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
                   body_bytes_, connection_.local_port(),
                   connection_.reused()});
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
      const auto size = request_body_bytes();
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
  bool MaySend(curl_socket_t fd, bool reused) {
    if (++sends_ > 1) {
      return false;
    }
    const auto unasked = reused ? ConnectionSockets::UnaskedBytes(fd) : -1;
    if (unasked > 0) {
      connection_.ReportSurplus(SurplusFound::kOnReuse);
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
    if (hooks_.on_connected) {
      hooks_.on_connected(reused);
    }
    return true;
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

  std::size_t request_body_bytes() const {
    return request_.body == nullptr ? 0 : request_.body->size();
  }

  // A response that arrives before the whole request body was sent leaves the
  // connection in the middle of that body, so it can't be reused.
  void CloseConnectionIfBodyUnsent() {
    curl_off_t sent = 0;
    curl_easy_getinfo(easy_, CURLINFO_SIZE_UPLOAD_T, &sent);
    if (std::cmp_less(sent, request_body_bytes())) {
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
  CURL* easy_;
  RequestConnection connection_;
  curl_slist* header_list_ = nullptr;
  int sends_ = 0;
  bool stale_connection_ = false;  // nothing was sent on it
  bool body_unsent_ = false;       // the answer came before the whole request
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

Result<std::unique_ptr<RelayClient>> RelayClient::Start(OnSurplus on_surplus) {
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
