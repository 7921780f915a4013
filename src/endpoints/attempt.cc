// One attempt from its HTTP request to its final report.
#include "endpoints/attempt.h"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include "base/log.h"
#include "endpoints/forward_body.h"

namespace baobabrun::internal {
namespace {

constexpr std::string_view kAttemptHeader = "baobabrun-attempt";
constexpr std::string_view kCachedTokensHeader = "baobabrun-cached-tokens";
constexpr std::string_view kPromptTokensHeader = "baobabrun-prompt-tokens";
constexpr int kFirstClientError = 400;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;
// How long sent data may stay unacknowledged before TCP closes the connection.
constexpr milliseconds kTcpUserTimeout{10'000};

// Only these headers of an answer are forwarded to callers.
constexpr std::string_view kAnswerHeaders[] = {
    "content-type", "cache-control", "etag",
    "location",     "last-modified", "x-request-id",
};

std::int64_t ToNumber(std::string_view text) {
  std::int64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

std::string DeliveredText(const Dispatch& dispatch) {
  return dispatch.delivered == nullptr ? std::string() : *dispatch.delivered;
}

}  // namespace

Attempt::Attempt(Dispatch dispatch,
                 AnswerSink sink,
                 const EndpointClientOptions& options,
                 ConnectionSockets& sockets,
                 std::function<void(AttemptReport)> on_report)
    : dispatch_(std::move(dispatch)),
      sink_(std::move(sink)),
      options_(options),
      on_report_(std::move(on_report)),
      easy_(curl_easy_init()),
      connection_(easy_, sockets, dispatch_.address),
      response_(
          dispatch_.request->caller.method != "HEAD",
          [this] { return connection_.RequestArrived(request_body_.size()); }),
      guard_(dispatch_.delivered_events, DeliveredText(dispatch_)) {
  SetUrl();
  SetRequest();
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, static_cast<Transfer*>(this));
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &Attempt::OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &Attempt::OnBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy_, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  SetConnectionLimits(easy_, options_.connect_timeout, kTcpUserTimeout);
  // If a reused connection breaks before the first byte, libcurl sends the
  // request again by itself. This must not happen to a call that may not be
  // repeated.
  if (dispatch_.fresh_connection || !dispatch_.request->repeatable) {
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
  }
}

Attempt::~Attempt() {
  curl_easy_cleanup(easy_);
  curl_slist_free_all(request_headers_);
}

bool Attempt::is_model_call() const {
  return dispatch_.request->caller.kind != RequestKind::kService;
}

bool Attempt::is_stream() const {
  return is_model_call() && dispatch_.request->caller.call.stream;
}

void Attempt::SetUrl() {
  const auto& caller = dispatch_.request->caller;
  const std::string path =
      dispatch_.resume_of == AttemptId() ? caller.path : "/v1/resume";
  std::string url =
      fmt::format("http://{}{}", ToString(dispatch_.address), path);
  if (!caller.query.empty()) {
    url += "?" + caller.query;
  }
  curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
}

void Attempt::SetRequest() {
  const auto& caller = dispatch_.request->caller;
  if (!is_model_call()) {
    request_body_ = *caller.body;
  } else if (dispatch_.resume_of != AttemptId()) {
    request_body_ = BuildResumeBody(dispatch_);
  } else {
    request_body_ = BuildForwardBody(dispatch_);
  }
  if (caller.method == "HEAD") {
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
  } else if (!request_body_.empty() || caller.method == "POST") {
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request_body_.c_str());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_body_.size()));
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, caller.method.c_str());
  } else {
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, caller.method.c_str());
  }
  if (is_model_call()) {
    AddRequestHeader("content-type: application/json");
  }
  for (const auto& it : caller.headers) {
    if (is_model_call() && it.name == "content-type") {
      continue;
    }
    AddRequestHeader(fmt::format("{}: {}", it.name, it.value));
  }
  AddRequestHeader(
      fmt::format("Baobabrun-Attempt: {}", AttemptText(dispatch_.attempt)));
  AddRequestHeader("Expect:");
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, request_headers_);
}

void Attempt::AddRequestHeader(const std::string& line) {
  request_headers_ = curl_slist_append(request_headers_, line.c_str());
}

std::size_t Attempt::OnHeader(char* data,
                              std::size_t /*size*/,
                              std::size_t n,
                              void* cls) {
  auto* self = static_cast<Attempt*>(cls);
  return self->HandleHeader({data, n}) ? n : 0;
}

