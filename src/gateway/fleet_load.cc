// Predicts the time of first tokens and the contents of caches.
#include "gateway/fleet_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace baobabrun {
namespace {

// Assumed size of an engine's memory in tokens, if it isn't known.
constexpr std::int64_t kAssumedMemoryTokens = 100'000;
// A fetch of fewer tokens costs more to set up than it saves.
constexpr std::int64_t kMinFetchedTokens = 256;

Duration Ms(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

std::int64_t TokensFrom(const CallWork& work, std::size_t depth) {
  std::int64_t tokens = 0;
  for (auto n = depth; n < work.parts.size(); ++n) {
    tokens += work.parts[n].tokens;
  }
  return tokens;
}

void AddSource(CacheSources::Level& level, const CacheSources::Source& source) {
  ++level.count;
  auto& first = level.first_free[source.endpoint->zone];
  const auto place = std::find_if(
      first.begin(), first.end(),
      [&](const auto& it) { return source.link_until < it.link_until; });
  first.insert(place, source);
  constexpr std::size_t kKept = 2;
  if (first.size() > kKept) {
    first.pop_back();
  }
}

}  // namespace

std::int64_t CallWork::tokens() const {
  return TokensFrom(*this, 0);
}

std::int64_t CallWork::own_tokens() const {
  return TokensFrom(*this, shared);
}

std::uint64_t PartKey(const std::string& scope,
                      std::uint64_t weights,
                      const std::string& part) {
  return FastHash(part, FastHash(scope, weights));
}

CallWork WorkOf(const std::vector<PromptPart>& parts,
                const std::string& cache_scope,
                std::uint64_t weights,
                std::int64_t outputs) {
  CallWork work;
  work.outputs = outputs;
  for (const auto& it : parts) {
    work.parts.push_back({PartKey(cache_scope, weights, it.id), it.tokens});
  }
  // The last part belongs to this call only; other calls can't share it.
  work.shared = parts.empty() ? 0 : parts.size() - 1;
  return work;
}

Duration FleetLoad::PrefillTime(std::int64_t tokens, double slowness) const {
  return Ms(static_cast<double>(tokens) * slowness /
            options_.prefill_tokens_per_ms);
}

Duration FleetLoad::FetchTime(std::int64_t tokens) const {
  return Ms(static_cast<double>(tokens) / options_.fetch_tokens_per_ms);
}

double FleetLoad::PrefillShare(const Engine& engine, Instant now) const {
  const std::chrono::duration<double> age = now - engine.recent_prefill_at;
  const std::chrono::duration<double> half = options_.prefill_half_life;
  const std::chrono::duration<double> recent_prefill = engine.recent_prefill;
  // A steady share s of prefill makes the decayed sum s * half / ln 2.
  return recent_prefill / half * std::exp2(-age / half) * std::log(2.0);
}

double FleetLoad::Slowness(const EndpointId& endpoint) const {
  const auto it = engines_.find(endpoint);
  return it == engines_.end() ? 1 : it->second.slowness;
}

// Adjusts the slowness of an engine by the ratio of the actual to the predicted
// time of a first token.
void FleetLoad::UpdateSlowness(Engine& engine,
                               const AttemptLoad& attempt,
                               Instant now) const {
  if (attempt.first_token < options_.min_compared_prediction) {
    return;
  }
  const std::chrono::duration<double> took = now - attempt.sent;
  const std::chrono::duration<double> predicted = attempt.first_token;
  const auto ratio = std::clamp(took / predicted, options_.min_slowness,
                                options_.max_slowness);
  engine.slowness =
      std::clamp(engine.slowness * std::pow(ratio, options_.slowness_weight),
                 options_.min_slowness, options_.max_slowness);
}

FleetLoad::CachedPrefix FleetLoad::CachedPrefixOf(
    const Engine& engine,
    const CallWork& work,
    std::size_t most,
    std::optional<Instant> ready_by) const {
  CachedPrefix prefix;
  for (; prefix.parts < most; ++prefix.parts) {
    const auto& part = work.parts[prefix.parts];
    const auto cached = engine.cache.find(part.key);
    if (cached == engine.cache.end() ||
        (ready_by && cached->second.ready > *ready_by)) {
      break;
    }
    const auto tokens = std::min(cached->second.tokens, part.tokens);
    const auto enough =
        options_.min_cached_fraction * static_cast<double>(part.tokens);
    if (static_cast<double>(tokens) < enough) {
      prefix.tokens += tokens;
      break;
    }
    prefix.tokens += part.tokens;
  }
  return prefix;
}

CacheSources FleetLoad::SourcesOf(const CallWork& work,
                                  const std::vector<LoadEndpoint>& endpoints,
                                  Instant now) const {
  CacheSources sources;
  for (const auto& it : endpoints) {
    const auto engine = engines_.find(it.endpoint);
    if (engine == engines_.end()) {
      continue;
    }
    const auto tokens =
        CachedPrefixOf(engine->second, work, work.shared, now).tokens;
    if (tokens > sources.most.tokens) {
      sources.second_most = std::exchange(sources.most, {tokens, 0, {}});
    } else if (tokens > sources.second_most.tokens &&
               tokens < sources.most.tokens) {
      sources.second_most = {tokens, 0, {}};
    }
    for (auto* level : {&sources.most, &sources.second_most}) {
      if (tokens > 0 && tokens == level->tokens) {
        AddSource(*level, {&it, engine->second.link_until});
      }
    }
  }
  return sources;
}

// Chooses the source that has most of the shared parts cached and, among
// equals, the one from which the endpoint can fetch the missing parts soonest.
FleetLoad::Source FleetLoad::ChooseSource(const LoadEndpoint& endpoint,
                                          const CachedPrefix& prefix,
                                          Instant link_until,
                                          const CacheSources& sources,
                                          Instant now) const {
  const auto is_endpoint = [&endpoint](const CacheSources::Source& it) {
    return it.endpoint->endpoint == endpoint.endpoint;
  };
  const auto& most = sources.most;
  const bool alone =
      most.count == 1 && is_endpoint(most.first_free.begin()->second.front());
  const auto& level = alone ? sources.second_most : most;
  const auto lacking = level.tokens - prefix.tokens;
  Source best;
  for (const auto& [zone, first] : level.first_free) {
    const auto it = std::find_if_not(first.begin(), first.end(), is_endpoint);
    if (it == first.end()) {
      continue;
    }
    Source found{it->endpoint, 0, Duration::zero()};
    if (lacking >= kMinFetchedTokens) {
      const auto queued = std::max({it->link_until, link_until, now}) - now;
      const auto factor =
          zone != endpoint.zone ? options_.cross_zone_fetch_factor : 1;
      found.tokens = lacking;
      found.time = std::chrono::duration_cast<Duration>(
          queued + FetchTime(lacking) * factor);
    }
    if (best.endpoint == nullptr || found.time < best.time) {
      best = found;
    }
  }
  return best;
}

LoadEstimate FleetLoad::Estimate(const LoadEndpoint& endpoint,
                                 const CallWork& work,
                                 const CacheSources& sources,
                                 Instant now) const {
  LoadEstimate out;
  CachedPrefix prefix;
  Duration wait{};
  double memory_wait = 0;
  double slowness = 1;
  std::int32_t streams = 0;
  double prefill_share = 0;
  Instant link_until;
  if (const auto it = engines_.find(endpoint.endpoint); it != engines_.end()) {
    prefix = CachedPrefixOf(it->second, work, work.parts.size(), std::nullopt);
    wait = std::max(it->second.busy_until - now, Duration::zero());
    const auto memory = endpoint.memory_tokens > 0 ? endpoint.memory_tokens
                                                   : kAssumedMemoryTokens;
    // Calls that don't fit into the engine's memory wait until others end.
    const auto excess =
        static_cast<double>(it->second.running_tokens + work.tokens() - memory);
    memory_wait = std::max(excess, 0.0) / options_.prefill_tokens_per_ms;
    slowness = it->second.slowness;
    streams = it->second.in_flight;
    prefill_share = PrefillShare(it->second, now);
    link_until = it->second.link_until;
  }
  const auto source = ChooseSource(endpoint, prefix, link_until, sources, now);
  if (source.endpoint != nullptr) {
    out.fetched = source.tokens;
    out.fetch_from = source.endpoint->address;
    out.fetch_source = source.endpoint->endpoint;
  }
  const auto missing = work.tokens() - prefix.tokens - out.fetched;
  const auto own = TokensFrom(work, std::max(prefix.parts, work.shared));
  out.to_prefill = std::max<std::int64_t>(missing - own, 0);
  const auto prefill = PrefillTime(missing, slowness);
  out.begin = wait + source.time + Ms(memory_wait);
  out.first_token = out.begin + prefill + options_.first_step;
  out.delay_to_others = streams * prefill;
  out.delay_from_others = std::chrono::duration_cast<Duration>(
      prefill_share * static_cast<double>(work.outputs) * options_.token_time);
  return out;
}

void FleetLoad::AddToCache(Engine& engine,
                           const CallWork& work,
                           std::size_t depth,
                           Instant ready,
                           Instant now) {
  for (std::size_t n = 0; n < work.parts.size(); ++n) {
    const auto& it = work.parts[n];
    const auto [cached, added] =
        engine.cache.try_emplace(it.key, Cached{it.tokens, ready, now});
    if (added) {
      engine.cached_tokens += it.tokens;
    } else {
      cached->second.used = now;
      if (n >= depth) {
        cached->second.ready = ready;
        engine.cached_tokens += it.tokens - cached->second.tokens;
        cached->second.tokens = it.tokens;
      }
    }
  }
}

void FleetLoad::SetMemory(const EndpointId& endpoint,
                          std::int64_t tokens,
                          bool store) {
  const auto part = store ? options_.store_fraction : options_.cache_fraction;
  engines_[endpoint].cache_capacity =
      static_cast<std::int64_t>(part * static_cast<double>(tokens));
}

// Evicts the least recently used parts until the rest fits.
void FleetLoad::EvictOverflow(Engine& engine) const {
  const auto most = engine.cache_capacity > 0
                        ? engine.cache_capacity
                        : static_cast<std::int64_t>(
                              options_.cache_fraction *
                              static_cast<double>(kAssumedMemoryTokens));
  while (engine.cached_tokens > most && !engine.cache.empty()) {
    const auto oldest =
        std::min_element(engine.cache.begin(), engine.cache.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.used < right.second.used;
                         });
    engine.cached_tokens -= oldest->second.tokens;
    engine.cache.erase(oldest);
  }
}

