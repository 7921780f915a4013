// Batching, prefill and decoding of the simulated engine.
#include "standin/engine.h"

#include <algorithm>

#include "standin/standin_error.h"

namespace baobabrun::standin {
namespace {

constexpr std::int32_t kFullPercent = 100;

Error InvalidOption(const char* message) {
  return {StandinError::kInvalidOption, message};
}

}  // namespace

Result<std::unique_ptr<Engine>> Engine::Create(EngineOptions options,
                                               std::uint64_t seed) {
  if (options.slots < 1) {
    return InvalidOption("the number of slots must be at least 1");
  }
  if (options.block_tokens < 1) {
    return InvalidOption("the number of tokens in a block must be at least 1");
  }
  if (options.prefill_per_token < Duration::zero()) {
    return InvalidOption("the prefill time must not be negative");
  }
  if (options.decode_step <= Duration::zero()) {
    return InvalidOption("the duration of a decoding step must be positive");
  }
  return std::unique_ptr<Engine>(new Engine(options, seed));
}

Engine::Engine(EngineOptions options, std::uint64_t seed)
    : options_(options), cache_(options.cache, seed) {}

Status Engine::Submit(EngineRequest request, Instant now) {
  RunUntil(now);
  if (HasRequest(request.id)) {
    return Error{StandinError::kDuplicate, "the request is already here"};
  }
  const bool slot_free =
      static_cast<std::int32_t>(running_.size()) < options_.slots;
  if (!slot_free && options_.queue_limit > 0 &&
      static_cast<std::int32_t>(queue_.size()) >= options_.queue_limit) {
    return Error{StandinError::kQueueFull, "the queue is full"};
  }
  const QueueKey key{request.priority, ++arrivals_};
  queue_.emplace(key, std::move(request));
  FillSlots(now);
  SampleLoad(now);
  return Ok();
}

std::vector<EngineOutput> Engine::Advance(Instant now) {
  RunUntil(now);
  return std::exchange(outputs_, {});
}

std::optional<Instant> Engine::NextEvent() const {
  if (!outputs_.empty()) {
    return outputs_.front().at;
  }
  std::optional<Instant> next = step_end_;
  if (prefilling_ && (!next || prefill_end_ < *next)) {
    next = prefill_end_;
  }
  return next;
}

bool Engine::Cancel(AttemptId id, Instant now) {
  RunUntil(now);
  if (running_.contains(id)) {
    Release(id);
    FillSlots(now);
    SampleLoad(now);
    return true;
  }
  const auto waiting =
      std::find_if(queue_.begin(), queue_.end(),
                   [id](const auto& entry) { return entry.second.id == id; });
  if (waiting == queue_.end()) {
    return false;
  }
  queue_.erase(waiting);
  SampleLoad(now);
  return true;
}

std::vector<AttemptId> Engine::Crash(Instant now) {
  std::vector<AttemptId> lost;
  for (const auto& [id, running] : running_) {
    lost.push_back(id);
  }
  for (const auto& [key, request] : queue_) {
    lost.push_back(request.id);
  }
  Restart();
  SampleLoad(now);
  return lost;
}

LoadReport Engine::ReportedLoad(Instant now) {
  const Instant sampled_at = now - options_.load_lag;
  while (samples_.size() > 1 && samples_[1].at <= sampled_at) {
    samples_.pop_front();
  }
  if (samples_.empty() || samples_.front().at > sampled_at) {
    return {};
  }
  return samples_.front().load;
}

LoadReport Engine::CurrentLoad() const {
  LoadReport load;
  load.running = static_cast<std::int32_t>(running_.size());
  load.queued = static_cast<std::int32_t>(queue_.size());
  for (const auto& [key, request] : queue_) {
    load.queued_tokens += request.prompt_tokens;
  }
  for (const auto id : awaiting_prefill_) {
    load.queued_tokens += running_.at(id).request.prompt_tokens;
  }
  return load;
}

void Engine::ImportBlocks(std::span<const BlockHash> chain, Instant now) {
  RunUntil(now);
  cache_.Store(chain, now);
}

void Engine::RunUntil(Instant now) {
  while (true) {
    const bool prefill_due = prefilling_ && prefill_end_ <= now;
    const bool step_due = step_end_ && *step_end_ <= now;
    if (prefill_due && (!step_due || prefill_end_ <= *step_end_)) {
      EndPrefill();
    } else if (step_due) {
      EndStep();
    } else {
      return;
    }
  }
}

void Engine::FillSlots(Instant now) {
  while (!queue_.empty() &&
         static_cast<std::int32_t>(running_.size()) < options_.slots) {
    auto entry = queue_.extract(queue_.begin());
    const auto id = entry.mapped().id;
    running_[id].request = std::move(entry.mapped());
    awaiting_prefill_.push_back(id);
  }
  StartPrefill(now);
}

void Engine::StartPrefill(Instant now) {
  if (prefilling_ || awaiting_prefill_.empty()) {
    return;
  }
  const auto id = awaiting_prefill_.front();
  awaiting_prefill_.pop_front();
  auto& running = running_.at(id);
  const auto cached_blocks =
      static_cast<std::int64_t>(cache_.Lookup(running.request.blocks));
  running.cached_tokens = std::min(cached_blocks * options_.block_tokens,
                                   running.request.prompt_tokens);
  const auto missed = running.request.prompt_tokens - running.cached_tokens;
  prefilling_ = id;
  prefill_end_ = now + ScaledTime(options_.prefill_per_token * missed);
  Emit(EngineOutput::Kind::kStarted, id, now);
  outputs_.back().cached_tokens = running.cached_tokens;
}

void Engine::EndPrefill() {
  const auto id = *prefilling_;
  const auto at = prefill_end_;
  const auto& request = running_.at(id).request;
  if (request.poison) {
    Emit(EngineOutput::Kind::kCrashed, id, at);
    Restart();
    SampleLoad(at);
    return;
  }
  prefilling_.reset();
  cache_.Store(request.blocks, at);
  decoding_.push_back(id);
  // Prefill produces the first token.
  ProduceToken(id, at);
  FillSlots(at);
  StartStep(at);
  SampleLoad(at);
}

void Engine::StartStep(Instant now) {
  if (step_end_ || decoding_.empty()) {
    return;
  }
  step_batch_ = decoding_;
  const auto others = static_cast<std::int64_t>(step_batch_.size()) - 1;
  step_end_ = now + ScaledTime(options_.decode_step +
                               options_.decode_per_request * others);
}

void Engine::EndStep() {
  const auto at = *step_end_;
  step_end_.reset();
  // The batch no longer contains requests that were cancelled during the step.
  for (const auto id : std::exchange(step_batch_, {})) {
    ProduceToken(id, at);
  }
  FillSlots(at);
  StartStep(at);
  SampleLoad(at);
}

void Engine::ProduceToken(AttemptId id, Instant at) {
  auto& running = running_.at(id);
  const bool has_more = running.produced < running.request.output_tokens;
  if (has_more) {
    ++running.produced;
    Emit(EngineOutput::Kind::kToken, id, at);
    outputs_.back().token = running.produced;
  }
  if (running.produced >= running.request.output_tokens) {
    Emit(EngineOutput::Kind::kFinished, id, at);
    Release(id);
  }
}

void Engine::Emit(EngineOutput::Kind kind, AttemptId id, Instant at) {
  EngineOutput out;
  out.kind = kind;
  out.id = id;
  out.at = at;
  outputs_.push_back(out);
}

void Engine::SampleLoad(Instant now) {
  samples_.push_back({now, CurrentLoad()});
  // Removes outdated samples, so that their number stays bounded even if no
  // report is requested.
  ReportedLoad(now);
}

void Engine::Release(AttemptId id) {
  running_.erase(id);
  std::erase(awaiting_prefill_, id);
  std::erase(decoding_, id);
  std::erase(step_batch_, id);
  if (prefilling_ == id) {
    prefilling_.reset();
  }
}

void Engine::Restart() {
  queue_.clear();
  running_.clear();
  awaiting_prefill_.clear();
  prefilling_.reset();
  decoding_.clear();
  step_end_.reset();
  step_batch_.clear();
  cache_.Reset();
  ++incarnation_;
}

Duration Engine::ScaledTime(Duration work) const {
  return work * work_time_percent_ / kFullPercent;
}

bool Engine::HasRequest(AttemptId id) const {
  return running_.contains(id) ||
         std::any_of(queue_.begin(), queue_.end(),
                     [id](const auto& entry) { return entry.second.id == id; });
}

}  // namespace baobabrun::standin
