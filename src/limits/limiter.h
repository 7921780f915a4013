// Enforces the rate, burst and concurrency limits of all contracts on one VM.
// Decides on each request, and lends and borrows parts of shares among VMs.
// docs/LIMITS.md has the rules and why they keep every contract over the whole
// fleet.
//
// Every VM must be configured with the same list of VMs. A VM is added to every
// list before it first starts, and removed from the lists only after it has
// stopped for good.
#ifndef LIMITS_LIMITER_H_
#define LIMITS_LIMITER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <system_error>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "membership/peer_message.h"
#include "requests/refusal.h"
#include "settings/declarations.h"

namespace baobabrun {

enum class LimitsError { kNotInFleet = 1, kDrift, kLease };
std::error_code make_error_code(LimitsError error);

struct LimitsMember {
  VmId vm;
  ZoneId zone;
};

struct LimiterOptions {
  VmId self;
  std::vector<LimitsMember> fleet;  // every configured VM, including `self`
  std::int64_t clock_drift_ppm = 200;
  std::uint64_t seed = 0;  // must differ in each incarnation of the process
  // Duration of a loan that isn't renewed.
  Duration lease = seconds(1);
  // The longest time that a request waits for tokens before it is refused.
  Duration max_wait = seconds(2);
  // An ask that a peer hasn't answered for this long has failed.
  Duration ask_timeout = milliseconds(100);
};

// What a request must be granted before it may run.
struct Charge {
  RequestId request;
  OrganisationId organisation;
  std::int64_t tokens = 0;    // prompt estimate and max_tokens
  bool service_call = false;  // counts as one request and no tokens
  // Corrects the prompt estimate when the request ends; 0 if unknown.
  std::int64_t prompt_bytes = 0;
};

enum class Admission { kAdmitted, kWaiting, kRefused };

struct Decision {
  RequestId request;
  Admission admission = Admission::kAdmitted;
  RefusalReason reason = RefusalReason::kInternal;  // if refused
  Duration retry_after{};  // if refused; zero if a retry can't succeed
};

// Counts since start.
struct LimiterCounts {
  std::uint64_t admitted = 0;
  std::uint64_t waited = 0;
  std::uint64_t refused = 0;
  std::uint64_t malformed = 0;  // malformed payloads, which are dropped
};

class Limiter {
 public:
  // Errors: LimitsError.
  static Result<std::unique_ptr<Limiter>> Create(LimiterOptions options);
  ~Limiter();
  Limiter(const Limiter&) = delete;
  Limiter& operator=(const Limiter&) = delete;

  // Applies the contracts of `state`. States older than the last one are
  // ignored.
  void SetState(FleetStatePtr state, Instant now);
  // Sets the VMs that can be reached now. Shares don't depend on the leader.
  void SetMembers(std::vector<LimitsMember> alive,
                  const std::optional<VmId>& leader,
                  Instant now);

  // Decides on a request. A result of kWaiting is followed by a final decision
  // in TakeDecisions().
  Decision Admit(const Charge& charge, Instant deadline, Instant now);
  // Cancels a waiting or running request and refunds what it didn't use.
  void Abandon(RequestId request, Instant now);
  // Reports how many tokens a running request has generated so far.
  void Spend(RequestId request, std::int64_t tokens_so_far, Instant now);
  // Ends a running request with the tokens that it used. A prompt with
  // `prompt_tokens` of 0 doesn't correct the prompt estimate.
  void Finish(RequestId request,
              std::int64_t prompt_tokens,
              std::int64_t completion_tokens,
              Instant now);
  // Returns the tokens to charge for a prompt of `bytes`.
  std::int64_t EstimatePrompt(const OrganisationId& organisation,
                              std::int64_t bytes) const;

  // Handles a payload of PeerTopic::kLimits.
  void Receive(const VmId& from, std::string_view payload, Instant now);
  void Advance(Instant now);
  std::optional<Instant> NextEvent() const;
  std::vector<PeerMessage> TakeMessages();
  std::vector<Decision> TakeDecisions();
  const LimiterCounts& counts() const;

  // The rate in force on this VM for an organisation's tokens in micro-tokens a
  // second, and the bound and level in micro-tokens. For status pages and
  // tests.
  struct ShareView {
    std::int64_t rate = 0;
    std::int64_t capacity = 0;
    std::int64_t level = 0;
  };
  ShareView View(const OrganisationId& organisation) const;

 private:
  class Impl;
  explicit Limiter(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace baobabrun

template <>
struct std::is_error_code_enum<baobabrun::LimitsError> : std::true_type {};

#endif  // LIMITS_LIMITER_H_
