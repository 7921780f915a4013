// The thread that drives the transfers.
#include "endpoints/transfer_loop.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>
#include <vector>

namespace baobabrun {
namespace {

// Interval of the timeout checks.
constexpr milliseconds kTimeoutCheckInterval{100};
// Poll timeout without transfers, when no timeout must be checked. Commands
// wake the loop.
constexpr milliseconds kIdlePollTimeout{10'000};
// Maximum number of cached connections to all endpoints together.
constexpr long kMaxCachedConnections = 4'096;

// libcurl requires one global initialisation before any handle is created.
void InitCurl() {
  static const CURLcode kOnce = curl_global_init(CURL_GLOBAL_ALL);
  (void)kOnce;
}

// Idle time before the first keepalive probe of a connection and interval
// between probes, in seconds.
constexpr long kKeepaliveIdleS = 1;
constexpr long kKeepaliveIntervalS = 1;

int SetUserTimeout(void* cls, curl_socket_t fd, curlsocktype /*purpose*/) {
  const auto ms = static_cast<int>(reinterpret_cast<intptr_t>(cls));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
  return CURL_SOCKOPT_OK;
}

CURLM* NewMulti() {
  InitCurl();
  return curl_multi_init();
}

}  // namespace

void SetConnectionLimits(CURL* easy,
                         Duration connect_timeout,
                         milliseconds tcp_user_timeout) {
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &SetUserTimeout);
  curl_easy_setopt(
      easy, CURLOPT_SOCKOPTDATA,
      reinterpret_cast<void*>(static_cast<intptr_t>(tcp_user_timeout.count())));
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, kKeepaliveIdleS);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kKeepaliveIntervalS);
  const auto ms = std::chrono::duration_cast<milliseconds>(connect_timeout);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(ms.count()));
}

TransferLoop::TransferLoop(TransferLoopOptions options)
    : on_check_(std::move(options.on_check)),
      multi_(NewMulti()),
      commands_(options.ring_capacity, [this] { curl_multi_wakeup(multi_); }) {
  curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                    options.max_connections_per_endpoint);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
}

Result<std::unique_ptr<TransferLoop>> TransferLoop::Start(
    TransferLoopOptions options) {
  std::unique_ptr<TransferLoop> loop(new TransferLoop(std::move(options)));
  auto* self = loop.get();
  auto thread = DutyThread::Start("endpoints", [self] { self->Run(); });
  if (!thread.ok()) {
    return thread.error();
  }
  loop->thread_ = std::move(thread.value());
  return loop;
}

TransferLoop::~TransferLoop() {
  commands_.Close();
  thread_.reset();
  for (const auto& it : transfers_) {
    curl_multi_remove_handle(multi_, it.second->easy());
  }
  transfers_.clear();
  curl_multi_cleanup(multi_);
}

bool TransferLoop::Send(std::unique_ptr<Transfer> transfer) {
  return commands_.TryPush(std::move(transfer));
}

bool TransferLoop::Cancel(AttemptId id) {
  return commands_.TryPush(CancelCommand{id});
}

bool TransferLoop::Resume(AttemptId id) {
  return commands_.TryPush(ResumeCommand{id});
}

void TransferLoop::Run() {
  while (!commands_.closed()) {
    for (auto& it : commands_.Drain(Duration::zero())) {
      std::visit([this](auto& command) { Execute(command); }, it);
    }
    int running = 0;
    curl_multi_perform(multi_, &running);
    FinishCompleted();
    AbortTimedOut();
    const auto poll_timeout =
        transfers_.empty() ? kIdlePollTimeout : kTimeoutCheckInterval;
    int ready = 0;
    curl_multi_poll(multi_, nullptr, 0, static_cast<int>(poll_timeout.count()),
                    &ready);
  }
}

void TransferLoop::Execute(std::unique_ptr<Transfer>& transfer) {
  const auto id = transfer->id();
  transfer->Started(clock_.Now());
  curl_multi_add_handle(multi_, transfer->easy());
  transfers_[id] = std::move(transfer);
}

void TransferLoop::Execute(const CancelCommand& command) {
  Abort(command.id, Transfer::AbortReason::kCancelled);
}

void TransferLoop::Execute(const ResumeCommand& command) {
  const auto it = transfers_.find(command.id);
  if (it != transfers_.end()) {
    it->second->Unpause(clock_.Now());
  }
}

void TransferLoop::FinishCompleted() {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const auto code = message->data.result;
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    curl_multi_remove_handle(multi_, transfer->easy());
    if (transfer->Restart()) {
      curl_multi_add_handle(multi_, transfer->easy());
      continue;
    }
    const auto node = transfers_.extract(transfer->id());
    transfer->Finish(code);
  }
}

void TransferLoop::AbortTimedOut() {
  const auto now = clock_.Now();
  if (now < next_check_) {
    return;
  }
  next_check_ = now + kTimeoutCheckInterval;
  if (on_check_) {
    on_check_(now);
  }
  std::vector<AttemptId> timed_out;
  for (const auto& it : transfers_) {
    if (it.second->TimedOut(now)) {
      timed_out.push_back(it.first);
    }
  }
  for (const auto& it : timed_out) {
    Abort(it, Transfer::AbortReason::kTimedOut);
  }
}

// Removes the transfer, which closes its connection, and calls Abandon.
void TransferLoop::Abort(AttemptId id, Transfer::AbortReason reason) {
  const auto node = transfers_.extract(id);
  if (node.empty()) {
    return;
  }
  curl_multi_remove_handle(multi_, node.mapped()->easy());
  node.mapped()->Abandon(reason);
}

}  // namespace baobabrun
