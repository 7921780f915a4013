// Serves a simulated engine over HTTP, with announcements, orders, resumed
// streams and injected faults.
//
// One mutex guards all state. The decision thread advances the engine, and
// the HTTP server's threads deliver requests. Methods of exchanges are called
// while the mutex is held; an exchange doesn't hold its own lock when it calls
// a hook, so that the two can't deadlock.
#ifndef STANDIN_ENGINE_SERVER_H_
#define STANDIN_ENGINE_SERVER_H_

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
#include "standin/engine.h"
#include "standin/fault_plan.h"
#include "standin/model_request.h"
#include "standin/order_handler.h"
#include "standin/run_recorder.h"

namespace baobabrun::standin {

struct EngineServerOptions {
  Address listen;
  EndpointId name;
  ZoneId zone;
  std::vector<LoadedModel> models;
  AnnouncerOptions announcer;
  EngineOptions engine;
  OrderHandlerOptions orders;
  std::uint64_t seed = 1;
  // A prompt that contains this text crashes the engine. Empty: none does.
  std::string poison_marker;
  std::string key_marker;  // see RunRecorder
  // How long the endpoint stays down after a crash.
  Duration restart_time = milliseconds(500);
  // How long a stream can be resumed after the stream or its connection ended.
  Duration resume_window = seconds(10);
  std::vector<ScheduledFault> faults;
};

class EngineServer {
 public:
  // Fails if the engine's options are invalid or the server can't listen.
  static Result<std::unique_ptr<EngineServer>> Start(
      EngineServerOptions options);
  ~EngineServer();
  EngineServer(const EngineServer&) = delete;
  EngineServer& operator=(const EngineServer&) = delete;

  const Address& address() const { return http_->address(); }
  // From now on announces that the endpoint leaves, so that VMs send it no new
  // requests.
  void Leave();
  // Returns true if no request waits or runs.
  bool Idle() const;

 private:
  // An answer that is being produced. It is kept for the resume window after
  // its connection ends.
  struct Run {
    AttemptId id;
    ModelRequest request;
    std::string tag;
    std::uint64_t prompt_id = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t produced = 0;  // tokens, counted from the answer's start
    bool finished = false;
    // Set when the server has ended the connection or sent the whole answer.
    std::optional<Instant> expires_at;
    std::optional<Fault> fault;
    // The exchange that receives the answer. Null if there is none.
    HttpExchangePtr exchange;
    std::string attempt_text;  // attempt id as the request gave it, echoed
    std::int64_t sent_events = 0;
    bool silenced = false;  // kSilent applies, nothing more is sent
  };
  using RunPtr = std::shared_ptr<Run>;

  explicit EngineServer(EngineServerOptions options);
  Status Listen();
  Status StartThreads();

  // Requests.
  void Handle(const HttpExchangePtr& exchange);
  void HandleModelCall(const HttpExchangePtr& exchange, RequestKind kind);
  void HandleResume(const HttpExchangePtr& exchange);
  void HandleRuns(const HttpExchangePtr& exchange);
  void HandleFault(const HttpExchangePtr& exchange);
  void HandleOrder(const HttpExchangePtr& exchange);
  bool SubmitRun(const RunPtr& run, const HttpExchangePtr& exchange);
  void Attach(const RunPtr& run, const HttpExchangePtr& exchange);
  void OnConnectionClosed(AttemptId id, const HttpExchange* exchange);
  void RemoveRun(RunPtr run);

  // The decision thread.
  void RunDecisionLoop();
  void HandleOutput(const EngineOutput& output);
  void RemoveExpiredRuns(Instant now);
  void ShutDownAfterCrash(Instant now);

  // Answers.
  void SendNew(Run& run);
  void SendStream(Run& run);
  void SendWhole(Run& run);
  bool SendEvent(Run& run, std::int64_t id);
  bool InjectFault(Run& run, std::int64_t id, const std::string& event);
  void EndExchange(Run& run, bool complete);
  std::vector<Header> AnswerHeaders(const Run& run, const char* type) const;
  std::string EventText(const Run& run, std::int64_t id) const;

  // For the announcer.
  std::optional<Announcement> Describe();
  std::vector<CacheEvents> TakeEvents();

  const EngineServerOptions options_;
  const std::uint64_t first_incarnation_;
  RunRecorder run_recorder_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::unique_ptr<Engine> engine_;
  OrderHandler orders_;
  FaultPlan faults_;
  std::optional<Instant> down_until_;
  std::map<AttemptId, RunPtr> runs_;  // a resumed run has several entries

  // The destructor destroys these first, from the last to the first.
  std::unique_ptr<HttpServer> http_;
  std::unique_ptr<DutyThread> decision_thread_;
  std::unique_ptr<Announcer> announcer_;
};

}  // namespace baobabrun::standin

#endif  // STANDIN_ENGINE_SERVER_H_
