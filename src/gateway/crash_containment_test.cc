// Tests after the incident "a part of a prompt crashed one endpoint after the
// other": entries and engines in simulated time, with callers whose prompts
// share parts. Some parts crash each engine that begins to write an answer.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway.h"

namespace baobabrun {
namespace {

const ModelId kModel("m");
constexpr char kService[] = "engines";
constexpr int kFirstParts = 3;
constexpr int kDocuments = 150;
// The rule: once a part has ended this many engines, no more than
// kMostLateArrivals calls with it reach engines later than kSettled after that.
constexpr std::size_t kCrashes = 5;
constexpr Duration kSettled = seconds(3);
constexpr std::size_t kMostLateArrivals = 3;
// Sound calls must begin at their first attempt at least this share as often as
// before, from twice kSettled on.
constexpr double kMinBegunShare = 0.5;

ManifestViewPtr DraftManifest() {
  Manifest manifest;
  manifest.number = 1;
  manifest.services.push_back(
      {kService, 10, true, {64, 100'000, {kModel}}, false, {}, {}, 0});
  ManifestRoute route;
  route.route = RouteId("draft");
  route.host = "a.example";
  route.path_prefix = "/draft/";
  route.kind = RouteKind::kStream;
  route.timeout = seconds(15);
  route.target_latency = milliseconds(400);
  route.target_event_gap = milliseconds(300);
  route.max_attempts = 2;
  route.resumable = true;
  route.uses_prompt_prefix = true;
  route.open = true;
  route.shares = {{kService, 1}};
  manifest.routes = {route};
  return std::make_shared<const ManifestView>(std::move(manifest));
}

FleetStatePtr StateWithWeights() {
  auto state = std::make_shared<FleetState>();
  state->version = StateVersion(1);
  state->named_weights = {{kModel, 1}};
  return state;
}

// What callers saw of the sound calls that arrived within a time.
struct SoundCalls {
  std::size_t sent = 0;
  std::size_t begun = 0;  // at the first attempt
  std::size_t whole = 0;
  std::size_t refused = 0;  // as poison

  double begun_share() const {
    return static_cast<double>(begun) / static_cast<double>(sent);
  }
};

// A fleet of entries before engines, in steps of a millisecond.
class CrashingFleet {
 public:
  struct Options {
    std::size_t entries = 6;
    std::size_t engines = 12;
    std::uint64_t seed = 1;
    double sound_per_s = 40;
    double culprits_per_s = 3;
    bool callers_retry = true;
  };

  explicit CrashingFleet(Options options)
      : options_(options), random_(options.seed), endpoints_(true) {
    for (std::size_t n = 0; n < options_.entries; ++n) {
      names_.emplace_back("vm" + std::to_string(n));
    }
    for (std::size_t n = 0; n < options_.engines; ++n) {
      StartEngine(static_cast<std::uint16_t>(n + 1));
    }
    for (std::size_t n = 0; n < options_.entries; ++n) {
      StartEntry(n);
    }
  }

  // Parts that crash engines; calls take them in turn. They are a prompt's
  // first part if `culprit_is_first`, else the one after it.
  std::vector<std::string> culprits;
  bool culprit_is_first = false;
  // Sound calls hold the culprits too until the parts begin to crash engines.
  bool harmless = false;
  // How long a message travels; null if it is lost.
  std::function<std::optional<Duration>(std::size_t from, std::size_t to)>
      network = [](std::size_t, std::size_t) { return milliseconds(1); };
  // Engines that crash for no reason, each second.
  double causeless_crashes_per_s = 0;
  // The share of attempts whose answer breaks off, the engine staying up.
  double broken_share = 0;

  void Run(Duration time) {
    const auto until = now_ + time;
    while (now_ < until) {
      now_ += milliseconds(1);
      Step();
    }
  }

  // The entry loses all that it knew.
  void Restart(std::size_t entry) {
    for (const auto& it : entries_[entry]->RunningAttempts()) {
      running_.erase(it);
    }
    StartEntry(entry);
  }

  // A third of the engines end at the same moment.
  void CrashManyEngines() {
    std::size_t n = 0;
    for (auto& [id, it] : engines_) {
      if (it.up && n++ % 3 == 0) {
        Crash(it);
      }
    }
  }

  // Calls with the part that reached engines later than kSettled after the
  // fifth crash, from entries that had started by then.
  std::size_t LateArrivals(const std::string& part) const {
    const auto it = crashes_.find(part);
    if (it == crashes_.end() || it->second.size() < kCrashes) {
      return 0;
    }
    const auto from = it->second[kCrashes - 1] + kSettled;
    return static_cast<std::size_t>(std::count_if(
        arrivals_.begin(), arrivals_.end(), [&](const auto& arrival) {
          return arrival.part == part && arrival.at > from &&
                 arrival.at > started_[arrival.entry] + kSettled &&
                 !out_of_touch(arrival.entry, arrival.at);
        }));
  }
  std::size_t CrashesOf(const std::string& part) const {
    const auto it = crashes_.find(part);
    return it == crashes_.end() ? 0 : it->second.size();
  }
  SoundCalls SoundSince(Instant from) const {
    SoundCalls out;
    for (const auto& [id, it] : calls_) {
      if (it.sound && it.arrived >= from && it.arrived < now_ - seconds(2)) {
        ++out.sent;
        out.begun += it.begun_at_first ? 1 : 0;
        out.whole += it.whole ? 1 : 0;
        out.refused += it.refused_as_poison ? 1 : 0;
      }
    }
    return out;
  }
  Instant now() const { return now_; }
  std::string name() const { return "seed " + std::to_string(options_.seed); }

  // Whether the rules hold nothing against what the entry sends at that time.
  std::function<bool(std::size_t entry, Instant at)> out_of_touch =
      [](std::size_t, Instant) { return false; };

 private:
  struct Engine {
    EndpointId id;
    Address address;
    bool up = true;
    std::uint64_t sequence = 1;
  };
  struct Call {
    GatewayCallPtr call;
    std::size_t entry = 0;
    bool sound = true;
    std::string culprit;  // empty if the call holds none
    Instant arrived;
    int attempts = 0;
    int retries = 0;
    bool begun_at_first = false;
    bool whole = false;
    bool refused_as_poison = false;
  };
  struct Running {
    std::size_t entry = 0;
    EndpointAttempt send;
    std::string engine;
    bool has_head = false;
    std::optional<Instant> first_event;
  };
  struct Arrival {
    std::string part;
    std::size_t entry = 0;
    Instant at;
  };
  struct Entry {
    std::unique_ptr<Gateway> gateway;
    CrashingFleet* fleet = nullptr;
    std::size_t index = 0;

    std::vector<AttemptId> RunningAttempts() const {
      std::vector<AttemptId> out;
      for (const auto& [id, it] : fleet->running_) {
        if (it.entry == index) {
          out.push_back(id);
        }
      }
      return out;
    }
  };

  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  Duration Between(int low_ms, int high_ms) {
    return milliseconds(
        std::uniform_int_distribution<int>(low_ms, high_ms)(random_));
  }
  void After(Duration delay, std::function<void()> action) {
    events_.emplace(now_ + delay, std::move(action));
  }

  void StartEngine(std::uint16_t port) {
    Engine engine;
    engine.id = EndpointId("e" + std::to_string(++last_engine_));
    engine.address = {"10.0.0.1", port};
    Report(engine);
    engines_[engine.id.value()] = engine;
  }
  void Report(Engine& engine) {
    EndpointRecord record;
    record.endpoint = engine.id;
    record.service = kService;
    record.address = engine.address;
    record.incarnation = Incarnation(last_engine_);
    if (const auto* known = endpoints_.registry().Find(engine.id)) {
      record.incarnation = known->incarnation;
    }
    record.sequence = engine.sequence++;
    record.models = {{kModel, 1}};
    endpoints_.Report(record, now_);
  }
  void StartEntry(std::size_t index) {
    GatewayOptions options;
    options.self = names_[index];
    options.seed = options_.seed * 100 + ++starts_;
    options.attempt_prefix = static_cast<std::uint32_t>(starts_);
    options.retries = {0.2, seconds(10), 100};
    auto entry = std::make_unique<Entry>();
    entry->gateway = std::make_unique<Gateway>(options, endpoints_);
    entry->fleet = this;
    entry->index = index;
    std::vector<EntryPeer> others;
    for (std::size_t n = 0; n < names_.size(); ++n) {
      if (n != index) {
        others.push_back({names_[n], ZoneId()});
      }
    }
    entry->gateway->SetPeers(names_.size(), others, {}, now_);
    entry->gateway->OnState(StateWithWeights(), DraftManifest(), now_);
    entries_.resize(names_.size());
    started_.resize(names_.size());
    entries_[index] = std::move(entry);
    started_[index] = now_;
  }

  void Step() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    if (Uniform(0, 1000) < options_.sound_per_s) {
      Arrive(true);
    }
    if (!culprits.empty() && Uniform(0, 1000) < options_.culprits_per_s) {
      Arrive(false);
    }
    if (Uniform(0, 1000) < causeless_crashes_per_s) {
      CrashOneEngine();
    }
    if (now_ >= next_report_) {
      next_report_ = now_ + seconds(1);
      for (auto& [id, it] : engines_) {
        if (it.up) {
          Report(it);
        }
      }
    }
    for (std::size_t n = 0; n < entries_.size(); ++n) {
      entries_[n]->gateway->Advance(now_);
      Perform(n);
    }
  }

  void Arrive(bool sound) {
    Call call;
    call.sound = sound;
    auto made = std::make_shared<GatewayCall>();
    made->method = "POST";
    made->host = "a.example";
    made->path = "/draft/" + std::to_string(++last_body_);
    made->target = made->path;
    made->model = kModel;
    made->output_tokens = 70;
    const auto pick = [this](int n) {
      return std::to_string(
          std::uniform_int_distribution<int>(0, n - 1)(random_));
    };
    const PromptPart first{"first" + pick(kFirstParts), 120};
    const PromptPart document{"document" + pick(kDocuments), 80};
    made->parts = {first, document};
    if (!sound) {
      call.culprit = culprits[next_culprit_++ % culprits.size()];
      const PromptPart culprit{call.culprit, 100};
      made->parts.insert(made->parts.begin() + (culprit_is_first ? 0 : 1),
                         culprit);
    }
    made->parts.push_back({"own" + std::to_string(last_body_), 600});
    call.call = made;
    Give(std::move(call));
  }
  void Give(Call call) {
    call.entry = std::uniform_int_distribution<std::size_t>(
        0, entries_.size() - 1)(random_);
    auto made = std::make_shared<GatewayCall>(*call.call);
    made->id = RequestId(++last_call_);
    made->caller_id = std::to_string(last_call_);
    made->arrived = now_;
    call.call = made;
    call.arrived = now_;
    const auto entry = call.entry;
    calls_[made->id] = std::move(call);
    entries_[entry]->gateway->OnCall(made, now_);
    Perform(entry);
  }
  void RetryAfterFailure(const Call& call) {
    if (options_.callers_retry && call.retries == 0) {
      auto again = call;
      again.retries = 1;
      again.attempts = 0;
      again.begun_at_first = false;
      After(milliseconds(300), [this, again] { Give(again); });
    }
  }

  void Perform(std::size_t entry) {
    auto& gateway = *entries_[entry]->gateway;
    for (auto& it : gateway.TakeActions()) {
      if (const auto* send = std::get_if<SendCall>(&it)) {
        Send(entry, send->send);
      } else if (const auto* cancel = std::get_if<CancelSend>(&it)) {
        EndAttempt(cancel->attempt, SendOutcome::kCancelled);
      } else if (const auto* refuse = std::get_if<RefuseCall>(&it)) {
        auto& call = calls_.at(refuse->request);
        const bool poison = refuse->refusal.reason == RefusalReason::kPoison;
        call.refused_as_poison |= poison;
        if (!poison) {
          RetryAfterFailure(call);
        }
      } else if (const auto* abort = std::get_if<AbortAnswer>(&it)) {
        RetryAfterFailure(calls_.at(abort->request));
      }
    }
    for (const auto& it : gateway.TakeMessages(now_)) {
      Deliver(entry, it);
    }
  }
  void Deliver(std::size_t from, const PeerMessage& message) {
    const auto to = static_cast<std::size_t>(
        std::find(names_.begin(), names_.end(), message.to) - names_.begin());
    if (to == names_.size()) {
      return;
    }
    if (const auto delay = network(from, to)) {
      After(*delay, [this, from, to, payload = message.payload] {
        const auto read = DecodeGatewayMessage(payload);
        CPPUNIT_ASSERT(read.ok());
        entries_[to]->gateway->Receive(names_[from], read.value(), now_);
      });
    }
  }

  void Send(std::size_t entry, const EndpointAttempt& send) {
    auto& call = calls_.at(send.call->id);
    ++call.attempts;
    running_[send.attempt] = {entry, send, send.endpoint.value(), false, {}};
    After(milliseconds(2), [this, id = send.attempt] { Reach(id); });
  }
  void Reach(AttemptId id) {
    const auto it = running_.find(id);
    if (it == running_.end()) {
      return;
    }
    if (!engines_.at(it->second.engine).up) {
      EndAttempt(id, SendOutcome::kNotSent);
      return;
    }
    const auto& call = calls_.at(it->second.send.call->id);
    if (!call.culprit.empty()) {
      arrivals_.push_back({call.culprit, it->second.entry, now_});
    }
    After(Between(30, 150), [this, id] { Head(id); });
  }
  void Head(AttemptId id) {
    const auto it = running_.find(id);
    if (it != running_.end()) {
      it->second.has_head = true;
      if (Uniform(0, 1) < broken_share) {
        After(Between(1, 60),
              [this, id] { EndAttempt(id, SendOutcome::kBroken); });
        return;
      }
      After(milliseconds(20), [this, id] { Begin(id); });
    }
  }
  void Begin(AttemptId id) {
    const auto it = running_.find(id);
    if (it == running_.end()) {
      return;
    }
    auto& call = calls_.at(it->second.send.call->id);
    if (!call.culprit.empty() && !harmless) {
      crashes_[call.culprit].push_back(now_);
      Crash(engines_.at(it->second.engine));
      return;
    }
    it->second.first_event = now_;
    call.begun_at_first |= call.attempts == 1;
    Progress(id, Between(200, 800) / milliseconds(100));
  }
  // Reports `left` more events, then the end.
  void Progress(AttemptId id, std::int64_t left) {
    const auto it = running_.find(id);
    if (it == running_.end()) {
      return;
    }
    if (left == 0) {
      calls_.at(it->second.send.call->id).whole = true;
      EndAttempt(id, SendOutcome::kAnswered);
      return;
    }
    entries_[it->second.entry]->gateway->OnProgress(
        {it->second.send.call->id, id, true}, now_);
    Perform(it->second.entry);
    After(milliseconds(100), [this, id, left] { Progress(id, left - 1); });
  }
  void Crash(Engine& engine) {
    engine.up = false;
    std::vector<AttemptId> broken;
    for (const auto& [id, it] : running_) {
      if (it.engine == engine.id.value()) {
        broken.push_back(id);
      }
    }
    for (const auto& it : broken) {
      EndAttempt(it, SendOutcome::kBroken);
    }
    After(Between(1'500, 3'500),
          [this, id = engine.id, port = engine.address.port] {
            endpoints_.MarkGone(id, Incarnation(), now_);
            StartEngine(port);
            for (auto& it : entries_) {
              it->gateway->OnEndpointsChanged(now_);
            }
          });
  }
  void CrashOneEngine() {
    std::vector<Engine*> up;
    for (auto& [id, it] : engines_) {
      if (it.up) {
        up.push_back(&it);
      }
    }
    if (!up.empty()) {
      Crash(*up[std::uniform_int_distribution<std::size_t>(
          0, up.size() - 1)(random_)]);
    }
  }
  void EndAttempt(AttemptId id, SendOutcome outcome) {
    const auto node = running_.extract(id);
    if (node.empty()) {
      return;
    }
    const auto& it = node.mapped();
    AttemptResult end;
    end.request = it.send.call->id;
    end.attempt = id;
    end.outcome = outcome;
    end.status = it.has_head ? 200 : 0;
    end.begun = it.has_head;
    end.first_event = it.first_event;
    end.last_event = it.first_event ? "1" : "";
    After(milliseconds(1), [this, end, entry = it.entry,
                            gateway = entries_[it.entry]->gateway.get()] {
      if (entries_[entry]->gateway.get() == gateway) {
        gateway->OnAttemptResult(end, now_);
        Perform(entry);
      }
    });
  }

  const Options options_;
  std::mt19937_64 random_;
  Instant now_{seconds(100)};
  RegistryReplicator endpoints_;
  std::vector<VmId> names_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<Instant> started_;
  std::map<std::string, Engine> engines_;
  std::multimap<Instant, std::function<void()>> events_;
  std::map<RequestId, Call> calls_;
  std::map<AttemptId, Running> running_;
  std::vector<Arrival> arrivals_;
  std::map<std::string, std::vector<Instant>> crashes_;
  Instant next_report_;
  std::uint64_t last_engine_ = 0;
  std::uint64_t last_body_ = 0;
  std::uint64_t last_call_ = 0;
  std::size_t next_culprit_ = 0;
  std::uint64_t starts_ = 0;
};

// Plays a case for several seeds. BAOBABRUN_SIM_SEEDS sets their number, and
// BAOBABRUN_SIM_FIRST_SEED the first one.
void ForEachSeed(
    const std::function<void(const CrashingFleet::Options& options)>& play) {
  const auto from_environment = [](const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
  };
  constexpr std::uint64_t kSeeds = 4;
  const auto first = from_environment("BAOBABRUN_SIM_FIRST_SEED", 1);
  const auto count = from_environment("BAOBABRUN_SIM_SEEDS", kSeeds);
  for (auto seed = first; seed < first + count; ++seed) {
    CrashingFleet::Options options;
    options.seed = seed;
    play(options);
  }
}

}  // namespace

class CrashContainmentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashContainmentTest);
  CPPUNIT_TEST(CallsThatShareACrashingPartAreContained);
  CPPUNIT_TEST(CallsThatShareACrashingFirstPartAreContained);
  CPPUNIT_TEST(TwoCrashingPartsAreContained);
  CPPUNIT_TEST(CrashingPartIsContainedAmongCrashesWithoutACause);
  CPPUNIT_TEST(CrashingPartIsContainedWhenNoticesAreLateOrLost);
  CPPUNIT_TEST(CrashingPartIsContainedInAFleetWithRelays);
  CPPUNIT_TEST(RareCallsWithACrashingPartAreContained);
  CPPUNIT_TEST(PartThatBeginsToCrashEnginesIsContained);
  CPPUNIT_TEST(RestartedVmIsToldOfACrashingPart);
  CPPUNIT_TEST(VmThatWasCutOffIsToldOfACrashingPart);
  CPPUNIT_TEST(CrashesWithoutACauseBlameNoPart);
  CPPUNIT_TEST(BrokenAnswersBlameNoPart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CallsThatShareACrashingPartAreContained() {
    ForEachSeed([](const auto& options) {
      CrashingFleet fleet(options);
      RunWithCulprits(fleet, {"bad"});
    });
  }

  void CallsThatShareACrashingFirstPartAreContained() {
    ForEachSeed([](const auto& options) {
      CrashingFleet fleet(options);
      fleet.culprit_is_first = true;
      RunWithCulprits(fleet, {"bad"});
    });
  }

  void TwoCrashingPartsAreContained() {
    ForEachSeed([](const auto& options) {
      CrashingFleet fleet(options);
      RunWithCulprits(fleet, {"bad", "worse"});
    });
  }

  void CrashingPartIsContainedAmongCrashesWithoutACause() {
    ForEachSeed([](const auto& options) {
      CrashingFleet fleet(options);
      fleet.causeless_crashes_per_s = 1;
      fleet.broken_share = 0.05;
      RunWithCulprits(fleet, {"bad"});
    });
  }

  void CrashingPartIsContainedWhenNoticesAreLateOrLost() {
    ForEachSeed([](const auto& options) {
      CrashingFleet fleet(options);
      std::mt19937_64 random(options.seed);
      fleet.network = [&random](std::size_t,
                                std::size_t) -> std::optional<Duration> {
        if (std::uniform_real_distribution<double>(0, 1)(random) < 0.3) {
          return std::nullopt;
        }
        return milliseconds(std::uniform_int_distribution<int>(1, 400)(random));
      };
      RunWithCulprits(fleet, {"bad"});
    });
  }

  void CrashingPartIsContainedInAFleetWithRelays() {
    ForEachSeed([](CrashingFleet::Options options) {
      options.entries = 24;
      options.engines = 24;
      options.sound_per_s = 80;
      CrashingFleet fleet(options);
      RunWithCulprits(fleet, {"bad"});
    });
  }

  void RareCallsWithACrashingPartAreContained() {
    ForEachSeed([](CrashingFleet::Options options) {
      options.culprits_per_s = 0.4;
      CrashingFleet fleet(options);
      RunWithCulprits(fleet, {"bad"}, seconds(40));
    });
  }

  void PartThatBeginsToCrashEnginesIsContained() {
    ForEachSeed([](const auto& options) {
      CrashingFleet fleet(options);
      fleet.culprits = {"bad"};
      fleet.harmless = true;
      fleet.Run(seconds(6));
      fleet.harmless = false;
      RunWithCulprits(fleet, {"bad"});
    });
  }

  void RestartedVmIsToldOfACrashingPart() {
    ForEachSeed([](const auto& options) {
      CrashingFleet fleet(options);
      const auto begin = fleet.now();
      fleet.culprits = {"bad"};
      fleet.Run(seconds(8));
      for (std::size_t n = 0; n < 3; ++n) {
        fleet.Restart(n);
        fleet.Run(seconds(4));
      }
      CheckContained(fleet, "bad");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.name(), std::size_t{0},
                                   fleet.SoundSince(begin).refused);
    });
  }

