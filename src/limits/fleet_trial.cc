// The event loop of the simulation.
#include "limits/fleet_trial.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>

namespace baobabrun {
namespace {

using Wide = __int128;
using Nanoseconds = std::int64_t;

constexpr Nanoseconds kSecond = 1'000'000'000;
constexpr Nanoseconds kMembershipDelay = kSecond;
constexpr Nanoseconds kFaultWindow = 10 * kSecond;
constexpr Nanoseconds kTokenInterval =
    20'000'000;  // between two generated tokens
constexpr Nanoseconds kCheckInterval = 100'000'000;
constexpr Nanoseconds kStart = 1000 * kSecond;

struct Call {
  int organisation = 0;
  int vm = 0;
  int incarnation = 0;  // of the VM when the call arrived
  Nanoseconds arrived = 0;
  Nanoseconds admitted = 0;
  std::int64_t prompt = 0;
  std::int64_t max_tokens = 0;
  std::int64_t completion = 0;
  std::int64_t generated = 0;
  // The exact bucket had enough tokens when the call arrived.
  bool within_limit = false;
  bool near_fault = false;
  bool done = false;

  std::int64_t charge() const { return prompt + max_tokens; }
};

struct Vm {
  std::unique_ptr<Limiter> limiter;
  int zone = 0;
  int incarnation = 0;
  int drift_ppm = 0;
  bool frozen = false;
  Nanoseconds wake_at = 0;  // time of the scheduled Advance; 0 if none
  // to run when the VM continues after a freeze
  std::vector<std::function<void()>> deferred;
};

class Trial {
 public:
  explicit Trial(const TrialOptions& options)
      : options_(options),
        caller_random_(options.seed),
        network_random_(options.seed) {}

  TrialOutcome Run();

 private:
  // Decides on a call for TrialPolicy::kCentral, in which VM 0 has the only
  // bucket.
  void AdmitCentrally(std::uint64_t id);
  void Build();
  void StartVm(int i);
  FleetStatePtr State(int percent) const;
  Instant LocalTime(int vm, Nanoseconds at) const;
  Nanoseconds TrueTime(int vm, Instant local) const;
  void Schedule(Nanoseconds at, std::function<void()> run);
  void RunOnVm(int vm, std::function<void()> run);
  void Flush(int vm);
  void Send(const PeerMessage& message, int from, int to);
  bool Connected(int left, int right) const;
  void UpdateMembers();
  void ScheduleFaults();
  bool NearFault() const;
  void ScheduleArrivals(int organisation);
  void Arrive(int organisation);
  void OnDecision(const Decision& decision);
  void OnAdmitted(std::uint64_t id);
  void OnRefused(std::uint64_t id);
  void Generate(std::uint64_t id);
  void Finish(std::uint64_t id);
  void ChargeReference(std::uint64_t id);
  bool ExactBucketSuffices(std::uint64_t id);
  void CheckShares();
  void RecordUse(const Call& call);
  std::int64_t NetworkRandom(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low,
                                                       high)(network_random_);
  }
  std::int64_t CallerRandom(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low,
                                                       high)(caller_random_);
  }

