// Drives HTTP transfers to endpoints on one thread with libcurl's multi
// interface. The loop starts, resumes, cancels and finishes transfers. Each
// transfer defines its request and handles its response. Only .cc files of
// clients and headers that are internal to them include this file, since it
// needs libcurl.
#ifndef ENDPOINTS_TRANSFER_LOOP_H_
#define ENDPOINTS_TRANSFER_LOOP_H_

#include <curl/curl.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>

#include "base/error.h"
#include "base/ids.h"
#include "base/ring.h"
#include "base/thread.h"
#include "base/time.h"

namespace baobabrun {

// One HTTP transfer. All functions are called on the loop's thread.
class Transfer {
 public:
  virtual ~Transfer() = default;

  virtual CURL* easy() const = 0;
  virtual AttemptId id() const = 0;
  // Called before the transfer is added to libcurl.
  virtual void Started(Instant now) = 0;
  // Called when libcurl has finished the transfer. If it returns true, the
  // transfer is started again instead of Finish being called.
  virtual bool Restart() { return false; }
  // Called when libcurl has finished the transfer for good.
  virtual void Finish(CURLcode code) = 0;
  // Called when the loop has aborted the transfer, because it was cancelled or
  // has timed out.
  enum class AbortReason { kCancelled, kTimedOut };
  virtual void Abandon(AbortReason reason) = 0;
  // Returns whether nothing has arrived for longer than the transfer's timeout.
  virtual bool TimedOut(Instant now) const = 0;
  // Called when the reader of a paused transfer can take more data.
  virtual void Unpause(Instant now) = 0;
};

// Limits how long opening a connection may take, and how long sent data may
// stay unacknowledged before TCP closes the connection. Also enables keepalive
// probes on idle connections.
void SetConnectionLimits(CURL* easy,
                         Duration connect_timeout,
                         milliseconds tcp_user_timeout);

struct TransferLoopOptions {
  std::size_t ring_capacity = 16'384;
  long max_connections_per_endpoint = 256;
  // Called on the loop's thread at the interval of the timeout checks while
  // there are transfers, and more rarely without; may be null.
  std::function<void(Instant now)> on_check = nullptr;
};

class TransferLoop {
 public:
  static Result<std::unique_ptr<TransferLoop>> Start(
      TransferLoopOptions options);
  // Aborts all transfers without calling Finish or Abandon on them.
  ~TransferLoop();
  TransferLoop(const TransferLoop&) = delete;
  TransferLoop& operator=(const TransferLoop&) = delete;

  // Each returns false and does nothing if the ring is full.
  bool Send(std::unique_ptr<Transfer> transfer);
  bool Cancel(AttemptId id);
  bool Resume(AttemptId id);

 private:
  struct CancelCommand {
    AttemptId id;
  };
  struct ResumeCommand {
    AttemptId id;
  };
  using Command =
      std::variant<std::unique_ptr<Transfer>, CancelCommand, ResumeCommand>;

  explicit TransferLoop(TransferLoopOptions options);
  void Run();
  void Execute(std::unique_ptr<Transfer>& transfer);
  void Execute(const CancelCommand& command);
  void Execute(const ResumeCommand& command);
  void FinishCompleted();
  void AbortTimedOut();
  void Abort(AttemptId id, Transfer::AbortReason reason);

  const SystemClock clock_;
  const std::function<void(Instant now)> on_check_;
  CURLM* multi_;
  Ring<Command> commands_;
  // Only the loop's thread uses transfers_ and next_check_.
  std::unordered_map<AttemptId, std::unique_ptr<Transfer>> transfers_;
  Instant next_check_;
  std::unique_ptr<DutyThread> thread_;
};

}  // namespace baobabrun

#endif  // ENDPOINTS_TRANSFER_LOOP_H_
