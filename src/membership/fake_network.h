// Simulates a network between VMs under a manual clock, for tests. A seeded
// generator decides which messages are lost, duplicated and delayed, and
// thereby reordered. Links can be cut in one direction or in both.
#ifndef MEMBERSHIP_FAKE_NETWORK_H_
#define MEMBERSHIP_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "base/time.h"
#include "membership/peer_message.h"

namespace baobabrun {

struct NetworkFaults {
  double loss = 0;
  double duplicate = 0;
  Duration min_delay = std::chrono::microseconds(500);
  Duration max_delay = milliseconds(2);
};

class FakeNetwork {
 public:
  FakeNetwork(std::uint64_t seed, NetworkFaults faults)
      : random_(seed), faults_(faults) {}

  // Drops messages for which `cut` returns true, including those in flight.
  void Cut(std::function<bool(const VmId& from, const VmId& to)> cut) {
    cut_ = std::move(cut);
  }
  void Heal() { cut_ = nullptr; }

  void Send(const PeerMessage& message, Instant now) {
    ++sent_;
    bytes_ += message.payload.size();
    if (Chance(faults_.loss)) {
      return;
    }
    Queue(message, now);
    if (Chance(faults_.duplicate)) {
      Queue(message, now);
    }
  }

  // Calls `receive` for each message that has arrived by `now`, in order of
  // arrival.
  void Deliver(Instant now,
               const std::function<void(const PeerMessage&)>& receive) {
    while (!queue_.empty() && queue_.begin()->first <= now) {
      const auto message = queue_.extract(queue_.begin()).mapped();
      if (!cut_ || !cut_(message.from, message.to)) {
        receive(message);
      }
    }
  }

  std::uint64_t sent() const { return sent_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }
  void Queue(const PeerMessage& message, Instant now) {
    std::uniform_int_distribution<Duration::rep> delay(
        faults_.min_delay.count(), faults_.max_delay.count());
    queue_.emplace(now + Duration(delay(random_)), message);
  }

  std::mt19937_64 random_;
  const NetworkFaults faults_;
  std::function<bool(const VmId& from, const VmId& to)> cut_;
  std::multimap<Instant, PeerMessage> queue_;
  std::uint64_t sent_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_FAKE_NETWORK_H_