std::size_t Attempt::OnBody(char* data,
                            std::size_t /*size*/,
                            std::size_t n,
                            void* cls) {
  auto* self = static_cast<Attempt*>(cls);
  if (self->paused_) {
    return CURL_WRITEFUNC_PAUSE;
  }
  const bool good = self->response_.AddBytes(
      {data, n},
      [self](std::string_view bytes) { return self->HandleBody(bytes); });
  return good ? n : 0;
}

bool Attempt::HandleHeader(std::string_view line) {
  last_byte_ = SystemClock().Now();
  const bool was_complete = response_.head().complete();
  if (!response_.AddLine(line)) {
    return false;
  }
  return was_complete || !response_.head().complete() || HandleHead();
}

bool Attempt::HandleHead() {
  status_ = response_.head().status();
  for (const auto& it : response_.head().headers()) {
    const auto& [name, value] = it;
    if (name == kAttemptHeader) {
      attempt_matched_ = value == AttemptText(dispatch_.attempt);
    } else if (name == kCachedTokensHeader) {
      usage_.cached_tokens = ToNumber(value);
    } else if (name == kPromptTokensHeader) {
      usage_.prompt_tokens = ToNumber(value);
    } else if (name == "content-type") {
      content_type_ = value;
      event_stream_ = value.starts_with("text/event-stream");
    }
    if (std::find(std::begin(kAnswerHeaders), std::end(kAnswerHeaders), name) !=
        std::end(kAnswerHeaders)) {
      answer_headers_.push_back(it);
    }
  }
  wrong_attempt_ = !attempt_matched_;
  return !wrong_attempt_;
}

bool Attempt::HandleBody(std::string_view bytes) {
  last_byte_ = SystemClock().Now();
  if (is_stream() && event_stream_ && status_ < kFirstClientError) {
    return HandleStream(bytes);
  }
  if (!is_model_call() &&
      (answer_begun_ ||
       unstreamed_body_.size() + bytes.size() > options_.max_whole_bytes)) {
    // The answer is too long to collect, so it is forwarded as it arrives. If
    // the connection breaks, the caller receives a truncated answer.
    BeginAnswer();
    body_kept_ = false;
    paused_ = !sink_.write(unstreamed_body_) || paused_;
    unstreamed_body_.clear();
    paused_ = !sink_.write(bytes) || paused_;
    return true;
  }
  if (unstreamed_body_.size() + bytes.size() > options_.max_whole_bytes) {
    return false;
  }
  unstreamed_body_.append(bytes);
  return true;
}

bool Attempt::HandleStream(std::string_view bytes) {
  unforwarded_bytes_ += bytes.size();
  for (const auto& it : splitter_.Push(bytes)) {
    switch (guard_.Accept(it)) {
      case StreamGuard::Verdict::kForward:
        Forward(it, false);
        break;
      case StreamGuard::Verdict::kTerminal:
        Forward(it, true);
        break;
      case StreamGuard::Verdict::kDuplicate:
        break;
      case StreamGuard::Verdict::kInvalid:
        invalid_ = true;
        return false;
    }
  }
  // Nothing that could be forwarded has come for too long.
  const bool endless = unforwarded_bytes_ > options_.max_whole_bytes;
  // What follows the end marker doesn't matter.
  invalid_ = splitter_.overflowed() || (endless && !guard_.complete());
  return !invalid_ && !endless;
}

void Attempt::Forward(const StreamEvent& event, bool terminal) {
  BeginAnswer();
  std::string out;
  if (!terminal) {
    out = fmt::format("id: {}\n", event.id);
  }
  out += fmt::format("data: {}\n\n", event.data);
  paused_ = !sink_.write(out) || paused_;
  unforwarded_bytes_ = 0;
  if (!terminal && event.id % kProgressEvents == 0) {
    ReportWhileRunning(AttemptReport::Kind::kProgress);
  }
}

void Attempt::BeginAnswer() {
  if (answer_begun_) {
    return;
  }
  answer_begun_ = true;
  answer_headers_.push_back({"Baobabrun-Endpoint", dispatch_.endpoint.value()});
  sink_.begin(status_, answer_headers_);
  ReportWhileRunning(AttemptReport::Kind::kFirstByte);
}

void Attempt::ReportWhileRunning(AttemptReport::Kind kind) {
  auto report = Report(AttemptOutcome::kComplete);
  report.kind = kind;
  on_report_(std::move(report));
}

