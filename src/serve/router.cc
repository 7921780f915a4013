// The way of a request through the slices' decisions.
#include "serve/router.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "serve/admission.h"

namespace baobabrun {
namespace {

constexpr std::string_view kModelsPath = "/v1/models";
constexpr Duration kRetryWhenReady = seconds(1);

}  // namespace

Router::Router(RouterOptions options, std::unique_ptr<Dispatcher> dispatcher)
    : keys_(std::move(options.key_salt)), dispatcher_(std::move(dispatcher)) {}

Result<std::unique_ptr<Router>> Router::Create(RouterOptions options) {
  auto dispatcher = Dispatcher::Create(options.dispatcher);
  if (!dispatcher.ok()) {
    return dispatcher.error();
  }
  return std::unique_ptr<Router>(
      new Router(std::move(options), std::move(dispatcher.value())));
}

void Router::Refuse(RequestId request, Refusal refusal) {
  Log(Event::kRequestRefused, "request {}: {}", request.value(),
      EntryOf(refusal.reason).code);
  actions_.push_back(RefuseRequest{request, std::move(refusal)});
}

void Router::OnRequest(const CallerRequest& request, Instant now) {
  if (state_ == nullptr) {
    Refuse(request.id,
           {RefusalReason::kNoQuorum, "this VM has no configuration yet", true,
            kRetryWhenReady});
    return;
  }
  if (request.path == kModelsPath && request.method == "GET") {
    auto list = ListModels(*state_, keys_, request);
    if (list.ok) {
      actions_.push_back(AnswerRequest{request.id, std::move(list.json)});
    } else {
      Refuse(request.id, std::move(list.refusal));
    }
    return;
  }
  auto checked = CheckRequest(*state_, keys_, request);
  if (checked.request == nullptr) {
    Refuse(request.id, std::move(checked.refusal));
    return;
  }
  open_[request.id] = {checked.request->key, checked.request->organisation};
  dispatcher_->Submit(std::move(checked.request), now);
  TakeDispatcherActions(now);
}

void Router::OnCallerGone(RequestId request, Instant now) {
  dispatcher_->Abandon(request, now);
  TakeDispatcherActions(now);
}

void Router::OnReport(const AttemptReport& report, Instant now) {
  dispatcher_->OnReport(report, now);
  TakeDispatcherActions(now);
}

void Router::OnAnnouncement(const Announcement& it, Instant now) {
  dispatcher_->OnAnnouncement(it, now);
  TakeDispatcherActions(now);
}

void Router::OnState(FleetStatePtr state, Instant now) {
  if (state_ != nullptr && state->version <= state_->version) {
    return;
  }
  state_ = std::move(state);
  const auto withdrawn = keys_.Apply(*state_);
  dispatcher_->SetRetired(state_->retired, now);
  EndRequestsOf(withdrawn, now);
  TakeDispatcherActions(now);
  Log(Event::kStateInForce, "state version {}", state_->version.value());
}

void Router::EndRequestsOf(const std::vector<KeyId>& withdrawn, Instant now) {
  if (withdrawn.empty()) {
    return;
  }
  std::vector<RequestId> ended;
  for (const auto& it : open_) {
    if (std::find(withdrawn.begin(), withdrawn.end(), it.second.key) !=
        withdrawn.end()) {
      ended.push_back(it.first);
    }
  }
  for (const auto& it : ended) {
    dispatcher_->Abandon(it, now, RefusalReason::kKeyWithdrawn);
  }
}

void Router::BeginDrain() {
  dispatcher_->BeginDrain();
}

void Router::Advance(Instant now) {
  dispatcher_->Advance(now);
  TakeDispatcherActions(now);
}

std::optional<Instant> Router::NextEvent() const {
  return dispatcher_->NextEvent();
}

std::vector<RouterAction> Router::TakeActions() {
  return std::exchange(actions_, {});
}

void Router::TakeDispatcherActions(Instant now) {
  for (auto& it : dispatcher_->TakeActions()) {
    if (const auto* over = std::get_if<RequestOver>(&it)) {
      OnOver(*over, now);
    } else if (auto* dispatch = std::get_if<Dispatch>(&it)) {
      actions_.push_back(std::move(*dispatch));
    } else {
      actions_.push_back(std::get<CancelAttempt>(it));
    }
  }
}

void Router::OnOver(const RequestOver& over, Instant /*now*/) {
  open_.erase(over.request);
  if (over.refusal) {
    Refuse(over.request, *over.refusal);
    return;
  }
  actions_.push_back(FinishRequest{over.request});
}

}  // namespace baobabrun
