// Replicates the records of endpoints to all VMs. A control VM sends changed
// records to all VMs at once. Twice a second it also sends the ids of the
// endpoints that reported to it and a digest of all its records. A VM whose
// digest differs requests the whole table.
//
// It has no clock, thread or socket of its own; the caller calls Tick often.
#ifndef REGISTRY_REGISTRY_REPLICATOR_H_
#define REGISTRY_REGISTRY_REPLICATOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "registry/endpoint_registry.h"

namespace baobabrun {

enum class RegistryKind {
  kChanges = 1,  // records that changed
  kAlive = 2,    // endpoints that reported lately, and a digest
  kAsk = 3,      // requests kTable; carries a control VM's own records
  kTable = 4,    // all records
};

struct RegistryMessage {
  RegistryKind kind = RegistryKind::kChanges;
  std::vector<EndpointRecord> records;
  std::vector<EndpointId> alive;
  std::uint64_t digest = 0;
};

std::string EncodeRegistry(const RegistryMessage& message);
// Errors: MembershipError::kMalformed.
Result<RegistryMessage> DecodeRegistry(std::string_view bytes);

struct OutgoingRegistry {
  VmId to;
  RegistryMessage message;
};

class RegistryReplicator {
 public:
  // `control` is true if this VM receives endpoints' reports.
  explicit RegistryReplicator(bool control) : control_(control) {}

  // Another VM, and whether it is a control VM.
  struct Peer {
    VmId vm;
    bool control = false;
  };
  void SetPeers(std::vector<Peer> peers);

  // Restores the records stored on disk before this VM restarted. Endpoints
  // that went away meanwhile time out, since no report of theirs arrives.
  void Restore(const std::vector<EndpointRecord>& records, Instant now);

  // Merges an endpoint's report that was sent to this VM. Returns whether it
  // changed anything.
  bool Report(const EndpointRecord& record, Instant now);
  bool MarkGone(const EndpointId& endpoint,
                Incarnation incarnation,
                Instant now);
  // Called on the control leader as orders are given and done; see
  // EndpointRegistry.
  bool SetWeights(const EndpointId& endpoint, const ModelWeights& weights);
  bool SetLoading(const EndpointId& endpoint,
                  std::uint64_t weights,
                  std::uint64_t order_stamp);

  void Receive(const VmId& from, const RegistryMessage& message, Instant now);
  void Tick(Instant now);

  const EndpointRegistry& registry() const { return registry_; }
  // Whether no report of the endpoint has become known for `limit` although
  // this VM lately got messages from a majority of the control VMs, itself
  // included.
  bool ReportsTimedOut(const EndpointId& endpoint,
                       Duration limit,
                       Instant now) const;
  // Whether this VM is a control VM, or has got a table or an equal digest from
  // another VM.
  bool has_table() const { return control_ || has_table_; }
  // Increases whenever a record changes.
  std::uint64_t changes() const { return changes_; }

  std::vector<OutgoingRegistry> TakeMessages();

 private:
  void RecordChange(const EndpointId& endpoint);
  void Flush();
  void SendToAll(const RegistryMessage& message);
  void Ask(const VmId& vm);
  void CompareDigest(const VmId& from, std::uint64_t digest, Instant now);

  const bool control_;
  EndpointRegistry registry_;
  std::vector<Peer> peers_;
  // By VM, when its last message other than kAsk arrived.
  std::map<VmId, Instant> last_message_;
  std::map<VmId, Instant> last_ask_;
  std::set<EndpointId> unsent_changes_;  // changed here, to be sent to all VMs
  std::set<EndpointId> reported_;  // reported to this VM since the last kAlive
  Instant next_alive_;
  bool has_table_ = false;
  std::uint64_t changes_ = 0;
  std::vector<OutgoingRegistry> messages_;
};

}  // namespace baobabrun

#endif  // REGISTRY_REGISTRY_REPLICATOR_H_
