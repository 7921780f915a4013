// Sends orders over HTTP.
#include "orders/order_client.h"

#include <curl/curl.h>
#include <fmt/core.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"
#include "endpoints/connection_sockets.h"
#include "endpoints/response_reader.h"

namespace baobabrun {
namespace {

constexpr std::size_t kMaxQueuedOrders = 256;
constexpr long kTimeoutMs = 2'000;
constexpr Duration kDrainTimeout = milliseconds(200);

std::size_t AddLine(char* data, std::size_t size, std::size_t n, void* cls) {
  auto* response = static_cast<ResponseReader*>(cls);
  return response->AddLine({data, size * n}) ? size * n : 0;
}

std::size_t IgnoreBody(char* data, std::size_t size, std::size_t n, void* cls) {
  auto* response = static_cast<ResponseReader*>(cls);
  const bool good = response->AddBytes(
      {data, size * n}, [](std::string_view /*body*/) { return true; });
  return good ? size * n : 0;
}

// Returns the HTTP status, or 0 if no whole answer came.
int Post(const Address& address, const std::string& body) {
  // Outlives the handle, which closes its connection.
  ConnectionSockets sockets;
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(
      curl_easy_init(), &curl_easy_cleanup);
  const RequestConnection connection(easy.get(), sockets, address);
  ResponseReader response(
      true, [&] { return connection.RequestArrived(body.size()); });
  const std::string url = fmt::format("http://{}/orders", ToString(address));
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, &AddLine);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &response);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &IgnoreBody);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &response);
  return curl_easy_perform(easy.get()) == CURLE_OK && response.AddEnd()
             ? response.head().status()
             : 0;
}

}  // namespace

std::string ToJson(const EndpointOrder& order) {
  const nlohmann::json out = {{"term", order.term},
                              {"order", NameOf(order.kind)},
                              {"model", order.model.model.value()},
                              {"weights", order.model.weights},
                              {"adapter", order.model.adapter}};
  return out.dump();
}

OrderClient::OrderClient(std::function<void(EndpointOrder order)> on_refused)
    : on_refused_(std::move(on_refused)), orders_(kMaxQueuedOrders) {}

Result<std::unique_ptr<OrderClient>> OrderClient::Start(
    std::function<void(EndpointOrder order)> on_refused) {
  std::unique_ptr<OrderClient> client(new OrderClient(std::move(on_refused)));
  auto* self = client.get();
  auto thread = DutyThread::Start("orders", [self] { self->Run(); });
  if (!thread.ok()) {
    return thread.error();
  }
  client->thread_ = std::move(thread.value());
  return client;
}

OrderClient::~OrderClient() {
  orders_.Close();
  thread_.reset();
}

void OrderClient::Run() {
  while (!orders_.closed()) {
    for (auto& it : orders_.Drain(kDrainTimeout)) {
      if (orders_.closed()) {
        return;
      }
      const int status = Post(it.address, ToJson(it));
      const bool accepted = status >= 200 && status < 300;
      Log(Event::kOrderGiven, "endpoint {}: {} {}={}, term {}: {}",
          it.endpoint.value(), NameOf(it.kind), it.model.model.value(),
          it.model.weights, it.term, accepted ? "taken" : "not taken");
      if (!accepted) {
        on_refused_(std::move(it));
      }
    }
  }
}

}  // namespace baobabrun
