// Order and limits of outgoing messages.
#include "membership/peer_outbox.h"

#include <utility>

namespace baobabrun {

PeerOutbox::PeerOutbox(PeerOutboxOptions options,
                       const std::function<void()>& wake)
    : options_(options),
      urgent_(options.capacity, wake),
      bulk_(options.capacity, wake) {}

bool PeerOutbox::Push(PeerMessage message) {
  auto& ring =
      PriorityOf(message.topic) == PeerPriority::kBulk ? bulk_ : urgent_;
  return ring.TryPush(std::move(message));
}

PeerOutbox::Batch PeerOutbox::Take(Instant now) {
  Batch batch;
  batch.messages = urgent_.Drain(Duration::zero());
  for (auto& it : bulk_.Drain(Duration::zero())) {
    bulk_backlog_.push_back(std::move(it));
  }
  while (!bulk_backlog_.empty() &&
         (bulk_backlog_.size() > options_.capacity ||
          now - bulk_backlog_.front().sent > options_.max_bulk_age)) {
    bulk_backlog_.pop_front();
    ++batch.dropped;
  }
  for (std::size_t n = 0; n < options_.bulk_batch && waiting(); ++n) {
    batch.messages.push_back(std::move(bulk_backlog_.front()));
    bulk_backlog_.pop_front();
  }
  return batch;
}

void PeerOutbox::Close() {
  urgent_.Close();
  bulk_.Close();
}

}  // namespace baobabrun
