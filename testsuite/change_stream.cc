// Proposes changes and checks that they are in force.
#include "change_stream.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "standin/http_call.h"

namespace baobabrun::testsuite {
namespace {

using nlohmann::json;

// The users' target for a change to be in force everywhere, counted from the
// acknowledgement and from the VM's start.
constexpr Duration kInForceWithin = seconds(8);
constexpr milliseconds kPause{150};
constexpr char kContractKey[] = "hall-c-1";

// Returns the declarations with or without a contract of hall-c, and always
// with its key.
json DeclarationsOf(const Fleet& fleet, bool contract) {
  std::ifstream in(fleet.folder() / "declarations" / "all.json");
  auto out = json::parse(in);
  if (contract) {
    auto added = out["contracts"].front();
    added["organisation"] = "hall-c";
    out["contracts"].push_back(std::move(added));
  }
  out["keys"].push_back({{"key", kContractKey},
                         {"organisation", "hall-c"},
                         {"hash", HashKeyToHex("sk-hall-c")}});
  return out;
}

std::string SecretOf(const std::string& key) {
  return key.starts_with("hall-") ? "sk-" + key.substr(0, key.rfind('-'))
                                  : "sk-hall-" + key;
}

bool IsServed(int changes) {
  return changes % 2 == 1;
}

std::map<std::string, bool> WithdrawnKeys(
    const std::map<std::string, int>& state) {
  std::map<std::string, bool> out;
  for (const auto& [key, changes] : state) {
    out[key] = key != kContractKey && !IsServed(changes);
  }
  return out;
}

json Parse(const std::string& text) {
  auto out = json::parse(text, nullptr, false);
  return out.is_object() ? out : json::object();
}

}  // namespace

ChangeStream::ChangeStream(const Fleet& fleet, std::uint64_t seed)
    : fleet_(fleet),
      operator_random_(seed),
      watcher_random_(seed + 1),
      vms_(fleet.vms().size()),
      wanted_{{"hall-a-1", 1}, {"hall-b-1", 1}} {
  for (auto& it : vms_) {
    it.up_since = SystemClock().Now();
  }
  const auto start = [](const char* name, std::function<void()> body) {
    auto thread = DutyThread::Start(name, std::move(body));
    CPPUNIT_ASSERT(thread.ok());
    return std::move(thread.value());
  };
  operator_ = start("operator", [this] {
    while (!stop_) {
      Commit();
      std::this_thread::sleep_for(kPause);
    }
  });
  watcher_ = start("watcher", [this] {
    for (std::size_t n = 0; !stop_; n = (n + 1) % vms_.size()) {
      CheckVm(n);
      std::this_thread::sleep_for(kPause / vms_.size());
    }
  });
}

ChangeStream::~ChangeStream() {
  stop_ = true;
  given_up_ = true;
}

void ChangeStream::SetUp(std::size_t vm) {
  std::lock_guard lock(mutex_);
  vms_[vm].up_since = SystemClock().Now();
  ++vms_[vm].spell;
}

void ChangeStream::SetDown(std::size_t vm) {
  std::lock_guard lock(mutex_);
  vms_[vm].up_since.reset();
}

void ChangeStream::SetEmptied(std::size_t vm) {
  std::lock_guard lock(mutex_);
  vms_[vm].shown = 0;
}

bool ChangeStream::IsCurrent(std::size_t vm) const {
  std::unique_lock lock(mutex_);
  const auto last = acked_.empty() ? 1 : acked_.rbegin()->first;
  lock.unlock();
  const auto& vms = fleet_.vms();
  const bool current = Look(vm).version >= last;
  if (!current || !vms[vm].replica) {
    return current;
  }
  for (std::size_t n = 0; n < vms.size(); ++n) {
    const auto control =
        Parse(fleet_.CallOperatorApi(n, "GET", "/operator/status", ""))
            .value("control", json::object());
    if (control.value("leads_here", false)) {
      const auto stored = control["replicas"].value(vms[vm].name, 0);
      return n == vm || stored >= control.value("commit_index", 1);
    }
  }
  return false;
}

std::unique_lock<std::mutex> ChangeStream::HoldChanges() {
  std::unique_lock lock(changes_);
  for (std::size_t n = 0; n < vms_.size(); ++n) {
    CPPUNIT_ASSERT_MESSAGE(fleet_.vms()[n].name + " does not catch up",
                           Eventually([&] { return IsCurrent(n); }));
  }
  return lock;
}

void ChangeStream::Check() const {
  std::lock_guard lock(mutex_);
  CPPUNIT_ASSERT_MESSAGE(failures_, failures_.empty());
}

void ChangeStream::Finish() {
  stop_ = true;
  operator_->Join();
  watcher_->Join();
  Check();
  CPPUNIT_ASSERT_MESSAGE("no change was acknowledged", !acked_.empty());
  HoldChanges();
  for (std::size_t n = 0; n < vms_.size(); ++n) {
    const auto& name = fleet_.vms()[n].name;
    const auto seen = Look(n);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, acked_.rbegin()->first, seen.version);
    CPPUNIT_ASSERT_MESSAGE(name + " has other keys",
                           seen.withdrawn == WithdrawnKeys(wanted_));
    for (const auto& [key, changes] : wanted_) {
      const int refused = key == kContractKey ? 403 : 401;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} {}", name, key),
                                   IsServed(changes) ? 200 : refused,
                                   StatusFor(n, key));
    }
  }
  fmt::print("{} changes, {} checks at VMs\n", acked_.size(), checks_);
}

