// Decides how VMs come to hold the same records of endpoints: a control VM
// tells all VMs what changed at once, and twice a second which endpoints it
// heard from and a digest of all that it holds; where digests differ, whole
// tables are exchanged.
//
// No clock, thread or socket: call Tick often.
#ifndef REGISTRY_REGISTRY_SPREAD_H_
#define REGISTRY_REGISTRY_SPREAD_H_

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
  kAlive = 2,    // endpoints heard from lately, and a digest
  kAsk = 3,      // asks for kTable; tells the sender's records if it is control
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

class RegistrySpread {
 public:
  // `control`: this VM takes endpoints' reports.
  explicit RegistrySpread(bool control) : control_(control) {}

  // All other VMs, and which of them are control VMs.
  struct Peer {
    VmId vm;
    bool control = false;
  };
  void SetPeers(std::vector<Peer> peers);

  // What this VM knew before it started, from a table on its disk. Endpoints
  // that are gone by now fall silent.
  void Restore(const std::vector<EndpointRecord>& records, Instant now);

  // A report has come to this VM. Returns whether it changed anything.
  bool Report(const EndpointRecord& record, Instant now);
  bool MarkGone(const EndpointId& endpoint,
                Incarnation incarnation,
                Instant now);
  // The control leader's view of orders, see EndpointRegistry.
  bool SetWeights(const EndpointId& endpoint, const ModelWeights& weights);
  bool SetLoading(const EndpointId& endpoint,
                  std::uint64_t weights,
                  std::uint64_t order_stamp);

  void Receive(const VmId& from, const RegistryMessage& message, Instant now);
  void Tick(Instant now);

  const EndpointRegistry& registry() const { return registry_; }
  // Whether some control VM holds a record of which nobody has heard for
  // `limit`, though this VM hears most control VMs.
  bool Silent(const EndpointId& endpoint, Duration limit, Instant now) const;
  // Whether this VM has had a table from a control VM, or is one.
  bool informed() const { return control_ || informed_; }
  // Rises whenever a record changed.
  std::uint64_t changes() const { return changes_; }

  std::vector<OutgoingRegistry> TakeMessages();

 private:
  void Changed(const EndpointId& endpoint);
  void Flush();
  void SendToAll(const RegistryMessage& message);
  void Ask(const VmId& vm);
  void CompareDigest(const VmId& from, std::uint64_t digest, Instant now);

  const bool control_;
  EndpointRegistry registry_;
  std::vector<Peer> peers_;
  std::map<VmId, Instant> heard_;  // control VMs, when they last told anything
  std::map<VmId, Instant> asked_;
  std::set<EndpointId> unsent_;  // changed here, to be told to all
  std::set<EndpointId> alive_;   // reported here since the last kAlive
  Instant next_alive_;
  bool informed_ = false;
  std::uint64_t changes_ = 0;
  std::vector<OutgoingRegistry> messages_;
};

}  // namespace baobabrun

#endif  // REGISTRY_REGISTRY_SPREAD_H_
