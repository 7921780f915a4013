// A dispatcher with a manual clock and the helper functions that its tests
// share. Only tests include this file.
#ifndef PLACEMENT_DISPATCHER_FIXTURE_H_
#define PLACEMENT_DISPATCHER_FIXTURE_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "placement/dispatcher.h"

namespace baobabrun {

struct DispatcherFixture {
  explicit DispatcherFixture(DispatcherOptions options = {}) {
    options.zone = ZoneId("ikeja");
    options.attempt_prefix = 7;
    dispatcher = std::move(Dispatcher::Create(options).value());
  }

  Announcement EngineAnnouncement(const std::string& name,
                                  std::uint64_t incarnation = 1) {
    Announcement it;
    it.endpoint = EndpointId(name);
    it.incarnation = Incarnation(incarnation);
    it.zone = ZoneId("ikeja");
    it.slots = 4;
    it.models = {{ModelId("tagger"), "v1", ""}};
    return it;
  }

  void Announce(const Announcement& it) {
    dispatcher->OnAnnouncement(it, clock.Now());
    Collect();
  }

  std::shared_ptr<Request> MakeRequest(std::uint64_t id,
                                       bool repeatable = true) {
    auto it = std::make_shared<Request>();
    it->caller.id = RequestId(id);
    it->caller.kind = RequestKind::kChat;
    it->caller.call.model = ModelId("tagger");
    it->caller.call.stream = true;
    it->caller.call.prompt =
        std::make_shared<const std::string>("prompt " + std::to_string(id));
    it->caller.deadline = clock.Now() + seconds(30);
    it->organisation = OrganisationId("hall-a");
    it->weights = "v1";
    it->repeatable = repeatable;
    it->prompt_tokens = 100;
    return it;
  }

  void Submit(std::shared_ptr<Request> it) {
    dispatcher->Submit(std::move(it), clock.Now());
    Collect();
  }

  void Report(const AttemptReport& it) {
    dispatcher->OnReport(it, clock.Now());
    Collect();
  }

  // Reports the end of an attempt. `text` is what the caller has received so
  // far from all attempts.
  void EndAttempt(AttemptId attempt,
                  AttemptOutcome outcome,
                  const std::string& text = "",
                  std::int32_t status = 0) {
    AttemptReport it;
    it.attempt = attempt;
    it.outcome = outcome;
    it.status = status;
    if (!text.empty()) {
      it.answer_begun = true;
      it.delivered = std::make_shared<const std::string>(text);
      it.delivered_events = text.size();
    }
    Report(it);
  }

  void AdvanceClock(Duration step) {
    clock.Advance(step);
    dispatcher->Advance(clock.Now());
    Collect();
  }

  void Collect() {
    for (auto& it : dispatcher->TakeActions()) {
      if (auto* dispatch = std::get_if<Dispatch>(&it)) {
        dispatches.push_back(std::move(*dispatch));
      } else if (auto* cancel = std::get_if<CancelAttempt>(&it)) {
        cancels.push_back(cancel->attempt);
      } else {
        results.push_back(std::move(std::get<RequestResult>(it)));
      }
    }
    for (auto& it : dispatcher->TakeMessages()) {
      messages.push_back(std::move(it));
    }
  }

  ManualClock clock;
  std::unique_ptr<Dispatcher> dispatcher;
  std::vector<Dispatch> dispatches;
  std::vector<AttemptId> cancels;
  std::vector<RequestResult> results;
  std::vector<std::string> messages;
};

}  // namespace baobabrun

#endif  // PLACEMENT_DISPATCHER_FIXTURE_H_
