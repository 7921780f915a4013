// A soak of the real programs: plays faults, drawn by a seed, in VMs and
// endpoints by signals and by emptied data folders, in series and overlapping,
// while callers send traffic and an operator makes changes:
//
//   soak --seed N --seconds S [--vms N]
//
// The run is divided into rounds, each with faults, a time without any, and the
// checks of traffic.h; those of change_stream.h run all the time. No verdict
// depends on how long anything took, except by timeouts that are far longer
// than any run takes and by the users' target for changes.
#include <cppunit/Exception.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <popt.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <random>
#include <thread>

#include "change_stream.h"
#include "traffic.h"

namespace baobabrun::testsuite {
namespace {

constexpr std::size_t kReplicas = 3;
constexpr Duration kFaultTime = seconds(10);  // of a round
constexpr Duration kCalmTime = seconds(10);
constexpr Duration kRoundTime = kFaultTime + kCalmTime;
constexpr milliseconds kStep{20};
constexpr Duration kExitTimeout = seconds(120);

enum class Target { kVm, kAllVms, kDisk, kDiskOfAll, kEngine, kService };

struct KindRow {
  const char* name;
  Target target;
  int signal;
  int weight;
};
constexpr KindRow kKinds[] = {
    {"kill VM", Target::kVm, SIGKILL, 4},
    {"stop VM", Target::kVm, SIGTERM, 3},
    {"pause VM", Target::kVm, SIGSTOP, 3},
    {"kill all VMs", Target::kAllVms, SIGKILL, 1},
    {"empty data folder", Target::kDisk, SIGKILL, 2},
    {"kill all VMs and empty data folder", Target::kDiskOfAll, SIGKILL, 1},
    {"kill engine", Target::kEngine, SIGKILL, 3},
    {"stop engine", Target::kEngine, SIGTERM, 2},
    {"pause engine", Target::kEngine, SIGSTOP, 2},
    {"pause service", Target::kService, SIGSTOP, 2},
};

struct Fault {
  Duration at{};  // from the start of the round
  const KindRow* row = nullptr;
  std::uint64_t target = 0;
  std::vector<Duration> lengths;  // by VM for faults of all
};

// A process, and the signal that it got and that isn't made good yet.
struct Subject {
  std::string name;
  std::function<ChildProcess&()> process;
  std::function<void()> restart;
  int signal = 0;
  Instant heal_at;

  bool up() const { return signal == 0; }
};

class Soak {
 public:
  Soak(std::uint64_t seed, std::size_t vms)
      : seed_(seed), random_(seed), fleet_({Zones(vms), true, kReplicas}) {
    fleet_.KeepFolder();
    for (std::size_t n = 0; n < kReplicas; ++n) {
      fleet_.AddEngine(fleet_.vms()[n].zone);
      fleet_.AddService(fleet_.vms()[n].zone);
    }
    fleet_.AwaitServing();
    AddSubjects(fleet_.vms(), &vms_,
                [this](std::size_t n) { fleet_.RestartVm(n); });
    AddSubjects(fleet_.engines(), &engines_,
                [this](std::size_t n) { fleet_.RestartEngine(n); });
    AddSubjects(fleet_.services(), &services_, [](std::size_t /*n*/) {});
    changes_ = std::make_unique<ChangeStream>(fleet_, seed);
  }

  void Run(int rounds) {
    for (round_ = 0; round_ < rounds; ++round_) {
      RunRound();
    }
    changes_->Finish();
    fleet_.DropFolder();
  }

 private:
  static std::vector<std::string> Zones(std::size_t vms) {
    const char* const names[] = {"ikeja", "lekki", "yaba"};
    std::vector<std::string> out;
    for (std::size_t n = 0; n < vms; ++n) {
      out.emplace_back(names[n % std::size(names)]);
    }
    return out;
  }

  template <class Process>
  static void AddSubjects(std::vector<Process>& from,
                          std::vector<Subject>* out,
                          const std::function<void(std::size_t)>& restart) {
    for (std::size_t n = 0; n < from.size(); ++n) {
      Subject it;
      it.name = from[n].name;
      it.process = [&from, n]() -> ChildProcess& { return *from[n].process; };
      it.restart = [restart, n] { restart(n); };
      out->push_back(std::move(it));
    }
  }

