// The files that a replica keeps on its disk: `vote`, `snapshot` and `log`.
//
// Each file is a sequence of frames. A frame has a header (magic, payload
// length, `synced`, checksum) and a protobuf payload. The log's payloads are
// entries; an entry of term 0 only records that the entries up to its index are
// committed.
//
// `synced` is the length of the file's durable part when the frame was written.
// It distinguishes a torn tail from damage in the durable part. A crash can
// leave a torn tail, which is cut off. Damage at an offset below the `synced`
// of a later frame affects bytes that had been durable, and opening the file
// fails. A file that is written as a whole ends with a frame without payload,
// the end frame, so that damage to its last record is detected too.
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
  // Reads the files and rewrites the log without its torn tail and without
  // replaced entries. `initial` is the membership of a log that starts empty.
  // Errors: kCorrupt with file and offset, kDiskFull, kDisk.
  static Result<std::unique_ptr<LogStore>> Open(Disk& disk,
                                                const Membership& initial);

  // Returns the state read by Open; may be called once.
  StoredReplicaState TakeStoredState();
  // Returns the newest stored snapshot; its `data` is empty if there is none.
  const StoredSnapshot& snapshot() const { return snapshot_; }
  std::size_t log_bytes() const { return log_bytes_; }

  // The hard state is durable on return.
  Status SaveHardState(const HardState& state);
  // The snapshot is durable on return. `rest` holds the entries after the
  // snapshot, which stay in the log.
  Status SaveSnapshot(StoredSnapshot snapshot,
                      const std::vector<LogEntry>& rest);
  // The entries are durable only after Sync.
  Status Append(const std::vector<LogEntry>& entries);
  Status Sync();
  // Records that the entries up to `index` are committed. The record is durable
  // only after Sync.
  Status AppendCommit(LogIndex index);

 private:
  explicit LogStore(Disk& disk) : disk_(disk) {}
  Status Load(const Membership& initial);
  Status LoadHardState();
  Status LoadSnapshot(const Membership& initial);
  Status LoadLog();
  Status ParseLog(std::string_view bytes);
  Status RewriteLog(const std::vector<LogEntry>& entries);

  Disk& disk_;
  StoredReplicaState stored_state_;
  StoredSnapshot snapshot_;
  // The vote file is written after the log file, so a vote file without a log
  // file means that the log file was lost.
  bool hard_state_existed_ = false;
  LogIndex commit_ = 0;  // highest index recorded as committed
  std::size_t log_bytes_ = 0;
  std::size_t synced_bytes_ = 0;  // <= log_bytes_
};

}  // namespace baobabrun

#endif  // CONTROL_LOG_STORE_H_
