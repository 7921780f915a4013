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
#include <vector>

#include "callers/http_exchange.h"
#include "gateway/call.h"
#include "gateway/dialect.h"
#include "gateway/event_cutter.h"
#include "relay/relay_client.h"

namespace baobabrun {

// These are called on the relay client's thread.
struct CallSessionHooks {
  std::function<void(RequestId request, AttemptId attempt)> on_progress;
  std::function<void(SendEnd end)> on_end;
};

class CallSession : public std::enable_shared_from_this<CallSession> {
 public:
  // `dialect` and `leaving` must outlive the session. While `leaving` is set,
  // answers close their connection.
  CallSession(RequestId request,
              HttpExchangePtr exchange,
              const Dialect& dialect,
              const std::atomic<bool>& leaving,
              CallSessionHooks hooks);

  // Returns hooks that handle the answer to `send`.
  RelayHooks HooksFor(const EndpointSend& send);
  // The id of the newest attempt; zero if there was none.
  AttemptId attempt() const { return AttemptId(attempt_); }

  // Each of these ends the answer. An answer that has begun is cut off.
  void Refuse(const Refusal& refusal);
  void DeliverKept();
  void Cut();

 private:
  // State of one attempt; accessed on the relay client's thread only.
  struct Sending {
    EndpointSend send;
    AnswerHead head;
    int status = 0;
    bool success = false;
    bool unusable = false;  // for another call, unsigned or malformed
    std::vector<Header> headers;
    std::string body;  // of an answer that is kept until it is complete
    EventCutter cutter;
    Instant next_progress;
    std::optional<Instant> first_event;
    Instant newest_event;
    Duration longest_pause{};
  };
  using SendingPtr = std::shared_ptr<Sending>;

  bool OnHead(Sending& sending, int status, const std::vector<Header>& headers);
  RelayHooks::Body OnBody(Sending& sending, std::string_view bytes);
  RelayHooks::Body OnEvents(Sending& sending, std::string_view bytes);
  void OnEnd(Sending& sending, const RelayEnd& end);
  SendOutcome OutcomeOf(const Sending& sending, const RelayEnd& end) const;
  void Complete(Sending& sending);
  bool IsRepeated(const Sending& sending, const WholeEvent& event) const;
  void Begin(const Sending& sending);
  std::vector<Header> HeadersFor(const Sending& sending) const;

  const RequestId request_;
  const HttpExchangePtr exchange_;
  const Dialect& dialect_;
  const std::atomic<bool>& leaving_;
  const CallSessionHooks hooks_;
  std::atomic<std::uint64_t> attempt_{0};

  // The next two are accessed on the relay client's thread only.
  bool begun_ = false;
  std::string last_event_;

  std::mutex mutex_;  // guards the next one
  SendingPtr kept_;   // a failure that the gateway may deliver
};
using CallSessionPtr = std::shared_ptr<CallSession>;

}  // namespace baobabrun

#endif  // GATEWAY_CALL_SESSION_H_
