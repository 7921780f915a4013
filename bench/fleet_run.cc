// Runs the simulation step by step.
#include "fleet_run.h"

#include <fmt/core.h>

#include <algorithm>
#include <utility>

namespace baobabrun::bench {
namespace {

constexpr Duration kStep = milliseconds(1);
constexpr char kNewWeights[] = "v2";
constexpr Duration kPeerDelay = milliseconds(1);

double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto n = static_cast<std::size_t>(
      quantile * static_cast<double>(sorted.size() - 1));
  return sorted[n];
}

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

}  // namespace

double FleetResults::hit_rate() const {
  return Ratio(static_cast<double>(cached_tokens),
               static_cast<double>(prompt_tokens));
}

double FleetResults::wasted_share() const {
  return Ratio(static_cast<double>(wasted_tokens),
               static_cast<double>(prompt_tokens));
}

double FleetResults::FirstToken(double quantile) const {
  return Quantile(first_tokens, quantile);
}

double FleetResults::SlowestFirstToken(double quantile) const {
  return Quantile(slowest_first_tokens, quantile);
}

FleetRun::FleetRun(FleetOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      workload_(options_.workload, seed),
      start_(seconds(1000)),
      now_(start_),
      organisations_(workload_.organisations()) {
  const auto zone = [this](std::size_t n) {
    return ZoneId(options_.zones[n % options_.zones.size()]);
  };
  for (std::size_t n = 0; n < options_.engines; ++n) {
    Endpoint it;
    it.engine =
        std::move(standin::Engine::Create(options_.engine, random_()).value());
    it.announcement.endpoint = EndpointId(fmt::format("engine-{}", n));
    it.announcement.zone = zone(n);
    it.announcement.slots = options_.engine.slots;
    it.announcement.models = {{ModelId("tutor"), weights_, ""}};
    endpoints_.push_back(std::move(it));
  }
  for (std::size_t n = 0; n < options_.entries; ++n) {
    auto settings = options_.dispatcher;
    settings.zone = zone(n);
    settings.attempt_prefix = static_cast<std::uint32_t>(n + 1);
    settings.seed = random_();
    if (options_.choose) {
      settings.choose = options_.choose(random_());
    }
    entries_.push_back(
        {std::move(Dispatcher::Create(settings).value()), settings.zone});
  }
}

void FleetRun::ScheduleAt(Instant when, std::function<void()> action) {
  due_.emplace(when, std::move(action));
}

FleetResults FleetRun::Run() {
  for (std::size_t n = 0; n < endpoints_.size(); ++n) {
    // The engines' first heartbeats are spread evenly over the interval.
    ScheduleAt(start_ + options_.heartbeat * n / endpoints_.size(),
               [this, n] { SendHeartbeat(n); });
  }
  ScheduleAt(start_ + seconds(1), [this] { SubmitNextRequest(); });
  ScheduleAt(start_ + options_.crash_at,
             [this] { Crash(0, options_.crash_duration, weights_); });
  ScheduleAt(start_ + options_.rollout_at, [this] { StartRollout(); });
  ScheduleAt(start_ + options_.slow_from, [this] {
    endpoints_.back().engine->SetWorkTimePercent(options_.slow_percent);
  });
  // The simulation continues for one deadline after the last arrival, so that
  // every request ends.
  const Instant last = start_ + options_.length + options_.workload.deadline;
  for (; now_ < last; now_ += kStep) {
    while (!due_.empty() && due_.begin()->first <= now_) {
      const auto action = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      action();
    }
    for (std::size_t n = 0; n < endpoints_.size(); ++n) {
      StepEngine(n);
    }
    for (std::size_t n = 0; n < entries_.size(); ++n) {
      StepEntry(n);
    }
  }
  std::sort(results_.first_tokens.begin(), results_.first_tokens.end());
  for (auto& it : organisations_) {
    std::sort(it.first_tokens.begin(), it.first_tokens.end());
    results_.min_completed_share = std::min(results_.min_completed_share,
                                            Ratio(it.completed, it.requests));
    if (Quantile(it.first_tokens, 0.99) > results_.SlowestFirstToken(0.99)) {
      results_.slowest_first_tokens = it.first_tokens;
    }
  }
  return results_;
}

void FleetRun::SubmitNextRequest() {
  if (now_ >= start_ + options_.length) {
    return;
  }
  const RequestId id(++last_request_);
  PendingRequest it;
  it.job = workload_.Next(id, weights_, now_);
  it.entry = random_() % entries_.size();
  it.arrived = now_;
  const auto request = it.job.request;
  const auto entry = it.entry;
  if (IsMeasured(it)) {
    results_.requests += 1;
    organisations_[it.job.organisation].requests += 1;
  }
  pending_.emplace(id, std::move(it));
  entries_[entry].dispatcher->Submit(request, now_);
  ScheduleAt(now_ + workload_.NextGap(), [this] { SubmitNextRequest(); });
}

void FleetRun::SendHeartbeat(std::size_t n) {
  ScheduleAt(now_ + options_.heartbeat, [this, n] { SendHeartbeat(n); });
  auto& it = endpoints_[n];
  if (!it.up) {
    return;
  }
  it.announcement.incarnation = Incarnation(it.incarnation);
  it.announcement.load = it.engine->ReportedLoad(now_);
  do {
    it.announcement.events = it.engine->TakeEvents(now_);
    for (auto& entry : entries_) {
      entry.dispatcher->OnAnnouncement(it.announcement, now_);
    }
  } while (!it.announcement.events.items.empty());
}

void FleetRun::StepEngine(std::size_t n) {
  auto& engine = *endpoints_[n].engine;
  const auto next = engine.NextEvent();
  if (!next || *next > now_) {
    return;
  }
  for (const auto& it : engine.Advance(now_)) {
    OnOutput(n, it);
  }
}

void FleetRun::StepEntry(std::size_t n) {
  auto& dispatcher = *entries_[n].dispatcher;
  const auto next = dispatcher.NextEvent();
  if (next && *next <= now_) {
    dispatcher.Advance(now_);
  }
  for (const auto& it : dispatcher.TakeActions()) {
    if (const auto* dispatch = std::get_if<Dispatch>(&it)) {
      OnDispatch(n, *dispatch);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&it)) {
      OnCancel(n, cancel->attempt);
    } else {
      OnRequestResult(std::get<RequestResult>(it));
    }
  }
  for (const auto& it : dispatcher.TakeMessages()) {
    for (std::size_t peer = 0; peer < entries_.size(); ++peer) {
      if (peer != n) {
        ScheduleAt(now_ + kPeerDelay, [this, n, peer, it] {
          entries_[peer].dispatcher->Receive(VmId(fmt::format("entry-{}", n)),
                                             it, now_);
        });
      }
    }
  }
}

