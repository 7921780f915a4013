// Stand-in of a service that isn't an engine. It answers each call with the
// call's own content and how often it has run this call, and injects faults.
#ifndef STANDIN_SERVICE_SERVER_H_
#define STANDIN_SERVICE_SERVER_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/thread.h"
#include "callers/http_server.h"
#include "standin/announcer.h"
#include "standin/fault_plan.h"
#include "standin/run_recorder.h"

namespace baobabrun::standin {

struct ServiceServerOptions {
  Address listen;
  EndpointId name;
  ZoneId zone;
  std::string service;  // name that routes refer to
  AnnouncerOptions announcer;
  std::int32_t slots = 64;  // announced, but not enforced
  Duration delay{};         // from a call to its answer
  std::string key_marker;   // see RunRecorder
  // How long the endpoint stays down after a crash.
  Duration restart_time = milliseconds(500);
  std::vector<ScheduledFault> faults;
};

class ServiceServer {
 public:
  // Fails if the server can't listen.
  static Result<std::unique_ptr<ServiceServer>> Start(
      ServiceServerOptions options);
  ~ServiceServer();
  ServiceServer(const ServiceServer&) = delete;
  ServiceServer& operator=(const ServiceServer&) = delete;

  const Address& address() const { return http_->address(); }
  // From now on announces that the endpoint leaves, so that VMs send it no new
  // requests.
  void Leave();
  // Returns true if no call waits for its answer.
  bool Idle() const;

 private:
  struct Call {
    HttpExchangePtr exchange;
    std::string tag;
    std::int64_t run_number = 0;
    std::optional<Fault> fault;
  };

  explicit ServiceServer(ServiceServerOptions options);
  Status Listen();
  Status StartThreads();

  void Handle(const HttpExchangePtr& exchange);
  void HandleRuns(const HttpExchangePtr& exchange);
  void HandleFault(const HttpExchangePtr& exchange);
  void HandleCall(const HttpExchangePtr& exchange);
  // Requires that mutex_ is locked.
  void CrashLocked(Instant now);
  void RunAnswerLoop();
  void Answer(const Call& call);
  std::optional<Announcement> Describe();

  const ServiceServerOptions options_;
  const std::uint64_t first_incarnation_;
  RunRecorder run_recorder_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool leaving_ = false;
  std::uint64_t crashes_ = 0;
  FaultPlan faults_;
  std::optional<Instant> down_until_;
  std::map<std::string, std::int64_t> runs_by_tag_;
  std::multimap<Instant, Call>
      waiting_;  // by the time at which the answer is due

  std::unique_ptr<HttpServer> http_;
  std::unique_ptr<DutyThread> answer_thread_;
  std::unique_ptr<Announcer> announcer_;
};

}  // namespace baobabrun::standin

#endif  // STANDIN_SERVICE_SERVER_H_