  void RunRound() {
    constexpr std::uint64_t kRoundsPerSeed = 1000;
    const auto faults = DrawFaults();
    allowances_ = {};
    Traffic traffic(
        StandardMix(fleet_, kRoundTime),
        seed_ * kRoundsPerSeed + static_cast<std::uint64_t>(round_));
    start_ = clock_.Now();
    for (const auto& it : faults) {
      while (clock_.Now() < start_ + it.at) {
        HealDue();
        std::this_thread::sleep_for(kStep);
      }
      changes_->Check();
      Play(it);
    }
    while (!HealDue()) {
      std::this_thread::sleep_for(kStep);
    }
    Print("all healed");
    const auto& samples = traffic.Join();
    fleet_.AwaitServing();
    CheckInvariants(fleet_, samples, allowances_);
    fmt::print(stderr, "\n");
    changes_->Check();
  }

  std::vector<Fault> DrawFaults() {
    constexpr int kMaxGapMs = 1500;
    constexpr int kMaxLengthMs = 2500;
    const auto draw = [this](int max) {
      return milliseconds(static_cast<int>(random_() % max));
    };
    int weights = 0;
    for (const auto& it : kKinds) {
      weights += it.weight;
    }
    std::vector<Fault> out;
    for (Duration at = draw(kMaxGapMs); at < kFaultTime;
         at += draw(kMaxGapMs)) {
      Fault fault;
      fault.at = at;
      auto weight = static_cast<int>(random_() % weights);
      fault.row = std::find_if(
          std::begin(kKinds), std::end(kKinds),
          [&weight](const auto& it) { return (weight -= it.weight) < 0; });
      fault.target = random_();
      for (std::size_t n = 0; n < vms_.size(); ++n) {
        fault.lengths.emplace_back(draw(kMaxLengthMs));
      }
      out.push_back(std::move(fault));
    }
    return out;
  }

  void Print(const std::string& text) const {
    fmt::print(
        "round {} {:6} ms: {}\n", round_,
        std::chrono::duration_cast<milliseconds>(clock_.Now() - start_).count(),
        text);
  }

  // Plays the fault unless its target has one that it can't be added to.
  void Play(const Fault& fault) {
    const auto& row = *fault.row;
    switch (row.target) {
      case Target::kVm:
        PlayVm(fault);
        break;
      case Target::kAllVms:
        if (CaughtUp()) {
          Print(row.name);
          KillAllVms(fault);
        }
        break;
      case Target::kDisk:
      case Target::kDiskOfAll:
        PlayDisk(fault);
        break;
      case Target::kEngine:
      case Target::kService: {
        auto& subjects = row.target == Target::kEngine ? engines_ : services_;
        const auto n = fault.target % subjects.size();
        if (!subjects[n].up()) {
          break;
        }
        Print(fmt::format("{} {}", row.name, subjects[n].name));
        if (row.signal != SIGSTOP) {
          fleet_.KeepRuns(fleet_.engines()[n]);
        }
        SendSignal(subjects[n], row.signal, fault.lengths.front());
        break;
      }
    }
  }

  void SendSignal(Subject& subject, int signal, Duration length) {
    subject.process().Signal(signal);
    if (signal == SIGKILL) {
      CPPUNIT_ASSERT(subject.process().Wait(kExitTimeout).has_value());
    }
    subject.signal = signal;
    subject.heal_at = clock_.Now() + length;
  }

  // A paused VM may be killed.
  void PlayVm(const Fault& fault) {
    const auto n = fault.target % vms_.size();
    const auto signal = fault.row->signal;
    const bool kills_paused = vms_[n].signal == SIGSTOP && signal == SIGKILL;
    if (CaughtUp() && (vms_[n].up() || kills_paused)) {
      Print(fmt::format("{} {}", fault.row->name, vms_[n].name));
      SignalVm(n, signal, fault.lengths[n]);
    }
  }

  void SignalVm(std::size_t n, int signal, Duration length) {
    changes_->SetDown(n);
    (signal == SIGTERM ? allowances_.absent_entries
                       : allowances_.broken_entries)
        .insert(n);
    SendSignal(vms_[n], signal, length);
  }

  void KillAllVms(const Fault& fault) {
    for (std::size_t n = 0; n < vms_.size(); ++n) {
      changes_->SetDown(n);
      vms_[n].process().Signal(SIGKILL);
    }
    for (std::size_t n = 0; n < vms_.size(); ++n) {
      SignalVm(n, SIGKILL, fault.lengths[n]);
    }
  }

