// Calls that may not be repeated and carry an Idempotency-Key: each is recorded
// in the control log before it is handed to an endpoint, and its outcome after.
// The same key again gets the stored answer, "still running" or "outcome
// unknown", from every VM.
//
// Only the VM whose record was committed hands the call over, and it does so
// once. A call without a key has no place here: it is sent once and never
// retried.
//
// No clock, thread or socket. Used by the decision thread only.
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
  // Drawn at process start; attempts are numbered from here.
  std::uint64_t first_attempt = 1;
  // A larger answer is recorded without its body.
  std::size_t max_stored_body = 64 << 10;
  // How long the log may take to record that a call begins.
  Duration begin_time = seconds(3);
  // Between two tries to record an outcome.
  Duration end_interval = seconds(1);
  // Calls kept whose records are not complete; the oldest give way.
  std::size_t max_kept = 10'000;
};

// A call that is about to be handed over.
struct OnceCall {
  RequestId request;
  OrganisationId organisation;
  std::string key;
  std::uint64_t fingerprint = 0;
  Instant deadline;
};
// Of what makes two calls the same one: method, path, query and body.
std::uint64_t OnceFingerprint(const CallerRequest& request);

// How a call ended on this VM.
struct OnceOutcome {
  // Whether any byte was handed to an endpoint.
  bool handed_over = false;
  // Whether a whole answer came; then the rest is set.
  bool answered = false;
  std::int32_t status = 0;
  std::string content_type;
  std::string body;
};

// Proposes `proposal` to the log; its result goes to OnBegun or OnRecorded.
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
// The call may be handed to an endpoint now. It is over with OnEnded.
struct HandOver {
  RequestId request;
};
// The call is over with this refusal.
struct RefuseOnce {
  RequestId request;
  Refusal refusal;
};
// The call is over with the answer of an earlier one. `stored.body_stored` is
// false if that answer was too large to be kept.
struct AnswerStored {
  RequestId request;
  OnceEnd stored;
};
using OnceAction =
    std::variant<ProposeBegin, ProposeEnd, HandOver, RefuseOnce, AnswerStored>;

class OnceGuard {
 public:
  explicit OnceGuard(OnceGuardOptions options);

  // Call when nothing else holds `call` back: its tokens are taken and an
  // endpoint is there.
  void Begin(const OnceCall& call, Instant now);
  void OnBegun(RequestId request, const ProposalResult& result);
  // Call for each HandOver, whether or not anything was sent.
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
    bool handed_over = false;  // HandOver was given out
  };
  // A call whose begin may have been recorded, and which this VM never handed
  // over: it may still go on under the same attempt.
  struct Undecided {
    std::uint64_t fingerprint = 0;
    std::uint64_t attempt = 0;
  };
  struct Unrecorded {
    OnceEnd end;
    std::uint64_t fingerprint = 0;
    Instant next_try;
  };

  bool AnswerFromHere(const OnceCall& call);
  std::uint64_t AttemptFor(const OnceCall& call);
  void KeepUndecided(const OpenCall& open);
  void Record(const OnceCall& call, const OnceOutcome& outcome, Instant now);
  void Refuse(RequestId request,
              RefusalReason reason,
              bool not_run,
              std::string message);

  const OnceGuardOptions options_;
  std::uint64_t next_attempt_;
  std::uint64_t next_record_ = 1;
  std::map<RequestId, OpenCall> open_;
  std::map<Key, RequestId> by_key_;                 // of open_, one call a key
  std::map<Key, Undecided> undecided_;              // keys of undecided_order_
  std::deque<Key> undecided_order_;                 // oldest first
  std::map<std::uint64_t, Unrecorded> unrecorded_;  // oldest first
  std::vector<OnceAction> actions_;
};

}  // namespace baobabrun

#endif  // ONCE_ONCE_GUARD_H_
