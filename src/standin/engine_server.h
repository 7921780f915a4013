// An engine stand-in as a process: the engine's decisions behind HTTP, with
// announcements, orders, resume and faults.
//
// One lock guards everything; the decision thread advances the engine and
// libmicrohttpd's threads bring requests. Exchanges are called with the lock
// held, and call back without holding their own.
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
#include "standin/order_desk.h"
#include "standin/run_ledger.h"

namespace baobabrun::standin {

struct EngineServerOptions {
  Address listen;
  EndpointId name;
  ZoneId zone;
  std::vector<LoadedModel> models;
  AnnouncerOptions announcer;
  EngineOptions engine;
  OrderDeskOptions orders;
  std::uint64_t seed = 1;
  std::string poison_marker;
  std::string key_marker;
  // How long it stays down after a crash.
  Duration restart_time = milliseconds(500);
  // How long a stream may be resumed after its end or its connection's.
  Duration resume_window = seconds(10);
  std::vector<FaultOrder> faults;
};

class EngineServer {
 public:
  // Errors: of the engine's options and of listening.
  static Result<std::unique_ptr<EngineServer>> Start(
      EngineServerOptions options);
  ~EngineServer();
  EngineServer(const EngineServer&) = delete;
  EngineServer& operator=(const EngineServer&) = delete;

  const Address& address() const { return http_->address(); }
  // Asks for no new work from now on.
  void Leave();
  // Whether no request waits or runs.
  bool Idle() const;

 private:
  // One answer in the making; it outlives its connection for the resume window.
  struct Run {
    AttemptId id;
    ModelRequest request;
    std::string tag;
    std::uint64_t prompt_id = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t produced = 0;  // tokens of the whole answer, from its start
    bool finished = false;
    // Set when the reader's connection ended or the answer was sent.
    std::optional<Instant> forget_at;
    std::optional<Fault> fault;
    // Where the answer goes.
    HttpExchangePtr reader;
    std::string attempt_text;  // echoed to it
    std::int64_t sent_events = 0;
    bool muted = false;  // a silent fault has begun
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
  bool Begin(const RunPtr& run, const HttpExchangePtr& exchange);
  void Attach(const RunPtr& run, const HttpExchangePtr& exchange);
  void ReaderGone(AttemptId id, const HttpExchange* reader);
  void ForgetRun(RunPtr run);

  // The decision thread.
  void Decide();
  void Apply(const EngineOutput& output);
  void Forget(Instant now);
  void GoDown(Instant now);

  // Answers.
  void Send(Run& run);
  void SendStream(Run& run);
  void SendWhole(Run& run);
  bool SendEvent(Run& run, std::int64_t id);
  bool ShowsFault(Run& run, std::int64_t id, const std::string& event);
  void EndReader(Run& run, bool whole);
  std::vector<Header> AnswerHeaders(const Run& run, const char* type) const;
  std::string EventText(const Run& run, std::int64_t id) const;

  std::optional<Announcement> Describe();
  std::vector<CacheEvents> TakeEvents();

  const EngineServerOptions options_;
  const std::uint64_t first_incarnation_;
  RunLedger ledger_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::unique_ptr<Engine> engine_;
  OrderDesk orders_;
  FaultPlan faults_;
  std::optional<Instant> down_until_;
  std::map<AttemptId, RunPtr> runs_;  // a resumed run has several entries

  // Ended first, in this order from the last.
  std::unique_ptr<HttpServer> http_;
  std::unique_ptr<DutyThread> decider_;
  std::unique_ptr<Announcer> announcer_;
};

}  // namespace baobabrun::standin

#endif  // STANDIN_ENGINE_SERVER_H_
