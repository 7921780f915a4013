// Reads the command-line options of the stand-ins and runs them until a signal
// ends them.
#include "standin/commands.h"

#include <fmt/core.h>
#include <popt.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "cli/command.h"
#include "standin/engine_server.h"
#include "standin/service_server.h"

namespace baobabrun::standin {
namespace {

constexpr seconds kSignalPollInterval{1};

// Option values as popt sets them. The strings are owned by popt or are
// constants.
struct Options {
  const char* listen = "127.0.0.1:0";
  const char* name = "";
  const char* zone = "";
  const char** models = nullptr;
  const char** announce_to = nullptr;
  const char** faults = nullptr;
  int heartbeat_ms = 250;
  int slots = 8;
  int queue_limit = 0;
  int block_tokens = 2048;
  int cache_blocks = 4096;
  int prefill_us = 100;
  int decode_us = 20'000;
  int decode_request_us = 500;
  int event_lag_ms = 0;
  int event_loss_ppm = 0;
  int load_lag_ms = 0;
  int load_time_ms = 2000;
  int slow_from_loads = 3;
  int restart_ms = 500;
  int resume_ms = 10'000;
  int leave_ms = 2000;
  int delay_ms = 0;
  int seed = 1;
  int no_fencing = 0;
  const char* poison_marker = "";
  const char* key_marker = "";
  const char* service = "";
};

using OptionTable = std::vector<poptOption>;

poptOption Text(const char* name,
                const char** out,
                const char* help,
                const char* value) {
  return {name, '\0', POPT_ARG_STRING, static_cast<void*>(out), 0, help, value};
}

poptOption List(const char* name,
                const char*** out,
                const char* help,
                const char* value) {
  return {name, '\0', POPT_ARG_ARGV, static_cast<void*>(out), 0, help, value};
}

poptOption Number(const char* name,
                  int* out,
                  const char* help,
                  const char* value) {
  return {name, '\0', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, out, 0,
          help, value};
}

poptOption Flag(const char* name, int* out, const char* help) {
  return {name, '\0', POPT_ARG_NONE, out, 0, help, nullptr};
}

void AddCommonOptions(Options& it, OptionTable* table) {
  table->push_back(Text("listen", &it.listen,
                        "address to serve on; port 0 selects a free port, "
                        "which is printed (127.0.0.1:0)",
                        "HOST:PORT"));
  table->push_back(Text("name", &it.name, "the endpoint's name", "NAME"));
  table->push_back(Text("zone", &it.zone, "its availability zone", "NAME"));
  table->push_back(List(
      "announce-to", &it.announce_to,
      "operators' port of a VM to announce to; may be repeated", "HOST:PORT"));
  table->push_back(Number("heartbeat", &it.heartbeat_ms,
                          "time between announcements", "MS"));
  table->push_back(
      List("fault", &it.faults,
           "fault to inject into the next COUNT requests after AFTER "
           "events, or with strength VALUE; may be repeated. See "
           "POST /fault",
           "NAME[:COUNT[:AFTER]]|NAME:VALUE"));
  table->push_back(Number("restart-time", &it.restart_ms,
                          "how long it stays down after a crash", "MS"));
  table->push_back(Number("leave-time", &it.leave_ms,
                          "how long it announces that it leaves after SIGTERM, "
                          "before it exits",
                          "MS"));
  table->push_back(Text("key-marker", &it.key_marker,
                        "text that each caller's API key contains; GET /runs "
                        "counts the requests in which it was found",
                        "TEXT"));
}

void AddEngineOptions(Options& it, OptionTable* table) {
  table->push_back(List("model", &it.models, "a loaded model; may be repeated",
                        "NAME=WEIGHTS[=ADAPTER]"));
  table->push_back(Number("slots", &it.slots,
                          "number of requests that run at the same time", "N"));
  table->push_back(
      Number("queue-limit", &it.queue_limit,
             "number of waiting requests beyond which requests are "
             "answered with 503; 0: unlimited",
             "N"));
  table->push_back(Number("block-tokens", &it.block_tokens,
                          "number of tokens in a block", "N"));
  table->push_back(Number("cache-blocks", &it.cache_blocks,
                          "capacity of the cache in blocks", "N"));
  table->push_back(Number("prefill-time", &it.prefill_us,
                          "time to prefill a prompt token that isn't cached",
                          "US"));
  table->push_back(Number("decode-time", &it.decode_us,
                          "duration of a decoding step with one request",
                          "US"));
  table->push_back(Number("decode-request-time", &it.decode_request_us,
                          "additional duration for each further request",
                          "US"));
  table->push_back(
      Number("event-lag", &it.event_lag_ms, "delay of cache events", "MS"));
  table->push_back(Number("event-loss", &it.event_loss_ppm,
                          "cache events lost per million", "N"));
  table->push_back(
      Number("load-lag", &it.load_lag_ms, "age of load reports", "MS"));
  table->push_back(
      Number("load-time", &it.load_time_ms, "time to load a model", "MS"));
  table->push_back(
      Number("slow-from-loads", &it.slow_from_loads,
             "number of concurrent loads from which a new load takes "
             "twice as long",
             "N"));
  table->push_back(Number("resume-time", &it.resume_ms,
                          "how long a stream can be resumed after its end",
                          "MS"));
  table->push_back(Flag("no-fencing", &it.no_fencing,
                        "accept orders with an outdated fencing number"));
  table->push_back(Text("poison-marker", &it.poison_marker,
                        "text in a prompt that crashes the engine", "TEXT"));
  table->push_back(Number("seed", &it.seed,
                          "random seed that selects the lost events", "N"));
}

void AddServiceOptions(Options& it, OptionTable* table) {
  table->push_back(Text("service", &it.service,
                        "name of the service that routes refer to", "NAME"));
  table->push_back(Number("slots", &it.slots,
                          "announced number of concurrent requests", "N"));
  table->push_back(
      Number("delay", &it.delay_ms, "time from a call to its answer", "MS"));
}

std::vector<std::string> Items(const char** list) {
  std::vector<std::string> out;
  for (; list != nullptr && *list != nullptr; ++list) {
    out.emplace_back(*list);
  }
  return out;
}

Error InvalidOption(std::string message) {
  return {std::make_error_code(std::errc::invalid_argument),
          std::move(message)};
}

// Parses argv into the variables that `table` points to. Prints an error and
// returns false if an option is invalid.
bool Parse(int argc, const char** argv, OptionTable table, const char* what) {
  poptOption help{
      nullptr,         '\0',   POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
      "Help options:", nullptr};
  table.push_back(help);
  table.push_back(POPT_TABLEEND);
  // popt prints argv[0] in the usage line.
  std::vector<const char*> args(argv, argv + argc);
  args[0] = what;
  const auto context =
      std::unique_ptr<poptContext_s, poptContext (*)(poptContext)>(
          poptGetContext(what, argc, args.data(), table.data(), 0),
          &poptFreeContext);
  const int rc = poptGetNextOpt(context.get());
  if (rc < -1) {
    fmt::print(stderr, "{}: {}: {}\n", what,
               poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
               poptStrerror(rc));
    return false;
  }
  if (const char* extra = poptGetArg(context.get())) {
    fmt::print(stderr, "{}: unexpected argument {}\n", what, extra);
    return false;
  }
  return true;
}

Result<AnnouncerOptions> ReadAnnouncer(const Options& it) {
  AnnouncerOptions out;
  out.heartbeat = milliseconds(it.heartbeat_ms);
  for (const auto& text : Items(it.announce_to)) {
    auto address = ParseAddress(text);
    if (!address.ok()) {
      return address.error();
    }
    out.addresses.push_back(address.value());
  }
  return out;
}

// Reads the options that both kinds of stand-ins have into `out`.
template <class ServerOptions>
Status ReadCommon(const Options& it, ServerOptions* out) {
  const auto listen = ParseAddress(it.listen);
  if (!listen.ok()) {
    return listen.error();
  }
  auto announcer = ReadAnnouncer(it);
  if (!announcer.ok()) {
    return announcer.error();
  }
  for (const auto& text : Items(it.faults)) {
    const auto fault = ParseFaultOption(text);
    if (!fault.ok()) {
      return fault.error();
    }
    out->faults.push_back(fault.value());
  }
  if (*it.name == '\0' || *it.zone == '\0') {
    return InvalidOption("--name and --zone are required");
  }
  out->listen = listen.value();
  out->announcer = std::move(announcer.value());
  out->name = EndpointId(it.name);
  out->zone = ZoneId(it.zone);
  out->restart_time = milliseconds(it.restart_ms);
  out->key_marker = it.key_marker;
  return Ok();
}

Status ReadModels(const Options& it, EngineServerOptions* out) {
  for (const std::string& text : Items(it.models)) {
    const auto first = text.find('=');
    if (first == std::string::npos) {
      return InvalidOption("--model must be NAME=WEIGHTS[=ADAPTER]");
    }
    const auto second = text.find('=', first + 1);
    LoadedModel model;
    model.model = ModelId(text.substr(0, first));
    model.weights = text.substr(first + 1, second - first - 1);
    if (second != std::string::npos) {
      model.adapter = text.substr(second + 1);
    }
    out->models.push_back(std::move(model));
  }
  return Ok();
}

Result<EngineServerOptions> ReadEngine(const Options& it) {
  EngineServerOptions out;
  auto status = ReadCommon(it, &out);
  if (status.ok()) {
    status = ReadModels(it, &out);
  }
  if (!status.ok()) {
    return status.error();
  }
  auto& engine = out.engine;
  engine.slots = it.slots;
  engine.queue_limit = it.queue_limit;
  engine.block_tokens = it.block_tokens;
  engine.prefill_per_token = std::chrono::microseconds(it.prefill_us);
  engine.decode_step = std::chrono::microseconds(it.decode_us);
  engine.decode_per_request = std::chrono::microseconds(it.decode_request_us);
  engine.load_lag = milliseconds(it.load_lag_ms);
  engine.cache.capacity_blocks = static_cast<std::size_t>(it.cache_blocks);
  engine.cache.event_delay = milliseconds(it.event_lag_ms);
  engine.cache.event_loss_ppm = it.event_loss_ppm;
  out.orders.checks_fencing = it.no_fencing == 0;
  out.orders.load_time = milliseconds(it.load_time_ms);
  out.orders.slow_from_loads = it.slow_from_loads;
  out.seed = static_cast<std::uint64_t>(it.seed);
  out.poison_marker = it.poison_marker;
  out.resume_window = milliseconds(it.resume_ms);
  return out;
}

Result<ServiceServerOptions> ReadService(const Options& it) {
  ServiceServerOptions out;
  const auto status = ReadCommon(it, &out);
  if (!status.ok()) {
    return status.error();
  }
  if (*it.service == '\0') {
    return InvalidOption("--service is required");
  }
  out.service = it.service;
  out.slots = it.slots;
  out.delay = milliseconds(it.delay_ms);
  return out;
}

// Blocks the signals that end the process, so that only AwaitSignal() receives
// them.
sigset_t BlockSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  return set;
}

// Waits up to `timeout` for a signal. Returns its number, or 0 on timeout.
int AwaitSignal(const sigset_t& set, Duration timeout) {
  const auto whole = std::chrono::duration_cast<seconds>(timeout);
  const timespec time{whole.count(),
                      static_cast<long>((timeout - whole).count())};
  const int signal = sigtimedwait(&set, nullptr, &time);
  return signal > 0 ? signal : 0;
}

// Runs the server until a signal arrives. After SIGTERM it announces that it
// leaves, finishes the running requests and returns. After SIGINT or a second
// signal it returns at once.
template <class Server>
int Serve(Result<std::unique_ptr<Server>> started,
          const Options& it,
          const sigset_t& signals) {
  if (!started.ok()) {
    fmt::print(stderr, "{}\n", started.error().message);
    return cli::kExitFailed;
  }
  auto& server = *started.value();
  fmt::print("{}\n", ToString(server.address()));
  std::fflush(stdout);
  Log(Event::kStandinStarted, "stand-in {} is serving on {}", it.name,
      ToString(server.address()));
  int signal = 0;
  while (signal == 0) {
    signal = AwaitSignal(signals, kSignalPollInterval);
  }
  if (signal == SIGINT) {
    return cli::kExitOk;
  }
  Log(Event::kStandinLeaving, "stand-in {} is leaving", it.name);
  server.Leave();
  if (AwaitSignal(signals, milliseconds(it.leave_ms)) != 0) {
    return cli::kExitOk;
  }
  constexpr milliseconds kIdlePollInterval{20};
  while (!server.Idle() && AwaitSignal(signals, kIdlePollInterval) == 0) {
  }
  return cli::kExitOk;
}

int ReportBadOption(const Error& error) {
  fmt::print(stderr, "baobabrun standin: {}\n", error.message);
  return cli::kExitBadInput;
}

int RunEngine(int argc, const char** argv) {
  // Static, so that the strings that popt allocates stay reachable.
  static Options it;
  OptionTable table;
  AddCommonOptions(it, &table);
  AddEngineOptions(it, &table);
  if (!Parse(argc, argv, std::move(table), "baobabrun standin engine")) {
    return cli::kExitBadInput;
  }
  auto options = ReadEngine(it);
  if (!options.ok()) {
    return ReportBadOption(options.error());
  }
  const auto signals = BlockSignals();
  return Serve(EngineServer::Start(std::move(options.value())), it, signals);
}

int RunService(int argc, const char** argv) {
  // Static, so that the strings that popt allocates stay reachable.
  static Options it;
  OptionTable table;
  AddCommonOptions(it, &table);
  AddServiceOptions(it, &table);
  if (!Parse(argc, argv, std::move(table), "baobabrun standin service")) {
    return cli::kExitBadInput;
  }
  auto options = ReadService(it);
  if (!options.ok()) {
    return ReportBadOption(options.error());
  }
  const auto signals = BlockSignals();
  return Serve(ServiceServer::Start(std::move(options.value())), it, signals);
}

constexpr char kUsage[] =
    "usage: baobabrun standin engine|service [options]\n\n"
    "Runs a stand-in of an endpoint, for tests and experiments.\n"
    "`baobabrun standin engine --help` shows the options. GET /runs returns\n"
    "what was run; POST /fault injects a fault:\n\n"
    "  {\"fault\": \"NAME\", \"count\": 1, \"after\": 0, \"value\": 0}\n\n";

}  // namespace

int RunStandin(int argc, const char** argv) {
  const std::string_view kind = argc > 1 ? argv[1] : "";
  if (kind == "engine") {
    return RunEngine(argc - 1, argv + 1);
  }
  if (kind == "service") {
    return RunService(argc - 1, argv + 1);
  }
  const bool help = kind == "--help" || kind == "help";
  fmt::print(help ? stdout : stderr, "{}NAME: {}\n", kUsage, FaultNames());
  return help ? cli::kExitOk : cli::kExitBadInput;
}

}  // namespace baobabrun::standin
