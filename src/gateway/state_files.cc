// Writes state files on their own thread.
#include "gateway/state_files.h"

#include <utility>

#include "base/log.h"

namespace baobabrun {

Result<std::unique_ptr<StateFiles>> StateFiles::Open(
    const std::filesystem::path& folder) {
  auto disk = OpenSystemDisk(folder);
  if (!disk.ok()) {
    return disk.error();
  }
  std::unique_ptr<StateFiles> files(new StateFiles(std::move(disk.value())));
  auto* self = files.get();
  auto thread = DutyThread::Start("state-files", [self] { self->Run(); });
  if (!thread.ok()) {
    return thread.error();
  }
  files->thread_ = std::move(thread.value());
  return files;
}

StateFiles::~StateFiles() {
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
  }
  changed_.notify_one();
  thread_.reset();
}

std::string StateFiles::Read(const std::string& name) {
  auto contents = disk_->Read(name);
  if (!contents.ok()) {
    Log(Event::kStateFileFailed, "state file {} can't be read: {}", name,
        contents.error().message);
    return {};
  }
  return contents.value().value_or("");
}

void StateFiles::Write(const std::string& name, std::string contents) {
  {
    const std::lock_guard lock(mutex_);
    waiting_[name] = std::move(contents);
  }
  changed_.notify_one();
}

void StateFiles::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return closed_ || !waiting_.empty(); });
    if (waiting_.empty()) {
      return;
    }
    const auto node = waiting_.extract(waiting_.begin());
    lock.unlock();
    const auto status = disk_->Replace(node.key(), node.mapped());
    if (!status.ok()) {
      Log(Event::kStateFileFailed, "state file {} can't be written: {}",
          node.key(), status.error().message);
    }
    lock.lock();
  }
}

}  // namespace baobabrun