void FleetRun::OnDispatch(std::size_t entry, const Dispatch& it) {
  const auto found = std::find_if(
      endpoints_.begin(), endpoints_.end(), [&it](const auto& endpoint) {
        return endpoint.announcement.endpoint == it.endpoint;
      });
  const auto n = static_cast<std::size_t>(found - endpoints_.begin());
  const auto attempt = it.attempt;
  const auto request = it.request->caller.id;
  const auto incarnation = it.incarnation;
  attempts_[attempt] = {request, n};
  ScheduleAt(now_ + NetworkDelay(entry, n), [this, n, attempt, request,
                                             incarnation] {
    auto& endpoint = endpoints_[n];
    if (!attempts_.contains(attempt)) {
      return;
    }
    AttemptReport report;
    report.outcome = AttemptOutcome::kNotSent;
    if (!endpoint.up || Incarnation(endpoint.incarnation) != incarnation) {
      DeliverReport(attempt, report);
      return;
    }
    const auto& job = pending_.at(request).job;
    const auto status = endpoint.engine->Submit(
        {attempt, job.blocks, job.request->prompt_tokens, job.answer_tokens},
        now_);
    if (!status.ok()) {
      report.outcome = AttemptOutcome::kRefused;
      DeliverReport(attempt, report);
    }
  });
}

void FleetRun::OnCancel(std::size_t entry, AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  endpoints_[found->second.second].engine->Cancel(attempt, now_);
  attempts_.erase(found);
  AttemptReport report;
  report.attempt = attempt;
  report.outcome = AttemptOutcome::kCancelled;
  entries_[entry].dispatcher->OnReport(report, now_);
}

void FleetRun::OnRequestResult(const RequestResult& it) {
  const auto found = pending_.find(it.request);
  if (IsMeasured(found->second)) {
    results_.completed += it.refusal ? 0 : 1;
    results_.refused += it.refusal ? 1 : 0;
    organisations_[found->second.job.organisation].completed +=
        it.refusal ? 0 : 1;
  }
  pending_.erase(found);
}

