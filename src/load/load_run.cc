// Sends the scheduled requests through libcurl in an open loop.
#include "load/load_run.h"

#include <curl/curl.h>
#include <fmt/core.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/thread.h"
#include "standin/answer_text.h"
#include "standin/http_call.h"

namespace baobabrun::load {
namespace {

using nlohmann::json;

constexpr long kMaxIdleConnections = 4096;
constexpr milliseconds kMaxPollTimeout{20};

// Returns the prompt that the engines build from a chat with one message.
std::string ChatPrompt(const std::string& content) {
  return "user\n" + content + "\n";
}

}  // namespace

namespace internal {

class LoadLoop;

// One request in flight. Owns its libcurl handle.
class Transfer {
 public:
  Transfer(const Mix& mix,
           const PlannedRequest& planned,
           Instant scheduled,
           RequestSample* sample)
      : load_(mix.organisations[planned.organisation]),
        scheduled_(scheduled),
        sample_(sample),
        body_(PrepareBody(mix, planned)),
        check_(planned.kind, planned.tag, expected_),
        easy_(curl_easy_init()) {
    sample_->organisation = planned.organisation;
    sample_->entry = planned.entry;
    sample_->kind = planned.kind;
    sample_->tag = planned.tag;
    SetUp(mix, planned);
  }
  ~Transfer() {
    curl_easy_cleanup(easy_);
    curl_slist_free_all(headers_);
  }
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  CURL* easy() const { return easy_; }

  void MarkSent(Instant now) { sample_->send_delay = now - scheduled_; }

  void Finish(CURLcode code, Instant now) {
    sample_->status = Status();
    sample_->outcome = code == CURLE_COULDNT_CONNECT
                           ? AnswerOutcome::kNotConnected
                           : check_.Finish(sample_->status, code == CURLE_OK);
    sample_->code = check_.code();
    sample_->end = now - scheduled_;
  }

  void TimeOut(Instant now) {
    sample_->outcome = AnswerOutcome::kTimeout;
    sample_->end = now - scheduled_;
  }

 private:
  // Returns the body of the request and sets expected_.
  std::string PrepareBody(const Mix& mix, const PlannedRequest& planned) {
    if (planned.kind == PlannedKind::kService) {
      expected_ = "call " + planned.tag;
      return expected_;
    }
    const auto prompt = PromptOf(mix, planned);
    json body = {{"model", load_.model},
                 {"max_tokens", load_.max_tokens},
                 {"user", planned.tag}};
    if (planned.kind == PlannedKind::kChatStream) {
      body["stream"] = true;
      body["messages"] = json::array({{{"role", "user"}, {"content", prompt}}});
      expected_ = standin::AnswerText(ChatPrompt(prompt), load_.max_tokens);
    } else {
      body["prompt"] = prompt;
      expected_ = standin::AnswerText(prompt, load_.max_tokens);
    }
    return body.dump();
  }

  std::string UrlOf(const Mix& mix, const PlannedRequest& planned) const {
    const auto entry = ToString(mix.entries[planned.entry]);
    switch (planned.kind) {
      case PlannedKind::kChatStream:
        return fmt::format("http://{}/v1/chat/completions", entry);
      case PlannedKind::kCompletion:
        return fmt::format("http://{}/v1/completions", entry);
      case PlannedKind::kService:
        break;
    }
    return fmt::format("http://{}{}?tag={}", entry, load_.service_path,
                       planned.tag);
  }

  void SetUp(const Mix& mix, const PlannedRequest& planned) {
    const bool service = planned.kind == PlannedKind::kService;
    AddHeader("Expect:");
    AddHeader("Content-Type: application/json");
    if (!load_.key.empty()) {
      AddHeader("Authorization: Bearer " + load_.key);
    }
    if (service && load_.service_method == "POST") {
      AddHeader("Idempotency-Key: " + planned.tag);
    }
    curl_easy_setopt(easy_, CURLOPT_URL, UrlOf(mix, planned).c_str());
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, body_.c_str());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body_.size()));
    if (service) {
      curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST,
                       load_.service_method.c_str());
    }
    curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &OnBody);
  }

  void AddHeader(const std::string& line) {
    headers_ = curl_slist_append(headers_, line.c_str());
  }

  int Status() const {
    long status = 0;
    curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
  }

  static std::size_t OnBody(char* data,
                            std::size_t size,
                            std::size_t n,
                            void* cls) {
    auto* self = static_cast<Transfer*>(cls);
    if (self->check_.AddBytes(self->Status(), {data, size * n})) {
      self->sample_->first_text = SystemClock().Now() - self->scheduled_;
    }
    return size * n;
  }

  const OrganisationLoad& load_;
  const Instant scheduled_;
  RequestSample* const sample_;
  // Declared before body_ and check_: the initialiser of body_ sets it and that
  // of check_ reads it.
  std::string expected_;
  const std::string body_;
  AnswerCheck check_;
  CURL* easy_;
  curl_slist* headers_ = nullptr;
};

