// The thread that drives transfers.
#include "endpoints/transfer_loop.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>
#include <vector>

namespace baobabrun {
namespace {

// How often silent transfers are looked for.
constexpr milliseconds kCheckInterval{100};
// Without transfers there is nothing to look for; orders wake the loop.
constexpr milliseconds kIdleInterval{10'000};
// Kept connections, over all endpoints.
constexpr long kMostKeptConnections = 4'096;

// libcurl wants one global initialisation before any handle.
void InitCurl() {
  static const CURLcode kOnce = curl_global_init(CURL_GLOBAL_ALL);
  (void)kOnce;
}

// Keepalive probes of a connection on which nothing has come for a while.
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
    : multi_(NewMulti()),
      orders_(options.ring_capacity, [this] { curl_multi_wakeup(multi_); }) {
  curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                    options.max_connections_per_endpoint);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMostKeptConnections);
}

Result<std::unique_ptr<TransferLoop>> TransferLoop::Start(
    TransferLoopOptions options) {
  std::unique_ptr<TransferLoop> loop(new TransferLoop(options));
  auto* self = loop.get();
  auto thread = DutyThread::Start("endpoints", [self] { self->Run(); });
  if (!thread.ok()) {
    return thread.error();
  }
  loop->thread_ = std::move(thread.value());
  return loop;
}

TransferLoop::~TransferLoop() {
  orders_.Close();
  thread_.reset();
  for (const auto& it : transfers_) {
    curl_multi_remove_handle(multi_, it.second->easy());
  }
  transfers_.clear();
  curl_multi_cleanup(multi_);
}

bool TransferLoop::Send(std::unique_ptr<Transfer> transfer) {
  return orders_.TryPush(std::move(transfer));
}

bool TransferLoop::Cancel(AttemptId id) {
  return orders_.TryPush(CancelOrder{id});
}

bool TransferLoop::Resume(AttemptId id) {
  return orders_.TryPush(ResumeOrder{id});
}

void TransferLoop::Run() {
  while (!orders_.closed()) {
    for (auto& it : orders_.Drain(Duration::zero())) {
      std::visit([this](auto& order) { Execute(order); }, it);
    }
    int running = 0;
    curl_multi_perform(multi_, &running);
    TakeFinished();
    GiveUpSilent();
    const auto patience = transfers_.empty() ? kIdleInterval : kCheckInterval;
    int ready = 0;
    curl_multi_poll(multi_, nullptr, 0, static_cast<int>(patience.count()),
                    &ready);
  }
}

void TransferLoop::Execute(std::unique_ptr<Transfer>& transfer) {
  const auto id = transfer->id();
  transfer->Started(clock_.Now());
  curl_multi_add_handle(multi_, transfer->easy());
  transfers_[id] = std::move(transfer);
}

void TransferLoop::Execute(const CancelOrder& order) {
  Break(order.id, Transfer::GivenUp::kCancelled);
}

void TransferLoop::Execute(const ResumeOrder& order) {
  const auto it = transfers_.find(order.id);
  if (it != transfers_.end()) {
    it->second->Unpause(clock_.Now());
  }
}

void TransferLoop::TakeFinished() {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const auto code = message->data.result;
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    curl_multi_remove_handle(multi_, transfer->easy());
    const auto node = transfers_.extract(transfer->id());
    transfer->Finish(code);
  }
}

void TransferLoop::GiveUpSilent() {
  const auto now = clock_.Now();
  if (now < next_check_) {
    return;
  }
  next_check_ = now + kCheckInterval;
  std::vector<AttemptId> silent;
  for (const auto& it : transfers_) {
    if (it.second->Silent(now)) {
      silent.push_back(it.first);
    }
  }
  for (const auto& it : silent) {
    Break(it, Transfer::GivenUp::kSilent);
  }
}

// Closes the transfer's connection.
void TransferLoop::Break(AttemptId id, Transfer::GivenUp reason) {
  const auto node = transfers_.extract(id);
  if (node.empty()) {
    return;
  }
  curl_multi_remove_handle(multi_, node.mapped()->easy());
  node.mapped()->Abandon(reason);
}

}  // namespace baobabrun
