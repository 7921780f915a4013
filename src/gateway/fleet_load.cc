// Predicting first tokens and caches.
#include "gateway/fleet_load.h"

#include <algorithm>

#include "base/hash.h"

namespace baobabrun {
namespace {

// Where an engine's memory isn't known.
constexpr std::int64_t kUnknownMemory = 100'000;
// Below this, a fetch isn't worth its set-up.
constexpr std::int64_t kLeastFetched = 256;

Duration Ms(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

std::int64_t TokensFrom(const CallWork& work, std::size_t depth) {
  std::int64_t tokens = 0;
  for (auto n = depth; n < work.prefixes.size(); ++n) {
    tokens += work.prefixes[n].tokens;
  }
  return tokens;
}

}  // namespace

std::int64_t CallWork::tokens() const {
  return TokensFrom(*this, 0);
}

CallWork WorkOf(const std::vector<PromptPart>& parts,
                const std::string& cache_scope,
                std::uint64_t weights) {
  CallWork work;
  auto hash = FastHash(cache_scope, weights);
  for (const auto& it : parts) {
    hash = FastHash(it.id, hash);
    work.prefixes.push_back({hash, it.tokens});
  }
  // The last part is the call's own.
  work.shared = parts.empty() ? 0 : parts.size() - 1;
  return work;
}

Duration FleetLoad::ReadTime(std::int64_t tokens) const {
  return Ms(static_cast<double>(tokens) / options_.read_tokens_per_ms);
}

std::size_t FleetLoad::Depth(const Engine& engine,
                             const CallWork& work,
                             std::optional<Instant> ready_by) const {
  std::size_t depth = 0;
  for (const auto& it : work.prefixes) {
    const auto cached = engine.cache.find(it.hash);
    if (cached == engine.cache.end() ||
        (ready_by && cached->second.ready > *ready_by)) {
      break;
    }
    ++depth;
  }
  return depth;
}

LoadEstimate FleetLoad::Estimate(const LoadEndpoint& endpoint,
                                 const CallWork& work,
                                 const std::vector<LoadEndpoint>& others,
                                 Instant now) const {
  LoadEstimate out;
  std::size_t depth = 0;
  Duration wait{};
  double crowding = 0;
  if (const auto it = engines_.find(endpoint.endpoint); it != engines_.end()) {
    depth = Depth(it->second, work, std::nullopt);
    wait = std::max(it->second.busy_until - now, Duration::zero());
    const auto memory =
        endpoint.memory_tokens > 0 ? endpoint.memory_tokens : kUnknownMemory;
    // Calls that don't fit into memory wait for others to end.
    const auto excess =
        static_cast<double>(it->second.running_tokens + work.tokens() - memory);
    crowding = std::max(excess, 0.0) / options_.read_tokens_per_ms;
  }
  // Shared parts that another has; those that this engine lacks are fetched.
  Duration fetch{};
  std::size_t best = 0;
  for (const auto& it : others) {
    const auto source = engines_.find(it.endpoint);
    if (it.endpoint == endpoint.endpoint || source == engines_.end()) {
      continue;
    }
    const auto there = std::min(Depth(source->second, work, now), work.shared);
    if (there == 0 || there < best) {
      continue;
    }
    const auto lacking = TokensFrom(work, depth) - TokensFrom(work, there);
    const auto tokens = there > depth && lacking >= kLeastFetched ? lacking : 0;
    const bool far = it.zone != endpoint.zone;
    const auto time =
        Ms(static_cast<double>(tokens) / options_.fetch_tokens_per_ms *
           (far ? options_.far_fetch_factor : 1));
    if (there > best || time < fetch) {
      best = there;
      out.fetched = tokens;
      out.fetch_from = it.address;
      fetch = time;
    }
  }
  const auto missing = TokensFrom(work, depth) - out.fetched;
  const auto own = TokensFrom(work, std::max(depth, work.shared));
  out.unread = std::max<std::int64_t>(missing - own, 0);
  out.first_token =
      wait + fetch + ReadTime(missing) + Ms(crowding) + options_.first_step;
  return out;
}

void FleetLoad::Remember(Engine& engine,
                         const CallWork& work,
                         std::size_t depth,
                         Instant ready,
                         Instant now) {
  for (std::size_t n = 0; n < work.prefixes.size(); ++n) {
    const auto& it = work.prefixes[n];
    const auto [cached, added] =
        engine.cache.try_emplace(it.hash, Cached{it.tokens, ready, now});
    if (added) {
      engine.cached_tokens += it.tokens;
    } else {
      cached->second.used = now;
      if (n >= depth) {
        cached->second.ready = ready;
      }
    }
  }
}

// The parts used longest ago yield.
void FleetLoad::Trim(Engine& engine, std::int64_t memory_tokens) {
  const auto most = static_cast<std::int64_t>(
      options_.cache_part * static_cast<double>(memory_tokens));
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

void FleetLoad::Sent(const SendingKey& key,
                     const EndpointId& endpoint,
                     const CallWork& work,
                     Instant now,
                     const EndpointId& saved_to) {
  auto& engine = engines_[endpoint];
  const auto depth = Depth(engine, work, std::nullopt);
  Sending sending;
  sending.endpoint = endpoint;
  sending.sent = now;
  sending.tokens = work.tokens();
  sending.work = ReadTime(TokensFrom(work, depth));
  for (auto n = depth; n < work.prefixes.size(); ++n) {
    sending.reads.push_back(work.prefixes[n].hash);
  }
  sending.saved_to = saved_to;
  if (!saved_to.empty()) {
    sending.shared = work;
    sending.shared.prefixes.resize(work.shared);
  }
  engine.busy_until = std::max(engine.busy_until, now) + sending.work;
  engine.running_tokens += sending.tokens;
  ++engine.in_flight;
  engine.unread.push_back(key);
  Remember(engine, work, depth, engine.busy_until, now);
  Trim(engine, kUnknownMemory);
  sendings_.insert_or_assign(key, std::move(sending));
}

// `key` isn't waiting to be read any more.
void FleetLoad::Settle(Engine& engine, const SendingKey& key, Instant now) {
  std::erase(engine.unread, key);
  Duration left{};
  for (const auto& it : engine.unread) {
    left += sendings_.at(it).work;
  }
  engine.busy_until = std::min(engine.busy_until, now + left);
}

void FleetLoad::Began(const SendingKey& key, Instant now) {
  const auto it = sendings_.find(key);
  if (it == sendings_.end() || it->second.began) {
    return;
  }
  auto& sending = it->second;
  sending.began = true;
  auto& engine = engines_[sending.endpoint];
  for (const auto& hash : sending.reads) {
    const auto cached = engine.cache.find(hash);
    if (cached != engine.cache.end()) {
      cached->second.ready = std::min(cached->second.ready, now);
    }
  }
  Settle(engine, key, now);
  if (!sending.saved_to.empty()) {
    auto& store = engines_[sending.saved_to];
    Remember(store, sending.shared, 0, now + options_.save_lag, now);
    Trim(store, options_.store_tokens);
  }
}

void FleetLoad::Ended(const SendingKey& key, Instant now) {
  const auto it = sendings_.find(key);
  if (it == sendings_.end()) {
    return;
  }
  auto& engine = engines_[it->second.endpoint];
  if (!it->second.began) {
    // Whatever it was to read may not be there.
    for (const auto& hash : it->second.reads) {
      const auto cached = engine.cache.find(hash);
      if (cached != engine.cache.end() && cached->second.ready > now) {
        engine.cached_tokens -= cached->second.tokens;
        engine.cache.erase(cached);
      }
    }
  }
  Settle(engine, key, now);
  engine.running_tokens -= it->second.tokens;
  --engine.in_flight;
  sendings_.erase(it);
}

void FleetLoad::Emptied(const EndpointId& endpoint) {
  const auto it = engines_.find(endpoint);
  if (it != engines_.end()) {
    it->second.cache.clear();
    it->second.cached_tokens = 0;
  }
}

void FleetLoad::Expire(Instant now) {
  std::vector<SendingKey> old;
  for (const auto& [key, it] : sendings_) {
    if (now - it.sent > options_.longest_sending) {
      old.push_back(key);
    }
  }
  for (const auto& it : old) {
    Ended(it, now);
  }
}

bool FleetLoad::HasShared(const EndpointId& endpoint,
                          const CallWork& work) const {
  const auto it = engines_.find(endpoint);
  return it != engines_.end() &&
         Depth(it->second, work, std::nullopt) >= work.shared;
}

std::int32_t FleetLoad::InFlight(const EndpointId& endpoint) const {
  const auto it = engines_.find(endpoint);
  return it == engines_.end() ? 0 : it->second.in_flight;
}

}  // namespace baobabrun
