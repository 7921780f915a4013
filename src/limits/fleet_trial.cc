// The event loop of a trial.
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
constexpr Nanoseconds kTokenTime = 20'000'000;  // between generated tokens
constexpr Nanoseconds kCheckEvery = 100'000'000;
constexpr Nanoseconds kStart = 1000 * kSecond;

struct Call {
  int organisation = 0;
  int vm = 0;
  int life = 0;  // of the VM, when it came in
  Nanoseconds arrived = 0;
  Nanoseconds admitted = 0;
  std::int64_t prompt = 0;
  std::int64_t max_tokens = 0;
  std::int64_t completion = 0;
  std::int64_t generated = 0;
  bool inside = false;  // the exact bucket held enough when it came
  bool near_fault = false;
  bool done = false;

  std::int64_t charge() const { return prompt + max_tokens; }
};

struct Vm {
  std::unique_ptr<Limiter> limiter;
  int zone = 0;
  int life = 0;
  int drift_ppm = 0;
  bool frozen = false;
  Nanoseconds wake_at = 0;                  // of the event under way; 0: none
  std::vector<std::function<void()>> held;  // while frozen
};

class Trial {
 public:
  explicit Trial(const TrialOptions& options)
      : options_(options), callers_(options.seed), network_(options.seed) {}

  TrialOutcome Run();

