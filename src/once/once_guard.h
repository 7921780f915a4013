// Handles calls that must not be repeated and carry an Idempotency-Key. Each
// call is recorded in the control log before it is sent to an endpoint, and its
// outcome is recorded afterwards. A later call with the same key, through any
// VM, gets the stored answer, "still running" or "outcome unknown".
//
// Only the VM whose record was committed sends the call to an endpoint, and it
// does so once. Calls without a key don't use this class: they are sent once
// and never retried.
//
// Uses no clock, thread or socket. Only used on the decision thread.
#ifndef ONCE_ONCE_GUARD_H_
#define ONCE_ONCE_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control/proposal.h"
#include "requests/refusal.h"
#include "requests/request.h"

namespace baobabrun {

struct OnceGuardOptions {
  VmId self;
  // A random number drawn at process start. Attempts are numbered from here.
  std::uint64_t first_attempt = 1;
  // Bytes. A larger answer is recorded without its body.
  std::size_t max_stored_body = 64 << 10;
  // How long the log may take to record the begin of a call.
  Duration begin_timeout = seconds(3);
  // Time between two proposals to record an outcome.
  Duration end_retry_interval = seconds(1);
  // The most calls to keep whose records in the log aren't complete. Above
  // this, the oldest are dropped.
  std::size_t max_unfinished_records = 10'000;
};

// A call that is about to be sent to an endpoint.
struct OnceCall {
  RequestId request;
  OrganisationId organisation;
  std::string key;
  std::uint64_t fingerprint = 0;
  Instant deadline;
};
// Returns a hash of everything that makes two calls the same: method, path,
// query and body.
std::uint64_t OnceFingerprint(const CallerRequest& request);

// How a call ended on this VM.
struct OnceOutcome {
  // Whether any byte was sent to an endpoint.
  bool handed_over = false;
  // Whether a complete answer arrived. The members below are set only then.
  bool answered = false;
  std::int32_t status = 0;
  std::string content_type;
  std::string body;
  bool body_kept = true;  // false if `body` isn't what the caller was sent
};

// Requests to propose `proposal` to the log. The result is passed to OnBegun or
// OnRecorded.
struct ProposeBegin {
  RequestId request;
  Proposal proposal;
  Instant deadline;
};
struct ProposeEnd {
  std::uint64_t record = 0;
  Proposal proposal;
  Instant deadline;
};
// The call may be sent to an endpoint now. OnEnded ends the call.
struct SendToEndpoint {
  RequestId request;
};
// Ends the call with this refusal.
struct RefuseOnce {
  RequestId request;
  Refusal refusal;
};
// Ends the call with the answer to an earlier call. `stored.body_stored` is
// false if that answer was too large to store.
struct ReplayStoredAnswer {
  RequestId request;
  OnceEnd stored;
};
using OnceAction = std::variant<ProposeBegin,
                                ProposeEnd,
                                SendToEndpoint,
                                RefuseOnce,
                                ReplayStoredAnswer>;

class OnceGuard {
 public:
  explicit OnceGuard(OnceGuardOptions options);

  // Starts a call. Call this when nothing else delays the call: its tokens are
  // taken and an endpoint is available.
  void Begin(const OnceCall& call, Instant now);
  void OnBegun(RequestId request, const ProposalResult& result);
  // Call this for each SendToEndpoint, whether or not anything was sent.
  void OnEnded(RequestId request, const OnceOutcome& outcome, Instant now);
  void OnRecorded(std::uint64_t record, const ProposalResult& result);
  // Proposes again the outcomes that aren't recorded yet.
  void Advance(Instant now);

  std::vector<OnceAction> TakeActions() { return std::exchange(actions_, {}); }
  std::size_t open_calls() const { return open_.size(); }
  std::size_t unrecorded() const { return unrecorded_.size(); }

 private:
  using Key = std::pair<OrganisationId, std::string>;
  struct OpenCall {
    OnceCall call;
    std::uint64_t attempt = 0;
    bool handed_over = false;  // SendToEndpoint was returned
  };
  // A call whose begin may have been recorded and that this VM never sent to an
  // endpoint. A later call with the same key may continue under the same
  // attempt number.
  struct Undecided {
    std::uint64_t fingerprint = 0;
    std::uint64_t attempt = 0;
  };
  struct Unrecorded {
    OnceEnd end;
    std::uint64_t fingerprint = 0;
    Instant next_proposal;
  };

  bool AnswerLocally(const OnceCall& call);
  std::uint64_t AttemptFor(const OnceCall& call);
  void RememberUndecided(const OpenCall& open);
  void Record(const OnceCall& call, const OnceOutcome& outcome, Instant now);
  void Refuse(RequestId request,
              RefusalReason reason,
              bool not_run,
              std::string message);

  const OnceGuardOptions options_;
  std::uint64_t next_attempt_;
  std::uint64_t next_record_ = 1;
  std::map<RequestId, OpenCall> open_;
  std::map<Key, RequestId> by_key_;     // the calls in open_; one for each key
  std::map<Key, Undecided> undecided_;  // same keys as undecided_order_
  std::deque<Key> undecided_order_;     // oldest first
  std::map<std::uint64_t, Unrecorded> unrecorded_;  // oldest first
  std::vector<OnceAction> actions_;
};

}  // namespace baobabrun

#endif  // ONCE_ONCE_GUARD_H_
