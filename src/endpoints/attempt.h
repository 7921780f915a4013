// One attempt of a request at an endpoint: a libcurl transfer and the checks of
// its response. Only endpoint_client.cc uses it, on the client's thread.
#ifndef ENDPOINTS_ATTEMPT_H_
#define ENDPOINTS_ATTEMPT_H_

#include <curl/curl.h>

#include <memory>
#include <string>
#include <vector>

#include "endpoints/connection_sockets.h"
#include "endpoints/endpoint_client.h"
#include "endpoints/event_splitter.h"
#include "endpoints/response_reader.h"
#include "endpoints/stream_guard.h"
#include "endpoints/transfer_loop.h"

namespace baobabrun::internal {

class Attempt : public Transfer {
 public:
  Attempt(Dispatch dispatch,
          AnswerSink sink,
          const EndpointClientOptions& options,
          ConnectionSockets& sockets,
          std::function<void(AttemptReport)> on_report);
  ~Attempt() override;
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  CURL* easy() const override { return easy_; }
  AttemptId id() const override { return dispatch_.attempt; }
  // Returns whether the attempt is paused because its reader is too slow. A
  // paused attempt doesn't time out.
  bool paused() const { return paused_; }
  void Unpause(Instant now) override;
  // Returns whether nothing has arrived for longer than the timeout in the
  // options.
  bool TimedOut(Instant now) const override;
  void Started(Instant now) override { last_byte_ = now; }

  // Each sends the final report. Finish first passes a complete answer to the
  // sink.
  void Finish(CURLcode code) override;
  void Abandon(AbortReason reason) override;

 private:
  static std::size_t OnHeader(char* data,
                              std::size_t,
                              std::size_t n,
                              void* cls);
  static std::size_t OnBody(char* data, std::size_t, std::size_t n, void* cls);

  void SetUrl();
  void SetRequest();
  void AddRequestHeader(const std::string& line);
  bool HandleHeader(std::string_view line);
  bool HandleHead();
  bool HandleBody(std::string_view bytes);
  bool HandleStream(std::string_view bytes);
  void Forward(const StreamEvent& event, bool terminal);
  void BeginAnswer();
  void ReportWhileRunning(AttemptReport::Kind kind);
  bool is_model_call() const;
  bool is_stream() const;
  AttemptOutcome Outcome(CURLcode code);
  AttemptOutcome OutcomeOfSuccessStatus();
  AttemptReport Report(AttemptOutcome outcome) const;
  // Also contains the text delivered so far, which another attempt can
  // continue.
  AttemptReport FinalReport(AttemptOutcome outcome) const;

  const Dispatch dispatch_;
  const AnswerSink sink_;
  const EndpointClientOptions& options_;
  const std::function<void(AttemptReport)> on_report_;
  CURL* easy_;
  RequestConnection connection_;
  curl_slist* request_headers_ = nullptr;
  std::string request_body_;

  ResponseReader response_;
  int status_ = 0;                // zero until the head is complete
  bool attempt_matched_ = false;  // the answer carries the id of this attempt
  bool wrong_attempt_ = false;
  bool invalid_ = false;       // the stream had a gap or a malformed event
  bool answer_begun_ = false;  // a part of the answer was passed to the sink
  bool paused_ = false;
  bool event_stream_ = false;  // the answer's content type is an event stream
  Instant last_byte_;
  std::string content_type_;
  std::vector<Header> answer_headers_;
  // Body of an answer that is not streamed, collected until it is complete.
  std::string unstreamed_body_;
  bool body_kept_ = true;  // no part of it was forwarded before its end
  Usage usage_;
  // Of a stream, since the last event that was forwarded.
  std::size_t unforwarded_bytes_ = 0;
  EventSplitter splitter_;
  StreamGuard guard_;
};

}  // namespace baobabrun::internal

#endif  // ENDPOINTS_ATTEMPT_H_
