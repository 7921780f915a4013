// JSON bodies of the operators' API.
#include "operators/operator_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "control/codec.h"
#include "settings/json_reader.h"
#include "settings/settings_error.h"

namespace baobabrun {
namespace {

using nlohmann::json;

constexpr char kSource[] = "body";
constexpr std::size_t kMaxOperationId = 128;

// HTTP status and "result" for each outcome of a proposal.
struct OutcomeEntry {
  ProposalOutcome outcome;
  int status;
  std::string_view result;
};
constexpr OutcomeEntry kOutcomes[] = {
    {ProposalOutcome::kUnknown, 504, "unknown"},
    {ProposalOutcome::kCommitted, 200, "committed"},
    {ProposalOutcome::kConflict, 409, "conflict"},
    {ProposalOutcome::kInvalid, 422, "invalid"},
    {ProposalOutcome::kNotAccepted, 503, "not_accepted"},
};

const OutcomeEntry& FindOutcome(ProposalOutcome outcome) {
  const auto* it = std::find_if(
      std::begin(kOutcomes), std::end(kOutcomes),
      [outcome](const auto& row) { return row.outcome == outcome; });
  return it == std::end(kOutcomes) ? kOutcomes[0] : *it;
}

// Parses a body. `read` reads all fields except the operation id.
template <class Body, class Read>
Result<Body> ParseBody(const std::string& text, Read read) {
  auto parsed = ParseJson(text, kSource);
  if (!parsed.ok()) {
    return parsed.error();
  }
  Body body;
  ObjectReader reader(parsed.value(), kSource, "");
  reader.Required("operation_id", &body.operation_id);
  if (body.operation_id.empty() || body.operation_id.size() > kMaxOperationId) {
    reader.Fail("operation_id", "must have 1 to 128 characters");
  }
  read(reader, &body);
  const auto status = reader.Finish();
  if (!status.ok()) {
    return status.error();
  }
  return body;
}

void ReadDeclarations(ObjectReader& reader, ApplyBody* body) {
  const auto* object = reader.Object("declarations");
  if (object == nullptr) {
    return;
  }
  auto declarations = ParseDeclarations(object->dump(), "declarations");
  if (!declarations.ok()) {
    reader.Fail("declarations", declarations.error().message);
    return;
  }
  body->declarations = std::move(declarations.value());
}

void ReadPlan(ObjectReader& reader, ApplyBody* body) {
  std::string hex;
  reader.Optional("plan", &hex);
  if (hex.empty()) {
    return;
  }
  auto plan = DecodeChangeSet(FromHex(hex));
  if (!plan.ok() || plan.value().empty()) {
    reader.Fail("plan", "isn't a plan that a dry run gave");
    return;
  }
  body->plan = std::move(plan.value());
}

void ReadApply(ObjectReader& reader, ApplyBody* body) {
  std::int64_t version = -1;  // not given
  bool dry_run = false;
  reader.Optional("dry_run", &dry_run);
  reader.Optional("expected_version", &version);
  if (version >= 0) {
    body->expected = StateVersion(static_cast<std::uint64_t>(version));
  }
  ReadDeclarations(reader, body);
  ReadPlan(reader, body);
  if (body->declarations.has_value() == body->plan.has_value()) {
    reader.Fail("declarations", "or plan is needed, and not both");
  } else if (dry_run != body->declarations.has_value()) {
    reader.Fail("dry_run", "goes with declarations; a commit needs the plan");
  }
}

void ReadKey(ObjectReader& reader, AddKeyBody* body) {
  std::string key;
  std::string organisation;
  std::string hash;
  reader.Required("key", &key);
  reader.Required("organisation", &organisation);
  reader.Required("hash", &hash);
  const auto bytes = FromHex(hash);
  if (bytes.size() != body->record.hash.size()) {
    reader.Fail("hash", "must be 64 hexadecimal digits");
    return;
  }
  std::copy(bytes.begin(), bytes.end(), body->record.hash.begin());
  body->record.key = KeyId(std::move(key));
  body->record.organisation = OrganisationId(std::move(organisation));
}

json VmIds(const std::vector<VmId>& vms) {
  json out = json::array();
  for (const auto& it : vms) {
    out.push_back(it.value());
  }
  return out;
}

}  // namespace

Result<ApplyBody> ParseApplyBody(const std::string& body) {
  return ParseBody<ApplyBody>(body, &ReadApply);
}

Result<AddKeyBody> ParseAddKeyBody(const std::string& body) {
  return ParseBody<AddKeyBody>(body, &ReadKey);
}

Result<NamedBody> ParseNamedBody(const std::string& body, const char* name) {
  return ParseBody<NamedBody>(body,
                              [name](ObjectReader& reader, NamedBody* out) {
                                reader.Required(name, &out->id);
                              });
}

OperatorResponse ErrorResponse(int status,
                               std::string_view result,
                               std::string_view message) {
  return {status, json{{"result", result}, {"message", message}}.dump()};
}

OperatorResponse PlanResponse(StateVersion version, const ChangeSet& changes) {
  json lines = json::array();
  for (const auto& it : changes) {
    lines.push_back(Describe(it));
  }
  const auto plan = changes.empty() ? "" : ToHex(EncodeChangeSet(changes));
  return {200, json{{"result", "plan"},
                    {"version", version.value()},
                    {"changes", lines},
                    {"plan", plan}}
                   .dump()};
}

OperatorResponse KeysResponse(const FleetState& state) {
  json keys = json::array();
  for (const auto& it : state.declarations.keys) {
    keys.push_back({{"key", it.key.value()},
                    {"organisation", it.organisation.value()},
                    {"withdrawn", it.withdrawn}});
  }
  return {200, json{{"version", state.version.value()}, {"keys", keys}}.dump()};
}

OperatorResponse ResultResponse(const std::string& operation_id,
                                const std::optional<StateVersion>& expected,
                                const ProposalResult& result,
                                const std::vector<VmId>& unconfirmed) {
  const auto& entry = FindOutcome(result.outcome);
  json out = {{"result", entry.result}, {"operation_id", operation_id}};
  if (!result.message.empty()) {
    out["message"] = result.message;
  }
  if (result.version != StateVersion()) {
    out["version"] = result.version.value();
  }
  if (expected && result.outcome == ProposalOutcome::kConflict) {
    out["expected_version"] = expected->value();
  }
  if (result.outcome == ProposalOutcome::kCommitted) {
    out["unconfirmed"] = VmIds(unconfirmed);
  }
  return {entry.status, out.dump()};
}

}  // namespace baobabrun
