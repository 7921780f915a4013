// A fleet of real processes on loopback for whole-program cases: VMs, engines
// and services, each with a settings file and logs in a folder of its own.
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

// Polls `condition` until it holds. False only after a bound that is far longer
// than any run takes.
bool Eventually(const std::function<bool()>& condition);

// What the endpoints did, over all of them.
struct RunCounts {
  std::int64_t started = 0;
  std::int64_t continued = 0;
  std::int64_t finished = 0;
};
struct RunsSeen {
  std::int64_t keys_seen = 0;
  std::int64_t faults_waiting = 0;
  std::int64_t crashes = 0;
  std::map<std::string, RunCounts> by_tag;
};

struct FleetOptions {
  std::vector<std::string> zones;  // a VM in each
  // Whether the VMs are replicas of a control log, and the declarations are
  // applied through it; else each VM reads them from files.
  bool control = false;
};

class Fleet {
 public:
  struct Vm {
    std::string name;
    std::string zone;
    Address callers;
    Address operators;
    Address peers;
    std::unique_ptr<ChildProcess> process;
  };
  struct Endpoint {
    std::string name;
    std::string zone;
    Address address;
    std::vector<std::string> arguments;
    std::unique_ptr<ChildProcess> process;
  };

  // Makes a folder and the declarations: organisations hall-a and hall-b with
  // keys sk-hall-a and sk-hall-b, model tagger at weights v1, and the route
  // /bookings/ to service desk. Starts the VMs, which all list each other.
  explicit Fleet(FleetOptions options);
  // Ends all processes. Removes the folder unless a case failed.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void AddEngine(const std::string& zone,
                 const std::vector<std::string>& options = {});
  void AddService(const std::string& zone);
  // Starts an ended VM again at its addresses.
  void RestartVm(std::size_t n);
  // Starts a killed engine again at its address.
  void RestartEngine(std::size_t n);
  // Waits until the VM answers a model call, so that it knows an engine.
  void AwaitServing(std::size_t n);
  void AwaitServing();

  std::vector<Vm>& vms() { return vms_; }
  std::vector<Endpoint>& engines() { return engines_; }
  std::vector<Endpoint>& services() { return services_; }
  std::vector<Address> entries() const;

  // A call to a VM's operators' API, with the operators' key. Returns the
  // answer's JSON text.
  std::string Operate(std::size_t vm,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body) const;

  static void Fault(const Endpoint& endpoint, const std::string& json);
  static RunsSeen RunsOf(const Endpoint& endpoint);
  // Of all endpoints whose process runs.
  RunsSeen Runs() const;

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
  std::vector<Vm> vms_;
  std::vector<Endpoint> engines_;
  std::vector<Endpoint> services_;
};

}  // namespace baobabrun::testsuite

#endif  // TESTSUITE_FLEET_H_
