// Sends orders to endpoints (POST /orders) on a thread of its own, so that an
// endpoint that doesn't answer delays no other work of the process.
#ifndef ORDERS_ORDER_CLIENT_H_
#define ORDERS_ORDER_CLIENT_H_

#include <functional>
#include <memory>

#include "base/error.h"
#include "base/ring.h"
#include "base/thread.h"
#include "orders/order_planner.h"

namespace baobabrun {

class OrderClient {
 public:
  // `on_refused` is called on the client's thread for an order that the
  // endpoint refused or didn't answer.
  static Result<std::unique_ptr<OrderClient>> Start(
      std::function<void(EndpointOrder order)> on_refused);
  ~OrderClient();
  OrderClient(const OrderClient&) = delete;
  OrderClient& operator=(const OrderClient&) = delete;

  // Queues an order. Returns false if the queue is full.
  bool Send(EndpointOrder order) { return orders_.TryPush(std::move(order)); }

 private:
  explicit OrderClient(std::function<void(EndpointOrder order)> on_refused);
  void Run();

  const std::function<void(EndpointOrder order)> on_refused_;
  Ring<EndpointOrder> orders_;
  std::unique_ptr<DutyThread> thread_;
};

// Returns the body of an order's HTTP request as JSON.
std::string ToJson(const EndpointOrder& order);

}  // namespace baobabrun

#endif  // ORDERS_ORDER_CLIENT_H_