  struct Event {
    Nanoseconds at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  const TrialOptions options_;
  std::mt19937_64 caller_random_;  // yields the same calls under every policy
  std::mt19937_64 network_random_;
  Nanoseconds now_ = kStart;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Vm> vms_;
  std::vector<LimitsMember> fleet_;
  std::vector<bool> zone_cut_;
  std::vector<bool> vm_cut_;
  int percent_ = 100;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::uint64_t next_call_ = 1;
  std::vector<std::unique_ptr<Bucket>> reference_;
  std::vector<std::unique_ptr<Bucket>> central_;
  // Charged with what the fleet has admitted.
  std::vector<std::unique_ptr<Bucket>> exact_;
  // Charges of calls that aren't decided yet. A single bucket that serves in
  // order of arrival would already have charged them.
  std::vector<std::map<std::uint64_t, Micro>> waiting_;
  std::vector<std::vector<UseRecord>> uses_;
  TrialOutcome out_;
};

OrganisationId NameOfOrganisation(int i) {
  return OrganisationId("organisation-" + std::to_string(i));
}

Instant ToInstant(Nanoseconds at) {
  return Instant(Duration(at));
}

void Trial::Build() {
  for (int i = 0; i < options_.vms; ++i) {
    Vm vm;
    vm.zone = i % options_.zones;
    // Every clock is off by the full `drift_ppm`.
    vm.drift_ppm = options_.all_clocks_fast || i % 2 == 0 ? options_.drift_ppm
                                                          : -options_.drift_ppm;
    vms_.push_back(std::move(vm));
    fleet_.push_back({VmId("vm-" + std::to_string(i)),
                      ZoneId("zone-" + std::to_string(i % options_.zones))});
  }
  zone_cut_.resize(options_.zones);
  vm_cut_.resize(options_.vms);
  uses_.resize(options_.organisations.size());
  waiting_.resize(options_.organisations.size());
  out_.organisations.resize(options_.organisations.size());
  for (const auto& it : options_.organisations) {
    for (auto* buckets : {&reference_, &central_, &exact_}) {
      buckets->push_back(std::make_unique<Bucket>(
          ToMicro(it.rate), ToMicro(it.burst), ToInstant(now_)));
    }
  }
  for (int i = 0; i < options_.vms; ++i) {
    StartVm(i);
  }
  UpdateMembers();
}

void Trial::StartVm(int i) {
  LimiterOptions options;
  options.self = fleet_[i].vm;
  options.fleet = fleet_;
  options.clock_drift_ppm = options_.drift_ppm;
  options.seed = network_random_();
  auto& vm = vms_[i];
  vm.limiter = std::move(Limiter::Create(options).value());
  ++vm.incarnation;
  vm.wake_at = 0;
  vm.limiter->SetState(State(percent_), LocalTime(i, now_));
  Flush(i);
}

FleetStatePtr Trial::State(int percent) const {
  auto state = std::make_shared<FleetState>();
  state->version = StateVersion(percent == 100 ? 1 : 2);
  for (std::size_t i = 0; i < options_.organisations.size(); ++i) {
    const int part = i == 0 ? percent : 100;
    Contract contract;
    contract.organisation = NameOfOrganisation(static_cast<int>(i));
    contract.tokens_per_second = options_.organisations[i].rate * part / 100;
    contract.burst_tokens = options_.organisations[i].burst * part / 100;
    contract.max_concurrent = 100'000;
    state->declarations.contracts.push_back(contract);
  }
  return state;
}

Instant Trial::LocalTime(int vm, Nanoseconds at) const {
  const Wide rate = 1'000'000 + vms_[vm].drift_ppm;
  return ToInstant(static_cast<Nanoseconds>(Wide{at} * rate / 1'000'000));
}

Nanoseconds Trial::TrueTime(int vm, Instant local) const {
  const Wide rate = 1'000'000 + vms_[vm].drift_ppm;
  const Wide ns = local.time_since_epoch().count();
  return static_cast<Nanoseconds>(ns * 1'000'000 / rate) + 1;
}

void Trial::Schedule(Nanoseconds at, std::function<void()> run) {
  events_.push({std::max(at, now_), order_++, std::move(run)});
}

// Runs `run` on a VM now, or when the VM continues if it is frozen.
void Trial::RunOnVm(int vm, std::function<void()> run) {
  if (vms_[vm].frozen) {
    vms_[vm].deferred.push_back(std::move(run));
    return;
  }
  run();
  Flush(vm);
}

void Trial::Flush(int i) {
  auto& vm = vms_[i];
  for (const auto& it : vm.limiter->TakeDecisions()) {
    OnDecision(it);
  }
  for (const auto& it : vm.limiter->TakeMessages()) {
    const auto to = std::stoi(it.to.value().substr(3));
    Send(it, i, to);
  }
  const auto next = vm.limiter->NextEvent();
  if (!next) {
    return;
  }
  const auto at = std::max(TrueTime(i, *next), now_ + 1);
  if (vm.wake_at != 0 && vm.wake_at <= at) {
    return;
  }
  vm.wake_at = at;
  Schedule(at, [this, i, at, incarnation = vm.incarnation] {
    if (vms_[i].incarnation != incarnation || vms_[i].wake_at != at) {
      return;
    }
    vms_[i].wake_at = 0;
    RunOnVm(i, [this, i] { vms_[i].limiter->Advance(LocalTime(i, now_)); });
  });
}

void Trial::Send(const PeerMessage& message, int from, int to) {
  ++out_.messages;
  out_.message_bytes += message.payload.size();
  if (!Connected(from, to) || NetworkRandom(0, 99) < options_.lost_percent) {
    return;
  }
  const int copies = NetworkRandom(0, 99) < options_.duplicated_percent ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const auto usual = options_.one_way.count();
    Nanoseconds delay = NetworkRandom(usual / 2, usual);
    if (NetworkRandom(0, 19) == 0) {
      delay += NetworkRandom(0, options_.max_extra_delay.count());
    }
    Schedule(now_ + delay, [this, message, from, to] {
      if (Connected(from, to)) {
        RunOnVm(to, [this, message, to] {
          vms_[to].limiter->Receive(message.from, message.payload,
                                    LocalTime(to, now_));
        });
      }
    });
  }
}

