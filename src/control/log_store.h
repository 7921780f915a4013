// What a replica keeps on its disk: the files `vote`, `snapshot` and `log`.
//
// Each file is a sequence of frames: a header (magic, payload length, `synced`,
// checksum) and a protobuf payload. The log's payloads are entries; one of term
// 0 only notes that the entries up to its index are committed. `synced` is the
// length of the file that was durable when the frame was written. It tells a
// torn tail, which a crash leaves and which is cut, from damage inside the
// durable part, which is refused: damage at an offset below the `synced` of a
// later frame hit bytes that had been durable. A frame without payload seals a
// file written as a whole, so that damage to its last record is found too.
#ifndef CONTROL_LOG_STORE_H_
#define CONTROL_LOG_STORE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "control/disk.h"
#include "control/log_codec.h"
#include "control/log_entry.h"

namespace baobabrun {

class LogStore {
 public:
  // Reads the files and writes the log anew, without torn tail and replaced
  // entries. `initial` is the membership of a log that starts empty. Errors:
  // kCorrupt naming file and offset, kDiskFull, kDisk.
  static Result<std::unique_ptr<LogStore>> Open(Disk& disk,
                                                const Membership& initial);

  // What was found; may be taken once.
  ReplicaImage TakeImage();
  // The newest stored snapshot; `data` is empty if there is none yet.
  const StoredSnapshot& snapshot() const { return snapshot_; }
  std::size_t log_bytes() const { return log_bytes_; }

  // Durable on return.
  Status SaveHardState(const HardState& state);
  // Durable on return. `rest` are the entries after the snapshot that stay in
  // the log.
  Status SaveSnapshot(StoredSnapshot snapshot,
                      const std::vector<LogEntry>& rest);
  // Durable only after Sync.
  Status Append(const std::vector<LogEntry>& entries);
  Status Sync();
  // Notes that the entries up to `index` are committed. Durable only after
  // Sync.
  Status AppendCommit(LogIndex index);

 private:
  explicit LogStore(Disk& disk) : disk_(disk) {}
  Status Load(const Membership& initial);
  Status LoadHardState();
  Status LoadSnapshot(const Membership& initial);
  Status LoadLog();
  Status CollectLog(std::string_view bytes);
  Status RewriteLog(const std::vector<LogEntry>& entries);

  Disk& disk_;
  ReplicaImage image_;
  StoredSnapshot snapshot_;
  // The vote file is written after the log file, so that it can't be alone.
  bool had_hard_state_ = false;
  LogIndex commit_ = 0;  // newest noted
  std::size_t log_bytes_ = 0;
  std::size_t synced_bytes_ = 0;  // <= log_bytes_
};

}  // namespace baobabrun

#endif  // CONTROL_LOG_STORE_H_
