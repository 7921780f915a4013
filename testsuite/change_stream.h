// The operator of a soak: changes keys and a contract all the time, and checks
// at every VM, through the operators' API and with callers' requests, that
// acknowledged changes are in force and never older again.
#ifndef TESTSUITE_CHANGE_STREAM_H_
#define TESTSUITE_CHANGE_STREAM_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/thread.h"
#include "fleet.h"

namespace baobabrun::testsuite {

class ChangeStream {
 public:
  ChangeStream(const Fleet& fleet, std::uint64_t seed);
  ~ChangeStream();

  // A VM is up unless it is killed, paused or drains. Call SetDown before the
  // fault and SetUp after its end.
  void SetUp(std::size_t vm);
  void SetDown(std::size_t vm);
  // The VM starts without what it has known.
  void SetEmptied(std::size_t vm);

  // Proposes nothing until the returned lock is released, and waits until the
  // last acknowledged change is in force at all VMs, which must be up.
  std::unique_lock<std::mutex> HoldChanges();
  // Whether the last acknowledged change is in force at the VM and, if it is a
  // replica, its disk has what the leader knows to be committed.
  bool IsCurrent(std::size_t vm) const;

  // Fails if a check has failed since the start.
  void Check() const;
  // Ends the changes and checks that none is lost at any VM.
  void Finish();

 private:
  // How often each key, or the contract of hall-c's key, was changed. Callers
  // with the key are served if the number is odd.
  using State = std::map<std::string, int>;
  struct Acked {
    Instant at;
    State state;
  };
  struct VmView {
    std::optional<Instant> up_since;
    int spell = 0;            // number of times the VM came up
    std::uint64_t shown = 0;  // highest version seen
    int shown_spell = 0;      // the spell in which it was seen
  };
  struct Seen {
    std::uint64_t version = 0;              // 0: no state
    std::map<std::string, bool> withdrawn;  // by key
  };

  std::string DrawKey();
  void Commit();
  // Sends one proposal. Returns the version if it is committed.
  std::optional<std::uint64_t> Propose(const std::string& key,
                                       int changes,
                                       std::string* plan);
  Seen Look(std::size_t vm) const;
  int StatusFor(std::size_t vm, const std::string& key) const;
  void CheckVm(std::size_t vm);
  // Returns the newest version that must be in force at the VM.
  std::uint64_t RequiredVersion(std::size_t vm, Instant now) const;
  void Fail(const std::string& text);

  const Fleet& fleet_;
  std::mt19937_64 operator_random_;
  std::mt19937_64 watcher_random_;
  std::mutex changes_;  // held while a change is proposed
  std::atomic<bool> stop_{false};
  std::atomic<bool> given_up_{false};  // the proposed change, too
  int operations_ = 0;

  mutable std::mutex mutex_;  // guards the rest
  std::vector<VmView> vms_;
  std::map<std::uint64_t, Acked> acked_;  // by version
  State wanted_;                          // with the change that is proposed
  std::uint64_t checks_ = 0;
  std::string failures_;

  std::unique_ptr<DutyThread> operator_;
  std::unique_ptr<DutyThread> watcher_;
};

}  // namespace baobabrun::testsuite

#endif  // TESTSUITE_CHANGE_STREAM_H_
