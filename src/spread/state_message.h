// Messages that replicate committed state and key withdrawals between VMs, and
// their encoding.
#ifndef SPREAD_STATE_MESSAGE_H_
#define SPREAD_STATE_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "control/change.h"
#include "settings/declarations.h"

namespace baobabrun {

enum class StateMessageError { kMalformed = 1 };
std::error_code make_error_code(StateMessageError error);

enum class StateMessageKind {
  kPush = 1,      // change sets or a whole state
  kAsk = 2,       // requests all changes after the sender's version
  kWithdraw = 3,  // withdrawn keys, possibly ahead of the committed state
  kQuery = 4,     // requests the receiver's version
  kVersion = 5,   // answers kQuery, and confirms kAsk and kPush
};

// How long ago weights of a model were named, at least. VMs have no common
// clock, so they tell each other ages.
struct WeightsAge {
  ModelId model;
  std::uint64_t weights = 0;
  Duration age{};
};

struct StateMessage {
  StateMessageKind kind = StateMessageKind::kPush;
  StateVersion version;  // in force at the sender; zero if it has no state
  std::uint64_t withdrawn_digest = 0;
  // The version that changes[0] leads to; each later element leads to the next
  // version.
  StateVersion first_change;
  std::vector<ChangeSet> changes;
  FleetStatePtr state;  // null if `changes` are sent instead
  std::vector<KeyId> withdrawn;
  std::vector<WeightsAge> weights_ages;
};

std::string EncodeStateMessage(const StateMessage& message);
// Errors: StateMessageError::kMalformed.
Result<StateMessage> DecodeStateMessage(std::string_view bytes);

}  // namespace baobabrun

template <>
struct std::is_error_code_enum<baobabrun::StateMessageError> : std::true_type {
};

#endif  // SPREAD_STATE_MESSAGE_H_
