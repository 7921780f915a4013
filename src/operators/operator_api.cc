// Requests of the operators' API.
#include "operators/operator_api.h"

#include <algorithm>
#include <utility>

#include "operators/operator_json.h"

namespace baobabrun {
namespace {

constexpr char kPrefix[] = "/operator/";
// How long the log may take to commit a change, and the longest time that the
// answer then waits for all VMs to confirm it.
constexpr seconds kCommitTimeout{5};
constexpr seconds kConfirmTimeout{2};

constexpr char kWithdrawnNote[] =
    "this VM and those that it reaches refuse the key already; the withdrawal "
    "isn't known to be committed";

bool HasKey(const FleetStatePtr& state, const KeyId& key) {
  return state != nullptr &&
         std::any_of(state->declarations.keys.begin(),
                     state->declarations.keys.end(),
                     [&key](const auto& it) { return it.key == key; });
}

OperatorResponse BadBody(const Error& error) {
  return ErrorResponse(400, "bad_request", error.message);
}

OperatorResponse NoState() {
  return ErrorResponse(503, "not_accepted",
                       "this VM knows no state of the fleet yet");
}

}  // namespace

OperatorApi::OperatorApi(OperatorOptions options, OperatorHooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      calls_(std::make_shared<Calls>()) {}

OperatorApi::~OperatorApi() = default;

bool OperatorApi::Serves(std::string_view path) {
  return path.starts_with(kPrefix);
}

bool OperatorApi::Authorised(std::string_view key) const {
  const auto bytes = FromHex(options_.operator_key_hash);
  KeyHash wanted{};
  if (bytes.size() != wanted.size() || key.empty()) {
    return false;
  }
  std::copy(bytes.begin(), bytes.end(), wanted.begin());
  return SameHash(wanted, HashKey(key, options_.key_salt));
}

void OperatorApi::Handle(const OperatorRequest& request,
                         Instant now,
                         OperatorDone done) {
  if (!Authorised(request.key)) {
    done(ErrorResponse(401, "unauthorised", "the operators' key is needed"));
    return;
  }
  const auto call = request.method + " " + request.path;
  if (call == "POST /operator/apply") {
    HandleApply(request.body, now, std::move(done));
  } else if (call == "POST /operator/keys") {
    HandleAddKey(request.body, now, std::move(done));
  } else if (call == "POST /operator/keys/withdraw") {
    HandleWithdraw(request.body, now, std::move(done));
  } else if (call == "POST /operator/endpoints/retire") {
    HandleEndpoint(true, request.body, now, std::move(done));
  } else if (call == "POST /operator/endpoints/cancel") {
    HandleEndpoint(false, request.body, now, std::move(done));
  } else if (call == "GET /operator/keys") {
    const auto state = hooks_.state();
    done(state == nullptr ? NoState() : KeysResponse(*state));
  } else if (call == "GET /operator/endpoints") {
    done({200, hooks_.endpoints_json()});
  } else if (call == "GET /operator/status") {
    done({200, hooks_.status_json()});
  } else {
    done(ErrorResponse(404, "not_found", "no such call: " + call));
  }
}

void OperatorApi::HandleApply(const std::string& body,
                              Instant now,
                              OperatorDone done) {
  auto parsed = ParseApplyBody(body);
  if (!parsed.ok()) {
    done(BadBody(parsed.error()));
    return;
  }
  auto& apply = parsed.value();
  if (apply.plan) {
    Propose({apply.operation_id, apply.expected, std::move(*apply.plan)}, now,
            std::move(done));
    return;
  }
  // A VM without a state plans from empty declarations of version 0. A new
  // fleet's first declarations are applied this way; a fleet with a state
  // refuses version 0 as a conflict.
  const auto state = hooks_.state();
  done(state == nullptr
           ? PlanResponse(StateVersion(), Diff({}, *apply.declarations))
           : PlanResponse(state->version,
                          Diff(state->declarations, *apply.declarations)));
}

void OperatorApi::HandleAddKey(const std::string& body,
                               Instant now,
                               OperatorDone done) {
  auto parsed = ParseAddKeyBody(body);
  if (!parsed.ok()) {
    done(BadBody(parsed.error()));
    return;
  }
  auto& add = parsed.value();
  Propose({add.operation_id, std::nullopt, {AddKey{std::move(add.record)}}},
          now, std::move(done));
}

// The withdrawal doesn't wait for the log, so that it reaches all VMs that this
// one can reach even without a quorum.
void OperatorApi::HandleWithdraw(const std::string& body,
                                 Instant now,
                                 OperatorDone done) {
  auto parsed = ParseNamedBody(body, "key");
  if (!parsed.ok()) {
    done(BadBody(parsed.error()));
    return;
  }
  const KeyId key(parsed.value().id);
  std::string note;
  if (HasKey(hooks_.state(), key)) {
    hooks_.withdraw(key);
    note = kWithdrawnNote;
  }
  Propose({parsed.value().operation_id, std::nullopt, {WithdrawKey{key}}}, now,
          std::move(done), std::move(note));
}

void OperatorApi::HandleEndpoint(bool retire,
                                 const std::string& body,
                                 Instant now,
                                 OperatorDone done) {
  auto parsed = ParseNamedBody(body, "endpoint");
  if (!parsed.ok()) {
    done(BadBody(parsed.error()));
    return;
  }
  const EndpointId endpoint(parsed.value().id);
  const auto change = retire ? Change(RetireEndpoint{endpoint})
                             : Change(CancelRetirement{endpoint});
  Propose({parsed.value().operation_id, std::nullopt, {change}}, now,
          std::move(done));
}

void OperatorApi::Propose(ChangeProposal proposal,
                          Instant now,
                          OperatorDone done,
                          std::string note) {
  auto call = std::make_shared<Call>();
  call->operation_id = proposal.operation_id;
  call->expected = proposal.expected;
  call->done = std::move(done);
  call->note = std::move(note);
  call->deadline = now + kCommitTimeout;
  {
    std::lock_guard lock(calls_->mutex);
    calls_->open.push_back(call);
  }
  hooks_.propose(std::move(proposal), call->deadline,
                 [calls = calls_, call](ProposalResult result) {
                   Finish(*calls, call, std::move(result));
                 });
}

// Answers `call` unless the change was committed. A committed change stays open
// until all VMs have confirmed it; see Tick.
void OperatorApi::Finish(Calls& calls,
                         const CallPtr& call,
                         ProposalResult result) {
  {
    std::lock_guard lock(calls.mutex);
    const auto it = std::find(calls.open.begin(), calls.open.end(), call);
    if (it == calls.open.end() || call->result) {
      return;  // already answered as unknown
    }
    if (result.outcome == ProposalOutcome::kCommitted) {
      call->result = std::move(result);
      return;
    }
    calls.open.erase(it);
  }
  Answer(*call, std::move(result), {});
}

void OperatorApi::Answer(const Call& call,
                         ProposalResult result,
                         const std::vector<VmId>& unconfirmed) {
  if (result.outcome != ProposalOutcome::kCommitted && !call.note.empty()) {
    result.message += result.message.empty() ? call.note : "; " + call.note;
  }
  call.done(
      ResultResponse(call.operation_id, call.expected, result, unconfirmed));
}

void OperatorApi::Tick(Instant now) {
  std::list<CallPtr> open;
  {
    std::lock_guard lock(calls_->mutex);
    open = calls_->open;
  }
  for (const auto& call : open) {
    AnswerIfDue(call, now);
  }
}

void OperatorApi::AnswerIfDue(const CallPtr& call, Instant now) {
  std::optional<ProposalResult> result;
  {
    std::lock_guard lock(calls_->mutex);
    result = call->result;
    if (result && call->confirm_until == Instant()) {
      call->confirm_until = now + kConfirmTimeout;
    }
  }
  std::vector<VmId> unconfirmed;
  if (result) {
    unconfirmed = hooks_.unconfirmed(result->version);
    if (!unconfirmed.empty() && now < call->confirm_until) {
      return;
    }
  } else if (now < call->deadline) {
    return;
  }
  {
    std::lock_guard lock(calls_->mutex);
    const auto it = std::find(calls_->open.begin(), calls_->open.end(), call);
    if (it == calls_->open.end() ||
        call->result.has_value() != result.has_value()) {
      return;  // its outcome has just arrived on another thread
    }
    calls_->open.erase(it);
  }
  Answer(*call, result.value_or(ProposalResult()), unconfirmed);
}

}  // namespace baobabrun
