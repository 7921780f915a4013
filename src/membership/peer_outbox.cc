// Order and limits of outgoing messages.
#include "membership/peer_outbox.h"

#include <algorithm>
#include <utility>

namespace baobabrun {

PeerOutbox::PeerOutbox(PeerOutboxOptions options,
                       const std::function<void()>& wake)
    : options_(options),
      urgent_{Ring<PeerMessage>(options.capacity, wake),
              {},
              options.urgent_batch},
      bulk_{Ring<PeerMessage>(options.capacity, wake), {}, options.bulk_batch} {
}

bool PeerOutbox::Push(PeerMessage message) {
  auto& queue = message.priority == PeerPriority::kBulk ? bulk_ : urgent_;
  return queue.ring.TryPush(std::move(message));
}

PeerOutbox::Batch PeerOutbox::Take(Instant now) {
  Batch batch;
  Refill(urgent_);
  TakeFrom(urgent_, batch);
  batch.dropped = DropOldBulk(now);
  Refill(bulk_);
  batch.dropped += DropOldBulk(now);
  TakeBulk(now, batch);
  last_take_ = now;
  return batch;
}

void PeerOutbox::TakeBulk(Instant now, Batch& batch) {
  if (!paced()) {
    TakeFrom(bulk_, batch);
    return;
  }
  bulk_paid_ = std::max(bulk_paid_, now - options_.bulk_burst);
  for (std::size_t n = 0;
       n < bulk_.batch && !bulk_.backlog.empty() && bulk_paid_ <= now; ++n) {
    auto& first = bulk_.backlog.front();
    const std::chrono::duration<double> time(
        static_cast<double>(first.payload.size()) /
        options_.bulk_bytes_per_second);
    bulk_paid_ += std::chrono::duration_cast<Duration>(time);
    batch.messages.push_back(std::move(first));
    bulk_.backlog.pop_front();
  }
}

Duration PeerOutbox::WaitTime() const {
  if (!urgent_.backlog.empty() || bulk_.backlog.empty() || !paced()) {
    return Duration::zero();
  }
  return std::max(Duration::zero(), Duration(bulk_paid_ - last_take_));
}

std::size_t PeerOutbox::DropOldBulk(Instant now) {
  std::size_t dropped = 0;
  while (!bulk_.backlog.empty() &&
         now - bulk_.backlog.front().sent > options_.max_bulk_age) {
    bulk_.backlog.pop_front();
    ++dropped;
  }
  return dropped;
}

// Leaves messages in the ring only if the backlog outlasts the next batch, so
// that waiting() is true as long as there are any.
void PeerOutbox::Refill(Queue& queue) {
  if (queue.backlog.size() > queue.batch) {
    return;
  }
  for (auto& it : queue.ring.Drain(Duration::zero())) {
    queue.backlog.push_back(std::move(it));
  }
}

void PeerOutbox::TakeFrom(Queue& queue, Batch& batch) {
  for (std::size_t n = 0; n < queue.batch && !queue.backlog.empty(); ++n) {
    batch.messages.push_back(std::move(queue.backlog.front()));
    queue.backlog.pop_front();
  }
}

void PeerOutbox::Close() {
  urgent_.ring.Close();
  bulk_.ring.Close();
}

}  // namespace baobabrun
