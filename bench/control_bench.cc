// Measures the control log on local disk. Three replicas run in one process and
// exchange messages by function calls. Each has its own files and syncs them.
//
//   control_bench [FOLDER]   (default: a new folder under the current one)
//
// Prints commits per second and commit latency for several numbers of proposals
// in flight, the time to restart after 10,000 changes, the bytes sent for each
// change, and the network traffic and CPU time of an idle replica.
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <ctime>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/hash.h"
#include "base/log.h"
#include "control/control_node.h"

namespace baobabrun {
namespace {

constexpr int kChanges = 10'000;

// The replicas `a`, `b` and `c`. Counts the bytes that they send to each other.
class Cluster {
 public:
  explicit Cluster(std::filesystem::path folder) : folder_(std::move(folder)) {}
  ~Cluster() { Stop(); }
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  bool Start() {
    for (const char* it : {"a", "b", "c"}) {
      auto node = ControlNode::Start(OptionsFor(it));
      if (!node.ok()) {
        fmt::print("cannot start a replica: {}\n", node.error().message);
        return false;
      }
      const std::lock_guard lock(mutex_);
      nodes_[VmId(it)] = std::move(node.value());
    }
    return true;
  }

  void Stop() {
    std::map<VmId, std::shared_ptr<ControlNode>> nodes;
    {
      const std::lock_guard lock(mutex_);
      nodes = std::exchange(nodes_, {});
    }
    for (auto& it : nodes) {
      it.second->Stop();
    }
  }

  std::shared_ptr<ControlNode> Find(const VmId& vm) {
    const std::lock_guard lock(mutex_);
    const auto found = nodes_.find(vm);
    return found == nodes_.end() ? nullptr : found->second;
  }