// A fetch occupies the links of both sides. The source also marks the parts as
// used, which delays their eviction there.
void FleetLoad::Fetch(Engine& engine, const CallWork& work, Instant now) {
  auto& source = engines_[work.fetched_from];
  const auto end = std::max({source.link_until, engine.link_until, now}) +
                   FetchTime(work.fetched);
  source.link_until = end;
  engine.link_until = end;
  for (const auto& it : work.parts) {
    const auto cached = source.cache.find(it.key);
    if (cached == source.cache.end()) {
      break;
    }
    cached->second.used = now;
  }
}

void FleetLoad::Sent(const FleetAttemptId& key,
                     const EndpointId& endpoint,
                     const CallWork& work,
                     Instant now,
                     const EndpointId& saved_to) {
  auto& engine = engines_[endpoint];
  const auto prefix =
      CachedPrefixOf(engine, work, work.parts.size(), std::nullopt);
  const auto depth = prefix.parts;
  AttemptLoad attempt;
  attempt.endpoint = endpoint;
  attempt.sent = now;
  attempt.tokens = work.tokens();
  attempt.work = PrefillTime(
      std::max<std::int64_t>(work.tokens() - prefix.tokens - work.fetched, 0),
      engine.slowness);
  for (auto n = depth; n < work.parts.size(); ++n) {
    attempt.prefilled_parts.push_back(work.parts[n].key);
  }
  attempt.saved_to = saved_to;
  if (!saved_to.empty()) {
    attempt.saved = work;
  }
  engine.busy_until = std::max(engine.busy_until, now) + attempt.work;
  if (work.fetched == 0) {
    attempt.first_token = engine.busy_until - now + options_.first_step;
  }
  const std::chrono::duration<double> half = options_.prefill_half_life;
  const std::chrono::duration<double> age = now - engine.recent_prefill_at;
  engine.recent_prefill =
      attempt.work + std::chrono::duration_cast<Duration>(
                         engine.recent_prefill * std::exp2(-age / half));
  engine.recent_prefill_at = now;
  engine.running_tokens += attempt.tokens;
  ++engine.in_flight;
  engine.waiting.push_back(key);
  AddToCache(engine, work, depth, engine.busy_until, now);
  EvictOverflow(engine);
  if (work.fetched > 0) {
    Fetch(engine, work, now);
  }
  attempts_.insert_or_assign(key, std::move(attempt));
}

