// Hands the newest value of something over to another thread. Unlike a Ring, it
// can't be full: a value that wasn't taken is replaced by the next one.
#ifndef BASE_LATEST_H_
#define BASE_LATEST_H_

#include <mutex>
#include <optional>
#include <utility>

namespace baobabrun {

template <class T>
class Latest {
 public:
  void Set(T value) {
    std::lock_guard lock(mutex_);
    value_ = std::move(value);
  }

  // Returns the value if one was set since the last call.
  std::optional<T> Take() {
    std::lock_guard lock(mutex_);
    return std::exchange(value_, std::nullopt);
  }

 private:
  std::mutex mutex_;
  std::optional<T> value_;
};

}  // namespace baobabrun

#endif  // BASE_LATEST_H_