bool Trial::Connected(int left, int right) const {
  if (left == right) {
    return true;
  }
  if (vm_cut_[left] || vm_cut_[right]) {
    return false;
  }
  const int left_zone = vms_[left].zone;
  const int right_zone = vms_[right].zone;
  return left_zone == right_zone ||
         (!zone_cut_[left_zone] && !zone_cut_[right_zone]);
}

void Trial::UpdateMembers() {
  for (int i = 0; i < options_.vms; ++i) {
    std::vector<LimitsMember> alive;
    for (int j = 0; j < options_.vms; ++j) {
      if (Connected(i, j) && !vms_[j].frozen &&
          options_.policy == TrialPolicy::kShares) {
        alive.push_back(fleet_[j]);
      }
    }
    RunOnVm(i, [this, i, alive] {
      vms_[i].limiter->SetMembers(alive, std::nullopt, LocalTime(i, now_));
    });
  }
}

void Trial::ScheduleFaults() {
  for (const auto& it : options_.faults) {
    const auto set = [this, it](bool failed) {
      const auto target = static_cast<std::size_t>(it.target);
      switch (it.fault) {
        case TrialFault::kCutZone:
          zone_cut_[target] = failed;
          break;
        case TrialFault::kCutVm:
          vm_cut_[target] = failed;
          break;
        case TrialFault::kFreezeVm: {
          vms_[target].frozen = failed;
          const auto deferred = std::exchange(vms_[target].deferred, {});
          for (const auto& run : deferred) {
            RunOnVm(it.target, run);
          }
          break;
        }
        case TrialFault::kRestartVm:
          if (failed) {
            StartVm(it.target);
          }
          break;
      }
      Schedule(now_ + kMembershipDelay, [this] { UpdateMembers(); });
    };
    Schedule(kStart + it.from.count(), [set] { set(true); });
    Schedule(kStart + it.until.count(), [set] { set(false); });
  }
}

// The start is a restart of all VMs, so it counts as a fault.
bool Trial::NearFault() const {
  bool near = now_ < kStart + kFaultWindow;
  for (const auto& it : options_.faults) {
    for (const auto edge : {it.from, it.until}) {
      const auto since = now_ - (kStart + edge.count());
      near = near || (since >= 0 && since < kFaultWindow);
    }
  }
  return near;
}

void Trial::ScheduleArrivals(int organisation) {
  const auto& load = options_.organisations[organisation];
  // Average use of a call: 1000 prompt tokens and 288 generated tokens.
  constexpr std::int64_t kAverageUse = 1288;
  const int group = load.bursty ? 6 : 1;
  const double per_second = static_cast<double>(load.rate) * load.load_percent /
                            100 / kAverageUse / group;
  std::exponential_distribution<double> gap(per_second);
  const auto wait = static_cast<Nanoseconds>(gap(caller_random_) * kSecond);
  if (now_ + wait >= kStart + options_.length.count()) {
    return;
  }
  Schedule(now_ + wait, [this, organisation, group] {
    for (int i = 0; i < group; ++i) {
      Arrive(organisation);
    }
    ScheduleArrivals(organisation);
  });
}

