// Attempts as transfers of a TransferLoop.
#include "endpoints/endpoint_client.h"

#include <utility>

#include "endpoints/attempt.h"
#include "endpoints/connection_sockets.h"
#include "endpoints/transfer_loop.h"

namespace baobabrun {

EndpointClient::EndpointClient(EndpointClientOptions options,
                               OnReport on_report,
                               std::unique_ptr<TransferLoop> loop)
    : options_(options),
      on_report_(std::move(on_report)),
      sockets_(std::make_unique<ConnectionSockets>()),
      loop_(std::move(loop)) {}

EndpointClient::~EndpointClient() = default;

Result<std::unique_ptr<EndpointClient>> EndpointClient::Start(
    EndpointClientOptions options,
    OnReport on_report) {
  auto loop = TransferLoop::Start(
      {options.ring_capacity, options.max_connections_per_endpoint});
  if (!loop.ok()) {
    return loop.error();
  }
  return std::unique_ptr<EndpointClient>(new EndpointClient(
      options, std::move(on_report), std::move(loop.value())));
}

bool EndpointClient::Send(Dispatch dispatch, AnswerSink sink) {
  return loop_->Send(std::make_unique<internal::Attempt>(
      std::move(dispatch), std::move(sink), options_, *sockets_, on_report_));
}

bool EndpointClient::Cancel(AttemptId attempt) {
  return loop_->Cancel(attempt);
}

bool EndpointClient::Resume(AttemptId attempt) {
  return loop_->Resume(attempt);
}

}  // namespace baobabrun
