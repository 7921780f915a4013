// Parses the request bodies and writes the responses of the operators' API.
// Included by .cc files only.
#ifndef OPERATORS_OPERATOR_JSON_H_
#define OPERATORS_OPERATOR_JSON_H_

#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "control/change.h"
#include "control/proposal.h"
#include "operators/operator_api.h"
#include "settings/declarations.h"

namespace baobabrun {

// Exactly one of `declarations` (for a dry run) and `plan` (to commit) is set.
struct ApplyBody {
  std::string operation_id;
  std::optional<StateVersion> expected;
  std::optional<Declarations> declarations;
  std::optional<ChangeSet> plan;
};
Result<ApplyBody> ParseApplyBody(const std::string& body);

struct AddKeyBody {
  std::string operation_id;
  KeyRecord record;
};
Result<AddKeyBody> ParseAddKeyBody(const std::string& body);

// A request about one key or endpoint, whose id is in the member `name`.
struct NamedBody {
  std::string operation_id;
  std::string id;
};
Result<NamedBody> ParseNamedBody(const std::string& body, const char* name);

OperatorResponse ErrorResponse(int status,
                               std::string_view result,
                               std::string_view message);
OperatorResponse PlanResponse(StateVersion version, const ChangeSet& changes);
OperatorResponse KeysResponse(const FleetState& state);
OperatorResponse ResultResponse(const std::string& operation_id,
                                const std::optional<StateVersion>& expected,
                                const ProposalResult& result,
                                const std::vector<VmId>& unconfirmed);

}  // namespace baobabrun

#endif  // OPERATORS_OPERATOR_JSON_H_
