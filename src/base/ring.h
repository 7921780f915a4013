// A bounded queue between two duties' threads. Pushing never blocks: a full
// ring makes TryPush return false, and the pusher refuses the work or counts
// the drop.
#ifndef BASE_RING_H_
#define BASE_RING_H_

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include "base/time.h"

namespace baobabrun {

template <class T>
class Ring {
 public:
  // `wake`, if set, is called after each push that made the ring non-empty; for
  // consumers that sleep in a library's own poll.
  explicit Ring(std::size_t capacity, std::function<void()> wake = nullptr)
      : capacity_(capacity), wake_(std::move(wake)) {}

  // Returns false, without taking `item`, if the ring is full or closed.
  bool TryPush(T item) {
    bool was_empty;
    {
      std::lock_guard lock(mutex_);
      if (closed_ || items_.size() >= capacity_) {
        return false;
      }
      was_empty = items_.empty();
      items_.push_back(std::move(item));
    }
    if (was_empty) {
      filled_.notify_one();
      if (wake_) {
        wake_();
      }
    }
    return true;
  }

  // Takes all items, waiting up to `patience` for the first.
  std::vector<T> Drain(Duration patience) {
    std::unique_lock lock(mutex_);
    if (patience > Duration::zero()) {
      filled_.wait_for(lock, patience,
                       [this] { return closed_ || !items_.empty(); });
    }
    return std::exchange(items_, {});
  }

  // Wakes the consumer and refuses all later pushes. Items inside stay.
  void Close() {
    {
      std::lock_guard lock(mutex_);
      closed_ = true;
    }
    filled_.notify_all();
    if (wake_) {
      wake_();
    }
  }

  bool closed() const {
    std::lock_guard lock(mutex_);
    return closed_;
  }

 private:
  const std::size_t capacity_;
  const std::function<void()> wake_;
  mutable std::mutex mutex_;
  std::condition_variable filled_;
  std::vector<T> items_;  // never longer than capacity_
  bool closed_ = false;
};

}  // namespace baobabrun

#endif  // BASE_RING_H_