// Removes `key` from the attempts that wait for prefill, and lowers the
// predicted end of all prefill to the sum of the rest.
void FleetLoad::RemoveWaiting(Engine& engine,
                              const FleetAttemptId& key,
                              Instant now) {
  std::erase(engine.waiting, key);
  Duration left{};
  for (const auto& it : engine.waiting) {
    left += attempts_.at(it).work;
  }
  engine.busy_until = std::min(engine.busy_until, now + left);
}

void FleetLoad::Began(const FleetAttemptId& key, Instant now) {
  const auto it = attempts_.find(key);
  if (it == attempts_.end() || it->second.began) {
    return;
  }
  auto& attempt = it->second;
  attempt.began = true;
  auto& engine = engines_[attempt.endpoint];
  UpdateSlowness(engine, attempt, now);
  for (const auto& hash : attempt.prefilled_parts) {
    const auto cached = engine.cache.find(hash);
    if (cached != engine.cache.end()) {
      cached->second.ready = std::min(cached->second.ready, now);
    }
  }
  RemoveWaiting(engine, key, now);
  if (!attempt.saved_to.empty()) {
    auto& store = engines_[attempt.saved_to];
    AddToCache(store, attempt.saved, 0, now + options_.save_lag, now);
    EvictOverflow(store);
  }
}

