// Starts fleets of processes and queries them.
#include "fleet.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

#include "base/hash.h"
#include "standin/http_call.h"

namespace baobabrun::testsuite {
namespace {

using nlohmann::json;

constexpr char kProgram[] = BAOBABRUN_PROGRAM;
constexpr char kLoopback[] = "127.0.0.1";
constexpr char kOperatorKey[] = "testsuite-operator";
constexpr char kKeySalt[] = "testsuite-salt";
constexpr char kKeyMarker[] = "sk-hall-";
constexpr std::size_t kPortsPerVm = 3;
constexpr Duration kPollTimeout = seconds(120);
constexpr milliseconds kPollStep{10};

bool Listen(std::uint16_t port, ACE_SOCK_Acceptor* out) {
  ACE_INET_Addr address;
  address.set(port, kLoopback);
  return out->open(address) == 0;
}

// Returns ports on which no process listens at the time of the call. They are
// outside the range from which Linux by default takes those of outgoing
// connections and of sockets that bind to any port, so that no process gets
// them before the VMs bind them. They are of blocks, each of which this process
// owns by listening on its first port until it ends: programs under test share
// ports without an error, so fleets of two processes must never draw the same.
std::vector<std::uint16_t> FreePorts(std::size_t n) {
  constexpr std::uint16_t kFirst = 10'000;
  constexpr std::uint16_t kBlocks = 220;
  constexpr std::uint16_t kBlockSize = 100;
  static std::vector<ACE_SOCK_Acceptor> owned;
  static std::uint16_t next = 0;
  std::random_device random;
  std::uniform_int_distribution<std::uint16_t> any(0, kBlocks - 1);
  std::vector<std::uint16_t> ports;
  while (ports.size() < n) {
    ACE_SOCK_Acceptor acceptor;
    if (next % kBlockSize == 0) {
      next = kFirst + any(random) * kBlockSize;
      if (Listen(next, &acceptor)) {
        owned.push_back(acceptor);
        ++next;
      }
    } else if (Listen(next++, &acceptor)) {
      acceptor.close();
      ports.push_back(next - 1);
    }
  }
  return ports;
}

std::string ReadFile(const std::filesystem::path& file) {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

void WriteFile(const std::filesystem::path& file, const std::string& text) {
  std::ofstream out(file);
  out << text;
}

json ContractOf(const char* organisation) {
  constexpr std::int64_t kUnreachedLimit = 1'000'000;
  return {
      {"organisation", organisation},    {"models", {"tagger"}},
      {"routes", {"bookings"}},          {"tokens_per_second", kUnreachedLimit},
      {"burst_tokens", kUnreachedLimit}, {"requests_per_second", 10'000},
      {"burst_requests", 10'000},        {"max_output_tokens", 512},
      {"max_concurrent", 10'000}};
}

json KeyOf(const char* organisation) {
  return {{"key", std::string(organisation) + "-1"},
          {"organisation", organisation},
          {"hash", HashKeyToHex(std::string("sk-") + organisation)}};
}

// Returns the address that follows `label` where it occurs last in the log, or
// an empty address if there is none.
Address FindLastAddress(const std::string& log, const std::string& label) {
  const auto at = log.rfind(label);
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + label.size();
  const auto end = log.find_first_of(", \n", begin);
  if (end == std::string::npos) {
    return {};
  }
  const auto address = ParseAddress(log.substr(begin, end - begin));
  return address.ok() ? address.value() : Address();
}

void AddRuns(const RunSummary& from, RunSummary* out) {
  out->keys_seen += from.keys_seen;
  out->faults_waiting += from.faults_waiting;
  out->crashes += from.crashes;
  for (const auto& [tag, counts] : from.by_tag) {
    auto& sum = out->by_tag[tag];
    sum.started += counts.started;
    sum.continued += counts.continued;
    sum.finished += counts.finished;
  }
}

}  // namespace

std::string HashKeyToHex(const std::string& key) {
  const auto hash = HashKey(key, kKeySalt);
  return ToHex(std::string(hash.begin(), hash.end()));
}

bool Eventually(const std::function<bool()>& condition) {
  const SystemClock clock;
  const auto end = clock.Now() + kPollTimeout;
  while (!condition()) {
    if (clock.Now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollStep);
  }
  return true;
}

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options)),
      folder_(std::filesystem::temp_directory_path() /
              fmt::format("baobabrun-testsuite-{:016x}", RandomNumber())) {
  std::filesystem::create_directories(folder_ / "declarations");
  WriteDeclarations();
  const auto& zones = options_.zones;
  const auto ports = FreePorts(zones.size() * kPortsPerVm);
  for (std::size_t n = 0; n < zones.size(); ++n) {
    Vm vm;
    vm.name = fmt::format("{}-{}", zones[n], n);
    vm.zone = zones[n];
    const auto* port = &ports[n * kPortsPerVm];
    vm.callers = {kLoopback, port[0]};
    vm.operators = {kLoopback, port[1]};
    vm.peers = {kLoopback, port[2]};
    vm.replica =
        options_.control && (options_.replicas == 0 || n < options_.replicas);
    vms_.push_back(std::move(vm));
  }
  for (auto& it : vms_) {
    StartVm(it);
  }
  if (options_.control) {
    ApplyDeclarations();
  }
}

Fleet::~Fleet() {
  vms_.clear();
  engines_.clear();
  services_.clear();
  if (keep_folder_) {
    fmt::print(stderr, "logs are kept in {}\n", folder_.string());
  } else {
    std::error_code ec;
    std::filesystem::remove_all(folder_, ec);
  }
}

void Fleet::WriteDeclarations() const {
  const json declarations = {
      {"models",
       {{{"model", "tagger"}, {"weights", "v1"}, {"block_tokens", 128}}}},
      {"routes",
       {{{"route", "bookings"},
         {"path", "/bookings/"},
         {"service", "desk"},
         {"repeatable", {"GET"}}}}},
      {"contracts", {ContractOf("hall-a"), ContractOf("hall-b")}},
      {"keys", {KeyOf("hall-a"), KeyOf("hall-b")}}};
  WriteFile(folder_ / "declarations" / "all.json", declarations.dump(1));
}

std::string Fleet::CallOperatorApi(std::size_t vm,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body) const {
  standin::HttpCall call;
  call.method = method;
  call.address = vms_[vm].operators;
  call.path = path;
  call.headers = {{"Authorization", std::string("Bearer ") + kOperatorKey}};
  call.body = body;
  call.timeout = seconds(60);
  return standin::PerformCall(call).body;
}

// Retries until the declarations are committed, because the first election may
// still be in progress.
void Fleet::ApplyDeclarations() {
  const auto declarations =
      json::parse(ReadFile(folder_ / "declarations" / "all.json"));
  const json plan_call = {{"operation_id", "apply"},
                          {"dry_run", true},
                          {"declarations", declarations}};
  std::string answer;
  const bool applied = Eventually([&] {
    answer = CallOperatorApi(0, "POST", "/operator/apply", plan_call.dump());
    const auto plan = json::parse(answer, nullptr, false);
    if (!plan.is_object() || !plan.contains("plan")) {
      return false;
    }
    const json commit_call = {{"operation_id", "apply"},
                              {"expected_version", plan["version"]},
                              {"plan", plan["plan"]}};
    answer = CallOperatorApi(0, "POST", "/operator/apply", commit_call.dump());
    const auto result = json::parse(answer, nullptr, false);
    return result.is_object() && result.value("result", "") == "committed";
  });
  CPPUNIT_ASSERT_MESSAGE("the declarations were not applied: " + answer,
                         applied);
}

void Fleet::WriteSettings(const Vm& vm) const {
  json fleet = json::array();
  for (const auto& it : vms_) {
    fleet.push_back({{"vm", it.name},
                     {"zone", it.zone},
                     {"region", "lagos"},
                     {"peers", ToString(it.peers)},
                     {"control", it.replica}});
  }
  json settings = {{"vm", vm.name},
                   {"zone", vm.zone},
                   {"region", "lagos"},
                   {"callers", ToString(vm.callers)},
                   {"operators", ToString(vm.operators)},
                   {"peers", ToString(vm.peers)},
                   {"fleet", std::move(fleet)},
                   {"key_salt", kKeySalt},
                   {"operator_key_hash", HashKeyToHex(kOperatorKey)}};
  if (vm.replica) {
    settings["control"] = true;
    settings["data_dir"] = vm.name;
    std::filesystem::create_directories(folder_ / vm.name);
  } else if (!options_.control) {
    settings["declarations"] = "declarations";
  }
  WriteFile(folder_ / (vm.name + ".json"), settings.dump(1));
}

void Fleet::StartVm(Vm& vm) {
  WriteSettings(vm);
  const auto log = folder_ / (vm.name + ".log");
  if (std::filesystem::exists(log)) {
    std::filesystem::rename(
        log, folder_ / fmt::format("{}.{}.log", vm.name, vm.starts));
  }
  ++vm.starts;
  auto process = ChildProcess::Start(
      {kProgram, "serve", "-c", (folder_ / (vm.name + ".json")).string()},
      folder_ / (vm.name + ".out"), log);
  CPPUNIT_ASSERT_MESSAGE(vm.name, process.ok());
  vm.process = std::move(process.value());
  const bool started = Eventually([&] {
    return FindLastAddress(ReadFile(log), "operators on ").port != 0;
  });
  CPPUNIT_ASSERT_MESSAGE(vm.name + " does not start: " + ReadFile(log),
                         started);
}

void Fleet::RestartVm(std::size_t n) {
  auto& vm = vms_[n];
  vm.process.reset();
  StartVm(vm);
}

std::vector<std::string> Fleet::EndpointArguments(
    const char* kind,
    const Endpoint& endpoint) const {
  std::vector<std::string> out = {kProgram,      "standin",      kind,
                                  "--name",      endpoint.name,  "--zone",
                                  endpoint.zone, "--key-marker", kKeyMarker};
  for (const auto& it : vms_) {
    out.push_back("--announce-to=" + ToString(it.operators));
  }
  return out;
}

void Fleet::StartEndpoint(Endpoint& endpoint) {
  const auto output = folder_ / (endpoint.name + ".out");
  std::filesystem::remove(output);
  auto process = ChildProcess::Start(endpoint.arguments, output,
                                     folder_ / (endpoint.name + ".log"));
  CPPUNIT_ASSERT_MESSAGE(endpoint.name, process.ok());
  endpoint.process = std::move(process.value());
  CPPUNIT_ASSERT_MESSAGE(endpoint.name, Eventually([&] {
                           endpoint.address =
                               FindLastAddress(" " + ReadFile(output), " ");
                           return endpoint.address.port != 0;
                         }));
}

void Fleet::AddEngine(const std::string& zone,
                      const std::vector<std::string>& options) {
  Endpoint engine;
  engine.name = fmt::format("engine-{}", engines_.size());
  engine.zone = zone;
  engine.address = {kLoopback, FreePorts(1).front()};
  auto& arguments = engine.arguments;
  arguments = EndpointArguments("engine", engine);
  for (const char* it : {"--model=tagger=v1", "--slots=32", "--prefill-time=2",
                         "--decode-time=5000", "--decode-request-time=20",
                         "--poison-marker=POISON", "--block-tokens=128",
                         "--restart-time=300", "--leave-time=1500"}) {
    arguments.emplace_back(it);
  }
  arguments.push_back("--listen=" + ToString(engine.address));
  arguments.insert(arguments.end(), options.begin(), options.end());
  StartEndpoint(engine);
  engines_.push_back(std::move(engine));
}

void Fleet::AddService(const std::string& zone) {
  Endpoint service;
  service.name = fmt::format("desk-{}", services_.size());
  service.zone = zone;
  service.arguments = EndpointArguments("service", service);
  service.arguments.emplace_back("--service=desk");
  StartEndpoint(service);
  services_.push_back(std::move(service));
}

void Fleet::RestartEngine(std::size_t n) {
  auto& engine = engines_[n];
  engine.process.reset();
  StartEndpoint(engine);
}

void Fleet::KeepRuns(const Endpoint& endpoint) {
  AddRuns(FetchRuns(endpoint), &kept_runs_);
}

void Fleet::EmptyDataFolder(std::size_t n) {
  vms_[n].process.reset();
  std::filesystem::remove_all(folder_ / vms_[n].name);
}

void Fleet::AwaitServing(std::size_t n) {
  standin::HttpCall call;
  call.method = "POST";
  call.address = vms_[n].callers;
  call.headers = {{"Authorization", "Bearer sk-hall-a"}};
  const auto serves = [&call](const char* path, const char* body) {
    call.path = path;
    call.body = body;
    return standin::PerformCall(call).status == 200;
  };
  CPPUNIT_ASSERT_MESSAGE(vms_[n].name + " does not answer a model call",
                         Eventually([&] {
                           return serves("/v1/completions",
                                         R"({"model": "tagger", "max_tokens": 1,
                                         "prompt": "hi", "user": "probe"})");
                         }));
  if (services_.empty()) {
    return;
  }
  CPPUNIT_ASSERT_MESSAGE(
      vms_[n].name + " does not answer a call to the service",
      Eventually([&] { return serves("/bookings/?tag=probe", "hi"); }));
}

void Fleet::AwaitServing() {
  for (std::size_t n = 0; n < vms_.size(); ++n) {
    AwaitServing(n);
  }
}

std::vector<Address> Fleet::entries() const {
  std::vector<Address> out;
  out.reserve(vms_.size());
  for (const auto& it : vms_) {
    out.push_back(it.callers);
  }
  return out;
}

void Fleet::InjectFault(const Endpoint& endpoint, const std::string& json) {
  standin::HttpCall call;
  call.method = "POST";
  call.address = endpoint.address;
  call.path = "/fault";
  call.body = json;
  CPPUNIT_ASSERT_EQUAL_MESSAGE(endpoint.name, 200,
                               standin::PerformCall(call).status);
}

RunSummary Fleet::FetchRuns(const Endpoint& endpoint) {
  standin::HttpCall call;
  call.address = endpoint.address;
  call.path = "/runs";
  const auto answer = standin::PerformCall(call);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(endpoint.name, 200, answer.status);
  const auto runs = json::parse(answer.body);
  RunSummary out;
  out.keys_seen = runs["keys_seen"].get<std::int64_t>();
  out.faults_waiting = runs["faults_waiting"].get<std::int64_t>();
  out.crashes = runs["crashes"].get<std::int64_t>();
  for (const auto& it : runs["runs"].items()) {
    auto& counts = out.by_tag[it.key()];
    counts.started = it.value()["started"].get<std::int64_t>();
    counts.continued = it.value()["continued"].get<std::int64_t>();
    counts.finished = it.value()["finished"].get<std::int64_t>();
  }
  return out;
}

RunSummary Fleet::FetchAllRuns() const {
  RunSummary out = kept_runs_;
  for (const auto* endpoints : {&engines_, &services_}) {
    for (const auto& it : *endpoints) {
      if (it.process != nullptr) {
        AddRuns(FetchRuns(it), &out);
      }
    }
  }
  return out;
}

}  // namespace baobabrun::testsuite
