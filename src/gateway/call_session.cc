// Forwards endpoints' answers to the caller.
#include "gateway/call_session.h"

#include <algorithm>
#include <utility>

#include "base/time.h"
#include "endpoints/http_header.h"

namespace baobabrun {
namespace {

constexpr int kSuccessBegin = 200;
constexpr int kSuccessEnd = 300;
// Longer answers are forwarded as they arrive, so the caller sees an endpoint's
// failure as a cut-off answer.
constexpr std::size_t kMaxKeptBytes = 1 << 20;
// An incomplete event of this size needs no memory of the budget, so that
// streams go on when slow readers have taken it all.
constexpr std::size_t kFreeEventBytes = 16 * 1024;
// What is read of the rest of an answer so that its connection can be reused.
constexpr std::size_t kMaxDroppedBytes = 64 * 1024;
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

const std::string* Find(const std::vector<Header>& headers,
                        std::string_view name) {
  const auto it =
      std::find_if(headers.begin(), headers.end(),
                   [name](const auto& it) { return it.name == name; });
  return it == headers.end() ? nullptr : &it->value;
}

bool StatesEventStream(const std::vector<Header>& headers) {
  constexpr std::string_view kEventStream = "text/event-stream";
  const auto* type = Find(headers, "content-type");
  return type != nullptr && LowerCase(*type).starts_with(kEventStream);
}

// A success on a route for streams may also be a single document.
bool MayBeEventStream(const std::vector<Header>& headers) {
  return Find(headers, "content-type") == nullptr || StatesEventStream(headers);
}

}  // namespace

CallSession::CallSession(RequestId request,
                         HttpExchangePtr exchange,
                         const Dialect& dialect,
                         const std::atomic<bool>& draining,
                         CallSessionHooks hooks)
    : request_(request),
      exchange_(std::move(exchange)),
      dialect_(dialect),
      draining_(draining),
      hooks_(std::move(hooks)) {}

RelayHooks CallSession::HooksFor(const EndpointAttempt& send) {
  attempt_ = send.attempt.value();
  auto state = std::make_shared<AttemptState>(exchange_->budget());
  state->send = send;
  auto self = shared_from_this();
  RelayHooks hooks;
  hooks.on_connected = [state](bool reused) {
    state->reused_connection = reused;
  };
  hooks.on_head = [self, state](int status,
                                const std::vector<Header>& headers) {
    return self->OnHead(*state, status, headers);
  };
  hooks.on_body = [self, state](std::string_view bytes) {
    return self->OnBody(*state, bytes);
  };
  hooks.on_end = [self, state](const RelayResult& end) {
    self->OnEnd(state, end);
  };
  return hooks;
}

std::vector<Header> CallSession::HeadersFor(const AttemptState& state) const {
  std::vector<Header> headers;
  std::copy_if(state.headers.begin(), state.headers.end(),
               std::back_inserter(headers),
               [](const auto& it) { return !ConcernsConnection(it); });
  if (draining_) {
    headers.push_back({"connection", "close"});
  }
  return headers;
}

void CallSession::Begin(const AttemptState& state) {
  if (!begun_) {
    begun_ = true;
    begun_as_document_ = !state.event_stream;
    begun_status_ = state.status;
    begun_typed_ = StatesEventStream(state.headers);
    exchange_->Begin(state.status, HeadersFor(state));
  }
}

bool CallSession::ContinuesStream(const AttemptState& state) const {
  return !begun_as_document_ && state.event_stream &&
         state.status == begun_status_ &&
         StatesEventStream(state.headers) == begun_typed_ &&
         Find(state.headers, "content-encoding") == nullptr;
}

// An earlier answer on the same connection may come once more. The call's id
// tells it from the answer to this attempt. Without an id, an answer can be
// attributed only if no other request was sent on its connection.
std::string_view CallSession::UnusableBecause(const AttemptState& state) const {
  switch (state.head.owner) {
    case AnswerHead::Owner::kOtherCall:
      return "the answer belongs to another call";
    case AnswerHead::Owner::kUnknown:
      if (state.reused_connection) {
        return "an answer without an id came on a reused connection";
      }
      break;
    case AnswerHead::Owner::kThisCall:
      break;
  }
  if (state.head.not_run) {
    return {};
  }
  if (!state.head.signed_by_endpoint) {
    return "the answer isn't signed by an endpoint";
  }
  if (begun_ && !ContinuesStream(state)) {
    return "the answer doesn't continue what the caller was sent";
  }
  return {};
}

bool CallSession::OnHead(AttemptState& state,
                         int status,
                         const std::vector<Header>& headers) {
  state.head = dialect_.read_answer(state.send, status, headers);
  // The answer to another call may be old.
  if (state.head.owner != AnswerHead::Owner::kOtherCall &&
      state.head.notice != AnswerNotice() && hooks_.on_notice) {
    hooks_.on_notice(
        {state.send.endpoint, state.send.incarnation, state.head.notice});
  }
  state.status = status;
  state.headers = headers;
  state.success = status >= kSuccessBegin && status < kSuccessEnd;
  state.event_stream =
      state.success && state.send.stream && MayBeEventStream(headers);
  state.unusable_because = UnusableBecause(state);
  if (!state.unusable_because.empty()) {
    return false;
  }
  if (state.head.not_run) {
    state.reported = true;
    Report(state,
           state.head.wrong_endpoint ? SendOutcome::kWrongEndpoint
                                     : SendOutcome::kNotRun,
           RelayResult());
    return true;
  }
  if (state.event_stream) {
    state.position = continuation_.Begin();
    Begin(state);
  }
  return true;
}

RelayHooks::BodyAction CallSession::OnBody(AttemptState& state,
                                           std::string_view bytes) {
  if (state.reported) {
    state.dropped_bytes += bytes.size();
    return state.dropped_bytes <= kMaxDroppedBytes
               ? RelayHooks::BodyAction::kContinue
               : RelayHooks::BodyAction::kAbort;
  }
  if (state.event_stream) {
    return OnEvents(state, bytes);
  }
  if (!begun_ && state.body.size() + bytes.size() <= kMaxKeptBytes &&
      state.lease.Grow(bytes.size())) {
    state.body.append(bytes);
    return RelayHooks::BodyAction::kContinue;
  }
  if (!state.success) {
    state.unusable_because = "the failure is too long";
    return RelayHooks::BodyAction::kAbort;
  }
  Begin(state);
  state.lease.Clear();
  exchange_->Write(std::exchange(state.body, {}));
  return exchange_->Write(bytes) ? RelayHooks::BodyAction::kContinue
                                 : RelayHooks::BodyAction::kPause;
}

RelayHooks::BodyAction CallSession::OnEvents(AttemptState& state,
                                             std::string_view bytes) {
  bool go_on = true;
  bool passed = false;
  for (const auto& it : state.events.Push(bytes)) {
    state.any_event |= it.has_field;
    const auto verdict = continuation_.Judge(it, &state.position);
    if (verdict == StreamContinuation::Verdict::kSkip) {
      continue;
    }
    if (verdict == StreamContinuation::Verdict::kCannotContinue) {
      state.cannot_continue = true;
      state.unusable_because = "it can't be told where the stream goes on";
      return RelayHooks::BodyAction::kAbort;
    }
    go_on = exchange_->Write(it.bytes);
    // Comments are no progress: an endpoint that sends nothing else is stalled.
    passed |= it.has_field;
  }
  if (state.events.overflowed()) {
    state.unusable_because = "an event is too long";
    return RelayHooks::BodyAction::kAbort;
  }
  const auto rest = state.events.rest().size();
  if (rest > kFreeEventBytes && !state.lease.Resize(rest)) {
    state.unusable_because = "there is no memory for an event";
    return RelayHooks::BodyAction::kAbort;
  }
  const auto now = SystemClock().Now();
  if (passed) {
    if (state.first_event) {
      state.longest_pause =
          std::max(state.longest_pause, Duration(now - state.newest_event));
    }
    state.first_event = state.first_event.value_or(now);
    state.newest_event = now;
  }
  const bool can_resume = continuation_.can_resume();
  if (passed &&
      (now >= state.next_progress || can_resume != state.told_can_resume)) {
    state.next_progress = now + kProgressInterval;
    state.told_can_resume = can_resume;
    hooks_.on_progress({request_, state.send.attempt, can_resume});
  }
  return go_on ? RelayHooks::BodyAction::kContinue
               : RelayHooks::BodyAction::kPause;
}

// The end of a transfer doesn't show that a stream is whole: an endpoint may
// stop inside an event. If only the end of the connection marks the end of the
// body, a stream without any event can't be told from one that broke off
// before its first.
std::string_view CallSession::BrokenOffBecause(const AttemptState& state,
                                               const RelayResult& end) {
  if (!state.event_stream) {
    return {};
  }
  if (state.events.inside_event()) {
    return "the stream ended inside an event";
  }
  if (state.position == StreamContinuation::Position::kBehind) {
    return "the resumed stream ended before the event that it had to follow";
  }
  if (!state.any_event && end.framing == BodyFraming::kConnection) {
    return "the stream ended before its first event";
  }
  return {};
}

SendOutcome CallSession::OutcomeOf(const AttemptState& state,
                                   const RelayResult& end) const {
  if (!state.unusable_because.empty()) {
    return SendOutcome::kBroken;
  }
  switch (end.outcome) {
    case RelayOutcome::kComplete:
      if (!state.success) {
        return SendOutcome::kFailure;
      }
      return BrokenOffBecause(state, end).empty() ? SendOutcome::kAnswered
                                                  : SendOutcome::kBroken;
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

void CallSession::Complete(AttemptState& state) {
  if (begun_) {
    exchange_->Write(state.events.rest());
    exchange_->End(true);
    return;
  }
  exchange_->Respond(state.status, HeadersFor(state), std::move(state.body));
}

void CallSession::OnEnd(const AttemptStatePtr& state, const RelayResult& end) {
  if (state->reported) {
    return;
  }
  const auto outcome = OutcomeOf(*state, end);
  if (outcome == SendOutcome::kAnswered) {
    Complete(*state);
  } else if (outcome == SendOutcome::kFailure) {
    const std::lock_guard lock(mutex_);
    kept_ = state;
  }
  Report(*state, outcome, end);
}

void CallSession::Report(const AttemptState& state,
                         SendOutcome outcome,
                         const RelayResult& end) const {
  AttemptResult out;
  out.request = request_;
  out.attempt = state.send.attempt;
  out.outcome = outcome;
  out.status = state.status;
  out.weights = state.head.weights;
  out.detail = state.unusable_because;
  if (out.detail.empty()) {
    out.detail = end.outcome == RelayOutcome::kComplete
                     ? std::string(BrokenOffBecause(state, end))
                     : end.detail;
  }
  out.framing = end.framing;
  out.body_bytes = end.body_bytes;
  out.local_port = end.local_port;
  out.reused = end.reused;
  out.unfinished_bytes = state.events.rest().size();
  out.begun = begun_;
  out.last_event = continuation_.last_id();
  out.can_resume = !begun_as_document_ && !state.cannot_continue &&
                   continuation_.can_resume();
  out.first_event = state.first_event;
  out.longest_pause = state.longest_pause;
  hooks_.on_end(std::move(out));
}

void CallSession::Refuse(const Refusal& refusal) {
  dialect_.write_refusal(*exchange_, refusal);
  // Does nothing if the refusal was sent.
  Abort();
}

void CallSession::DeliverFailure() {
  AttemptStatePtr kept;
  {
    const std::lock_guard lock(mutex_);
    kept = std::move(kept_);
  }
  if (kept != nullptr) {
    exchange_->Respond(kept->status, HeadersFor(*kept), std::move(kept->body));
  }
  Abort();
}

void CallSession::Abort() {
  exchange_->End(false);
}

}  // namespace baobabrun
