// Simulates a small fleet with one Limiter on each VM, under a manual clock and
// from a seed: callers, a load balancer, a network that loses, delays and
// duplicates messages, and VMs that freeze, restart and have clocks that run
// fast or slow. Only for tests and `limits_trials`.
#ifndef LIMITS_FLEET_TRIAL_H_
#define LIMITS_FLEET_TRIAL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "limits/bucket.h"
#include "limits/limiter.h"

namespace baobabrun {

enum class TrialPolicy { kShares, kStaticSplit, kCentral };
enum class TrialFault {
  kCutZone,  // cuts off a zone; `target` is the zone's number
  kCutVm,    // cuts off one VM, also from its zone; `target` is the VM's number
  kFreezeVm,  // stops a VM, which later continues as if nothing had happened
  kRestartVm,
};

struct FaultPlan {
  TrialFault fault = TrialFault::kCutZone;
  int target = 0;
  Duration from{};
  Duration until{};
};

struct OrganisationLoad {
  std::int64_t rate = 0;   // tokens a second
  std::int64_t burst = 0;  // tokens
  int load_percent = 60;   // of `rate`, in tokens used
  bool bursty = false;     // calls arrive in groups
  int home_vm = -1;        // all calls arrive at this VM unless negative
};

struct TrialOptions {
  std::uint64_t seed = 1;
  TrialPolicy policy = TrialPolicy::kShares;
  int vms = 8;
  int zones = 4;
  Duration length = seconds(60);
  std::vector<OrganisationLoad> organisations;
  std::vector<FaultPlan> faults;
  // Clocks are off by this much, and limiters are configured with it.
  int drift_ppm = 10'000;
  bool all_clocks_fast = false;  // otherwise every second clock is slow
  // If not zero, calls arrive only in every second period of this length, so
  // that buckets fill up.
  Duration pulse = Duration::zero();
  bool full_use = false;  // calls use all tokens that they were charged
  int lost_percent = 0;
  int duplicated_percent = 0;
  Duration one_way = milliseconds(1);
  // One message in 20 is delayed by up to this much more.
  Duration max_extra_delay = Duration::zero();
  int skew_percent = 0;  // of calls that go to VM 0 instead of a random VM
  // At `contract_change_at`, the contract of organisation 0 changes to this
  // percentage of its amounts; 100 means no change.
  int new_contract_percent = 100;
  Duration contract_change_at{};
};

// The results of one organisation.
struct OrganisationOutcome {
  std::uint64_t offered = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  // Wrongful refusals: calls that were refused although an exact central bucket
  // had enough tokens when the call arrived or when it was refused. That bucket
  // serves calls in order of arrival and is charged with what the fleet has
  // admitted so far. Counted apart: calls away from faults, and calls within 10
  // s after a fault.
  std::uint64_t wrongful_steady = 0;
  std::uint64_t wrongful_after_fault = 0;
  std::uint64_t offered_steady = 0;
  std::uint64_t offered_after_fault = 0;
  Micro used = 0;
  // What the same calls would use if one central bucket decided.
  Micro used_by_reference = 0;
  // Largest excess over burst + rate * d in any interval of length d, rounded
  // up. 0 if the bound was never exceeded.
  Micro overrun = 0;
};

struct TrialOutcome {
  std::vector<OrganisationOutcome> organisations;
  std::uint64_t messages = 0;
  std::uint64_t message_bytes = 0;
  std::vector<Duration> waits;  // of admitted calls, sorted
  // Describes the first time at which the shares added up to more than a
  // contract. Empty if that never happened.
  std::string conservation_error;
  // Organisation 0's overrun of its new contract, counted from 2 s after the
  // change.
  Micro new_contract_overrun = 0;
  double seconds = 0;
};

struct UseRecord {
  std::int64_t at = 0;  // true time in nanoseconds
  Micro used = 0;
};

// Returns the exact excess over `burst` + `rate` * d in any interval of length
// d in `uses`, rounded up.
Micro LargestOverrun(std::vector<UseRecord> uses, Micro rate, Micro burst);

TrialOutcome RunTrial(const TrialOptions& options);
// Returns five organisations of different sizes, two of them bursty.
std::vector<OrganisationLoad> FiveOrganisations();

}  // namespace baobabrun

#endif  // LIMITS_FLEET_TRIAL_H_