void Trial::Arrive(int organisation) {
  const auto pulse = options_.pulse.count();
  if (pulse > 0 && (now_ - kStart) / pulse % 2 == 0) {
    return;
  }
  const auto& load = options_.organisations[organisation];
  int vm = load.home_vm;
  if (vm < 0) {
    vm = CallerRandom(0, 99) < options_.skew_percent
             ? 0
             : static_cast<int>(CallerRandom(0, options_.vms - 1));
  }
  Call call;
  call.organisation = organisation;
  call.vm = vm;
  call.incarnation = vms_[vm].incarnation;
  call.arrived = now_;
  call.prompt = CallerRandom(500, 1500);
  call.max_tokens = 512;
  call.completion = CallerRandom(64, 512);
  if (options_.full_use) {
    call.completion = call.max_tokens;
  }
  call.near_fault = NearFault();
  if (vms_[vm].frozen) {
    // The health check has removed the VM, and these calls go to no other VM.
    return;
  }
  const auto id = next_call_++;
  calls_[id] = call;
  ++out_.organisations[organisation].offered;
  ChargeReference(id);
  if (options_.policy == TrialPolicy::kCentral) {
    AdmitCentrally(id);
    return;
  }
  RunOnVm(vm, [this, id, vm] {
    const auto& it = calls_[id];
    const Charge charge{RequestId(id), NameOfOrganisation(it.organisation),
                        it.charge(), false, 0};
    const auto local = LocalTime(vm, now_);
    OnDecision(vms_[vm].limiter->Admit(charge, local + seconds(10), local));
  });
}

void Trial::AdmitCentrally(std::uint64_t id) {
  const int vm = calls_[id].vm;
  const auto round_trip =
      vm == 0 ? 0 : std::int64_t{2} * options_.one_way.count();
  out_.messages += vm == 0 ? 0 : 2;
  const bool lost = vm != 0 && (NetworkRandom(0, 99) <
                                    std::int64_t{2} * options_.lost_percent ||
                                !Connected(vm, 0) || vms_[0].frozen);
  // A lost message is noticed by a timeout; then the call is refused.
  Schedule(now_ + (lost ? kSecond : round_trip), [this, id, lost] {
    auto& it = calls_[id];
    auto& bucket = *central_[it.organisation];
    bucket.Advance(ToInstant(now_));
    if (!lost && bucket.Take(RequestId(id), ToMicro(it.charge()))) {
      OnAdmitted(id);
    } else {
      OnRefused(id);
    }
  });
}

void Trial::OnDecision(const Decision& decision) {
  switch (decision.admission) {
    case Admission::kAdmitted:
      OnAdmitted(decision.request.value());
      break;
    case Admission::kRefused:
      OnRefused(decision.request.value());
      break;
    case Admission::kWaiting:
      break;
  }
}

void Trial::OnAdmitted(std::uint64_t id) {
  auto& it = calls_.at(id);
  it.admitted = now_;
  ++out_.organisations[it.organisation].admitted;
  out_.waits.emplace_back(now_ - it.arrived);
  waiting_[it.organisation].erase(id);
  auto& exact = *exact_[it.organisation];
  exact.Advance(ToInstant(now_));
  if (!exact.Take(RequestId(id), ToMicro(it.charge()))) {
    exact.AddDebt(ToMicro(it.charge()));
  }
  Schedule(now_ + kSecond, [this, id] { Generate(id); });
}

void Trial::OnRefused(std::uint64_t id) {
  auto& it = calls_.at(id);
  auto& outcome = out_.organisations[it.organisation];
  ++outcome.refused;
  const bool within_limit = it.within_limit || ExactBucketSuffices(id);
  waiting_[it.organisation].erase(id);
  if (within_limit) {
    ++(it.near_fault ? outcome.wrongful_after_fault : outcome.wrongful_steady);
  }
  it.done = true;
}

