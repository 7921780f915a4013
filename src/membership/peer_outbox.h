// The messages that wait to be sent to other VMs. Other threads push messages,
// and the transport's thread takes them in bounded batches, urgent messages
// before bulk messages. This way neither committed state nor the receiving of
// messages waits until a burst of bulk messages has been sent. Bulk messages
// may also be held to a rate, so that they don't fill the VM's link, where all
// that the VM sends would wait behind them.
#ifndef MEMBERSHIP_PEER_OUTBOX_H_
#define MEMBERSHIP_PEER_OUTBOX_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "base/ring.h"
#include "base/time.h"
#include "membership/peer_message.h"

namespace baobabrun {

struct PeerOutboxOptions {
  std::size_t capacity = 8'192;  // of each priority's queue
  // The most messages of each priority in a batch.
  std::size_t urgent_batch = 256;
  std::size_t bulk_batch = 64;
  // Older bulk messages are dropped.
  Duration max_bulk_age = seconds(1);
  // The rate at which bulk messages are taken, and for how long it may be
  // exceeded after a pause. Zero for no bound.
  double bulk_bytes_per_second = 0;
  Duration bulk_burst = milliseconds(50);
};

class PeerOutbox {
 public:
  // `wake`, if set, is called when there are messages to take, and by Close.
  PeerOutbox(PeerOutboxOptions options, const std::function<void()>& wake);

  // Called on any thread. Returns false, without taking the message, if there
  // is no space for it or the outbox is closed. `sent` must be set.
  bool Push(PeerMessage message);

  // The functions below are called on the transport's thread.
  struct Batch {
    std::vector<PeerMessage> messages;  // in the order in which to send them
    std::size_t dropped = 0;            // messages that became too old
  };
  Batch Take(Instant now);
  // Whether messages are left after the last batch.
  bool waiting() const {
    return !urgent_.backlog.empty() || !bulk_.backlog.empty();
  }
  // How long after the last batch the next of the messages left may be taken.
  // Zero if there are none.
  Duration WaitTime() const;

  // Messages left after the last batch.
  std::size_t size() const {
    return urgent_.backlog.size() + bulk_.backlog.size();
  }

  void Close();
  bool closed() const { return urgent_.ring.closed(); }

 private:
  struct Queue {
    Ring<PeerMessage> ring;
    // Taken from the ring, oldest first.
    std::deque<PeerMessage> backlog;
    const std::size_t batch;
  };
  // Returns the number of messages dropped.
  std::size_t DropOldBulk(Instant now);
  static void Refill(Queue& queue);
  static void TakeFrom(Queue& queue, Batch& batch);
  void TakeBulk(Instant now, Batch& batch);
  bool paced() const { return options_.bulk_bytes_per_second > 0; }

  const PeerOutboxOptions options_;
  Queue urgent_;
  Queue bulk_;
  // When the bulk messages taken so far have had their time at the rate.
  Instant bulk_paid_;
  Instant last_take_;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_PEER_OUTBOX_H_
