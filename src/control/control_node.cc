// Starts and stops the control thread.
#include "control/control_node.h"

#include <utility>

#include "control/control_error.h"
#include "control/control_loop.h"

namespace baobabrun {

Result<std::unique_ptr<ControlNode>> ControlNode::Start(
    ControlOptions options) {
  if (options.self.empty() || !options.send ||
      (options.replica && options.data_dir.empty()) ||
      options.heartbeat <= Duration::zero() ||
      options.election_timeout < 3 * options.heartbeat) {
    return Error{ControlError::kBadOptions,
                 "the control node needs its VM's id, a send function, a data "
                 "folder on replicas, a heartbeat, and an election timeout of "
                 "at least three heartbeats"};
  }
  auto loop = std::make_unique<ControlLoop>(std::move(options));
  auto status = loop->Open();
  if (status.ok()) {
    status = loop->StartThread();
  }
  if (!status.ok()) {
    return status.error();
  }
  return std::unique_ptr<ControlNode>(new ControlNode(std::move(loop)));
}

ControlNode::ControlNode(std::unique_ptr<ControlLoop> loop)
    : loop_(std::move(loop)) {}

ControlNode::~ControlNode() {
  Stop();
}

void ControlNode::Receive(PeerMessage message) {
  loop_->Receive(std::move(message));
}

void ControlNode::Propose(Proposal proposal,
                          Instant deadline,
                          const ProposalDone& done) {
  loop_->Propose(std::move(proposal), deadline, done);
}

ControlStatus ControlNode::Status() const {
  return loop_->GetStatus();
}

void ControlNode::Stop() {
  loop_->Stop();
}

}  // namespace baobabrun
