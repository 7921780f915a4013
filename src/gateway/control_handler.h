// The decisions of a control VM apart from the control log: operators'
// manifests, endpoints' reports, the rollout of weights, and, while this VM
// leads, organisations' quotas.
//
// This class has no threads, sockets or clock: typed messages and the current
// time go in, actions come out.
#ifndef GATEWAY_CONTROL_HANDLER_H_
#define GATEWAY_CONTROL_HANDLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "control/proposal.h"
#include "gateway/dialect.h"
#include "gateway/gateway_message.h"
#include "gateway/quota.h"
#include "gateway/weight_rollout.h"
#include "manifest/manifest.h"
#include "membership/peer_message.h"
#include "registry/registry_replicator.h"
#include "settings/declarations.h"

namespace baobabrun {

// The answer to the operators' or endpoint's request with this serial.
struct AnswerControl {
  std::uint64_t serial = 0;
  ControlAnswer answer;
};
// The result is passed to OnProposed with the same serial.
struct ProposeChange {
  std::uint64_t serial = 0;
  ChangeProposal proposal;
  Instant deadline;
};
struct SendOrder {
  LoadOrder order;
};
struct QueryStatus {
  EndpointId endpoint;
  Address address;
};
using ControlAction =
    std::variant<AnswerControl, ProposeChange, SendOrder, QueryStatus>;

struct ControlHandlerOptions {
  VmId self;
  WeightRolloutOptions rollout;
  QuotaBound quota;
  // What entries had consumed of quotas when this VM last stopped, as far as it
  // knew.
  QuotaUses stored_uses;
};

class ControlHandler {
 public:
  // `endpoints` must outlive this object. `read_manifest` is the dialect's.
  ControlHandler(
      ControlHandlerOptions options,
      RegistryReplicator& endpoints,
      std::function<Result<Manifest>(std::string_view text)> read_manifest);

  void OnCall(std::uint64_t serial, const ControlCall& call, Instant now);
  void OnProposed(std::uint64_t serial,
                  const ProposalResult& result,
                  Instant now);
  void OnState(FleetStatePtr state, ManifestViewPtr manifest, Instant now);
  // Sets whether this VM leads the control group with a lease that excludes
  // other leaders, and in which term.
  void SetLeading(bool leading, std::uint64_t term, Instant now);
  // `peers` are all other VMs, `entries` those that are entries.
  void SetPeers(std::vector<VmId> peers, std::vector<VmId> entries) {
    peers_ = std::move(peers);
    quotas_.SetEntries(std::move(entries));
  }
  void Receive(const VmId& from, const GatewayMessage& message, Instant now);
  void OnNotice(const EndpointNotice& notice, Instant now);
  void OnOrderAnswer(const EndpointId& endpoint,
                     OrderAnswer answer,
                     Instant now);
  void OnStatus(const EndpointId& endpoint,
                const Result<EndpointStatus>& status,
                Instant now);
  void Advance(Instant now);

  bool leading() const { return rollout_.leading(); }
  QuotaUses quota_uses(Instant now) const { return quotas_.Uses(now); }
  std::vector<ControlAction> TakeActions();
  std::vector<PeerMessage> TakeMessages();

 private:
  enum class ProposalKind { kChange, kRead };
  // A read waits until this VM has the state that was the newest when the read
  // arrived.
  struct Read {
    StateVersion version;
    Instant deadline;
  };

  void Handle(std::uint64_t serial, const BadControlCall& call, Instant now);
  void Handle(std::uint64_t serial, const ReplaceManifest& call, Instant now);
  void Handle(std::uint64_t serial, const ReadManifest& call, Instant now);
  void Handle(std::uint64_t serial, const NameNewWeights& call, Instant now);
  void Handle(std::uint64_t serial, const ReportEndpoint& call, Instant now);
  void Handle(std::uint64_t serial,
              const DeregisterEndpoint& call,
              Instant now);
  void Answer(std::uint64_t serial, ControlAnswer answer);
  void Propose(std::uint64_t serial,
               ProposalKind kind,
               ChangeSet changes,
               Instant now);
  void AnswerReads(Instant now);
  void RollOut(Instant now);

  const ControlHandlerOptions options_;
  RegistryReplicator& endpoints_;
  const std::function<Result<Manifest>(std::string_view text)> read_manifest_;
  FleetStatePtr state_;  // null before the first one
  QuotaLedger quotas_;
  WeightRollout rollout_;
  bool started_ = false;
  std::uint64_t term_ = 0;  // zero if another VM leads
  std::uint64_t loading_stamps_ = 0;
  std::vector<VmId> peers_;
  Instant next_offer_;
  std::map<std::uint64_t, ProposalKind> proposed_;  // by serial
  std::map<std::uint64_t, Read> reads_;  // reads whose version is known
  std::vector<ControlAction> actions_;
  std::vector<PeerMessage> messages_;
};

}  // namespace baobabrun

#endif  // GATEWAY_CONTROL_HANDLER_H_
