// A simulated fleet of replicas with a manual clock, a faulty network, faulty
// disks and clients. It checks the log's invariants at every step and throws
// std::runtime_error if one is violated.
#ifndef CONTROL_SIM_WORLD_TEST_H_
#define CONTROL_SIM_WORLD_TEST_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/memory_disk_test.h"
#include "control/replica_host.h"

namespace baobabrun {

struct SimOptions {
  std::uint64_t seed = 1;
  int replicas = 3;
  int spares = 0;  // VMs with an empty log, which replacements may add
  bool faults = true;
};

class SimWorld {
 public:
  explicit SimWorld(SimOptions options);

  // Simulates `time` in small random steps, with faults and client calls.
  void Run(Duration time);
  // While its disk is full, the replica can't write to it.
  void SetDiskFull(std::size_t replica, bool full);
  // Ends all faults, waits until the replicas agree, and checks the final
  // state.
  void HealAndCheck();
  // Returns the newest lines of the event trace, oldest first.
  std::string Trace() const;

  std::size_t answers() const { return answered_; }
  std::size_t elections() const { return leaders_.size(); }
  std::size_t replacements() const { return replacements_; }
  std::size_t lost_disks() const { return lost_disks_; }

 private:
  struct PendingProposal {
    Term term = 0;
    std::size_t operation = 0;
  };
  // An answer that waits until a majority has recorded `last_change`.
  struct UnreleasedAnswer {
    LogIndex last_change = 0;
    std::size_t operation = 0;
    ProposalResult result;
  };
  struct Node {
    VmId id;
    MemoryDisk disk;
    std::unique_ptr<ReplicaHost> host;  // null while crashed
    std::int64_t drift_ppm = 0;
    Duration offset{};
    Instant up_at;    // when a crashed node starts again
    Instant sync_at;  // when a pending sync is done
    bool sync_pending = false;
    bool disk_failed = false;
    bool disk_lost = false;  // since the simulation began
    // Never decreases, also across restarts, unless the disk is lost.
    StateVersion published;
    // Versions that were answered before the node started. Nothing older may
    // be published after it.
    StateVersion answered_before_start;
    LogIndex applied = 0;  // highest index applied since the last start
    // Proposals made through this node since its last start, by log index.
    std::multimap<LogIndex, PendingProposal> pending;
    std::deque<UnreleasedAnswer> unreleased;
  };
  struct InFlightMessage {
    Instant at;
    ReplicaMessage message;
  };
  struct Operation {
    Proposal proposal;
    std::string id;  // empty for at-most-once calls
    Instant next_attempt;
    // Highest version in any answer before the operation was first sent.
    StateVersion min_version;
    bool may_be_in_log = false;  // true if the operation may be in some log
    std::optional<ProposalResult> answer;
    int resends = 0;
  };

  Instant LocalTime(const Node& node) const;
  Node* FindNode(const VmId& id);
  Node& PickNode();
  void AddTraceLine(std::string line);
  [[noreturn]] void Fail(const std::string& what) const;
  std::uint64_t RandomBelow(std::uint64_t n) { return random_() % n; }
  // Returns true once in `n` calls on average, and false once faults have
  // ended.
  bool FaultOnceIn(std::uint64_t n) { return faulty_ && RandomBelow(n) == 0; }

  // sim_world_test.cc: network, disks, crashes
  void Step();
  void Start(Node& node);
  void Crash(Node& node);
  void MaybeLoseDisk(Node& node);
  void StepNode(Node& node);
  void InjectFaults();
  void IsolateLeader();
  void CutOff(const Node& node, Duration time);
  void Deliver();
  void Enqueue(const ReplicaMessage& message);

  // sim_checks_test.cc: clients and invariants
  ReplicaHooks HooksFor(Node& node);
  void OnApplied(Node& node, const LogEntry& entry, const Applied& applied);
  void OnPublished(Node& node, const FleetState& state);
  void OnLeadership(Node& node, bool leader, Term term);
  void ReleaseAnswers(Node& node);
  void CheckLeases();
  void StepClients();
  Proposal MakeProposal(std::size_t number);
  void SendAttempt(std::size_t number);
  void Answer(std::size_t number, const ProposalResult& result);
  void CheckAnswer(std::size_t number, const ProposalResult& result);
  void CheckOnce(const OnceBegin& begin, const ProposalResult& result);
  bool HasConverged() const;
  void CheckFinalState();

  const SimOptions options_;
  std::mt19937_64 random_;
  bool faulty_;
  Instant now_{seconds(1000)};
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<InFlightMessage> in_flight_;
  // Blocked links from the first to the second VM, with the end of the
  // blocking.
  std::map<std::pair<VmId, VmId>, Instant> blocked_links_;
  // The leader that IsolateLeader chose, and when all its links are blocked.
  VmId leader_to_isolate_;
  Instant isolate_at_;
  std::deque<std::string> trace_;

  std::vector<Operation> operations_;
  std::size_t answered_ = 0;
  std::size_t replacements_ = 0;
  std::size_t lost_disks_ = 0;
  std::map<Term, VmId> leaders_;
  // The entries that any replica has applied, each with the term that the first
  // replica to apply it was in.
  struct Committed {
    LogEntry entry;
    Term term = 0;
  };
  std::map<LogIndex, Committed> committed_;
  // State versions with the number of the operation that committed them.
  std::map<StateVersion, std::size_t> versions_;
  StateVersion highest_answered_;
  std::map<std::string, std::pair<VmId, std::uint64_t>> once_started_;
};

}  // namespace baobabrun

#endif  // CONTROL_SIM_WORLD_TEST_H_
