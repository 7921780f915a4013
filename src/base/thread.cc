// Implements DutyThread with ACE_Task_Base.
#include "base/thread.h"

#include <ace/Task.h>
#include <pthread.h>

#include <utility>

namespace baobabrun {

class DutyThread::Task : public ACE_Task_Base {
 public:
  Task(std::string name, std::function<void()> body)
      : name_(std::move(name)), body_(std::move(body)) {}

  int svc() override {
    constexpr std::size_t kMaxThreadName = 15;
    pthread_setname_np(pthread_self(), name_.substr(0, kMaxThreadName).c_str());
    body_();
    return 0;
  }

 private:
  const std::string name_;
  const std::function<void()> body_;
};

DutyThread::DutyThread(std::unique_ptr<Task> task) : task_(std::move(task)) {}

DutyThread::~DutyThread() {
  Join();
}

Result<std::unique_ptr<DutyThread>> DutyThread::Start(
    const std::string& name,
    std::function<void()> body) {
  auto task = std::make_unique<Task>(name, std::move(body));
  if (task->activate() != 0) {
    return Error{
        std::make_error_code(std::errc::resource_unavailable_try_again),
        "cannot start thread " + name};
  }
  return std::unique_ptr<DutyThread>(new DutyThread(std::move(task)));
}

void DutyThread::Join() {
  task_->wait();
}

}  // namespace baobabrun
