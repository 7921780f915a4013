// Rates, bursts and concurrency of all contracts on one VM. Decides about each
// request and trades shares with the other VMs; see docs/LIMITS.md for the
// rules and why they keep every contract over the whole fleet.
//
// Every VM of the fleet must be given the same list of VMs. A VM is added to
// every list before it first starts, and taken off the lists only after it has
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
  std::vector<LimitsMember> fleet;  // every configured VM, with self
  std::int64_t clock_drift_ppm = 200;
  std::uint64_t seed = 0;  // must differ in each life of the process
  // How long a loan lasts without being renewed.
  Duration lease = seconds(1);
  // The longest a request waits for tokens before it is refused.
  Duration max_wait = seconds(2);
  // An ask that a peer hasn't answered for so long has failed.
  Duration gather_timeout = milliseconds(100);
};

// What a request takes before it may run.
struct Charge {
  RequestId request;
  OrganisationId organisation;
  std::int64_t tokens = 0;        // prompt estimate and max_tokens
  bool service_call = false;      // counts as one request and no tokens
  std::int64_t prompt_bytes = 0;  // corrects the prompt estimate; 0: unknown
};

enum class Admission { kAdmitted, kWaiting, kRefused };

struct Decision {
  RequestId request;
  Admission admission = Admission::kAdmitted;
  RefusalReason reason = RefusalReason::kInternal;  // if refused
  Duration retry_after{};  // if refused; zero: coming back doesn't help
};

// Counts since start.
struct LimiterCounts {
  std::uint64_t admitted = 0;
  std::uint64_t waited = 0;
  std::uint64_t refused = 0;
  std::uint64_t malformed = 0;  // payloads dropped
};

class Limiter {
 public:
  // Errors: LimitsError.
  static Result<std::unique_ptr<Limiter>> Create(LimiterOptions options);
  ~Limiter();
  Limiter(const Limiter&) = delete;
  Limiter& operator=(const Limiter&) = delete;

  // Puts the contracts of `state` in force; older states are ignored.
  void SetState(FleetStatePtr state, Instant now);
  // The VMs that can be reached now. Shares don't depend on the leader.
  void SetMembers(std::vector<LimitsMember> alive,
                  const std::optional<VmId>& leader,
                  Instant now);

  // An answer of kWaiting is followed by another in TakeDecisions().
  Decision Admit(const Charge& charge, Instant deadline, Instant now);
  // Gives up a waiting or running request; what it didn't use comes back.
  void Abandon(RequestId request, Instant now);
  // A running request has generated so many tokens by now.
  void Spend(RequestId request, std::int64_t tokens_so_far, Instant now);
  // Ends a running request with what it used; 0 prompt tokens: as estimated.
  void Finish(RequestId request,
              std::int64_t prompt_tokens,
              std::int64_t completion_tokens,
              Instant now);
  // Tokens to charge for a prompt of `bytes`.
  std::int64_t EstimatePrompt(const OrganisationId& organisation,
                              std::int64_t bytes) const;

  // A payload of PeerTopic::kLimits.
  void Receive(const VmId& from, std::string_view payload, Instant now);
  void Advance(Instant now);
  std::optional<Instant> NextEvent() const;
  std::vector<PeerMessage> TakeMessages();
  std::vector<Decision> TakeDecisions();
  const LimiterCounts& counts() const;

  // The rate in force here for an organisation's tokens, micro-tokens a second,
  // and its bound and level in micro-tokens. For status pages and tests.
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
