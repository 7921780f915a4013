// Encodes and decodes entries, hard state, snapshots and replica messages.
#include "control/log_codec.h"

#include <utility>

#include "control/control_error.h"
#include "control/log.pb.h"

namespace baobabrun {
namespace {

Error Malformed(std::string_view kind) {
  return {ControlError::kMalformed, "malformed " + std::string(kind)};
}

template <class Message>
bool Parse(std::string_view bytes, Message* message) {
  return message->ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

void ToProto(const Membership& membership, control_proto::Membership* out) {
  for (const auto& it : membership.voters) {
    out->add_voters(it.value());
  }
  out->set_learner(membership.learner.value());
  out->set_leaving(membership.leaving.value());
  out->set_operation_id(membership.operation_id);
}

Membership FromProto(const control_proto::Membership& in) {
  Membership membership;
  for (const auto& it : in.voters()) {
    membership.voters.emplace_back(it);
  }
  membership.learner = VmId(in.learner());
  membership.leaving = VmId(in.leaving());
  membership.operation_id = in.operation_id();
  return membership;
}

void ToProto(const LogEntry& entry, control_proto::Entry* out) {
  out->set_term(entry.term);
  out->set_index(entry.index);
  out->set_payload(entry.payload);
  if (entry.membership) {
    ToProto(*entry.membership, out->mutable_membership());
  }
}

LogEntry FromProto(const control_proto::Entry& in) {
  LogEntry entry;
  entry.term = in.term();
  entry.index = in.index();
  entry.payload = in.payload();
  if (in.has_membership()) {
    entry.membership = FromProto(in.membership());
  }
  return entry;
}

void ToProto(const SnapshotMeta& meta, control_proto::SnapshotMeta* out) {
  out->set_index(meta.index);
  out->set_term(meta.term);
  ToProto(meta.membership, out->mutable_membership());
}

SnapshotMeta FromProto(const control_proto::SnapshotMeta& in) {
  return {in.index(), in.term(), FromProto(in.membership())};
}

std::int64_t ToNanoseconds(Instant instant) {
  return instant.time_since_epoch().count();
}

Instant FromNanoseconds(std::int64_t n) {
  return Instant(Duration(n));
}

struct PayloadToProto {
  control_proto::ReplicaMessage* out;

  void operator()(const VoteRequest& it) const {
    auto* request = out->mutable_vote_request();
    request->set_term(it.term);
    request->set_pre(it.pre);
    request->set_transfer(it.transfer);
    request->set_last_index(it.last_index);
    request->set_last_term(it.last_term);
  }
  void operator()(const VoteResponse& it) const {
    auto* response = out->mutable_vote_response();
    response->set_term(it.term);
    response->set_pre(it.pre);
    response->set_granted(it.granted);
  }
  void operator()(const AppendRequest& it) const {
    auto* request = out->mutable_append_request();
    request->set_term(it.term);
    request->set_previous_index(it.previous_index);
    request->set_previous_term(it.previous_term);
    for (const auto& entry : it.entries) {
      ToProto(entry, request->add_entries());
    }
    request->set_commit(it.commit);
    request->set_receiver_start(it.receiver_start);
    request->set_sent(ToNanoseconds(it.sent));
  }
  void operator()(const AppendResponse& it) const {
    auto* response = out->mutable_append_response();
    response->set_term(it.term);
    response->set_matched(it.matched);
    response->set_index(it.index);
    response->set_sent(ToNanoseconds(it.sent));
    response->set_recorded(it.recorded);
    response->set_start(it.start);
  }
  void operator()(const SnapshotRequest& it) const {
    auto* request = out->mutable_snapshot_request();
    request->set_term(it.term);
    ToProto(it.meta, request->mutable_snapshot()->mutable_meta());
    request->mutable_snapshot()->set_data(it.data);
    request->set_sent(ToNanoseconds(it.sent));
  }
  void operator()(const CampaignNow& it) const {
    out->mutable_campaign_now()->set_term(it.term);
  }
  void operator()(const CommitQuery& it) const {
    out->mutable_commit_query()->set_start(it.start);
  }
  void operator()(const CommitReport& it) const {
    auto* report = out->mutable_commit_report();
    report->set_start(it.start);
    report->set_index(it.index);
    report->set_term(it.term);
    report->set_trusted(it.trusted);
    report->set_newest(it.newest);
    report->set_membership_index(it.membership_index);
  }
};

VoteRequest FromProto(const control_proto::VoteRequest& in) {
  return {in.term(), in.pre(), in.transfer(), in.last_index(), in.last_term()};
}

VoteResponse FromProto(const control_proto::VoteResponse& in) {
  return {in.term(), in.pre(), in.granted()};
}

AppendResponse FromProto(const control_proto::AppendResponse& in) {
  return {in.term(),     in.matched(), in.index(), FromNanoseconds(in.sent()),
          in.recorded(), in.start()};
}

CommitReport FromProto(const control_proto::CommitReport& in) {
  return {in.start(),   in.index(),  in.term(),
          in.trusted(), in.newest(), in.membership_index()};
}

SnapshotRequest FromProto(const control_proto::SnapshotRequest& in) {
  return {in.term(), FromProto(in.snapshot().meta()), in.snapshot().data(),
          FromNanoseconds(in.sent())};
}

Result<ReplicaPayload> FromProto(const control_proto::AppendRequest& in) {
  AppendRequest request;
  request.term = in.term();
  request.previous_index = in.previous_index();
  request.previous_term = in.previous_term();
  for (const auto& it : in.entries()) {
    request.entries.push_back(FromProto(it));
    if (it.index() != in.previous_index() + request.entries.size()) {
      return Malformed("append request");
    }
  }
  request.commit = in.commit();
  request.receiver_start = in.receiver_start();
  request.sent = FromNanoseconds(in.sent());
  return ReplicaPayload(std::move(request));
}

}  // namespace

std::string EncodeEntry(const LogEntry& entry) {
  control_proto::Entry message;
  ToProto(entry, &message);
  return message.SerializeAsString();
}

Result<LogEntry> DecodeEntry(std::string_view bytes) {
  control_proto::Entry message;
  if (!Parse(bytes, &message)) {
    return Malformed("log entry");
  }
  return FromProto(message);
}

std::string EncodeHardState(const HardState& state) {
  control_proto::HardState message;
  message.set_term(state.term);
  message.set_vote(state.vote.value());
  message.set_trusted(state.trusted);
  return message.SerializeAsString();
}

Result<HardState> DecodeHardState(std::string_view bytes) {
  control_proto::HardState message;
  if (!Parse(bytes, &message)) {
    return Malformed("hard state");
  }
  return HardState{message.term(), VmId(message.vote()), message.trusted()};
}

std::string EncodeSnapshot(const StoredSnapshot& snapshot) {
  control_proto::Snapshot message;
  ToProto(snapshot.meta, message.mutable_meta());
  message.set_data(snapshot.data);
  return message.SerializeAsString();
}

Result<StoredSnapshot> DecodeSnapshot(std::string_view bytes) {
  control_proto::Snapshot message;
  if (!Parse(bytes, &message)) {
    return Malformed("snapshot");
  }
  return StoredSnapshot{FromProto(message.meta()),
                        std::move(*message.mutable_data())};
}

std::string EncodeReplicaPayload(const ReplicaPayload& payload) {
  control_proto::ReplicaMessage message;
  std::visit(PayloadToProto{&message}, payload);
  return message.SerializeAsString();
}

Result<ReplicaPayload> DecodeReplicaPayload(std::string_view bytes) {
  control_proto::ReplicaMessage message;
  if (!Parse(bytes, &message)) {
    return Malformed("replica message");
  }
  using Kind = control_proto::ReplicaMessage::KindCase;
  switch (message.kind_case()) {
    case Kind::kVoteRequest:
      return ReplicaPayload(FromProto(message.vote_request()));
    case Kind::kVoteResponse:
      return ReplicaPayload(FromProto(message.vote_response()));
    case Kind::kAppendRequest:
      return FromProto(message.append_request());
    case Kind::kAppendResponse:
      return ReplicaPayload(FromProto(message.append_response()));
    case Kind::kSnapshotRequest:
      return ReplicaPayload(FromProto(message.snapshot_request()));
    case Kind::kCampaignNow:
      return ReplicaPayload(CampaignNow{message.campaign_now().term()});
    case Kind::kCommitQuery:
      return ReplicaPayload(CommitQuery{message.commit_query().start()});
    case Kind::kCommitReport:
      return ReplicaPayload(FromProto(message.commit_report()));
    case Kind::KIND_NOT_SET:
      break;
  }
  return Malformed("replica message");
}

}  // namespace baobabrun