std::string ChangeStream::DrawKey() {
  const auto draw = operator_random_() % 10;
  std::vector<std::string> valid;
  for (const auto& [key, changes] : wanted_) {
    if (key.starts_with("soak-") && IsServed(changes)) {
      valid.push_back(key);
    }
  }
  if (draw < 3) {
    return kContractKey;
  }
  return draw < 6 && !valid.empty() ? valid[operator_random_() % valid.size()]
                                    : fmt::format("soak-{}", operations_);
}

void ChangeStream::Commit() {
  std::lock_guard hold(changes_);
  ++operations_;
  const auto key = DrawKey();
  State wanted;
  {
    std::lock_guard lock(mutex_);
    ++wanted_[key];
    wanted = wanted_;
  }
  std::string plan;
  std::optional<std::uint64_t> version;
  int attempts = 0;
  Eventually([&] {
    ++attempts;
    version = Propose(key, wanted[key], &plan);
    return version.has_value() || given_up_;
  });
  if (!version) {
    Fail(fmt::format("operation {} is not committed", operations_));
    return;
  }
  fmt::print("version {}: {} change {}, {} attempts\n", *version, key,
             wanted[key], attempts);
  std::lock_guard lock(mutex_);
  if (!acked_.empty() && *version <= acked_.rbegin()->first) {
    failures_ += fmt::format("version {} is acknowledged after version {}\n",
                             *version, acked_.rbegin()->first);
  }
  acked_[*version] = {SystemClock().Now(), std::move(wanted)};
}

// A retry has the same operation id and, for a plan, the same plan, so that it
// gets the outcome of the first attempt. After a conflict, which says that the
// change was not made, a new plan is asked for.
std::optional<std::uint64_t> ChangeStream::Propose(const std::string& key,
                                                   int changes,
                                                   std::string* plan) {
  const auto vm = operator_random_() % vms_.size();
  const auto call = [&](const char* path, const std::string& body) {
    return Parse(fleet_.CallOperatorApi(vm, "POST", path, body));
  };
  json body = {{"operation_id", fmt::format("soak-{}", operations_)}};
  json answer;
  if (key == kContractKey) {
    if (plan->empty()) {
      body["dry_run"] = true;
      body["declarations"] = DeclarationsOf(fleet_, IsServed(changes));
      answer = call("/operator/apply", body.dump());
      if (answer.value("plan", "").empty()) {
        return std::nullopt;  // the VM is down or has an older state
      }
      *plan = json{{"operation_id", std::to_string(operator_random_())},
                   {"expected_version", answer["version"]},
                   {"plan", answer["plan"]}}
                  .dump();
    }
    answer = call("/operator/apply", *plan);
  } else {
    body["key"] = key;
    if (IsServed(changes)) {
      body["organisation"] = "hall-a";
      body["hash"] = HashKeyToHex(SecretOf(key));
    }
    answer =
        call(IsServed(changes) ? "/operator/keys" : "/operator/keys/withdraw",
             body.dump());
  }
  const auto result = answer.value("result", "");
  if (result == "committed") {
    return answer.value("version", std::uint64_t{0});
  }
  if (result == "conflict" && key == kContractKey) {
    plan->clear();
  } else if (!result.empty() && result != "unknown" &&
             result != "not_accepted") {
    Fail(
        fmt::format("{} at {}: {}", key, fleet_.vms()[vm].name, answer.dump()));
  }
  return std::nullopt;
}

