// Orders from the control leader to one engine: which models it has loaded, and
// which orders it refuses by their fencing number. Time is handed in.
#ifndef STANDIN_ORDER_DESK_H_
#define STANDIN_ORDER_DESK_H_

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
  std::uint64_t term = 0;  // fencing number: that of the leader who gives it
  OrderKind kind = OrderKind::kLoad;
  LoadedModel model;
};
// Reads the body of POST /orders. Errors: std::errc::invalid_argument.
Result<Order> ParseOrder(std::string_view json);

struct OrderDeskOptions {
  bool checks_fencing = true;
  Duration load_time = seconds(2);
  // From this number of loads at once, each takes twice as long.
  std::int32_t slow_from_loads = 3;
};

class OrderDesk {
 public:
  OrderDesk(OrderDeskOptions options, std::vector<LoadedModel> models);

  // Returns false, doing nothing, if the order's fencing number is outdated.
  bool Take(const Order& order, Instant now);
  // The models that are loaded at `now`.
  const std::vector<LoadedModel>& Models(Instant now);
  // Whether `model` is loaded, with these weights unless they are empty.
  bool Serves(const ModelId& model, std::string_view weights, Instant now);
  // How many models are being loaded.
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

  const OrderDeskOptions options_;
  std::vector<LoadedModel> models_;  // at most one entry for a model
  std::vector<Loading> loading_;
  std::uint64_t highest_term_ = 0;  // only grows
  bool leaving_ = false;
};

}  // namespace baobabrun::standin

#endif  // STANDIN_ORDER_DESK_H_
