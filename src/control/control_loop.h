// The loop that runs on a ControlNode's thread. It handles messages, timers and
// disk writes. Internal header of the control library.
#ifndef CONTROL_CONTROL_LOOP_H_
#define CONTROL_CONTROL_LOOP_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>

#include "base/ring.h"
#include "base/thread.h"
#include "control/control_node.h"
#include "control/disk.h"
#include "control/proposal_client.h"
#include "control/proposal_server.h"
#include "control/replica_host.h"

namespace baobabrun {

struct LocalProposal {
  Proposal proposal;
  Instant deadline;
  ProposalDone done;
};
using ControlEvent = std::variant<PeerMessage, LocalProposal>;

class ControlLoop {
 public:
  explicit ControlLoop(ControlOptions options);

  // Opens the replica's files and publishes the stored state. Is called again
  // to reopen the files after a disk failure. Does nothing on a VM without a
  // replica.
  Status Open();
  Status StartThread();
  void Receive(PeerMessage message) { ring_.TryPush(std::move(message)); }
  void Propose(Proposal proposal, Instant deadline, const ProposalDone& done);
  ControlStatus GetStatus() const;
  void Stop();

 private:
  void Loop();
  Duration WaitTime() const;
  void Handle(PeerMessage& message);
  void Handle(LocalProposal& proposal);
  void HandleProposalMessage(const VmId& from, const ProposalMessage& message);
  void HandleRequest(const VmId& from, const ProposalRequest& request);
  void RunReplica();
  void ReopenIfDue();
  void RunClient();
  void Finish(const FinishProposal& action);
  void SendResponse(const VmId& to, const ProposalResponse& response);
  void SendRequest(const VmId& to, const ProposalRequest& request);
  bool Send(const VmId& to, PeerTopic topic, std::string payload);
  void OnLeadership(bool leader, Term term);
  void OnDiskFailed(const Error& error);
  ReplicaHooks Hooks();
  void LogOpened() const;
  void LogMissingLeader();
  void UpdateStatus();
  void Shutdown();

  const ControlOptions options_;
  const SystemClock clock_;
  Ring<ControlEvent> ring_;
  std::atomic<bool> stopping_{false};

  // Once the thread runs, only that thread uses the members from here to now_.
  std::unique_ptr<Disk> disk_;
  // Null if this VM has no replica or the replica's disk has failed.
  std::unique_ptr<ReplicaHost> host_;
  bool disk_failed_ = false;
  Instant reopen_at_;
  Instant led_at_;  // when this replica last knew a leader, or was opened
  Instant next_leader_warning_;
  ProposalClient client_;
  ProposalServer server_;
  std::uint64_t last_request_;
  std::map<std::uint64_t, ProposalDone> done_;
  Instant now_;  // time of the current loop iteration

  mutable std::mutex status_mutex_;
  ControlStatus status_;  // guarded by status_mutex_

  std::unique_ptr<DutyThread> thread_;
};

}  // namespace baobabrun

#endif  // CONTROL_CONTROL_LOOP_H_
