// Measures single steps: a placement decision, a request's way through the
// dispatcher, a cache event and the hash of a prompt.
#include <benchmark/benchmark.h>
#include <fmt/core.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "placement/dispatcher.h"
#include "placement/peer_report.h"
#include "placement/policy.h"
#include "prefix/prefix_index.h"

namespace baobabrun::bench {
namespace {

constexpr std::size_t kBlocks = 32;
constexpr std::int32_t kBlockTokens = 2048;
constexpr Instant kNow{seconds(1000)};

std::vector<BlockHash> RandomChain(std::mt19937_64& random, std::size_t n) {
  std::vector<BlockHash> out(n);
  for (auto& it : out) {
    it = random();
  }
  return out;
}

// A set of engines. Each one holds the first blocks of one prompt, up to a
// random number, and 1000 other blocks.
struct PlacementFixture {
  explicit PlacementFixture(std::size_t endpoints)
      : table({}), index({}), policy({}, ZoneId("ikeja"), 1) {
    std::mt19937_64 random(1);
    chain = RandomChain(random, kBlocks);
    for (std::size_t n = 0; n < endpoints; ++n) {
      Announcement it;
      it.endpoint = EndpointId(fmt::format("engine-{}", n));
      it.incarnation = Incarnation(1);
      it.zone = ZoneId("ikeja");
      it.slots = 8;
      it.models = {{ModelId("tutor"), "v1", ""}};
      const auto slot = table.OnAnnouncement(it, kNow).slot;
      candidates.push_back(slot);
      const auto held = random() % (kBlocks + 1);
      index.Predict(slot, std::span(chain).first(held), kNow);
      index.Predict(slot, RandomChain(random, 1000), kNow);
    }
    request.prompt_tokens = kBlocks * kBlockTokens;
    request.block_tokens = kBlockTokens;
    depths.resize(endpoints);
  }

  EndpointTable table;
  PrefixIndex index;
  Policy policy;
  std::vector<BlockHash> chain;
  std::vector<EndpointIndex> candidates;
  std::vector<std::uint16_t> depths;
  Request request;
};

void Decision(benchmark::State& state) {
  PlacementFixture zone(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    zone.index.Match(zone.chain, kNow, &zone.depths);
    const PlacementQuery query{&zone.request, zone.chain, zone.depths, kNow};
    benchmark::DoNotOptimize(
        zone.policy.Choose(query, zone.candidates, zone.table));
  }
}
BENCHMARK(Decision)->Arg(16)->Arg(64)->Arg(323)->Unit(benchmark::kMicrosecond);

// A request in the dispatcher from placement through the first byte to the end.
// Seven other VMs report requests in flight at each endpoint.
void RequestThroughDispatcher(benchmark::State& state) {
  const auto endpoints = static_cast<std::size_t>(state.range(0));
  auto dispatcher = std::move(Dispatcher::Create({}).value());
  PeerReport peers;
  for (std::size_t n = 0; n < endpoints; ++n) {
    Announcement it;
    it.endpoint = EndpointId(fmt::format("engine-{}", n));
    it.incarnation = Incarnation(1);
    it.slots = 8;
    it.models = {{ModelId("tutor"), "v1", ""}};
    dispatcher->OnAnnouncement(it, kNow);
    peers.in_flight.push_back({it.endpoint, it.incarnation, 1, 100, 0});
  }
  for (const auto* vm : {"a", "b", "c", "d", "e", "f", "g"}) {
    dispatcher->Receive(VmId(vm), Encode(peers, kNow), kNow);
  }
  auto request = std::make_shared<Request>();
  request->caller.id = RequestId(1);
  request->caller.kind = RequestKind::kChat;
  request->caller.call.model = ModelId("tutor");
  request->caller.call.prompt = std::make_shared<const std::string>(
      kBlocks * kBlockTokens * kBytesPerToken, 'x');
  request->caller.deadline = kNow + seconds(30);
  request->weights = "v1";
  request->block_tokens = kBlockTokens;
  request->prompt_tokens = kBlocks * kBlockTokens;
  for (auto _ : state) {
    dispatcher->Submit(request, kNow);
    AttemptReport report;
    report.attempt = std::get<Dispatch>(dispatcher->TakeActions()[0]).attempt;
    report.kind = AttemptReport::Kind::kFirstByte;
    dispatcher->OnReport(report, kNow);
    report.kind = AttemptReport::Kind::kEnded;
    dispatcher->OnReport(report, kNow);
    benchmark::DoNotOptimize(dispatcher->TakeActions());
  }
}
BENCHMARK(RequestThroughDispatcher)
    ->Arg(16)
    ->Arg(323)
    ->Unit(benchmark::kMicrosecond);

// Cache events for an index that holds the given number of entries, spread over
// 323 endpoints. Half of the events store a new block, half evict the oldest
// one.
void CacheEventApplied(benchmark::State& state) {
  constexpr std::size_t kEndpoints = 323;
  constexpr std::size_t kBatch = 64;
  PrefixIndexOptions options;
  options.event_lag = -seconds(1);  // evictions take effect at once
  PrefixIndex index(options);
  std::mt19937_64 fresh(1);
  std::mt19937_64 old(1);
  std::vector<std::uint64_t> next(kEndpoints, 1);
  std::size_t slot = 0;
  const auto entries = static_cast<std::size_t>(state.range(0));
  for (std::size_t n = 0; n < entries; n += kBatch) {
    CacheEvents events{next[slot], {}};
    for (std::size_t k = 0; k < kBatch; ++k) {
      events.items.push_back({CacheEvent::Op::kStore, fresh()});
    }
    index.OnEvents(slot, events, kNow);
    next[slot] += kBatch;
    slot = (slot + 1) % kEndpoints;
  }
  std::size_t oldest = 0;
  for (auto _ : state) {
    state.PauseTiming();
    CacheEvents stores{next[slot], {}};
    CacheEvents evictions{next[oldest], {}};
    for (std::size_t k = 0; k < kBatch; ++k) {
      stores.items.push_back({CacheEvent::Op::kStore, fresh()});
      evictions.items.push_back({CacheEvent::Op::kEvict, old()});
    }
    state.ResumeTiming();
    index.OnEvents(slot, stores, kNow);
    if (oldest == slot) {
      evictions.first += kBatch;
    }
    index.OnEvents(oldest, evictions, kNow);
    next[slot] += kBatch;
    next[oldest] += kBatch;
    slot = (slot + 1) % kEndpoints;
    oldest = (oldest + 1) % kEndpoints;
  }
  state.SetItemsProcessed(state.iterations() * 2 * kBatch);
  state.counters["bytes_per_entry"] =
      static_cast<double>(index.memory_bytes()) /
      static_cast<double>(index.size());
}
BENCHMARK(CacheEventApplied)->Arg(10'000)->Arg(1'000'000)->Arg(15'000'000);

void HashPrompt(benchmark::State& state) {
  const std::string prompt(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        HashBlocks(prompt, 1, kBlockTokens * kBytesPerToken));
  }
  state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(HashPrompt)->Arg(8 << 10)->Arg(256 << 10);

}  // namespace
}  // namespace baobabrun::bench

BENCHMARK_MAIN();
