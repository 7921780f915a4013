// A seeded run of one Limiter for each VM of a small fleet under a manual
// clock: callers, a balancer, a network that loses, delays and doubles
// messages, VMs that freeze, restart and have clocks that run fast or slow.
// For tests and `limits_trials` only.
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
  kCutZone,   // `target` is the zone's number
  kCutVm,     // cut off inside its zone; `target` is the VM's number
  kFreezeVm,  // stopped, and goes on later as if nothing had happened
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
  int load_percent = 60;   // of rate, in tokens used
  bool bursty = false;     // callers come in groups
  int home_vm = -1;        // all callers land there, if not negative
};

struct TrialOptions {
  std::uint64_t seed = 1;
  TrialPolicy policy = TrialPolicy::kShares;
  int vms = 8;
  int zones = 4;
  Duration length = seconds(60);
  std::vector<OrganisationLoad> organisations;
  std::vector<FaultPlan> faults;
  int drift_ppm = 10'000;  // clocks are off by up to this, and it is declared
  bool all_fast = false;   // else they are fast and slow by turns
  // Calls come only in every second such period, so that buckets fill up.
  Duration pulse = Duration::zero();
  bool full_use = false;  // calls use all that they were charged
  int lost_percent = 0;
  int doubled_percent = 0;
  Duration one_way = milliseconds(1);
  Duration late = Duration::zero();  // one message in 20 takes up to so long
  int skew_percent = 0;  // of requests that go to VM 0 whatever the balancer
  // Contract of organisation 0 changes to this percentage at that time.
  int changed_percent = 100;
  Duration change_at{};
};

// One organisation's outcome.
struct OrganisationOutcome {
  std::uint64_t offered = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  // Refused although one exact central bucket that serves in order of arrival,
  // charged with what the fleet has admitted so far, held enough when the call
  // came or when it was refused;
  // away from faults, and within 10 s after one.
  std::uint64_t wrongful_steady = 0;
  std::uint64_t wrongful_after_fault = 0;
  std::uint64_t offered_steady = 0;
  std::uint64_t offered_after_fault = 0;
  Micro used = 0;
  // What the same calls use if one central bucket decides.
  Micro used_by_reference = 0;
  // Largest excess over burst + rate * d of any interval, rounded up; 0 if the
  // bound held everywhere.
  Micro overrun = 0;
};

struct TrialOutcome {
  std::vector<OrganisationOutcome> organisations;
  std::uint64_t messages = 0;
  std::uint64_t message_bytes = 0;
  std::vector<Duration> waits;  // of admitted requests, sorted
  // The first instant at which shares added up to more than a contract.
  std::string conservation_error;
  // Organisation 0's overrun of its changed contract from 2 s after the change.
  Micro changed_overrun = 0;
  double seconds = 0;
};

struct UseRecord {
  std::int64_t at = 0;  // true time, ns
  Micro used = 0;
};

// The exact excess over `burst` + `rate` * d in any interval of `uses`.
Micro LargestOverrun(std::vector<UseRecord> uses, Micro rate, Micro burst);

TrialOutcome RunTrial(const TrialOptions& options);
// Five organisations of different sizes, two of them bursty.
std::vector<OrganisationLoad> FiveOrganisations();

}  // namespace baobabrun

#endif  // LIMITS_FLEET_TRIAL_H_