class LoadLoop {
 public:
  LoadLoop(const Mix& mix, const std::vector<PlannedRequest>& schedule)
      : mix_(mix),
        schedule_(schedule),
        samples_(schedule.size()),
        multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }
  ~LoadLoop() { curl_multi_cleanup(multi_); }
  LoadLoop(const LoadLoop&) = delete;
  LoadLoop& operator=(const LoadLoop&) = delete;

  std::vector<RequestSample> Run() {
    start_ = SystemClock().Now();
    while (next_ < schedule_.size() || !transfers_.empty()) {
      StartDueRequests();
      int running = 0;
      curl_multi_perform(multi_, &running);
      FinishCompletedTransfers();
      if (SystemClock().Now() > start_ + mix_.duration + mix_.drain) {
        TimeOutOpenTransfers();
        break;
      }
      Poll();
    }
    return std::move(samples_);
  }

 private:
  void StartDueRequests() {
    auto now = SystemClock().Now();
    while (next_ < schedule_.size() && start_ + schedule_[next_].at <= now) {
      const auto& planned = schedule_[next_];
      auto transfer = std::make_unique<Transfer>(
          mix_, planned, start_ + planned.at, &samples_[next_]);
      ++next_;
      now = SystemClock().Now();
      transfer->MarkSent(now);
      curl_multi_add_handle(multi_, transfer->easy());
      transfers_.push_back(std::move(transfer));
    }
  }

  void FinishCompletedTransfers() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const auto code = message->data.result;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      transfer->Finish(code, SystemClock().Now());
      Close(transfer);
    }
  }

  void Close(Transfer* transfer) {
    curl_multi_remove_handle(multi_, transfer->easy());
    const auto it = std::find_if(
        transfers_.begin(), transfers_.end(),
        [transfer](const auto& entry) { return entry.get() == transfer; });
    *it = std::move(transfers_.back());
    transfers_.pop_back();
  }

  void TimeOutOpenTransfers() {
    while (!transfers_.empty()) {
      auto* transfer = transfers_.back().get();
      transfer->TimeOut(SystemClock().Now());
      curl_multi_remove_handle(multi_, transfer->easy());
      transfers_.pop_back();
    }
  }

  // Waits for network activity, but not beyond the scheduled time of the next
  // request.
  void Poll() {
    Duration poll_timeout = kMaxPollTimeout;
    if (next_ < schedule_.size()) {
      const auto due = start_ + schedule_[next_].at;
      poll_timeout = std::min(poll_timeout, due - SystemClock().Now());
    }
    const auto timeout_ms =
        std::chrono::floor<milliseconds>(poll_timeout).count();
    curl_multi_poll(multi_, nullptr, 0,
                    static_cast<int>(std::max<std::int64_t>(0, timeout_ms)),
                    nullptr);
  }

  const Mix& mix_;
  const std::vector<PlannedRequest>& schedule_;
  std::vector<RequestSample> samples_;  // in the order of schedule_
  CURLM* multi_;
  Instant start_;
  std::size_t next_ = 0;  // index of the first request that is not yet sent
  std::vector<std::unique_ptr<Transfer>> transfers_;
};

}  // namespace internal

namespace {

// Injects the planned faults at their times. Runs on a separate thread, because
// it sleeps between them.
void InjectFaults(const std::vector<PlannedFault>& faults) {
  const auto start = SystemClock().Now();
  auto sorted = faults;
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const auto& left, const auto& right) { return left.at < right.at; });
  for (const auto& it : sorted) {
    const auto wait = start + it.at - SystemClock().Now();
    if (wait > Duration::zero()) {
      std::this_thread::sleep_for(wait);
    }
    standin::HttpCall call;
    call.method = "POST";
    call.address = it.endpoint;
    call.path = "/fault";
    call.body = it.body;
    const auto answer = standin::PerformCall(call);
    if (answer.status != 200) {
      fmt::print(stderr,
                 "load: endpoint {} did not accept the fault: status {}\n",
                 ToString(it.endpoint), answer.status);
    }
  }
}

}  // namespace

std::vector<RequestSample> RunSchedule(
    const Mix& mix,
    const std::vector<PlannedRequest>& schedule) {
  std::unique_ptr<DutyThread> faults;
  if (!mix.faults.empty()) {
    auto thread =
        DutyThread::Start("faults", [&mix] { InjectFaults(mix.faults); });
    if (!thread.ok()) {
      fmt::print(stderr, "load: cannot start the fault thread: {}\n",
                 thread.error().message);
    } else {
      faults = std::move(thread.value());
    }
  }
  return internal::LoadLoop(mix, schedule).Run();
}

}  // namespace baobabrun::load
