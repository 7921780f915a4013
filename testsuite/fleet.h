// A fleet of real processes on the loopback interface for whole-program test
// cases: VMs, engines and services. Their settings files and logs are in one
// folder per fleet.
#ifndef TESTSUITE_FLEET_H_
#define TESTSUITE_FLEET_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "child_process.h"
#include "settings/process_settings.h"

namespace baobabrun::testsuite {

// Polls `condition` until it holds. Returns false if it doesn't hold within a
// timeout that is far longer than any run takes.
bool Eventually(const std::function<bool()>& condition);

// Returns the hash of a key with the fleets' salt, as declarations hold it.
std::string HashKeyToHex(const std::string& key);

// Requests with the same tag that endpoints ran.
struct RunCounts {
  std::int64_t started = 0;
  std::int64_t continued = 0;
  std::int64_t finished = 0;
};
// What one endpoint reports in its answer to GET /runs, or the sums over
// several.
struct RunSummary {
  std::int64_t keys_seen = 0;
  std::int64_t faults_waiting = 0;
  std::int64_t crashes = 0;
  std::map<std::string, RunCounts> by_tag;
};

struct FleetOptions {
  std::vector<std::string> zones;  // one VM is started in each
  // If set, the VMs are replicas of a control log and the declarations are
  // applied through it; otherwise each VM reads them from files.
  bool control = false;
  // How many VMs, the first ones, are replicas if `control` is set; 0 is all.
  std::size_t replicas = 0;
};

class Fleet {
 public:
  struct Vm {
    std::string name;
    std::string zone;
    Address callers;
    Address operators;
    Address peers;
    bool replica = false;
    int starts = 0;
    std::unique_ptr<ChildProcess> process;
  };
  struct Endpoint {
    std::string name;
    std::string zone;
    Address address;
    std::vector<std::string> arguments;
    std::unique_ptr<ChildProcess> process;
  };

  // Creates the folder and the declarations: organisations hall-a and hall-b
  // with keys sk-hall-a and sk-hall-b, model tagger with weights v1, and the
  // route /bookings/ to the service desk. Starts the VMs; the settings of each
  // list all VMs.
  explicit Fleet(FleetOptions options);
  // Kills all processes. Removes the folder unless KeepFolder() was called
  // last, which is the case after a failed test case.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void AddEngine(const std::string& zone,
                 const std::vector<std::string>& options = {});
  void AddService(const std::string& zone);
  // Kills the VM's process if it still runs, and starts a new one at the same
  // addresses. The log of the old one is kept under another name.
  void RestartVm(std::size_t n);
  // Kills the engine's process if it still runs, and starts a new one at the
  // same address.
  void RestartEngine(std::size_t n);
  // Adds the runs that an endpoint has counted to those of FetchAllRuns(). Call
  // it before the endpoint's process is ended, which forgets its counts.
  void KeepRuns(const Endpoint& endpoint);
  // Kills the VM's process and deletes its data folder.
  void EmptyDataFolder(std::size_t n);
  // Waits until the VM answers a model call, which shows that it knows an
  // engine, and a call to the service, if there is one.
  void AwaitServing(std::size_t n);
  // Waits for all VMs.
  void AwaitServing();

  std::vector<Vm>& vms() { return vms_; }
  const std::vector<Vm>& vms() const { return vms_; }
  std::vector<Endpoint>& engines() { return engines_; }
  std::vector<Endpoint>& services() { return services_; }
  std::vector<Address> entries() const;

  // Calls a VM's operators' API with the operators' key. Returns the body of
  // the answer, a JSON text.
  std::string CallOperatorApi(std::size_t vm,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body) const;

  // Makes an engine or service stand-in misbehave as the JSON text says.
  static void InjectFault(const Endpoint& endpoint, const std::string& json);
  static RunSummary FetchRuns(const Endpoint& endpoint);
  // Returns the sums over all endpoints that have a process.
  RunSummary FetchAllRuns() const;

  // Tells the destructor to keep or to remove the folder.
  void KeepFolder() { keep_folder_ = true; }
  void DropFolder() { keep_folder_ = false; }
  const std::filesystem::path& folder() const { return folder_; }

 private:
  void WriteDeclarations() const;
  void ApplyDeclarations();
  void WriteSettings(const Vm& vm) const;
  void StartVm(Vm& vm);
  void StartEndpoint(Endpoint& endpoint);
  std::vector<std::string> EndpointArguments(const char* kind,
                                             const Endpoint& endpoint) const;

  const FleetOptions options_;
  std::filesystem::path folder_;
  bool keep_folder_ = false;
  RunSummary kept_runs_;
  std::vector<Vm> vms_;
  std::vector<Endpoint> engines_;
  std::vector<Endpoint> services_;
};

}  // namespace baobabrun::testsuite

#endif  // TESTSUITE_FLEET_H_
