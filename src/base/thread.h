// A thread for one duty, on top of ACE_Task.
#ifndef BASE_THREAD_H_
#define BASE_THREAD_H_

#include <functional>
#include <memory>
#include <string>

#include "base/error.h"

namespace baobabrun {

class DutyThread {
 public:
  // Starts `body` on a thread of its own. Fails if the system gives no thread.
  static Result<std::unique_ptr<DutyThread>> Start(const std::string& name,
                                                   std::function<void()> body);
  // Waits for `body` to return.
  ~DutyThread();
  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  void Join();

 private:
  class Task;
  explicit DutyThread(std::unique_ptr<Task> task);

  std::unique_ptr<Task> task_;
};

}  // namespace baobabrun

#endif  // BASE_THREAD_H_
