// A named thread that runs one function, implemented with ACE_Task_Base.
#ifndef BASE_THREAD_H_
#define BASE_THREAD_H_

#include <functional>
#include <memory>
#include <string>

#include "base/error.h"

namespace baobabrun {

class DutyThread {
 public:
  // Runs `body` on a new thread. Fails if the system can't create the thread.
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
