// The loop of a fleet run.
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

double FleetFigures::hit_rate() const {
  return Ratio(static_cast<double>(cached_tokens),
               static_cast<double>(prompt_tokens));
}

double FleetFigures::wasted_share() const {
  return Ratio(static_cast<double>(wasted_tokens),
               static_cast<double>(prompt_tokens));
}

double FleetFigures::FirstToken(double quantile) const {
  return Quantile(first_tokens, quantile);
}

double FleetFigures::WorstFirstToken(double quantile) const {
  return Quantile(worst_first_tokens, quantile);
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

void FleetRun::At(Instant when, std::function<void()> what) {
  due_.emplace(when, std::move(what));
}

FleetFigures FleetRun::Run() {
  for (std::size_t n = 0; n < endpoints_.size(); ++n) {
    // Heartbeats are spread over the interval.
    At(start_ + options_.heartbeat * n / endpoints_.size(),
       [this, n] { Announce(n); });
  }
  At(start_ + seconds(1), [this] { Arrive(); });
  At(start_ + options_.crash_at,
     [this] { Crash(0, options_.crash_lasts, weights_); });
  At(start_ + options_.roll_out_at, [this] { RollOut(); });
  At(start_ + options_.slow_from,
     [this] { endpoints_.back().engine->SetPace(options_.slow_percent); });
  // Requests that arrived in time are served to their end.
  const Instant last = start_ + options_.length + options_.workload.deadline;
  for (; now_ < last; now_ += kStep) {
    while (!due_.empty() && due_.begin()->first <= now_) {
      const auto what = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      what();
    }
    for (std::size_t n = 0; n < endpoints_.size(); ++n) {
      StepEngine(n);
    }
    for (std::size_t n = 0; n < entries_.size(); ++n) {
      StepEntry(n);
    }
  }
  std::sort(figures_.first_tokens.begin(), figures_.first_tokens.end());
  for (auto& it : organisations_) {
    std::sort(it.first_tokens.begin(), it.first_tokens.end());
    figures_.worst_served =
        std::min(figures_.worst_served, Ratio(it.whole, it.requests));
    if (Quantile(it.first_tokens, 0.99) > figures_.WorstFirstToken(0.99)) {
      figures_.worst_first_tokens = it.first_tokens;
    }
  }
  return figures_;
}

void FleetRun::Arrive() {
  if (now_ >= start_ + options_.length) {
    return;
  }
  const RequestId id(++last_request_);
  Open it;
  it.job = workload_.Next(id, weights_, now_);
  it.entry = random_() % entries_.size();
  it.arrived = now_;
  const auto request = it.job.request;
  const auto entry = it.entry;
  if (Counts(it)) {
    figures_.requests += 1;
    organisations_[it.job.organisation].requests += 1;
  }
  open_.emplace(id, std::move(it));
  entries_[entry].dispatcher->Submit(request, now_);
  At(now_ + workload_.NextGap(), [this] { Arrive(); });
}

void FleetRun::Announce(std::size_t n) {
  At(now_ + options_.heartbeat, [this, n] { Announce(n); });
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
        At(now_ + kPeerDelay, [this, n, peer, it] {
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
  tries_[attempt] = {request, n};
  At(now_ + Delay(entry, n), [this, n, attempt, request, incarnation] {
    auto& endpoint = endpoints_[n];
    if (!tries_.contains(attempt)) {
      return;
    }
    AttemptReport report;
    report.outcome = AttemptOutcome::kNotSent;
    if (!endpoint.up || Incarnation(endpoint.incarnation) != incarnation) {
      Reply(attempt, report);
      return;
    }
    const auto& job = open_.at(request).job;
    const auto status = endpoint.engine->Submit(
        {attempt, job.blocks, job.request->prompt_tokens, job.answer_tokens},
        now_);
    if (!status.ok()) {
      report.outcome = AttemptOutcome::kRefused;
      Reply(attempt, report);
    }
  });
}

void FleetRun::OnCancel(std::size_t entry, AttemptId attempt) {
  const auto found = tries_.find(attempt);
  if (found == tries_.end()) {
    return;
  }
  endpoints_[found->second.second].engine->Cancel(attempt, now_);
  tries_.erase(found);
  AttemptReport report;
  report.attempt = attempt;
  report.outcome = AttemptOutcome::kCancelled;
  entries_[entry].dispatcher->OnReport(report, now_);
}

void FleetRun::OnRequestResult(const RequestResult& it) {
  const auto found = open_.find(it.request);
  if (Counts(found->second)) {
    figures_.whole += it.refusal ? 0 : 1;
    figures_.refused += it.refusal ? 1 : 0;
    organisations_[found->second.job.organisation].whole += it.refusal ? 0 : 1;
  }
  open_.erase(found);
}

void FleetRun::OnOutput(std::size_t n, const standin::EngineOutput& it) {
  const auto found = tries_.find(it.id);
  if (found == tries_.end()) {
    return;
  }
  auto& open = open_.at(found->second.first);
  auto& endpoint = endpoints_[n];
  AttemptReport report;
  if (it.kind == standin::EngineOutput::Kind::kStarted) {
    endpoint.cached[it.id] = it.cached_tokens;
    if (Counts(open)) {
      figures_.prompt_tokens += open.job.request->prompt_tokens;
      figures_.cached_tokens += it.cached_tokens;
      figures_.wasted_tokens += std::max<std::int64_t>(
          BestHeld(open.job.blocks) - it.cached_tokens, 0);
    }
  } else if (it.kind == standin::EngineOutput::Kind::kToken && it.token == 1) {
    report.kind = AttemptReport::Kind::kFirstByte;
    report.answer_begun = true;
    Reply(it.id, report);
  } else if (it.kind == standin::EngineOutput::Kind::kFinished) {
    report.answer_begun = true;
    report.prompt_tokens = open.job.request->prompt_tokens;
    report.cached_tokens = endpoint.cached[it.id];
    report.completion_tokens = open.job.answer_tokens;
    endpoint.cached.erase(it.id);
    Reply(it.id, report);
  }
}

// Carries a report to the entry that made the try.
void FleetRun::Reply(AttemptId attempt, AttemptReport report) {
  const auto [request, engine] = tries_.at(attempt);
  const auto entry = open_.at(request).entry;
  report.attempt = attempt;
  At(now_ + Delay(entry, engine), [this, report, entry] {
    const auto found = tries_.find(report.attempt);
    if (found == tries_.end()) {
      return;
    }
    auto& open = open_.at(found->second.first);
    if (report.answer_begun && !std::exchange(open.begun, true) &&
        Counts(open)) {
      const std::chrono::duration<double> taken = now_ - open.arrived;
      figures_.first_tokens.push_back(taken.count());
      organisations_[open.job.organisation].first_tokens.push_back(
          taken.count());
    }
    if (report.kind == AttemptReport::Kind::kEnded) {
      tries_.erase(found);
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
    if (!tries_.contains(attempt)) {
      continue;
    }
    AttemptReport report;
    report.outcome = AttemptOutcome::kConnectionLost;
    // Streams that had begun go on elsewhere with what was delivered.
    const auto& open = open_.at(tries_.at(attempt).first);
    if (open.begun) {
      report.answer_begun = true;
      report.delivered = std::make_shared<const std::string>("delivered");
      report.delivered_events = 1;
    }
    Reply(attempt, report);
  }
  At(now_ + lasts, [this, n, weights] {
    auto& endpoint = endpoints_[n];
    endpoint.up = true;
    endpoint.incarnation += 1;
    endpoint.announcement.leaving = false;
    endpoint.announcement.models = {{ModelId("tutor"), weights, ""}};
  });
}

void FleetRun::RollOut() {
  for (std::size_t n = 0; n < endpoints_.size(); ++n) {
    At(now_ + options_.roll_out_gap * n, [this, n] {
      endpoints_[n].announcement.leaving = true;
      Reload(n, now_ + options_.roll_out_drain);
    });
  }
}

// Loads the new weights as soon as the engine is idle, at the latest at `last`.
void FleetRun::Reload(std::size_t n, Instant last) {
  const auto load = endpoints_[n].engine->CurrentLoad();
  if (load.running + load.queued > 0 && now_ < last) {
    At(now_ + seconds(1), [this, n, last] { Reload(n, last); });
    return;
  }
  Crash(n, options_.reload_lasts, kNewWeights);
  // New requests ask for the new weights once half of the engines have them.
  reloaded_ += 1;
  if (reloaded_ == endpoints_.size() / 2) {
    At(now_ + options_.reload_lasts, [this] { weights_ = kNewWeights; });
  }
}

Duration FleetRun::Delay(std::size_t entry, std::size_t engine) const {
  return entries_[entry].zone == endpoints_[engine].announcement.zone
             ? Duration::zero()
             : options_.zone_delay;
}

std::int64_t FleetRun::BestHeld(const std::vector<BlockHash>& blocks) const {
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

bool FleetRun::Counts(const Open& it) const {
  return it.arrived >= start_ + options_.warm_up;
}

}  // namespace baobabrun::bench
