// Handles operators' and endpoints' requests, orders and quotas.
#include "gateway/control_handler.h"

#include <utility>

#include "base/log.h"

namespace baobabrun {
namespace {

// Operators turn to another VM after a second without an answer, but accept an
// answer that arrives later.
constexpr Duration kChangeTimeout = milliseconds(2'500);
constexpr Duration kReadTimeout = milliseconds(900);
constexpr Duration kOfferInterval = milliseconds(300);

ControlAnswer Unavailable(std::string message) {
  return {ControlOutcome::kUnavailable, std::move(message), nullptr};
}

ControlAnswer Invalid(std::string message) {
  return {ControlOutcome::kInvalid, std::move(message), nullptr};
}

}  // namespace

ControlHandler::ControlHandler(
    ControlHandlerOptions options,
    RegistryReplicator& endpoints,
    std::function<Result<Manifest>(std::string_view text)> read_manifest)
    : options_(std::move(options)),
      endpoints_(endpoints),
      read_manifest_(std::move(read_manifest)),
      quotas_(options_.quota),
      rollout_(options_.rollout) {}

void ControlHandler::OnCall(std::uint64_t serial,
                            const ControlCall& call,
                            Instant now) {
  std::visit([&](const auto& it) { Handle(serial, it, now); }, call);
}

void ControlHandler::Answer(std::uint64_t serial, ControlAnswer answer) {
  actions_.emplace_back(AnswerControl{serial, std::move(answer)});
}

void ControlHandler::Handle(std::uint64_t serial,
                            const BadControlCall& call,
                            Instant /*now*/) {
  Log(Event::kControlCallRefused, "{}", call.message);
  const bool unknown = call.reason == BadControlCall::Reason::kUnknown;
  Answer(serial,
         {unknown ? ControlOutcome::kUnknownCall : ControlOutcome::kInvalid,
          call.message, nullptr});
}

void ControlHandler::Handle(std::uint64_t serial,
                            const ReplaceManifest& call,
                            Instant now) {
  const auto manifest = read_manifest_(call.text);
  auto status = manifest.ok() ? CheckManifest(manifest.value())
                              : Status(manifest.error());
  if (!status.ok()) {
    Log(Event::kManifestRefused, "a manifest was refused: {}",
        status.error().message);
    Answer(serial, Invalid(status.error().message));
    return;
  }
  const auto number = manifest.value().number;
  ChangeSet changes;
  if (state_ == nullptr || state_->manifest.number < number) {
    changes = {
        PutManifest{{number, std::make_shared<const std::string>(call.text)}}};
  }
  // A manifest that is in force here already is acknowledged through the log
  // like the first time: the next start might lead to an older one.
  Propose(serial, ProposalKind::kChange, std::move(changes), now);
}

void ControlHandler::Handle(std::uint64_t serial,
                            const ReadManifest& /*call*/,
                            Instant now) {
  // Committing a log entry without changes yields the newest version.
  Propose(serial, ProposalKind::kRead, {}, now);
}

void ControlHandler::Handle(std::uint64_t serial,
                            const NameNewWeights& call,
                            Instant now) {
  ChangeSet changes;
  if (state_ == nullptr ||
      state_->WeightsOf(call.named.model) < call.named.weights) {
    changes = {SetModelWeights{call.named}};
  }
  Propose(serial, ProposalKind::kChange, std::move(changes), now);
}

void ControlHandler::Handle(std::uint64_t serial,
                            const ReportEndpoint& call,
                            Instant now) {
  const auto& record = call.record;
  if (endpoints_.Report(record, now)) {
    Log(Event::kEndpointReported,
        "endpoint {} of service {} at {} is {}, sequence {}",
        record.endpoint.value(), record.service, ToString(record.address),
        NameOf(record.state), record.sequence);
    const auto* known = endpoints_.registry().Find(record.endpoint);
    if (known == nullptr || known->service != record.service) {
      Log(Event::kEndpointReported,
          "this report names no endpoint to use: {} is no service of the "
          "manifest in force, or the endpoint belongs to another one",
          record.service);
    }
  }
  Answer(serial, {});
}

void ControlHandler::Handle(std::uint64_t serial,
                            const DeregisterEndpoint& call,
                            Instant now) {
  if (endpoints_.MarkGone(call.endpoint, call.incarnation, now)) {
    Log(Event::kEndpointReported, "endpoint {} is leaving",
        call.endpoint.value());
  }
  Answer(serial, {});
}

void ControlHandler::Propose(std::uint64_t serial,
                             ProposalKind kind,
                             ChangeSet changes,
                             Instant now) {
  const auto timeout =
      kind == ProposalKind::kRead ? kReadTimeout : kChangeTimeout;
  proposed_[serial] = kind;
  actions_.emplace_back(ProposeChange{
      serial, {"", std::nullopt, std::move(changes)}, now + timeout});
}

void ControlHandler::OnProposed(std::uint64_t serial,
                                const ProposalResult& result,
                                Instant now) {
  const auto proposed = proposed_.extract(serial);
  if (proposed.empty()) {
    return;
  }
  switch (result.outcome) {
    case ProposalOutcome::kCommitted:
      if (proposed.mapped() == ProposalKind::kRead) {
        reads_[serial] = {result.version, now + kReadTimeout};
        AnswerReads(now);
      } else {
        Answer(serial, {});
      }
      break;
    case ProposalOutcome::kInvalid:
      Answer(serial, Invalid(result.message));
      break;
    default:
      Answer(serial, Unavailable("no majority of control VMs answers: " +
                                 result.message));
      break;
  }
}

void ControlHandler::AnswerReads(Instant now) {
  std::erase_if(reads_, [&](const auto& it) {
    const auto& [serial, read] = it;
    if (state_ != nullptr && state_->version >= read.version) {
      const bool none = state_->manifest.number == 0;
      Answer(serial, none ? Unavailable("there is no manifest yet")
                          : ControlAnswer{ControlOutcome::kDone, "",
                                          state_->manifest.text});
      return true;
    }
    if (now >= read.deadline) {
      Answer(serial, Unavailable("this VM doesn't have the newest state yet"));
      return true;
    }
    return false;
  });
}

void ControlHandler::OnState(FleetStatePtr state,
                             ManifestViewPtr manifest,
                             Instant now) {
  if (state_ != nullptr && state->version <= state_->version) {
    return;
  }
  state_ = std::move(state);
  if (manifest != nullptr) {
    quotas_.SetManifest(std::move(manifest));
  }
  AnswerReads(now);
}

void ControlHandler::SetLeading(bool leading, std::uint64_t term, Instant now) {
  const auto led = leading ? term : 0;
  if (led == term_) {
    return;
  }
  term_ = led;
  loading_stamps_ = 0;
  if (!leading) {
    rollout_.StopLeading();
    return;
  }
  rollout_.Lead(term, now);
  next_offer_ = now;
}

void ControlHandler::Receive(const VmId& from,
                             const GatewayMessage& message,
                             Instant now) {
  const auto* ask = std::get_if<QuotaAsk>(&message);
  if (ask != nullptr && term_ != 0) {
    messages_.push_back(
        {options_.self, from, PeerTopic::kLimits,
         EncodeGatewayMessage(quotas_.Answer(from, *ask, now))});
  } else if (const auto* report = std::get_if<QuotaReport>(&message)) {
    quotas_.Receive(from, *report, now);
  }
}

void ControlHandler::OnNotice(const EndpointNotice& notice, Instant now) {
  if (!rollout_.OnNotice(notice, endpoints_.registry().Live(), now)) {
    return;
  }
  if (notice.notice.retry_after) {
    Log(Event::kEndpointHeldBack,
        "endpoint {} wants no requests for {} ms; it gets no orders until then",
        notice.endpoint.value(), InMs(*notice.notice.retry_after));
  }
  if (notice.notice.leaving) {
    Log(Event::kEndpointLeaves,
        "endpoint {} answers that it leaves; it gets no more orders",
        notice.endpoint.value());
  }
}

void ControlHandler::OnOrderAnswer(const EndpointId& endpoint,
                                   OrderAnswer answer,
                                   Instant now) {
  Log(Event::kOrderGiven, "the result of the order to endpoint {} is: {}",
      endpoint.value(), NameOf(answer));
  rollout_.OnAnswer(endpoint, answer, now);
}

void ControlHandler::OnStatus(const EndpointId& endpoint,
                              const Result<EndpointStatus>& status,
                              Instant now) {
  if (!status.ok()) {
    Log(Event::kOrderGiven, "the status of endpoint {} can't be read: {}",
        endpoint.value(), status.error().message);
    rollout_.OnStatus(endpoint, nullptr, now);
    return;
  }
  Log(Event::kOrderGiven, "endpoint {} {}, {} orders accepted",
      endpoint.value(), status.value().loading ? "loads" : "doesn't load",
      status.value().orders);
  if (!status.value().loading) {
    for (const auto& it : status.value().models) {
      endpoints_.SetWeights(endpoint, it, now);
    }
  }
  rollout_.OnStatus(endpoint, &status.value(), now);
}

void ControlHandler::RollOut(Instant now) {
  if (state_ == nullptr || term_ == 0) {
    return;
  }
  auto actions = rollout_.Plan(*state_, endpoints_.registry().Live(), now);
  for (const auto& it : actions.notices) {
    constexpr int kStampBits = 32;
    endpoints_.SetLoading(it.endpoint, it.weights,
                          (term_ << kStampBits) | ++loading_stamps_, now);
  }
  for (auto& it : actions.orders) {
    actions_.emplace_back(SendOrder{std::move(it)});
  }
  for (const auto& it : actions.status_queries) {
    const auto* record = endpoints_.registry().Find(it);
    actions_.emplace_back(QueryStatus{it, record->address});
  }
}

void ControlHandler::Advance(Instant now) {
  if (!std::exchange(started_, true)) {
    quotas_.Start(options_.stored_uses, now);
  }
  AnswerReads(now);
  RollOut(now);
  if (term_ != 0 && now >= next_offer_) {
    next_offer_ = now + kOfferInterval;
    for (const auto& it : peers_) {
      messages_.push_back({options_.self, it, PeerTopic::kLimits,
                           EncodeGatewayMessage(QuotaOffer{term_})});
    }
  }
}

std::vector<ControlAction> ControlHandler::TakeActions() {
  return std::exchange(actions_, {});
}

std::vector<PeerMessage> ControlHandler::TakeMessages() {
  return std::exchange(messages_, {});
}

}  // namespace baobabrun