void Trial::Generate(std::uint64_t id) {
  auto& it = calls_.at(id);
  constexpr std::int64_t kPerSecond = kSecond / kTokenInterval;
  if (vms_[it.vm].incarnation != it.incarnation) {
    RecordUse(it);  // the restart ended the call
    it.done = true;
    return;
  }
  it.generated = std::min(it.generated + kPerSecond, it.completion);
  if (it.generated == it.completion) {
    Finish(id);
    return;
  }
  RunOnVm(it.vm, [this, id, incarnation = it.incarnation] {
    const auto& call = calls_.at(id);
    if (vms_[call.vm].incarnation == incarnation) {
      vms_[call.vm].limiter->Spend(RequestId(id), call.generated,
                                   LocalTime(call.vm, now_));
    }
  });
  Schedule(now_ + kSecond, [this, id] { Generate(id); });
}

void Trial::Finish(std::uint64_t id) {
  auto& it = calls_.at(id);
  it.done = true;
  RecordUse(it);
  auto& exact = *exact_[it.organisation];
  exact.Advance(ToInstant(now_));
  exact.Settle(RequestId(id), ToMicro(it.max_tokens - it.completion));
  if (options_.policy == TrialPolicy::kCentral) {
    out_.messages += it.vm == 0 ? 0 : 1;
    central_[it.organisation]->Advance(ToInstant(now_));
    central_[it.organisation]->Settle(RequestId(id),
                                      ToMicro(it.max_tokens - it.completion));
    return;
  }
  RunOnVm(it.vm, [this, id] {
    const auto& call = calls_.at(id);
    vms_[call.vm].limiter->Finish(RequestId(id), call.prompt, call.completion,
                                  LocalTime(call.vm, now_));
  });
}

void Trial::RecordUse(const Call& call) {
  const auto used = ToMicro(call.prompt + call.generated);
  uses_[call.organisation].push_back({call.admitted, used});
  out_.organisations[call.organisation].used += used;
}

// Charges the call to the reference: one central bucket that needs no messages.
void Trial::ChargeReference(std::uint64_t id) {
  auto& it = calls_[id];
  auto& bucket = *reference_[it.organisation];
  auto& outcome = out_.organisations[it.organisation];
  ++(it.near_fault ? outcome.offered_after_fault : outcome.offered_steady);
  it.within_limit = ExactBucketSuffices(id);
  waiting_[it.organisation][id] = ToMicro(it.charge());
  bucket.Advance(ToInstant(now_));
  if (!bucket.Take(RequestId(id), ToMicro(it.charge()))) {
    return;
  }
  outcome.used_by_reference += ToMicro(it.prompt + it.completion);
  const auto unused = it.max_tokens - it.completion;
  const auto steps = (it.completion * kTokenInterval + kSecond - 1) / kSecond;
  Schedule(now_ + steps * kSecond,
           [this, id, unused, organisation = it.organisation] {
             reference_[organisation]->Advance(ToInstant(now_));
             reference_[organisation]->Settle(RequestId(id), ToMicro(unused));
           });
}

// Returns whether the exact bucket has enough tokens for a call after all
// undecided calls that arrived before it.
bool Trial::ExactBucketSuffices(std::uint64_t id) {
  const auto& call = calls_[id];
  auto& exact = *exact_[call.organisation];
  exact.Advance(ToInstant(now_));
  Micro needed = ToMicro(call.charge());
  for (const auto& [earlier, charge] : waiting_[call.organisation]) {
    needed += earlier < id ? charge : 0;
  }
  return exact.level() >= needed;
}

