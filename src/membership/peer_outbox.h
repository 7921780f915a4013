// The messages that wait to be sent to other VMs. Other threads push messages,
// and the transport's thread takes them in batches: all urgent messages, then a
// bounded number of bulk messages. This way neither committed state nor the
// receiving of messages waits until a burst of bulk messages has been sent.
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
  std::size_t capacity = 8'192;  // of each priority
  // The most bulk messages in a batch.
  std::size_t bulk_batch = 64;
  // Older bulk messages are dropped.
  Duration max_bulk_age = seconds(1);
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
  bool waiting() const { return !bulk_backlog_.empty(); }

  void Close();
  bool closed() const { return urgent_.closed(); }

 private:
  const PeerOutboxOptions options_;
  Ring<PeerMessage> urgent_;
  Ring<PeerMessage> bulk_;
  // Taken from bulk_, oldest first; never longer than the capacity.
  std::deque<PeerMessage> bulk_backlog_;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_PEER_OUTBOX_H_
