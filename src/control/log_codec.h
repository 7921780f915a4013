// Encoding of the replicated log's types as protobuf payloads. The Decode
// functions return ControlError::kMalformed if the bytes can't be decoded.
#ifndef CONTROL_LOG_CODEC_H_
#define CONTROL_LOG_CODEC_H_

#include <string>
#include <string_view>

#include "base/error.h"
#include "control/log_entry.h"
#include "control/replica_message.h"

namespace baobabrun {

std::string EncodeEntry(const LogEntry& entry);
Result<LogEntry> DecodeEntry(std::string_view bytes);

std::string EncodeHardState(const HardState& state);
Result<HardState> DecodeHardState(std::string_view bytes);

struct StoredSnapshot {
  SnapshotMeta meta;
  std::string data;
};
std::string EncodeSnapshot(const StoredSnapshot& snapshot);
Result<StoredSnapshot> DecodeSnapshot(std::string_view bytes);

// The payload doesn't contain the sender and the receiver; the peer transport
// carries them.
std::string EncodeReplicaPayload(const ReplicaPayload& payload);
Result<ReplicaPayload> DecodeReplicaPayload(std::string_view bytes);

}  // namespace baobabrun

#endif  // CONTROL_LOG_CODEC_H_