void FleetLoad::Ended(const FleetAttemptId& key, Instant now) {
  const auto it = attempts_.find(key);
  if (it == attempts_.end()) {
    return;
  }
  auto& engine = engines_[it->second.endpoint];
  if (!it->second.began) {
    // The parts that this attempt was to prefill may not be cached.
    for (const auto& hash : it->second.prefilled_parts) {
      const auto cached = engine.cache.find(hash);
      if (cached != engine.cache.end() && cached->second.ready > now) {
        engine.cached_tokens -= cached->second.tokens;
        engine.cache.erase(cached);
      }
    }
  }
  RemoveWaiting(engine, key, now);
  engine.running_tokens -= it->second.tokens;
  --engine.in_flight;
  attempts_.erase(it);
}

void FleetLoad::Retain(const VmId& vm,
                       std::uint64_t newest,
                       const std::vector<std::uint64_t>& in_flight,
                       Instant now) {
  std::vector<FleetAttemptId> ended;
  for (auto it = attempts_.lower_bound({vm, 0});
       it != attempts_.end() && it->first.first == vm &&
       it->first.second <= newest;
       ++it) {
    if (!std::binary_search(in_flight.begin(), in_flight.end(),
                            it->first.second)) {
      ended.push_back(it->first);
    }
  }
  for (const auto& it : ended) {
    Ended(it, now);
  }
}

bool FleetLoad::ApplyCacheReport(const EndpointId& endpoint,
                                 std::uint64_t part,
                                 std::int64_t tokens,
                                 Instant now) {
  auto& engine = engines_[endpoint];
  const auto it = engine.cache.find(part);
  if (it == engine.cache.end()) {
    if (tokens == 0) {
      return false;
    }
    engine.cache[part] = {tokens, now, now};
    engine.cached_tokens += tokens;
    return true;
  }
  if (tokens >= it->second.tokens) {
    it->second.ready = std::min(it->second.ready, now);
    return false;
  }
  if (it->second.used > now - options_.report_lag) {
    return false;
  }
  engine.cached_tokens -= it->second.tokens - tokens;
  it->second.tokens = tokens;
  if (tokens == 0) {
    engine.cache.erase(it);
  }
  return true;
}

void FleetLoad::ClearCache(const EndpointId& endpoint) {
  const auto it = engines_.find(endpoint);
  if (it != engines_.end()) {
    it->second.cache.clear();
    it->second.cached_tokens = 0;
  }
}

void FleetLoad::Expire(Instant now) {
  std::vector<FleetAttemptId> old;
  for (const auto& [key, it] : attempts_) {
    if (now - it.sent > options_.attempt_timeout) {
      old.push_back(key);
    }
  }
  for (const auto& it : old) {
    Ended(it, now);
  }
}

bool FleetLoad::WorthSaving(const EndpointId& store,
                            const CallWork& work) const {
  const auto own = static_cast<double>(work.own_tokens());
  if (work.shared == 0 || own > options_.max_own_fraction_saved *
                                    static_cast<double>(work.tokens())) {
    return false;
  }
  const auto it = engines_.find(store);
  return it == engines_.end() ||
         CachedPrefixOf(it->second, work, work.shared, std::nullopt).parts <
             work.shared;
}

std::int32_t FleetLoad::InFlight(const EndpointId& endpoint) const {
  const auto it = engines_.find(endpoint);
  return it == engines_.end() ? 0 : it->second.in_flight;
}

}  // namespace baobabrun
