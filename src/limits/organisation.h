// One organisation's limits on one VM: its accounts, the requests that wait for
// them in order of arrival, and those that run.
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

// This VM's place in the sorted list of all VMs.
struct FleetPlace {
  std::int64_t index = 0;
  std::int64_t count = 1;
};

class Organisation {
 public:
  Organisation(OrganisationId id, FleetPlace place, LendingContext* context);

  const OrganisationId& id() const { return id_; }

  // `quarantine`: until then an earlier life's loans may be outstanding.
  void SetContract(const Contract& contract,
                   std::int64_t drift_ppm,
                   std::optional<Instant> quarantine,
                   Instant now);
  // Refuses everything waiting, and all later requests.
  void RemoveContract(Instant now, std::vector<Decision>* decisions);

  // Appends the decision, if there is one at once, and those it entails.
  void Admit(const Charge& charge,
             Instant until,
             Instant now,
             std::vector<Decision>* decisions);
  void Abandon(RequestId request, Instant now);
  void Spend(RequestId request, std::int64_t tokens_so_far, Instant now);
  // Returns the bytes of the prompt, if known.
  std::int64_t Finish(RequestId request,
                      std::int64_t prompt_tokens,
                      std::int64_t completion_tokens,
                      Instant now);

  // Admits and refuses waiting requests where that is clear by now.
  void Process(Instant now, std::vector<Decision>* decisions);
  void Tick(Instant now, std::vector<Decision>* decisions);
  void OnHello(const VmId& peer, Instant now);
  void EndQuarantine(Instant now);
  std::optional<Instant> NextEvent() const;

  // True if Process may have something to do before the next Tick.
  bool busy() const;

  // The account of a limit, or null if no contract ever had it.
  Account* Find(LimitKind kind);
  const Account* Find(LimitKind kind) const;

 private:
  struct Waiter {
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
    std::int64_t spent = 0;  // last reported by Spend
  };
  struct Prospect {
    bool open = false;  // answers are due that may change it
    RefusalReason reason = RefusalReason::kRateExceeded;
    Duration wait{};  // zero: as soon as those before it
  };
  using Queue = std::deque<Waiter>;

  void SetAccount(LimitKind kind,
                  Portion total,
                  std::int64_t drift_ppm,
                  std::optional<Instant> quarantine,
                  Instant now);
  // The account that a request of `kind` is charged to, or null for none.
  Account* Charged(LimitKind kind);
  const Account* Charged(LimitKind kind) const;
  bool TryRun(const Waiter& waiter, LimitKind kind);
  void Serve(LimitKind kind, Instant now, std::vector<Decision>* decisions);
  void UpdateWaiting();
  void RefuseHopeless(LimitKind kind,
                      Instant now,
                      std::vector<Decision>* decisions);
  Prospect Judge(const Waiter& waiter,
                 LimitKind kind,
                 Micro ahead,
                 std::size_t position) const;
  Duration RetryAfter(const Prospect& prospect,
                      const Waiter& waiter,
                      LimitKind kind) const;
  Queue& QueueOf(LimitKind kind) {
    return kind == LimitKind::kTokens ? calls_ : services_;
  }

  const OrganisationId id_;
  const FleetPlace place_;
  LendingContext* context_;
  bool removed_ = false;
  bool services_limited_ = false;
  std::array<std::unique_ptr<Account>, kLimitKinds> accounts_;
  Queue calls_;     // wait for tokens and a slot
  Queue services_;  // wait for a request and a slot
  std::unordered_map<RequestId, Running> running_;
};

}  // namespace baobabrun

#endif  // LIMITS_ORGANISATION_H_
