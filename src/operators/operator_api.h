// The operators' HTTP API, without its sockets. Each call needs the operators'
// key. All bodies are JSON.
//
//   POST /operator/apply             {"operation_id", "dry_run": true,
//                                     "declarations": {...}}  shows the plan
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
// A change is answered by "result": "committed" with the version and the VMs
// where it isn't in force yet, "conflict" with both versions, "invalid",
// "not_accepted" (certainly not done), or "unknown" (ask again with the same
// operation id, and get the first answer). The plan is made once and sent back
// as it came, so that a resend is the same change.
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

// What the API needs of the rest of the process. All may be called from the
// thread of any call to the API, and none may block.
struct OperatorHooks {
  // Calls `done` once, from any thread, also after the deadline.
  std::function<void(Proposal proposal, Instant deadline, ProposalDone done)>
      propose;
  // The state in force; null while this VM knows nothing.
  std::function<FleetStatePtr()> state;
  // VMs where `version` isn't in force, as far as this VM knows; also asks
  // those VMs for their version.
  std::function<std::vector<VmId>(StateVersion version)> unconfirmed;
  // Withdraws a key on this VM and spreads that by any path left.
  std::function<void(const KeyId& key)> withdraw;
  std::function<std::string()> endpoints_json;
  std::function<std::string()> status_json;
};

struct OperatorOptions {
  // BLAKE2b of the operators' key under `key_salt`, hexadecimal. Empty: every
  // call is refused.
  std::string operator_key_hash;
  std::string key_salt;
};

// Safe to call from any thread.
class OperatorApi {
 public:
  OperatorApi(OperatorOptions options, OperatorHooks hooks);
  ~OperatorApi();
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

  // Calls `done` exactly once: here, in Tick, or on a hook's thread.
  void Handle(const OperatorRequest& request, Instant now, OperatorDone done);

  // Answers calls whose change is in force everywhere, or whose time is over.
  // Call each 50 ms or so.
  void Tick(Instant now);

  // Whether `path` belongs to this API.
  static bool Serves(std::string_view path);

 private:
  // A change whose answer is due.
  struct Call {
    std::string operation_id;
    std::optional<StateVersion> expected;
    OperatorDone done;
    std::string note;  // what is true even if nothing was committed
    Instant deadline;  // for the proposal's outcome
    std::optional<ProposalResult> result;  // set once committed
    Instant confirm_until;                 // set by the first Tick after that
  };
  using CallPtr = std::shared_ptr<Call>;
  // The open calls; outlives the API where a proposal's answer comes late.
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
  // Answers `call` if it is time to.
  void Check(const CallPtr& call, Instant now);
  static void Finish(Calls& calls, const CallPtr& call, ProposalResult result);

  const OperatorOptions options_;
  const OperatorHooks hooks_;
  const std::shared_ptr<Calls> calls_;
};

}  // namespace baobabrun

#endif  // OPERATORS_OPERATOR_API_H_