void Trial::CheckShares() {
  for (std::size_t i = 0; i < options_.organisations.size(); ++i) {
    const auto name = NameOfOrganisation(static_cast<int>(i));
    Micro rate = 0;
    Micro capacity = 0;
    for (int vm = 0; vm < options_.vms; ++vm) {
      if (!vms_[vm].frozen) {
        vms_[vm].limiter->Advance(LocalTime(vm, now_));
        const auto view = vms_[vm].limiter->View(name);
        rate += view.rate;
        capacity += view.capacity;
      }
    }
    const auto& load = options_.organisations[i];
    if ((rate > ToMicro(load.rate) || capacity > ToMicro(load.burst)) &&
        out_.conservation_error.empty()) {
      out_.conservation_error = name.value() + ": rate " +
                                std::to_string(rate) + " capacity " +
                                std::to_string(capacity) + " at " +
                                std::to_string(now_ - kStart) + " ns";
    }
  }
  for (int vm = 0; vm < options_.vms; ++vm) {
    if (!vms_[vm].frozen) {
      Flush(vm);
    }
  }
  if (now_ < kStart + options_.length.count()) {
    Schedule(now_ + kCheckInterval, [this] { CheckShares(); });
  }
}

TrialOutcome Trial::Run() {
  Build();
  ScheduleFaults();
  for (std::size_t i = 0; i < options_.organisations.size(); ++i) {
    ScheduleArrivals(static_cast<int>(i));
  }
  if (options_.policy == TrialPolicy::kShares) {
    Schedule(now_ + kCheckInterval, [this] { CheckShares(); });
  }
  if (options_.new_contract_percent != 100) {
    Schedule(kStart + options_.contract_change_at.count(), [this] {
      percent_ = options_.new_contract_percent;
      for (int i = 0; i < options_.vms; ++i) {
        RunOnVm(i, [this, i] {
          vms_[i].limiter->SetState(State(percent_), LocalTime(i, now_));
        });
      }
    });
  }
  // Streams may continue for this long after the last call.
  constexpr Nanoseconds kStreamTail = 15 * kSecond;
  const auto end = kStart + options_.length.count() + kStreamTail;
  while (!events_.empty() && events_.top().at < end) {
    auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  for (const auto& [id, it] : calls_) {
    if (it.admitted != 0 && !it.done) {
      RecordUse(it);
    }
  }
  for (std::size_t i = 0; i < uses_.size(); ++i) {
    out_.organisations[i].overrun =
        LargestOverrun(uses_[i], ToMicro(options_.organisations[i].rate),
                       ToMicro(options_.organisations[i].burst));
  }
  if (options_.new_contract_percent != 100) {
    const auto from =
        kStart + options_.contract_change_at.count() + 2 * kSecond;
    std::vector<UseRecord> late;
    for (const auto& it : uses_[0]) {
      if (it.at >= from) {
        late.push_back(it);
      }
    }
    const auto& load = options_.organisations[0];
    out_.new_contract_overrun =
        LargestOverrun(late, ToMicro(load.rate * percent_ / 100),
                       ToMicro(load.burst * percent_ / 100));
  }
  std::sort(out_.waits.begin(), out_.waits.end());
  out_.seconds = static_cast<double>(options_.length.count()) / kSecond;
  return std::move(out_);
}

}  // namespace

Micro LargestOverrun(std::vector<UseRecord> uses, Micro rate, Micro burst) {
  std::sort(uses.begin(), uses.end(), [](const auto& left, const auto& right) {
    return left.at < right.at;
  });
  // Let P be the sum of uses up to and including j, and Q the sum before i. The
  // interval from i to j exceeds the bound by P - rate * t_j - (Q - rate * t_i)
  // - burst.
  Wide sum = 0;
  Wide lowest = 0;
  Wide excess = 0;
  bool first = true;
  for (const auto& it : uses) {
    const Wide line = Wide{rate} * it.at;
    const Wide before = sum * kSecond - line;
    lowest = first ? before : std::min(lowest, before);
    first = false;
    sum += it.used;
    excess =
        std::max(excess, sum * kSecond - line - lowest - Wide{burst} * kSecond);
  }
  return static_cast<Micro>((excess + kSecond - 1) / kSecond);
}

TrialOutcome RunTrial(const TrialOptions& options) {
  return Trial(options).Run();
}

std::vector<OrganisationLoad> FiveOrganisations() {
  return {{80'000, 400'000, 60, false, -1},
          {40'000, 200'000, 60, true, -1},
          {20'000, 100'000, 60, false, -1},
          {20'000, 100'000, 60, true, -1},
          {10'000, 80'000, 60, false, -1}};
}

}  // namespace baobabrun
