// Applies the control leader's orders to one engine. It keeps the loaded models
// and refuses orders with an outdated fencing number. The caller passes the
// time.
#ifndef STANDIN_ORDER_HANDLER_H_
#define STANDIN_ORDER_HANDLER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "endpoints/announcement.h"

namespace baobabrun::standin {

enum class OrderKind { kLoad, kUnload, kRole, kLeave };

struct Order {
  std::uint64_t term =
      0;  // fencing number, the term of the leader that sent it
  OrderKind kind = OrderKind::kLoad;
  LoadedModel model;
};
// Parses the body of POST /orders. Errors: std::errc::invalid_argument.
Result<Order> ParseOrder(std::string_view json);

struct OrderHandlerOptions {
  bool checks_fencing = true;
  Duration load_time = seconds(2);
  // A load takes twice as long if it brings the number of concurrent loads to
  // this value or more.
  std::int32_t slow_from_loads = 3;
};

class OrderHandler {
 public:
  OrderHandler(OrderHandlerOptions options, std::vector<LoadedModel> models);

  // Applies the order. Returns false and does nothing if its fencing number is
  // checked and outdated.
  bool Apply(const Order& order, Instant now);
  // Returns the models that are loaded at `now`.
  const std::vector<LoadedModel>& Models(Instant now);
  // Returns true if `model` is loaded with the given weights. Empty weights
  // match any.
  bool Serves(const ModelId& model, std::string_view weights, Instant now);
  // Returns the number of models that are being loaded.
  std::int32_t loading(Instant now);
  void Leave() { leaving_ = true; }
  bool leaving() const { return leaving_; }
  bool checks_fencing() const { return options_.checks_fencing; }
  std::uint64_t highest_term() const { return highest_term_; }

 private:
  struct Loading {
    Instant due;
    LoadedModel model;
  };

  void Load(const LoadedModel& model, Instant now);
  void Unload(const LoadedModel& model);

  const OrderHandlerOptions options_;
  std::vector<LoadedModel> models_;  // at most one entry per model
  std::vector<Loading> loading_;
  std::uint64_t highest_term_ = 0;  // never decreases
  bool leaving_ = false;
};

}  // namespace baobabrun::standin

#endif  // STANDIN_ORDER_HANDLER_H_