void FleetRun::OnOutput(std::size_t n, const standin::EngineOutput& it) {
  const auto found = attempts_.find(it.id);
  if (found == attempts_.end()) {
    return;
  }
  auto& open = pending_.at(found->second.first);
  auto& endpoint = endpoints_[n];
  AttemptReport report;
  if (it.kind == standin::EngineOutput::Kind::kStarted) {
    endpoint.cached[it.id] = it.cached_tokens;
    if (IsMeasured(open)) {
      results_.prompt_tokens += open.job.request->prompt_tokens;
      results_.cached_tokens += it.cached_tokens;
      results_.wasted_tokens += std::max<std::int64_t>(
          LongestCachedPrefixTokens(open.job.blocks) - it.cached_tokens, 0);
    }
  } else if (it.kind == standin::EngineOutput::Kind::kToken && it.token == 1) {
    report.kind = AttemptReport::Kind::kFirstByte;
    report.answer_begun = true;
    DeliverReport(it.id, report);
  } else if (it.kind == standin::EngineOutput::Kind::kFinished) {
    report.answer_begun = true;
    report.prompt_tokens = open.job.request->prompt_tokens;
    report.cached_tokens = endpoint.cached[it.id];
    report.completion_tokens = open.job.answer_tokens;
    endpoint.cached.erase(it.id);
    DeliverReport(it.id, report);
  }
}

// Delivers a report to the entry that made the attempt, after the network
// delay.
void FleetRun::DeliverReport(AttemptId attempt, AttemptReport report) {
  const auto [request, engine] = attempts_.at(attempt);
  const auto entry = pending_.at(request).entry;
  report.attempt = attempt;
  ScheduleAt(now_ + NetworkDelay(entry, engine), [this, report, entry] {
    const auto found = attempts_.find(report.attempt);
    if (found == attempts_.end()) {
      return;
    }
    auto& open = pending_.at(found->second.first);
    if (report.answer_begun &&
        !std::exchange(open.first_token_received, true) && IsMeasured(open)) {
      const std::chrono::duration<double> taken = now_ - open.arrived;
      results_.first_tokens.push_back(taken.count());
      organisations_[open.job.organisation].first_tokens.push_back(
          taken.count());
    }
    if (report.kind == AttemptReport::Kind::kEnded) {
      attempts_.erase(found);
    }
    entries_[entry].dispatcher->OnReport(report, now_);
  });
}

void FleetRun::Crash(std::size_t n,
                     Duration lasts,
                     const std::string& weights) {
  auto& it = endpoints_[n];
  it.up = false;
  for (const auto attempt : it.engine->Crash(now_)) {
    if (!attempts_.contains(attempt)) {
      continue;
    }
    AttemptReport report;
    report.outcome = AttemptOutcome::kUnusableAnswer;
    // A stream that has begun continues on another endpoint after the text that
    // was delivered.
    const auto& open = pending_.at(attempts_.at(attempt).first);
    if (open.first_token_received) {
      report.answer_begun = true;
      report.delivered = std::make_shared<const std::string>("delivered");
      report.delivered_events = 1;
    }
    DeliverReport(attempt, report);
  }
  ScheduleAt(now_ + lasts, [this, n, weights] {
    auto& endpoint = endpoints_[n];
    endpoint.up = true;
    endpoint.incarnation += 1;
    endpoint.announcement.leaving = false;
    endpoint.announcement.models = {{ModelId("tutor"), weights, ""}};
  });
}

void FleetRun::StartRollout() {
  for (std::size_t n = 0; n < endpoints_.size(); ++n) {
    ScheduleAt(now_ + options_.rollout_interval * n, [this, n] {
      endpoints_[n].announcement.leaving = true;
      Reload(n, now_ + options_.rollout_drain_limit);
    });
  }
}

// Loads the new weights as soon as the engine is idle, or at `last` if it is
// still busy.
void FleetRun::Reload(std::size_t n, Instant last) {
  const auto load = endpoints_[n].engine->CurrentLoad();
  if (load.running + load.queued > 0 && now_ < last) {
    ScheduleAt(now_ + seconds(1), [this, n, last] { Reload(n, last); });
    return;
  }
  Crash(n, options_.reload_duration, kNewWeights);
  // New requests ask for the new weights once half of the engines have loaded
  // them.
  reloaded_engines_ += 1;
  if (reloaded_engines_ == endpoints_.size() / 2) {
    ScheduleAt(now_ + options_.reload_duration,
               [this] { weights_ = kNewWeights; });
  }
}

Duration FleetRun::NetworkDelay(std::size_t entry, std::size_t engine) const {
  return entries_[entry].zone == endpoints_[engine].announcement.zone
             ? Duration::zero()
             : options_.zone_delay;
}

std::int64_t FleetRun::LongestCachedPrefixTokens(
    const std::vector<BlockHash>& blocks) const {
  std::size_t best = 0;
  for (const auto& it : endpoints_) {
    std::size_t held = 0;
    while (it.up && held < blocks.size() &&
           it.engine->cache().Contains(blocks[held])) {
      ++held;
    }
    best = std::max(best, held);
  }
  return static_cast<std::int64_t>(best) * options_.workload.block_tokens;
}

bool FleetRun::IsMeasured(const PendingRequest& it) const {
  return it.arrived >= start_ + options_.warm_up;
}

}  // namespace baobabrun::bench
