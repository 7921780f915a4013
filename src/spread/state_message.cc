// Encoding of the messages that replicate state.
#include "spread/state_message.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "control/codec.h"
#include "spread/spread.pb.h"

namespace baobabrun {
namespace {

// A year; longer ages could overflow a Duration.
constexpr std::uint64_t kLongestAgeMs = 31'536'000'000;

constexpr NameEntry<StateMessageError> kErrorNames[] = {
    {StateMessageError::kMalformed, "malformed message"},
};
constexpr NameEntry<StateMessageKind> kKindNames[] = {
    {StateMessageKind::kPush, "push"},
    {StateMessageKind::kAsk, "ask"},
    {StateMessageKind::kWithdraw, "withdraw"},
    {StateMessageKind::kQuery, "query"},
    {StateMessageKind::kVersion, "version"},
};

Status ReadChanges(const wire::Spread& in, StateMessage* message) {
  for (const auto& it : in.changes()) {
    auto changes = DecodeChangeSet(it);
    if (!changes.ok()) {
      return changes.error();
    }
    message->changes.push_back(std::move(changes.value()));
  }
  return Ok();
}

Status ReadState(const wire::Spread& in, StateMessage* message) {
  if (in.state().empty()) {
    return Ok();
  }
  auto state = DecodeFleetState(in.state());
  if (!state.ok()) {
    return state.error();
  }
  message->state = std::make_shared<FleetState>(std::move(state.value()));
  return Ok();
}

}  // namespace

std::error_code make_error_code(StateMessageError error) {
  static const ErrorCategory<StateMessageError> kCategory("spread",
                                                          kErrorNames);
  return kCategory.Code(error);
}

std::string EncodeStateMessage(const StateMessage& message) {
  wire::Spread out;
  out.set_kind(static_cast<std::uint32_t>(message.kind));
  out.set_version(message.version.value());
  out.set_withdrawn_digest(message.withdrawn_digest);
  out.set_first_change(message.first_change.value());
  for (const auto& it : message.changes) {
    out.add_changes(EncodeChangeSet(it));
  }
  if (message.state != nullptr) {
    out.set_state(EncodeFleetState(*message.state));
  }
  for (const auto& it : message.withdrawn) {
    out.add_withdrawn(it.value());
  }
  for (const auto& it : message.weights_ages) {
    auto* age = out.add_weights_ages();
    age->set_model(it.model.value());
    age->set_weights(it.weights);
    age->set_age_ms(static_cast<std::uint64_t>(InMs(it.age)));
  }
  return out.SerializeAsString();
}

Result<StateMessage> DecodeStateMessage(std::string_view bytes) {
  wire::Spread in;
  StateMessage message;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Error{StateMessageError::kMalformed, "not a spread message"};
  }
  message.kind = static_cast<StateMessageKind>(in.kind());
  if (NameOf<StateMessageKind>(kKindNames, message.kind) == "unknown") {
    return Error{StateMessageError::kMalformed,
                 "unknown kind of spread message"};
  }
  for (const auto& status :
       {ReadChanges(in, &message), ReadState(in, &message)}) {
    if (!status.ok()) {
      return Error{StateMessageError::kMalformed, status.error().message};
    }
  }
  message.version = StateVersion(in.version());
  message.withdrawn_digest = in.withdrawn_digest();
  message.first_change = StateVersion(in.first_change());
  for (const auto& it : in.withdrawn()) {
    message.withdrawn.emplace_back(it);
  }
  for (const auto& it : in.weights_ages()) {
    const auto ms = std::min(it.age_ms(), kLongestAgeMs);
    message.weights_ages.push_back(
        {ModelId(it.model()), it.weights(),
         milliseconds(static_cast<std::int64_t>(ms))});
  }
  return message;
}

}  // namespace baobabrun
