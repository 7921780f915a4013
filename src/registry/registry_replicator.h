// Replicates the records of endpoints to all VMs. A control VM sends changed
// records to all VMs, several changes within a short time in one message. Twice
// a second it also sends a digest of all its records; to the other control VMs
// with the ids of the endpoints that reported to it, and to all others with
// those endpoints of which it knows that they have stopped to report. So what
// an entry receives doesn't grow with the number of endpoints that report.
//
// A VM whose digest differs for longer than a change is on its way requests the
// whole table.
//
// It has no clock, thread or socket of its own; the caller calls Tick often.
#ifndef REGISTRY_REGISTRY_REPLICATOR_H_
#define REGISTRY_REGISTRY_REPLICATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "registry/endpoint_registry.h"

namespace baobabrun {

enum class RegistryKind {
  kChanges = 1,  // records that changed
  kAlive = 2,    // which endpoints reported lately or didn't, and a digest
  kAsk = 3,      // requests kTable; carries a control VM's own records
  kTable = 4,    // all records
};

// An endpoint of which no report has become known for a while.
struct SilentEndpoint {
  EndpointId endpoint;
  Duration silent{};  // since the last report
};

struct RegistryMessage {
  RegistryKind kind = RegistryKind::kChanges;
  std::vector<EndpointRecord> records;
  std::vector<EndpointId> alive;
  std::uint64_t digest = 0;
  std::vector<SilentEndpoint> silent;
};

std::string EncodeRegistry(const RegistryMessage& message);
// Skips records that can't be used. Errors: MembershipError::kMalformed.
Result<RegistryMessage> DecodeRegistry(std::string_view bytes);

struct OutgoingRegistry {
  VmId to;
  RegistryMessage message;
};

class RegistryReplicator {
 public:
  // `control` is true if this VM receives endpoints' reports. An endpoint is
  // told to be silent after `silent_after` without a report, which should be
  // longer than it takes between two reports, and shorter than the limit that
  // TimedOut() is called with.
  explicit RegistryReplicator(bool control,
                              Duration silent_after = milliseconds(2'500))
      : control_(control), silent_after_(silent_after) {}

  // Another VM, and whether it is a control VM.
  struct Peer {
    VmId vm;
    bool control = false;
  };
  void SetPeers(std::vector<Peer> peers);

  // Restores the records stored on disk before this VM restarted. Endpoints
  // that went away meanwhile time out, since no report of theirs arrives.
  void Restore(const std::vector<EndpointRecord>& records, Instant now);

  // Sets the services that the manifest in force names; see EndpointRegistry.
  void SetServices(std::set<std::string> services);

  // Merges an endpoint's report that was sent to this VM. Returns whether it
  // changed anything.
  bool Report(const EndpointRecord& record, Instant now);
  bool MarkGone(const EndpointId& endpoint,
                Incarnation incarnation,
                Instant now);
  // Called on the control leader as orders are given and done; see
  // EndpointRegistry.
  bool SetWeights(const EndpointId& endpoint,
                  const ModelWeights& weights,
                  Instant now);
  bool SetLoading(const EndpointId& endpoint,
                  std::uint64_t weights,
                  std::uint64_t order_stamp,
                  Instant now);

  void Receive(const VmId& from, const RegistryMessage& message, Instant now);
  void Tick(Instant now);
  // When Tick has changes to send; null if there are none.
  std::optional<Instant> NextFlush() const;

  const EndpointRegistry& registry() const { return registry_; }
  // The endpoints of which no report has become known for `limit`; none unless
  // this VM lately got messages from a majority of the control VMs, itself
  // included.
  std::set<EndpointId> TimedOut(Duration limit, Instant now) const;
  // Whether this VM is a control VM, or has got a table or an equal digest from
  // another VM.
  bool has_table() const { return control_ || has_table_; }
  // Increases whenever a record changes.
  std::uint64_t changes() const { return changes_; }

  std::vector<OutgoingRegistry> TakeMessages();

 private:
  void RecordChange(const EndpointId& endpoint, Instant now);
  void Flush(Instant now);
  void SendAlive(Instant now);
  void SendToAll(const RegistryMessage& message);
  void Ask(const VmId& vm);
  void CompareDigest(const VmId& from, std::uint64_t digest, Instant now);

  const bool control_;
  const Duration silent_after_;
  EndpointRegistry registry_;
  std::vector<Peer> peers_;
  // What another VM last sent, other than kAsk.
  struct Sender {
    Instant at;
    // When the endpoints that it calls silent last reported.
    std::map<EndpointId, Instant> silent;
    bool differed = false;  // its digest, when its last kAlive came
  };
  std::map<VmId, Sender> senders_;
  std::map<VmId, Instant> last_ask_;
  std::set<EndpointId> unsent_changes_;  // changed here, to be sent to all VMs
  Instant next_flush_;                   // when they may be sent
  Instant asked_for_table_;              // last request for a table, to any VM
  std::size_t next_to_ask_ = 0;
  std::set<EndpointId> reported_;  // reported to this VM since the last kAlive
  Instant next_alive_;
  bool has_table_ = false;
  std::uint64_t changes_ = 0;
  std::vector<OutgoingRegistry> messages_;
};

}  // namespace baobabrun

#endif  // REGISTRY_REGISTRY_REPLICATOR_H_
