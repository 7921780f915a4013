// The connection to the caller during all attempts of one call. It forwards an
// endpoint's answer as it arrives, or keeps it until the gateway has decided.
// Sessions have shared ownership: the gateway's loop holds one reference and
// the hooks of each attempt hold another.
//
// Complete events of a stream are forwarded at once; an incomplete last event
// is never forwarded. An answer that isn't a stream is kept until it is
// complete, so that a broken one can be replaced by that of another attempt.
#ifndef GATEWAY_CALL_SESSION_H_
#define GATEWAY_CALL_SESSION_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "callers/http_exchange.h"
#include "gateway/call.h"
#include "gateway/dialect.h"
#include "gateway/event_assembler.h"
#include "gateway/stream_continuation.h"
#include "relay/relay_client.h"

namespace baobabrun {

// These are called on the relay client's thread.
struct CallSessionHooks {
  std::function<void(const AttemptProgress& progress)> on_progress;
  std::function<void(AttemptResult end)> on_end;
  // Called as soon as the head of an answer has come that asks for something.
  std::function<void(EndpointNotice notice)> on_notice = {};
};

class CallSession : public std::enable_shared_from_this<CallSession> {
 public:
  // `dialect` and `draining` must outlive the session. While `draining` is set,
  // answers close their connection.
  CallSession(RequestId request,
              HttpExchangePtr exchange,
              const Dialect& dialect,
              const std::atomic<bool>& draining,
              CallSessionHooks hooks);

  // Returns hooks that handle the answer to `send`.
  RelayHooks HooksFor(const EndpointAttempt& send);
  // The id of the newest attempt; zero if there was none.
  AttemptId attempt() const { return AttemptId(attempt_); }

  // Each of these ends the answer. An answer that has begun is cut off.
  void Refuse(const Refusal& refusal);
  void DeliverFailure();
  void Abort();

 private:
  // State of one attempt; accessed on the relay client's thread only.
  struct AttemptState {
    explicit AttemptState(const MemoryBudgetPtr& budget)
        : lease(budget, MemoryPart::kAnswers) {}

    EndpointAttempt send;
    AnswerHead head;
    int status = 0;
    bool success = false;
    bool event_stream = false;  // a success that consists of events
    // Its result was reported when its head had come, since the call didn't
    // run. The rest is read so that the connection can be reused.
    bool reported = false;
    bool reused_connection = false;  // has carried other requests
    // Why the answer can't be used; empty if it can.
    std::string_view unusable_because;
    // An event came of which it can't be told whether the caller has it.
    bool cannot_continue = false;
    std::vector<Header> headers;
    std::size_t dropped_bytes = 0;  // received after `reported` was set
    std::string body;  // of an answer that is kept until it is complete
    EventAssembler events;
    MemoryLease lease;  // covers `body` or the incomplete event
    Instant next_progress;
    bool told_can_resume = true;  // with the last report of progress
    bool any_event = false;       // including events that weren't forwarded
    StreamContinuation::Position position =
        StreamContinuation::Position::kCurrent;
    std::optional<Instant> first_event;
    Instant newest_event;
    Duration longest_pause{};
  };
  using AttemptStatePtr = std::shared_ptr<AttemptState>;

  // Whether an answer can continue the stream of which the caller was sent a
  // part.
  bool ContinuesStream(const AttemptState& state) const;
  std::string_view UnusableBecause(const AttemptState& state) const;
  bool OnHead(AttemptState& state,
              int status,
              const std::vector<Header>& headers);
  RelayHooks::BodyAction OnBody(AttemptState& state, std::string_view bytes);
  RelayHooks::BodyAction OnEvents(AttemptState& state, std::string_view bytes);
  void OnEnd(const AttemptStatePtr& state, const RelayResult& end);
  void Report(const AttemptState& state,
              SendOutcome outcome,
              const RelayResult& end) const;
  SendOutcome OutcomeOf(const AttemptState& state,
                        const RelayResult& end) const;
  // Why an answer whose transfer is complete has been broken off all the same;
  // empty if it hasn't.
  static std::string_view BrokenOffBecause(const AttemptState& state,
                                           const RelayResult& end);
  void Complete(AttemptState& state);
  void Begin(const AttemptState& state);
  std::vector<Header> HeadersFor(const AttemptState& state) const;

  const RequestId request_;
  const HttpExchangePtr exchange_;
  const Dialect& dialect_;
  const std::atomic<bool>& draining_;
  const CallSessionHooks hooks_;
  std::atomic<std::uint64_t> attempt_{0};

  // The next three are accessed on the relay client's thread only.
  bool begun_ = false;
  bool begun_as_document_ = false;  // the caller was sent a part of a document
  int begun_status_ = 0;
  bool begun_typed_ = false;  // the answer states that it consists of events
  StreamContinuation continuation_;

  std::mutex mutex_;      // guards the next one
  AttemptStatePtr kept_;  // a failure that the gateway may deliver
};
using CallSessionPtr = std::shared_ptr<CallSession>;

}  // namespace baobabrun

#endif  // GATEWAY_CALL_SESSION_H_