  void VmThatWasCutOffIsToldOfACrashingPart() {
    ForEachSeed([](const auto& options) {
      CrashingFleet fleet(options);
      const auto begin = fleet.now();
      const auto normal = fleet.network;
      fleet.network = [](std::size_t from,
                         std::size_t to) -> std::optional<Duration> {
        if ((from < 2) != (to < 2)) {
          return std::nullopt;
        }
        return milliseconds(1);
      };
      const auto healed = fleet.now() + seconds(12);
      fleet.out_of_touch = [healed](std::size_t entry, Instant at) {
        return entry < 2 && at < healed + kSettled;
      };
      fleet.culprits = {"bad"};
      fleet.Run(healed - fleet.now());
      fleet.network = normal;
      fleet.Run(seconds(10));
      CheckContained(fleet, "bad");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.name(), std::size_t{0},
                                   fleet.SoundSince(begin).refused);
    });
  }

  void CrashesWithoutACauseBlameNoPart() {
    ForEachSeed([](const auto& options) {
      CrashingFleet fleet(options);
      const auto begin = fleet.now();
      fleet.Run(seconds(2));
      fleet.causeless_crashes_per_s = 2;
      for (int n = 0; n < 5; ++n) {
        fleet.Run(seconds(5));
        fleet.CrashManyEngines();
      }
      fleet.Run(seconds(5));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.name(), std::size_t{0},
                                   fleet.SoundSince(begin).refused);
    });
  }

  // Engines also go on serving after an answer of theirs has broken off.
  void BrokenAnswersBlameNoPart() {
    ForEachSeed([](const auto& options) {
      CrashingFleet fleet(options);
      const auto begin = fleet.now();
      fleet.broken_share = 0.3;
      fleet.Run(seconds(30));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.name(), std::size_t{0},
                                   fleet.SoundSince(begin).refused);
    });
  }

 private:
  static void CheckContained(const CrashingFleet& fleet,
                             const std::string& part) {
    const auto found = fleet.name() + ", " + part + ": " +
                       std::to_string(fleet.CrashesOf(part)) +
                       " crashes, late arrivals " +
                       std::to_string(fleet.LateArrivals(part));
    CPPUNIT_ASSERT_MESSAGE(found,
                           fleet.LateArrivals(part) <= kMostLateArrivals);
  }

  // Runs calm seconds, then calls with the culprits, and checks both promises:
  // few victims, and sound calls that are served.
  static void RunWithCulprits(CrashingFleet& fleet,
                              const std::vector<std::string>& culprits,
                              Duration time = seconds(20)) {
    const auto begin = fleet.now();
    fleet.Run(seconds(6));
    const auto before = fleet.SoundSince(begin);
    fleet.culprits = culprits;
    const auto first = fleet.now();
    fleet.Run(time);
    for (const auto& it : culprits) {
      CPPUNIT_ASSERT(fleet.CrashesOf(it) > 0);
      CheckContained(fleet, it);
    }
    const auto all = fleet.SoundSince(first);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.name(), std::size_t{0}, all.refused);
    const auto after = fleet.SoundSince(first + time / 2);
    const auto found = fleet.name() + ": " +
                       std::to_string(before.begun_share()) + " before, " +
                       std::to_string(after.begun_share()) + " after";
    CPPUNIT_ASSERT_MESSAGE(
        found, after.begun_share() >= kMinBegunShare * before.begun_share());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashContainmentTest);

}  // namespace baobabrun