ChangeStream::Seen ChangeStream::Look(std::size_t vm) const {
  const auto answer =
      Parse(fleet_.CallOperatorApi(vm, "GET", "/operator/keys", ""));
  Seen out;
  out.version = answer.value("version", std::uint64_t{0});
  for (const auto& it : answer.value("keys", json::array())) {
    out.withdrawn[it["key"]] = it["withdrawn"];
  }
  return out;
}

int ChangeStream::StatusFor(std::size_t vm, const std::string& key) const {
  standin::HttpCall call;
  call.method = "POST";
  call.address = fleet_.vms()[vm].callers;
  call.path = "/v1/completions";
  call.headers = {{"Authorization", "Bearer " + SecretOf(key)}};
  call.body = R"({"model": "tagger", "prompt": "hi", "max_tokens": 1,
                  "user": "probe"})";
  call.timeout = seconds(60);
  return standin::PerformCall(call).status;
}

std::uint64_t ChangeStream::RequiredVersion(std::size_t vm, Instant now) const {
  const auto has_settled = [&](std::size_t n) {
    const auto& since = vms_[n].up_since;
    return since && now - *since >= kInForceWithin;
  };
  const auto& view = vms_[vm];
  if (!has_settled(vm)) {
    return view.shown_spell == view.spell ? view.shown : 0;
  }
  std::size_t replicas = 0;
  std::size_t settled = 0;
  for (std::size_t n = 0; n < vms_.size(); ++n) {
    replicas += fleet_.vms()[n].replica ? 1 : 0;
    settled += fleet_.vms()[n].replica && has_settled(n) ? 1 : 0;
  }
  // What a replica has had in force is on its disk, so it needs no majority to
  // have it in force again.
  auto out = view.shown;
  for (const auto& [version, it] : acked_) {
    if (settled * 2 > replicas && now - it.at >= kInForceWithin) {
      out = std::max(out, version);
    }
  }
  return out;
}

void ChangeStream::CheckVm(std::size_t vm) {
  std::unique_lock lock(mutex_);
  auto& view = vms_[vm];
  if (!view.up_since) {
    return;
  }
  const auto spell = view.spell;
  if (view.shown_spell != spell && !fleet_.vms()[vm].replica) {
    view.shown = 0;  // it has no disk
  }
  const auto now = SystemClock().Now();
  const auto required = RequiredVersion(vm, now);
  // What callers must see, unless it is changed meanwhile.
  State state;
  for (const auto& [version, it] : acked_) {
    if (version <= required && now - it.at >= kInForceWithin &&
        now - *view.up_since >= kInForceWithin) {
      state = it.state;
    }
  }
  lock.unlock();
  const auto seen = Look(vm);
  std::string key;
  int status = 0;
  if (!state.empty()) {
    const auto n = watcher_random_() % state.size();
    key = std::next(state.begin(), static_cast<std::ptrdiff_t>(n))->first;
    status = StatusFor(vm, key);
  }
  lock.lock();
  if (!view.up_since || view.spell != spell) {
    return;  // the answers may be those of a VM that wasn't up
  }
  ++checks_;
  const auto& name = fleet_.vms()[vm].name;
  // A VM without any state isn't ready and serves nothing by an older one. A
  // replica that starts waits for a majority before it puts its state in force.
  if (seen.version == 0 && now - *view.up_since < kInForceWithin) {
    return;
  }
  if (seen.version < required) {
    failures_ += fmt::format("{} has version {} in force, older than {}\n",
                             name, seen.version, required);
  }
  const auto known = acked_.find(seen.version);
  if (known != acked_.end() &&
      WithdrawnKeys(known->second.state) != seen.withdrawn) {
    failures_ +=
        fmt::format("{} has other keys than version {}\n", name, seen.version);
  }
  const bool refused = status == 401 || status == 403;
  if (!key.empty() && state[key] == wanted_[key] &&
      (IsServed(state[key]) ? refused : status == 200)) {
    failures_ += fmt::format("{} answers {} to key {} after change {}\n", name,
                             status, key, state[key]);
  }
  view.shown = std::max(view.shown, seen.version);
  view.shown_spell = spell;
}

void ChangeStream::Fail(const std::string& text) {
  std::lock_guard lock(mutex_);
  failures_ += text + "\n";
}

}  // namespace baobabrun::testsuite
