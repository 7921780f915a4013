// One organisation's limits on one VM: an account for each limit, the waiting
// requests in order of arrival, and the running requests.
#ifndef LIMITS_ORGANISATION_H_
#define LIMITS_ORGANISATION_H_

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "limits/account.h"
#include "limits/limiter.h"

namespace baobabrun {

// This VM's position in the sorted list of all VMs.
struct FleetPosition {
  std::int64_t index = 0;
  std::int64_t count = 1;
};

class Organisation {
 public:
  Organisation(OrganisationId id,
               FleetPosition fleet_position,
               LendingContext* context);

  const OrganisationId& id() const { return id_; }

  // Until `quarantine`, loans granted by an earlier incarnation of this VM may
  // be outstanding.
  void SetContract(const Contract& contract,
                   std::int64_t drift_ppm,
                   std::optional<Instant> quarantine,
                   Instant now);
  // Refuses all waiting requests and all later ones.
  void RemoveContract(Instant now, std::vector<Decision>* decisions);

  // Appends the decision on this request if it can be made now, and the
  // decisions on other requests that follow from it.
  void Admit(const Charge& charge,
             Instant until,
             Instant now,
             std::vector<Decision>* decisions);
  void Abandon(RequestId request, Instant now);
  void Spend(RequestId request, std::int64_t tokens_so_far, Instant now);
  // Returns the prompt's size in bytes, or 0 if it isn't known.
  std::int64_t Finish(RequestId request,
                      std::int64_t prompt_tokens,
                      std::int64_t completion_tokens,
                      Instant now);

  // Admits and refuses the waiting requests whose outcome is certain by now.
  void Process(Instant now, std::vector<Decision>* decisions);
  void Tick(Instant now, std::vector<Decision>* decisions);
  void OnHello(const VmId& peer, Instant now);
  void EndQuarantine(Instant now);
  std::optional<Instant> NextEvent() const;

  // Returns true if Process may have something to do before the next Tick.
  bool busy() const;

  // Returns the account of a limit, or null if no contract ever had that limit.
  Account* Find(LimitKind kind);
  const Account* Find(LimitKind kind) const;

 private:
  struct WaitingRequest {
    RequestId request;
    Micro amount = 0;  // tokens or requests
    std::int64_t tokens = 0;
    std::int64_t prompt_bytes = 0;
    Instant until;
  };
  struct Running {
    LimitKind kind = LimitKind::kTokens;
    std::int64_t tokens = 0;  // charged
    std::int64_t prompt_bytes = 0;
    // Tokens generated so far, from the last call of Spend.
    std::int64_t spent = 0;
  };
  struct WaitEstimate {
    bool may_improve = false;  // peers may still provide what is missing
    RefusalReason reason = RefusalReason::kRateExceeded;
    Duration wait{};  // zero: as soon as the requests ahead are admitted
  };
  using Queue = std::deque<WaitingRequest>;

  void SetAccount(LimitKind kind,
                  Portion total,
                  std::int64_t drift_ppm,
                  std::optional<Instant> quarantine,
                  Instant now);
  // Returns the account that requests of `kind` are charged to, or null if they
  // aren't limited.
  Account* ChargedAccount(LimitKind kind);
  const Account* ChargedAccount(LimitKind kind) const;
  bool TryAdmit(const WaitingRequest& waiting_request, LimitKind kind);
  void AdmitWaiting(LimitKind kind,
                    Instant now,
                    std::vector<Decision>* decisions);
  void UpdateWaiting();
  void RefuseUnservable(LimitKind kind,
                        Instant now,
                        std::vector<Decision>* decisions);
  WaitEstimate EstimateWait(const WaitingRequest& waiting_request,
                            LimitKind kind,
                            Micro ahead,
                            std::size_t queue_index) const;
  Duration RetryAfter(const WaitEstimate& wait_estimate,
                      const WaitingRequest& waiting_request,
                      LimitKind kind) const;
  Queue& QueueOf(LimitKind kind) {
    return kind == LimitKind::kTokens ? model_calls_ : service_calls_;
  }

  const OrganisationId id_;
  const FleetPosition fleet_position_;
  LendingContext* context_;
  bool removed_ = false;
  bool service_calls_limited_ = false;
  std::array<std::unique_ptr<Account>, kLimitKinds> accounts_;
  Queue model_calls_;    // waiting for tokens and a slot
  Queue service_calls_;  // waiting for a unit of the request limit and a slot
  std::unordered_map<RequestId, Running> running_;
};

}  // namespace baobabrun

#endif  // LIMITS_ORGANISATION_H_
