// Drives HTTP transfers to endpoints on one thread by libcurl's multi
// interface. What a transfer sends and what it makes of the answer is its own
// matter; the loop adds, pauses, cancels and ends transfers. Included by .cc
// files of clients only, since it needs libcurl.
#ifndef ENDPOINTS_TRANSFER_LOOP_H_
#define ENDPOINTS_TRANSFER_LOOP_H_

#include <curl/curl.h>

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <variant>

#include "base/error.h"
#include "base/ids.h"
#include "base/ring.h"
#include "base/thread.h"
#include "base/time.h"

namespace baobabrun {

// One HTTP request on its way. All calls come on the loop's thread.
class Transfer {
 public:
  virtual ~Transfer() = default;

  virtual CURL* easy() const = 0;
  virtual AttemptId id() const = 0;
  // It is about to be handed to libcurl.
  virtual void Started(Instant now) = 0;
  // libcurl is done with it.
  virtual void Finish(CURLcode code) = 0;
  // It was given up: cancelled, or silent for too long.
  enum class GivenUp { kCancelled, kSilent };
  virtual void Abandon(GivenUp reason) = 0;
  // Whether nothing has come for longer than it allows.
  virtual bool Silent(Instant now) const = 0;
  // Its slow reader has caught up.
  virtual void Unpause(Instant now) = 0;
};

// Bounds how long a connection may take to open, and how long sent data may
// stay unacknowledged before TCP gives the connection up; probes idle ones.
void SetConnectionLimits(CURL* easy,
                         Duration connect_timeout,
                         milliseconds tcp_user_timeout);

struct TransferLoopOptions {
  std::size_t ring_capacity = 16'384;
  long max_connections_per_endpoint = 256;
};

class TransferLoop {
 public:
  static Result<std::unique_ptr<TransferLoop>> Start(
      TransferLoopOptions options);
  // Breaks off all transfers; they are not told.
  ~TransferLoop();
  TransferLoop(const TransferLoop&) = delete;
  TransferLoop& operator=(const TransferLoop&) = delete;

  // Each returns false, doing nothing, if the ring is full.
  bool Send(std::unique_ptr<Transfer> transfer);
  bool Cancel(AttemptId id);
  bool Resume(AttemptId id);

 private:
  struct CancelOrder {
    AttemptId id;
  };
  struct ResumeOrder {
    AttemptId id;
  };
  using Order =
      std::variant<std::unique_ptr<Transfer>, CancelOrder, ResumeOrder>;

  explicit TransferLoop(TransferLoopOptions options);
  void Run();
  void Execute(std::unique_ptr<Transfer>& transfer);
  void Execute(const CancelOrder& order);
  void Execute(const ResumeOrder& order);
  void TakeFinished();
  void GiveUpSilent();
  void Break(AttemptId id, Transfer::GivenUp reason);

  const SystemClock clock_;
  CURLM* multi_;
  Ring<Order> orders_;
  // Touched by the thread only, as the next one.
  std::unordered_map<AttemptId, std::unique_ptr<Transfer>> transfers_;
  Instant next_check_;
  std::unique_ptr<DutyThread> thread_;
};

}  // namespace baobabrun

#endif  // ENDPOINTS_TRANSFER_LOOP_H_
