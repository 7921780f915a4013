// The announcer's loop, which uses libcurl's multi interface.
#include "standin/announcer.h"

#include <curl/curl.h>
#include <fmt/core.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <string>
#include <utility>

namespace baobabrun::standin {
namespace {

constexpr long kPostTimeoutMs = 1000;
constexpr int kPollMs = 20;
// Batches of cache events that wait to be sent to one VM. Beyond this number
// the oldest batch is dropped. The VM detects the loss by the gap in the event
// numbers.
constexpr std::size_t kMaxWaitingBatches = 256;

std::size_t IgnoreBody(char* /*data*/,
                       std::size_t size,
                       std::size_t n,
                       void* /*cls*/) {
  return size * n;
}

}  // namespace

class Announcer::Loop {
 public:
  Loop(AnnouncerOptions options, Describe describe, TakeEvents take_events)
      : options_(std::move(options)),
        describe_(std::move(describe)),
        take_events_(std::move(take_events)),
        multi_(curl_multi_init()) {
    for (const auto& it : options_.addresses) {
      auto target = std::make_unique<Target>();
      target->url = fmt::format("http://{}/endpoints/announce", ToString(it));
      targets_.push_back(std::move(target));
    }
    headers_ = curl_slist_append(headers_, "content-type: application/json");
    headers_ = curl_slist_append(headers_, "Expect:");
  }

  ~Loop() {
    for (const auto& it : targets_) {
      if (it->easy != nullptr) {
        curl_multi_remove_handle(multi_, it->easy);
        curl_easy_cleanup(it->easy);
      }
    }
    curl_multi_cleanup(multi_);
    curl_slist_free_all(headers_);
  }

  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Run() {
    while (!stopping_) {
      CollectEvents();
      StartDue();
      int running = 0;
      curl_multi_perform(multi_, &running);
      ReadFinished();
      curl_multi_poll(multi_, nullptr, 0, kPollMs, nullptr);
    }
  }

  void Stop() { stopping_ = true; }

 private:
  struct Target {
    std::string url;
    std::string body;  // must outlive the transfer, libcurl doesn't copy it
    CURL* easy = nullptr;
    bool in_flight = false;
    Instant due;                      // time of the next announcement
    std::deque<CacheEvents> waiting;  // at most kMaxWaitingBatches
  };

  void CollectEvents() {
    for (auto& events : take_events_()) {
      for (const auto& target : targets_) {
        if (target->waiting.size() == kMaxWaitingBatches) {
          target->waiting.pop_front();
        }
        target->waiting.push_back(events);
      }
    }
  }

  void StartDue() {
    const auto now = SystemClock().Now();
    for (const auto& it : targets_) {
      if (!it->in_flight && it->due <= now) {
        Post(*it, now);
      }
    }
  }

  void Post(Target& target, Instant now) {
    target.due = now + options_.heartbeat;
    auto announcement = describe_();
    if (!announcement) {
      target.waiting.clear();
      return;
    }
    if (!target.waiting.empty()) {
      announcement->events = std::move(target.waiting.front());
      target.waiting.pop_front();
    }
    if (!target.waiting.empty()) {
      target.due = now;
    }
    target.body = ToJson(*announcement);
    Send(target);
  }

  void Send(Target& target) {
    if (target.easy == nullptr) {
      target.easy = curl_easy_init();
      curl_easy_setopt(target.easy, CURLOPT_URL, target.url.c_str());
      curl_easy_setopt(target.easy, CURLOPT_HTTPHEADER, headers_);
      curl_easy_setopt(target.easy, CURLOPT_TIMEOUT_MS, kPostTimeoutMs);
      curl_easy_setopt(target.easy, CURLOPT_WRITEFUNCTION, &IgnoreBody);
      curl_easy_setopt(target.easy, CURLOPT_NOSIGNAL, 1L);
      curl_easy_setopt(target.easy, CURLOPT_PRIVATE, &target);
    }
    curl_easy_setopt(target.easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(target.body.size()));
    curl_easy_setopt(target.easy, CURLOPT_POSTFIELDS, target.body.c_str());
    target.in_flight = true;
    curl_multi_add_handle(multi_, target.easy);
  }

  void ReadFinished() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Target* target = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &target);
      curl_multi_remove_handle(multi_, target->easy);
      target->in_flight = false;
    }
  }

  const AnnouncerOptions options_;
  const Describe describe_;
  const TakeEvents take_events_;
  CURLM* multi_;
  curl_slist* headers_ = nullptr;
  std::vector<std::unique_ptr<Target>> targets_;
  std::atomic<bool> stopping_{false};
};

Announcer::Announcer(std::unique_ptr<Loop> loop) : loop_(std::move(loop)) {}

Result<std::unique_ptr<Announcer>> Announcer::Start(AnnouncerOptions options,
                                                    Describe describe,
                                                    TakeEvents take_events) {
  auto loop = std::make_unique<Loop>(std::move(options), std::move(describe),
                                     std::move(take_events));
  auto* running = loop.get();
  std::unique_ptr<Announcer> out(new Announcer(std::move(loop)));
  auto thread = DutyThread::Start("announcer", [running] { running->Run(); });
  if (!thread.ok()) {
    return thread.error();
  }
  out->thread_ = std::move(thread.value());
  return out;
}

Announcer::~Announcer() {
  loop_->Stop();
  thread_.reset();
}

}  // namespace baobabrun::standin
