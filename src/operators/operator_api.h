// The operators' HTTP API, without its sockets. Every request must carry the
// operators' key. All bodies are JSON.
//
//   POST /operator/apply             {"operation_id", "dry_run": true,
//                                     "declarations": {...}}  returns the plan
//   POST /operator/apply             {"operation_id", "expected_version",
//                                     "plan"}                 commits it
//   POST /operator/keys              {"operation_id", "key", "organisation",
//                                     "hash"}
//   POST /operator/keys/withdraw     {"operation_id", "key"}
//   GET  /operator/keys
//   GET  /operator/endpoints
//   POST /operator/endpoints/retire  {"operation_id", "endpoint"}
//   POST /operator/endpoints/cancel  {"operation_id", "endpoint"}
//   GET  /operator/status
//
// The answer to a change has one of these values of "result":
//   "committed"     with the version and the VMs where it isn't in force yet
//   "conflict"      with the expected and the present version
//   "invalid"
//   "not_accepted"  the change was certainly not made
//   "unknown"       the outcome isn't known; a retry with the same operation id
//                   gets the outcome of the first attempt
// A plan is computed once, by the dry run. The operator sends it back unchanged
// to commit it, so that a retry proposes the same change.
#ifndef OPERATORS_OPERATOR_API_H_
#define OPERATORS_OPERATOR_API_H_

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/hash.h"
#include "base/ids.h"
#include "base/time.h"
#include "control/proposal.h"
#include "settings/declarations.h"

namespace baobabrun {

struct OperatorRequest {
  std::string method;
  std::string path;
  std::string key;  // from "Authorization: Bearer"
  std::string body;
};

struct OperatorResponse {
  int status = 500;
  std::string json;
};
using OperatorDone = std::function<void(OperatorResponse response)>;

// What the API needs from the rest of the process. The hooks may be called on
// any thread that calls the API, and must not block.
struct OperatorHooks {
  // Proposes a change. Calls `done` once, on any thread and possibly after the
  // deadline.
  std::function<void(Proposal proposal, Instant deadline, ProposalDone done)>
      propose;
  // Returns the state in force, or null if this VM has none yet.
  std::function<FleetStatePtr()> state;
  // Returns the VMs that haven't reported `version` as in force, and requests
  // those VMs' versions.
  std::function<std::vector<VmId>(StateVersion version)> unconfirmed;
  // Withdraws a key on this VM and sends the withdrawal to all reachable VMs,
  // without waiting for the log.
  std::function<void(const KeyId& key)> withdraw;
  std::function<std::string()> endpoints_json;
  std::function<std::string()> status_json;
};

struct OperatorOptions {
  // Hexadecimal BLAKE2b hash of the operators' key with `key_salt`. If empty,
  // every request is refused.
  std::string operator_key_hash;
  std::string key_salt;
};

// All methods may be called from any thread.
class OperatorApi {
 public:
  OperatorApi(OperatorOptions options, OperatorHooks hooks);
  ~OperatorApi();
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

  // Calls `done` exactly once, either before it returns, or in Tick, or on the
  // thread on which a proposal's `done` is called.
  void Handle(const OperatorRequest& request, Instant now, OperatorDone done);

  // Answers requests whose change is in force on all VMs or whose time is over.
  // Call it about every 50 ms.
  void Tick(Instant now);

  // Whether `path` belongs to this API.
  static bool Serves(std::string_view path);

 private:
  // A request for a change that isn't answered yet.
  struct Call {
    std::string operation_id;
    std::optional<StateVersion> expected;
    OperatorDone done;
    std::string note;  // added to the answer unless the change was committed
    Instant deadline;  // for the proposal's outcome
    std::optional<ProposalResult> result;  // set once committed
    Instant confirm_until;  // set by the first Tick after the commit
  };
  using CallPtr = std::shared_ptr<Call>;
  // The unanswered calls. Shared with the callbacks of proposals, which may
  // come after the API is destroyed.
  struct Calls {
    std::mutex mutex;
    std::list<CallPtr> open;
  };

  bool Authorised(std::string_view key) const;
  void HandleApply(const std::string& body, Instant now, OperatorDone done);
  void HandleAddKey(const std::string& body, Instant now, OperatorDone done);
  void HandleWithdraw(const std::string& body, Instant now, OperatorDone done);
  void HandleEndpoint(bool retire,
                      const std::string& body,
                      Instant now,
                      OperatorDone done);
  void Propose(ChangeProposal proposal,
               Instant now,
               OperatorDone done,
               std::string note = "");
  static void Answer(const Call& call,
                     ProposalResult result,
                     const std::vector<VmId>& unconfirmed);
  // Answers `call` if its change is in force on all VMs or its time is over.
  void AnswerIfDue(const CallPtr& call, Instant now);
  static void Finish(Calls& calls, const CallPtr& call, ProposalResult result);

  const OperatorOptions options_;
  const OperatorHooks hooks_;
  const std::shared_ptr<Calls> calls_;
};

}  // namespace baobabrun

#endif  // OPERATORS_OPERATOR_API_H_