  std::shared_ptr<ControlNode> AwaitLeader() {
    for (;;) {
      for (const char* it : {"a", "b", "c"}) {
        auto node = Find(VmId(it));
        if (node->Status().has_lease) {
          return node;
        }
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  std::uint64_t sent_bytes() const { return sent_bytes_; }
  std::uint64_t version() const { return version_; }

 private:
  ControlOptions OptionsFor(const std::string& vm) {
    ControlOptions options;
    options.self = VmId(vm);
    options.replicas = {VmId("a"), VmId("b"), VmId("c")};
    options.replica = true;
    options.data_dir = folder_ / vm;
    options.send = [this](PeerMessage message) {
      sent_bytes_ += message.payload.size();
      const auto node = Find(message.to);
      if (node) {
        node->Receive(std::move(message));
      }
      return node != nullptr;
    };
    options.on_state = [this](const FleetStatePtr& state, const ChangeSet&) {
      version_ = state->version.value();
    };
    return options;
  }

  const std::filesystem::path folder_;
  std::mutex mutex_;
  std::map<VmId, std::shared_ptr<ControlNode>> nodes_;
  std::atomic<std::uint64_t> sent_bytes_{0};
  std::atomic<std::uint64_t> version_{0};
};

Proposal AddKeyNumber(int number) {
  const auto name = fmt::format("key-{:06}", number);
  ChangeProposal change;
  change.operation_id = "op-" + name;
  change.changes = {AddKey{
      {KeyId(name), OrganisationId("hall-a"), HashKey(name, "s"), false}}};
  return change;
}

// Keeps `in_flight` proposals in flight until `count` have ended. The
// constructor returns when all have ended.
class ProposalLoad {
 public:
  ProposalLoad(ControlNode& node, int first, int count, int in_flight)
      : node_(node), next_(first), end_(first + count) {
    latencies_.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < in_flight; ++i) {
      ProposeNext();
    }
    std::unique_lock lock(mutex_);
    done_.wait(lock, [&] {
      return latencies_.size() + failed_ == static_cast<std::size_t>(count);
    });
  }

  // Latencies of the committed proposals in microseconds, in ascending order.
  std::vector<double> Latencies() {
    std::sort(latencies_.begin(), latencies_.end());
    return latencies_;
  }
  std::size_t failed() const { return failed_; }

 private:
  void ProposeNext() {
    const int number = next_++;
    if (number >= end_) {
      return;
    }
    const Instant start = SystemClock().Now();
    node_.Propose(AddKeyNumber(number), start + seconds(30),
                  [this, start](const ProposalResult& result) {
                    ProposeNext();
                    Record(start, result);
                  });
  }

  void Record(Instant start, const ProposalResult& result) {
    const std::chrono::duration<double, std::micro> time =
        SystemClock().Now() - start;
    const std::lock_guard lock(mutex_);
    if (result.outcome == ProposalOutcome::kCommitted) {
      latencies_.push_back(time.count());
    } else {
      ++failed_;
    }
    done_.notify_one();
  }

  ControlNode& node_;
  std::atomic<int> next_;
  const int end_;
  std::mutex mutex_;
  std::condition_variable done_;
  std::vector<double> latencies_;
  std::size_t failed_ = 0;
};

void MeasureLoad(Cluster& cluster, int first, int count, int in_flight) {
  const auto leader = cluster.AwaitLeader();
  const auto bytes = cluster.sent_bytes();
  const Instant start = SystemClock().Now();
  ProposalLoad load(*leader, first, count, in_flight);
  const std::chrono::duration<double> time = SystemClock().Now() - start;
  const auto sorted = load.Latencies();
  const auto at = [&](std::size_t percent) {
    return sorted[(sorted.size() - 1) * percent / 100] / 1000;
  };
  fmt::print(
      "{:4} in flight: {:6} changes, {} failed, {:8.0f} commits/s, "
      "p50 {:.2f} ms, p99 {:.2f} ms, {} bytes sent per change\n",
      in_flight, sorted.size(), load.failed(),
      static_cast<double>(count) / time.count(), at(50), at(99),
      (cluster.sent_bytes() - bytes) / static_cast<std::uint64_t>(count));
}

std::uintmax_t FolderBytes(const std::filesystem::path& folder) {
  std::uintmax_t bytes = 0;
  for (const auto& it : std::filesystem::directory_iterator(folder)) {
    bytes += it.file_size();
  }
  return bytes;
}

// Measures three replicas that send only heartbeats. The printed values are the
// average of one replica.
void MeasureIdle(Cluster& cluster) {
  constexpr int kSeconds = 5;
  constexpr std::uint64_t kReplicas = 3;
  cluster.AwaitLeader();
  const auto bytes = cluster.sent_bytes();
  const std::clock_t cpu = std::clock();
  std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
  const double cpu_seconds =
      static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
  fmt::print(
      "idle: {} bytes/s sent and {:.3f}% of a core used by each replica\n",
      (cluster.sent_bytes() - bytes) / kSeconds / kReplicas,
      100 * cpu_seconds / kSeconds / kReplicas);
}

void MeasureRestart(Cluster& cluster, const std::filesystem::path& folder) {
  cluster.Stop();
  fmt::print("files of one replica after {} changes: {} bytes\n", kChanges,
             FolderBytes(folder / "a"));
  const Instant start = SystemClock().Now();
  if (!cluster.Start()) {
    return;
  }
  const std::chrono::duration<double, std::milli> opened =
      SystemClock().Now() - start;
  cluster.AwaitLeader();
  const std::chrono::duration<double, std::milli> led =
      SystemClock().Now() - start;
  fmt::print(
      "restart: three replicas opened in {:.0f} ms with version {}, leader "
      "elected after {:.0f} ms\n",
      opened.count(), cluster.version(), led.count());
}

int Measure(const std::filesystem::path& folder) {
  SetLogLevel(LogLevel::kWarning);
  Cluster cluster(folder);
  if (!cluster.Start()) {
    return 1;
  }
  MeasureLoad(cluster, 0, 500, 1);
  MeasureLoad(cluster, 500, 1500, 8);
  MeasureLoad(cluster, 2000, kChanges - 2000, 64);
  MeasureRestart(cluster, folder);
  MeasureIdle(cluster);
  return 0;
}

}  // namespace
}  // namespace baobabrun

int main(int argc, char** argv) {
  const std::filesystem::path folder =
      argc > 1 ? argv[1] : "control-bench-data";
  const int rc = baobabrun::Measure(folder);
  std::filesystem::remove_all(folder);
  return rc;
}