 private:
  // Decides in place of Limiter where one VM keeps the only bucket.
  void AdmitCentrally(std::uint64_t id);
  void Build();
  void StartVm(int i);
  FleetStatePtr State(int percent) const;
  Instant Local(int vm, Nanoseconds at) const;
  Nanoseconds TrueTime(int vm, Instant local) const;
  void At(Nanoseconds at, std::function<void()> run);
  void OnVm(int vm, std::function<void()> run);
  void Flush(int vm);
  void Send(const PeerMessage& message, int from, int to);
  bool Connected(int left, int right) const;
  void UpdateMembers();
  void PlanFaults();
  bool NearFault() const;
  void PlanArrivals(int organisation);
  void Arrive(int organisation);
  void OnDecision(const Decision& decision);
  void Admitted(std::uint64_t id);
  void Refused(std::uint64_t id);
  void Generate(std::uint64_t id);
  void Finish(std::uint64_t id);
  void AskReference(std::uint64_t id);
  bool ExactHolds(std::uint64_t id);
  void CheckShares();
  void RecordUse(const Call& call);
  std::int64_t Network(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(network_);
  }
  std::int64_t Uniform(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(callers_);
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
  std::mt19937_64 callers_;  // the same calls under every policy
  std::mt19937_64 network_;
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
  std::vector<std::unique_ptr<Bucket>> exact_;  // charged as the fleet was
  // Calls not yet decided: one bucket in order of arrival has charged these.
  std::vector<std::map<std::uint64_t, Micro>> waiting_;
  std::vector<std::vector<UseRecord>> uses_;
  TrialOutcome out_;
};

OrganisationId NameOfOrganisation(int i) {
  return OrganisationId("organisation-" + std::to_string(i));
}

Instant TrueInstant(Nanoseconds at) {
  return Instant(Duration(at));
}

void Trial::Build() {
  for (int i = 0; i < options_.vms; ++i) {
    Vm vm;
    vm.zone = i % options_.zones;
    // Each is off by the whole bound.
    vm.drift_ppm = options_.all_fast || i % 2 == 0 ? options_.drift_ppm
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
          ToMicro(it.rate), ToMicro(it.burst), TrueInstant(now_)));
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
  options.seed = network_();
  auto& vm = vms_[i];
  vm.limiter = std::move(Limiter::Create(options).value());
  ++vm.life;
  vm.wake_at = 0;
  vm.limiter->SetState(State(percent_), Local(i, now_));
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

Instant Trial::Local(int vm, Nanoseconds at) const {
  const Wide rate = 1'000'000 + vms_[vm].drift_ppm;
  return TrueInstant(static_cast<Nanoseconds>(Wide{at} * rate / 1'000'000));
}

Nanoseconds Trial::TrueTime(int vm, Instant local) const {
  const Wide rate = 1'000'000 + vms_[vm].drift_ppm;
  const Wide ns = local.time_since_epoch().count();
  return static_cast<Nanoseconds>(ns * 1'000'000 / rate) + 1;
}

void Trial::At(Nanoseconds at, std::function<void()> run) {
  events_.push({std::max(at, now_), order_++, std::move(run)});
}

// Runs `run` on a VM now, or when it thaws.
void Trial::OnVm(int vm, std::function<void()> run) {
  if (vms_[vm].frozen) {
    vms_[vm].held.push_back(std::move(run));
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
  At(at, [this, i, at, life = vm.life] {
    if (vms_[i].life != life || vms_[i].wake_at != at) {
      return;
    }
    vms_[i].wake_at = 0;
    OnVm(i, [this, i] { vms_[i].limiter->Advance(Local(i, now_)); });
  });
}

void Trial::Send(const PeerMessage& message, int from, int to) {
  ++out_.messages;
  out_.message_bytes += message.payload.size();
  if (!Connected(from, to) || Network(0, 99) < options_.lost_percent) {
    return;
  }
  const int copies = Network(0, 99) < options_.doubled_percent ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const auto usual = options_.one_way.count();
    Nanoseconds delay = Network(usual / 2, usual);
    if (Network(0, 19) == 0) {
      delay += Network(0, options_.late.count());
    }
    At(now_ + delay, [this, message, from, to] {
      if (Connected(from, to)) {
        OnVm(to, [this, message, to] {
          vms_[to].limiter->Receive(message.from, message.payload,
                                    Local(to, now_));
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
    OnVm(i, [this, i, alive] {
      vms_[i].limiter->SetMembers(alive, std::nullopt, Local(i, now_));
    });
  }
}

void Trial::PlanFaults() {
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
          const auto held = std::exchange(vms_[target].held, {});
          for (const auto& run : held) {
            OnVm(it.target, run);
          }
          break;
        }
        case TrialFault::kRestartVm:
          if (failed) {
            StartVm(it.target);
          }
          break;
      }
      At(now_ + kMembershipDelay, [this] { UpdateMembers(); });
    };
    At(kStart + it.from.count(), [set] { set(true); });
    At(kStart + it.until.count(), [set] { set(false); });
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

void Trial::PlanArrivals(int organisation) {
  const auto& load = options_.organisations[organisation];
  // Average use of a call: 1000 prompt and 288 generated tokens.
  constexpr std::int64_t kAverageUse = 1288;
  const int group = load.bursty ? 6 : 1;
  const double per_second = static_cast<double>(load.rate) * load.load_percent /
                            100 / kAverageUse / group;
  std::exponential_distribution<double> gap(per_second);
  const auto wait = static_cast<Nanoseconds>(gap(callers_) * kSecond);
  if (now_ + wait >= kStart + options_.length.count()) {
    return;
  }
  At(now_ + wait, [this, organisation, group] {
    for (int i = 0; i < group; ++i) {
      Arrive(organisation);
    }
    PlanArrivals(organisation);
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
    vm = Uniform(0, 99) < options_.skew_percent
             ? 0
             : static_cast<int>(Uniform(0, options_.vms - 1));
  }
  Call call;
  call.organisation = organisation;
  call.vm = vm;
  call.life = vms_[vm].life;
  call.arrived = now_;
  call.prompt = Uniform(500, 1500);
  call.max_tokens = 512;
  call.completion = Uniform(64, 512);
  if (options_.full_use) {
    call.completion = call.max_tokens;
  }
  call.near_fault = NearFault();
  if (vms_[vm].frozen) {
    return;  // the balancer's health check; the callers go nowhere else
  }
  const auto id = next_call_++;
  calls_[id] = call;
  ++out_.organisations[organisation].offered;
  AskReference(id);
  if (options_.policy == TrialPolicy::kCentral) {
    AdmitCentrally(id);
    return;
  }
  OnVm(vm, [this, id, vm] {
    const auto& it = calls_[id];
    const Charge charge{RequestId(id), NameOfOrganisation(it.organisation),
                        it.charge(), false, 0};
    const auto local = Local(vm, now_);
    OnDecision(vms_[vm].limiter->Admit(charge, local + seconds(10), local));
  });
}

void Trial::AdmitCentrally(std::uint64_t id) {
  const int vm = calls_[id].vm;
  const auto round_trip =
      vm == 0 ? 0 : std::int64_t{2} * options_.one_way.count();
  out_.messages += vm == 0 ? 0 : 2;
  const bool lost =
      vm != 0 && (Network(0, 99) < std::int64_t{2} * options_.lost_percent ||
                  !Connected(vm, 0) || vms_[0].frozen);
  // A lost message is found out by a timeout; then the call is refused.
  At(now_ + (lost ? kSecond : round_trip), [this, id, lost] {
    auto& it = calls_[id];
    auto& bucket = *central_[it.organisation];
    bucket.Advance(TrueInstant(now_));
    if (!lost && bucket.Take(RequestId(id), ToMicro(it.charge()))) {
      Admitted(id);
    } else {
      Refused(id);
    }
  });
}

void Trial::OnDecision(const Decision& decision) {
  switch (decision.admission) {
    case Admission::kAdmitted:
      Admitted(decision.request.value());
      break;
    case Admission::kRefused:
      Refused(decision.request.value());
      break;
    case Admission::kWaiting:
      break;
  }
}

void Trial::Admitted(std::uint64_t id) {
  auto& it = calls_.at(id);
  it.admitted = now_;
  ++out_.organisations[it.organisation].admitted;
  out_.waits.emplace_back(now_ - it.arrived);
  waiting_[it.organisation].erase(id);
  auto& exact = *exact_[it.organisation];
  exact.Advance(TrueInstant(now_));
  if (!exact.Take(RequestId(id), ToMicro(it.charge()))) {
    exact.Owe(ToMicro(it.charge()));
  }
  At(now_ + kSecond, [this, id] { Generate(id); });
}

void Trial::Refused(std::uint64_t id) {
  auto& it = calls_.at(id);
  auto& outcome = out_.organisations[it.organisation];
  ++outcome.refused;
  const bool inside = it.inside || ExactHolds(id);
  waiting_[it.organisation].erase(id);
  if (inside) {
    ++(it.near_fault ? outcome.wrongful_after_fault : outcome.wrongful_steady);
  }
  it.done = true;
}

void Trial::Generate(std::uint64_t id) {
  auto& it = calls_.at(id);
  constexpr std::int64_t kPerSecond = kSecond / kTokenTime;
  if (vms_[it.vm].life != it.life) {
    RecordUse(it);  // cut by the restart
    it.done = true;
    return;
  }
  it.generated = std::min(it.generated + kPerSecond, it.completion);
  if (it.generated == it.completion) {
    Finish(id);
    return;
  }
  OnVm(it.vm, [this, id, life = it.life] {
    const auto& call = calls_.at(id);
    if (vms_[call.vm].life == life) {
      vms_[call.vm].limiter->Spend(RequestId(id), call.generated,
                                   Local(call.vm, now_));
    }
  });
  At(now_ + kSecond, [this, id] { Generate(id); });
}

void Trial::Finish(std::uint64_t id) {
  auto& it = calls_.at(id);
  it.done = true;
  RecordUse(it);
  auto& exact = *exact_[it.organisation];
  exact.Advance(TrueInstant(now_));
  exact.Settle(RequestId(id), ToMicro(it.max_tokens - it.completion));
  if (options_.policy == TrialPolicy::kCentral) {
    out_.messages += it.vm == 0 ? 0 : 1;
    central_[it.organisation]->Advance(TrueInstant(now_));
    central_[it.organisation]->Settle(RequestId(id),
                                      ToMicro(it.max_tokens - it.completion));
    return;
  }
  OnVm(it.vm, [this, id] {
    const auto& call = calls_.at(id);
    vms_[call.vm].limiter->Finish(RequestId(id), call.prompt, call.completion,
                                  Local(call.vm, now_));
  });
}

void Trial::RecordUse(const Call& call) {
  const auto used = ToMicro(call.prompt + call.generated);
  uses_[call.organisation].push_back({call.admitted, used});
  out_.organisations[call.organisation].used += used;
}

// The same calls before one central bucket that needs no messages.
void Trial::AskReference(std::uint64_t id) {
  auto& it = calls_[id];
  auto& bucket = *reference_[it.organisation];
  auto& outcome = out_.organisations[it.organisation];
  ++(it.near_fault ? outcome.offered_after_fault : outcome.offered_steady);
  it.inside = ExactHolds(id);
  waiting_[it.organisation][id] = ToMicro(it.charge());
  bucket.Advance(TrueInstant(now_));
  if (!bucket.Take(RequestId(id), ToMicro(it.charge()))) {
    return;
  }
  outcome.used_by_reference += ToMicro(it.prompt + it.completion);
  const auto unused = it.max_tokens - it.completion;
  const auto steps = (it.completion * kTokenTime + kSecond - 1) / kSecond;
  At(now_ + steps * kSecond,
     [this, id, unused, organisation = it.organisation] {
       reference_[organisation]->Advance(TrueInstant(now_));
       reference_[organisation]->Settle(RequestId(id), ToMicro(unused));
     });
}

// Whether the exact bucket has enough for a call after those before it.
bool Trial::ExactHolds(std::uint64_t id) {
  const auto& call = calls_[id];
  auto& exact = *exact_[call.organisation];
  exact.Advance(TrueInstant(now_));
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
        vms_[vm].limiter->Advance(Local(vm, now_));
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
    At(now_ + kCheckEvery, [this] { CheckShares(); });
  }
}

TrialOutcome Trial::Run() {
  Build();
  PlanFaults();
  for (std::size_t i = 0; i < options_.organisations.size(); ++i) {
    PlanArrivals(static_cast<int>(i));
  }
  if (options_.policy == TrialPolicy::kShares) {
    At(now_ + kCheckEvery, [this] { CheckShares(); });
  }
  if (options_.changed_percent != 100) {
    At(kStart + options_.change_at.count(), [this] {
      percent_ = options_.changed_percent;
      for (int i = 0; i < options_.vms; ++i) {
        OnVm(i, [this, i] {
          vms_[i].limiter->SetState(State(percent_), Local(i, now_));
        });
      }
    });
  }
  // Streams may go on for this long after the last call.
  constexpr Nanoseconds kTail = 15 * kSecond;
  const auto end = kStart + options_.length.count() + kTail;
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
  if (options_.changed_percent != 100) {
    const auto from = kStart + options_.change_at.count() + 2 * kSecond;
    std::vector<UseRecord> late;
    for (const auto& it : uses_[0]) {
      if (it.at >= from) {
        late.push_back(it);
      }
    }
    const auto& load = options_.organisations[0];
    out_.changed_overrun =
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
  // With P the sum of uses up to and with j, and Q that before i, the interval
  // from i to j exceeds by P - rate * t_j - (Q - rate * t_i) - burst.
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
