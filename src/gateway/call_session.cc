// Forwards endpoints' answers to the caller.
#include "gateway/call_session.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/time.h"

namespace baobabrun {
namespace {

constexpr int kSuccessBegin = 200;
constexpr int kSuccessEnd = 300;
// Longer answers are forwarded as they arrive, so the caller sees an endpoint's
// failure as a cut-off answer.
constexpr std::size_t kMostKeptBytes = 1 << 20;
// Progress is reported at most this often.
constexpr Duration kProgressInterval = milliseconds(200);

// Hop-by-hop headers, and the length of the body: these aren't forwarded.
constexpr std::string_view kConnectionHeaders[] = {
    "connection",         "keep-alive", "proxy-connection",
    "proxy-authenticate", "te",         "trailer",
    "transfer-encoding",  "upgrade",    "content-length",
};

bool ConcernsConnection(const Header& header) {
  return std::find(std::begin(kConnectionHeaders), std::end(kConnectionHeaders),
                   header.name) != std::end(kConnectionHeaders);
}

std::uint64_t ToNumber(std::string_view text) {
  std::uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

}  // namespace

CallSession::CallSession(RequestId request,
                         HttpExchangePtr exchange,
                         const Dialect& dialect,
                         const std::atomic<bool>& leaving,
                         CallSessionHooks hooks)
    : request_(request),
      exchange_(std::move(exchange)),
      dialect_(dialect),
      leaving_(leaving),
      hooks_(std::move(hooks)) {}

RelayHooks CallSession::HooksFor(const EndpointSend& send) {
  attempt_ = send.attempt.value();
  auto sending = std::make_shared<Sending>();
  sending->send = send;
  auto self = shared_from_this();
  RelayHooks hooks;
  hooks.on_head = [self, sending](int status,
                                  const std::vector<Header>& headers) {
    return self->OnHead(*sending, status, headers);
  };
  hooks.on_body = [self, sending](std::string_view bytes) {
    return self->OnBody(*sending, bytes);
  };
  hooks.on_end = [self, sending](const RelayEnd& end) {
    {
      const std::lock_guard lock(self->mutex_);
      self->kept_ = sending;
    }
    self->OnEnd(*sending, end);
  };
  return hooks;
}

std::vector<Header> CallSession::HeadersFor(const Sending& sending) const {
  std::vector<Header> headers;
  std::copy_if(sending.headers.begin(), sending.headers.end(),
               std::back_inserter(headers),
               [](const auto& it) { return !ConcernsConnection(it); });
  if (leaving_) {
    headers.push_back({"connection", "close"});
  }
  return headers;
}

void CallSession::Begin(const Sending& sending) {
  if (!begun_) {
    begun_ = true;
    exchange_->Begin(sending.status, HeadersFor(sending));
  }
}

bool CallSession::OnHead(Sending& sending,
                         int status,
                         const std::vector<Header>& headers) {
  sending.head = dialect_.read_answer(sending.send, status, headers);
  sending.status = status;
  sending.headers = headers;
  sending.success = status >= kSuccessBegin && status < kSuccessEnd;
  if (sending.head.not_run &&
      sending.head.owner != AnswerHead::Owner::kOtherCall) {
    return true;
  }
  // The answer belongs to an earlier call, isn't signed by an endpoint, or is a
  // failure after the caller was sent part of a success.
  sending.unusable = sending.head.owner == AnswerHead::Owner::kOtherCall ||
                     !sending.head.genuine || (begun_ && !sending.success);
  if (sending.unusable) {
    return false;
  }
  if (sending.success && sending.send.stream) {
    Begin(sending);
  }
  return true;
}

RelayHooks::Body CallSession::OnBody(Sending& sending, std::string_view bytes) {
  if (sending.head.not_run) {
    return RelayHooks::Body::kGoOn;
  }
  if (sending.success && sending.send.stream) {
    return OnEvents(sending, bytes);
  }
  if (!begun_ && sending.body.size() + bytes.size() <= kMostKeptBytes) {
    sending.body.append(bytes);
    return RelayHooks::Body::kGoOn;
  }
  if (!sending.success) {
    sending.unusable = true;
    return RelayHooks::Body::kBreakOff;
  }
  Begin(sending);
  exchange_->Write(std::exchange(sending.body, {}));
  return exchange_->Write(bytes) ? RelayHooks::Body::kGoOn
                                 : RelayHooks::Body::kPause;
}

// An attempt that resumes a stream may begin with events that the caller
// already has.
bool CallSession::IsRepeated(const Sending& sending,
                             const WholeEvent& event) const {
  return !sending.send.resume_after.empty() && !event.id.empty() &&
         !last_event_.empty() && ToNumber(event.id) <= ToNumber(last_event_);
}

RelayHooks::Body CallSession::OnEvents(Sending& sending,
                                       std::string_view bytes) {
  bool go_on = true;
  bool passed = false;
  for (const auto& it : sending.cutter.Push(bytes)) {
    if (IsRepeated(sending, it)) {
      continue;
    }
    go_on = exchange_->Write(it.bytes);
    passed = true;
    if (!it.id.empty()) {
      last_event_ = it.id;
    }
  }
  const auto now = SystemClock().Now();
  if (passed) {
    if (sending.first_event) {
      sending.longest_pause =
          std::max(sending.longest_pause, Duration(now - sending.newest_event));
    }
    sending.first_event = sending.first_event.value_or(now);
    sending.newest_event = now;
  }
  if (passed && now >= sending.next_progress) {
    sending.next_progress = now + kProgressInterval;
    hooks_.on_progress(request_, sending.send.attempt);
  }
  return go_on ? RelayHooks::Body::kGoOn : RelayHooks::Body::kPause;
}

SendOutcome CallSession::OutcomeOf(const Sending& sending,
                                   const RelayEnd& end) const {
  if (sending.head.not_run && !sending.unusable) {
    return sending.head.wrong_endpoint ? SendOutcome::kWrongEndpoint
                                       : SendOutcome::kNotRun;
  }
  if (sending.unusable) {
    return SendOutcome::kBroken;
  }
  switch (end.outcome) {
    case RelayOutcome::kComplete:
      return sending.success ? SendOutcome::kAnswered : SendOutcome::kFailure;
    case RelayOutcome::kNotSent:
      return SendOutcome::kNotSent;
    case RelayOutcome::kSilent:
      return SendOutcome::kSilent;
    case RelayOutcome::kCancelled:
      return SendOutcome::kCancelled;
    case RelayOutcome::kBroken:
      break;
  }
  return SendOutcome::kBroken;
}

void CallSession::Complete(Sending& sending) {
  if (begun_) {
    exchange_->Write(sending.cutter.rest());
    exchange_->End(true);
    return;
  }
  exchange_->Respond(sending.status, HeadersFor(sending),
                     std::move(sending.body));
}

void CallSession::OnEnd(Sending& sending, const RelayEnd& end) {
  SendEnd out;
  out.request = request_;
  out.attempt = sending.send.attempt;
  out.outcome = OutcomeOf(sending, end);
  out.status = sending.status;
  out.weights = sending.head.weights;
  out.detail = end.detail;
  if (out.outcome == SendOutcome::kAnswered) {
    Complete(sending);
  }
  out.begun = begun_;
  out.last_event = last_event_;
  out.first_event = sending.first_event;
  out.longest_pause = sending.longest_pause;
  hooks_.on_end(std::move(out));
}

void CallSession::Refuse(const Refusal& refusal) {
  dialect_.write_refusal(*exchange_, refusal);
  // Does nothing if the refusal was sent.
  Cut();
}

void CallSession::DeliverKept() {
  SendingPtr kept;
  {
    const std::lock_guard lock(mutex_);
    kept = std::move(kept_);
  }
  if (kept != nullptr) {
    exchange_->Respond(kept->status, HeadersFor(*kept), std::move(kept->body));
  }
  Cut();
}

void CallSession::Cut() {
  exchange_->End(false);
}

}  // namespace baobabrun