  // Whether the VM whose disk was emptied last has what was acknowledged since.
  bool CaughtUp() {
    if (emptied_ && vms_[*emptied_].up() && changes_->IsCurrent(*emptied_)) {
      emptied_.reset();
    }
    return !emptied_;
  }

  // Only while all VMs have every acknowledged change, so that the other
  // replicas still have what the disk held.
  void PlayDisk(const Fault& fault) {
    if (!CaughtUp() || !std::all_of(vms_.begin(), vms_.end(),
                                    [](const auto& it) { return it.up(); })) {
      return;
    }
    const auto n = fault.target % kReplicas;
    const auto hold = changes_->HoldChanges();
    Print(fmt::format("{} {}", fault.row->name, vms_[n].name));
    if (fault.row->target == Target::kDisk) {
      SignalVm(n, SIGKILL, fault.lengths[n]);
    } else {
      KillAllVms(fault);
    }
    fleet_.EmptyDataFolder(n);
    changes_->SetEmptied(n);
    emptied_ = n;
  }

  // Ends the faults whose time is over. Returns whether none is left.
  bool HealDue() {
    bool all_up = true;
    for (auto* subjects : {&vms_, &engines_, &services_}) {
      for (std::size_t n = 0; n < subjects->size(); ++n) {
        auto& it = (*subjects)[n];
        if (!it.up() && clock_.Now() >= it.heal_at && Heal(it)) {
          Print(it.name + " is up");
          if (subjects == &vms_) {
            changes_->SetUp(n);
          }
        }
        all_up = all_up && it.up();
      }
    }
    return all_up;
  }

  // Returns whether the process is up again.
  static bool Heal(Subject& it) {
    if (it.signal == SIGSTOP) {
      it.process().Signal(SIGCONT);
    } else {
      if (it.signal == SIGTERM) {
        const auto code = it.process().Wait(Duration::zero());
        CPPUNIT_ASSERT_MESSAGE(
            it.name + " doesn't stop",
            code || SystemClock().Now() < it.heal_at + kExitTimeout);
        if (!code) {
          return false;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, 0, *code);
      }
      it.restart();
    }
    it.signal = 0;
    return true;
  }

  const std::uint64_t seed_;
  const SystemClock clock_;
  std::mt19937_64 random_;
  Fleet fleet_;
  std::vector<Subject> vms_;
  std::vector<Subject> engines_;
  std::vector<Subject> services_;
  std::optional<std::size_t> emptied_;  // that isn't known to have caught up
  std::unique_ptr<ChangeStream> changes_;
  Allowances allowances_;
  int round_ = 0;
  Instant start_;  // of the round
};

int RunSoak(std::uint64_t seed, int duration, std::size_t vms) {
  const auto rounds =
      std::max<int>(1, static_cast<int>(seconds(duration) / kRoundTime));
  fmt::print("seed {}, {} rounds, {} VMs\n", seed, rounds, vms);
  try {
    Soak(seed, vms).Run(rounds);
  } catch (const CppUnit::Exception& e) {
    fmt::print("seed {} failed at line {}: {}\n", seed,
               e.sourceLine().lineNumber(), e.what());
    return 1;
  }
  fmt::print("seed {} passed\n", seed);
  return 0;
}

}  // namespace
}  // namespace baobabrun::testsuite

int main(int argc, const char** argv) {
  int seed = 1;
  int duration = 20;
  int vms = 5;
  const poptOption table[] = {
      {"seed", 's', POPT_ARG_INT, &seed, 0, "of all draws", "N"},
      {"seconds", 't', POPT_ARG_INT, &duration, 0, "rounds of 20 s", "S"},
      {"vms", 'n', POPT_ARG_INT, &vms, 0, "3 to 12, three of them replicas",
       "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("soak", argc, argv, table, 0), &poptFreeContext);
  if (poptGetNextOpt(context.get()) != -1 || vms < 3 || vms > 12) {
    fmt::print(stderr, "soak: bad usage; see --help\n");
    return 2;
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  return baobabrun::testsuite::RunSoak(static_cast<std::uint64_t>(seed),
                                       duration, static_cast<std::size_t>(vms));
}
