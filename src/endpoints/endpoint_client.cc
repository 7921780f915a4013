// The thread that drives all connections to endpoints.
#include "endpoints/endpoint_client.h"

#include <curl/curl.h>

#include <unordered_map>
#include <utility>
#include <variant>

#include "base/ring.h"
#include "base/thread.h"
#include "endpoints/attempt.h"

namespace baobabrun {
namespace {

constexpr int kPollMs = 100;

struct SendOrder {
  Dispatch dispatch;
  AnswerSink sink;
};
struct CancelOrder {
  AttemptId attempt;
};
struct ResumeOrder {
  AttemptId attempt;
};
using Order = std::variant<SendOrder, CancelOrder, ResumeOrder>;

// libcurl wants one global initialisation before any handle.
void InitCurl() {
  static const CURLcode kOnce = curl_global_init(CURL_GLOBAL_ALL);
  (void)kOnce;
}

}  // namespace

class EndpointClient::Loop {
 public:
  Loop(EndpointClientOptions options, OnReport on_report)
      : options_(options),
        on_report_(std::move(on_report)),
        multi_(curl_multi_init()),
        orders_(options.ring_capacity, [this] { curl_multi_wakeup(multi_); }) {
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                      options_.max_connections_per_endpoint);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 4'096L);
  }

  ~Loop() {
    orders_.Close();
    thread_.reset();
    for (const auto& it : attempts_) {
      curl_multi_remove_handle(multi_, it.second->easy());
    }
    attempts_.clear();
    curl_multi_cleanup(multi_);
  }

  Status Start() {
    auto thread = DutyThread::Start("endpoints", [this] { Run(); });
    if (!thread.ok()) {
      return thread.error();
    }
    thread_ = std::move(thread.value());
    return Ok();
  }

  bool Push(Order order) { return orders_.TryPush(std::move(order)); }

 private:
  using Attempts =
      std::unordered_map<AttemptId, std::unique_ptr<internal::Attempt>>;

  void Run() {
    while (!orders_.closed()) {
      for (auto& it : orders_.Drain(Duration::zero())) {
        std::visit([this](auto& order) { Execute(order); }, it);
      }
      int running = 0;
      curl_multi_perform(multi_, &running);
      TakeFinished();
      GiveUpSilent();
      int ready = 0;
      curl_multi_poll(multi_, nullptr, 0, kPollMs, &ready);
    }
  }

  void Execute(SendOrder& order) {
    const auto id = order.dispatch.attempt;
    auto attempt = std::make_unique<internal::Attempt>(
        std::move(order.dispatch), std::move(order.sink), options_, on_report_);
    attempt->set_started(clock_.Now());
    curl_multi_add_handle(multi_, attempt->easy());
    attempts_[id] = std::move(attempt);
  }

  void Execute(const CancelOrder& order) {
    Break(order.attempt, AttemptOutcome::kCancelled);
  }

  void Execute(const ResumeOrder& order) {
    const auto it = attempts_.find(order.attempt);
    if (it != attempts_.end()) {
      it->second->Unpause(clock_.Now());
    }
  }

  void TakeFinished() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const auto code = message->data.result;
      internal::Attempt* attempt = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &attempt);
      auto report = attempt->Finish(code);
      curl_multi_remove_handle(multi_, attempt->easy());
      attempts_.erase(attempt->id());
      on_report_(std::move(report));
    }
  }

  void GiveUpSilent() {
    const auto now = clock_.Now();
    if (now < next_check_) {
      return;
    }
    next_check_ = now + milliseconds(kPollMs);
    std::vector<AttemptId> silent;
    for (const auto& it : attempts_) {
      if (it.second->Silent(now)) {
        silent.push_back(it.first);
      }
    }
    for (const auto& it : silent) {
      Break(it, AttemptOutcome::kSilent);
    }
  }

  // Closes the try's connection and reports `outcome`.
  void Break(AttemptId id, AttemptOutcome outcome) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) {
      return;
    }
    auto report = it->second->Abandon(outcome);
    curl_multi_remove_handle(multi_, it->second->easy());
    attempts_.erase(it);
    on_report_(std::move(report));
  }

  const EndpointClientOptions options_;
  const OnReport on_report_;
  const SystemClock clock_;
  CURLM* multi_;
  Ring<Order> orders_;
  Attempts attempts_;  // touched by the thread only
  Instant next_check_;
  std::unique_ptr<DutyThread> thread_;
};

EndpointClient::EndpointClient(std::unique_ptr<Loop> loop)
    : loop_(std::move(loop)) {}

EndpointClient::~EndpointClient() = default;

Result<std::unique_ptr<EndpointClient>> EndpointClient::Start(
    EndpointClientOptions options,
    OnReport on_report) {
  InitCurl();
  auto loop = std::make_unique<Loop>(options, std::move(on_report));
  const auto status = loop->Start();
  if (!status.ok()) {
    return status.error();
  }
  return std::unique_ptr<EndpointClient>(new EndpointClient(std::move(loop)));
}

bool EndpointClient::Send(Dispatch dispatch, AnswerSink sink) {
  return loop_->Push(SendOrder{std::move(dispatch), std::move(sink)});
}

bool EndpointClient::Cancel(AttemptId attempt) {
  return loop_->Push(CancelOrder{attempt});
}

bool EndpointClient::Resume(AttemptId attempt) {
  return loop_->Push(ResumeOrder{attempt});
}

}  // namespace baobabrun