void Attempt::Unpause(Instant now) {
  if (paused_) {
    paused_ = false;
    last_byte_ = now;
    curl_easy_pause(easy_, CURLPAUSE_CONT);
  }
}

bool Attempt::TimedOut(Instant now) const {
  if (paused_) {
    return false;
  }
  const auto limit =
      status_ == 0 ? options_.first_byte_timeout : options_.idle_timeout;
  return now - last_byte_ > limit;
}

AttemptOutcome Attempt::OutcomeOfSuccessStatus() {
  if (is_stream() && event_stream_) {
    return guard_.complete() ? AttemptOutcome::kComplete
                             : AttemptOutcome::kUnusableAnswer;
  }
  // A document, even a whole one, doesn't continue a stream.
  if (dispatch_.delivered_events > 0) {
    return AttemptOutcome::kUnusableAnswer;
  }
  if (is_model_call() && !ReadUsage(unstreamed_body_, &usage_)) {
    return AttemptOutcome::kUnusableAnswer;
  }
  return AttemptOutcome::kComplete;
}

AttemptOutcome Attempt::Outcome(CURLcode code) {
  if (wrong_attempt_) {
    return AttemptOutcome::kWrongAttempt;
  }
  if (invalid_) {
    return AttemptOutcome::kUnusableAnswer;
  }
  // Anything after the end marker is ignored, even a broken connection.
  if (guard_.complete()) {
    return AttemptOutcome::kComplete;
  }
  if (code == CURLE_OK && !response_.AddEnd()) {
    return AttemptOutcome::kUnusableAnswer;
  }
  if (code != CURLE_OK) {
    long sent = 0;
    curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &sent);
    return sent == 0 ? AttemptOutcome::kNotSent
                     : AttemptOutcome::kUnusableAnswer;
  }
  // An engine that has not loaded the model or its weights answers 404 and
  // doesn't run the request.
  const bool lacks_model = is_model_call() && status_ == kNotFound;
  if (status_ == kTooManyRequests || status_ == kServiceUnavailable ||
      lacks_model) {
    return AttemptOutcome::kRefused;
  }
  if (status_ >= kFirstServerError) {
    return AttemptOutcome::kFailed;
  }
  if (status_ >= kFirstClientError) {
    return dispatch_.delivered_events == 0 ? AttemptOutcome::kComplete
                                           : AttemptOutcome::kFailed;
  }
  return OutcomeOfSuccessStatus();
}

void Attempt::Finish(CURLcode code) {
  const auto outcome = Outcome(code);
  if (outcome == AttemptOutcome::kWrongAttempt) {
    Log(Event::kAnswerCrossed,
        "the answer of endpoint {} doesn't carry the id of attempt {}",
        dispatch_.endpoint.value(), AttemptText(dispatch_.attempt));
  }
  if (outcome == AttemptOutcome::kComplete) {
    BeginAnswer();
    if (!unstreamed_body_.empty()) {
      sink_.write(unstreamed_body_);
    }
    sink_.end();
  }
  on_report_(FinalReport(outcome));
}

void Attempt::Abandon(AbortReason reason) {
  on_report_(FinalReport(reason == AbortReason::kTimedOut
                             ? AttemptOutcome::kIdleTimeout
                             : AttemptOutcome::kCancelled));
}

AttemptReport Attempt::Report(AttemptOutcome outcome) const {
  AttemptReport report;
  report.request = dispatch_.request->caller.id;
  report.attempt = dispatch_.attempt;
  report.outcome = outcome;
  report.status = status_;
  report.answer_begun = answer_begun_;
  report.prompt_tokens = std::max(usage_.prompt_tokens, guard_.prompt_tokens());
  report.cached_tokens = std::max(usage_.cached_tokens, guard_.cached_tokens());
  report.completion_tokens =
      is_stream() ? guard_.completion_tokens() : usage_.completion_tokens;
  report.delivered_events = guard_.delivered_events();
  return report;
}

AttemptReport Attempt::FinalReport(AttemptOutcome outcome) const {
  auto report = Report(outcome);
  if (outcome == AttemptOutcome::kComplete &&
      RunsAtMostOnce(*dispatch_.request)) {
    report.answer = std::make_shared<const WholeAnswer>(
        WholeAnswer{status_, content_type_, unstreamed_body_, body_kept_});
  }
  if (is_stream() && outcome != AttemptOutcome::kComplete) {
    report.delivered = std::make_shared<const std::string>(guard_.delivered());
  }
  return report;
}

}  // namespace baobabrun::internal
