// A bounded queue between two threads. Pushing never blocks. If the ring is
// full, TryPush returns false, and the producer refuses the work or counts the
// item as dropped.
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
  // `wake`, if set, is called after each push to an empty ring and by Close. It
  // serves consumers that wait in the poll loop of a library.
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

  // Removes and returns all items. Waits up to `timeout` for the first one.
  std::vector<T> Drain(Duration timeout) {
    std::unique_lock lock(mutex_);
    if (timeout > Duration::zero()) {
      filled_.wait_for(lock, timeout,
                       [this] { return closed_ || !items_.empty(); });
    }
    return std::exchange(items_, {});
  }

  // Wakes the consumer and makes all later pushes fail. Items already in the
  // ring stay there.
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

  std::size_t size() const {
    std::lock_guard lock(mutex_);
    return items_.size();
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
