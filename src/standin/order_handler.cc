// Checks fencing numbers and loads models.
#include "standin/order_handler.h"

#include <algorithm>
#include <utility>

#include "settings/json_reader.h"

namespace baobabrun::standin {
namespace {

constexpr char kSource[] = "order";

constexpr NameEntry<OrderKind> kKinds[] = {
    {OrderKind::kLoad, "load"},
    {OrderKind::kUnload, "unload"},
    {OrderKind::kRole, "role"},
    {OrderKind::kLeave, "leave"},
};

}  // namespace

Result<Order> ParseOrder(std::string_view json) {
  auto parsed = ParseJson(json, kSource);
  if (!parsed.ok()) {
    return parsed.error();
  }
  Order order;
  std::string kind;
  std::string model;
  ObjectReader reader(parsed.value(), kSource, "");
  reader.Optional("term", &order.term);
  reader.Required("order", &kind);
  reader.Optional("model", &model);
  reader.Optional("weights", &order.model.weights);
  reader.Optional("adapter", &order.model.adapter);
  const auto known = FromName<OrderKind>(kKinds, kind);
  if (!known) {
    reader.Fail("order", "must be load, unload, role or leave");
  }
  const auto status = reader.Finish();
  if (!status.ok()) {
    return status.error();
  }
  order.kind = *known;
  order.model.model = ModelId(std::move(model));
  return order;
}

OrderHandler::OrderHandler(OrderHandlerOptions options,
                           std::vector<LoadedModel> models)
    : options_(options), models_(std::move(models)) {}

bool OrderHandler::Apply(const Order& order, Instant now) {
  if (options_.checks_fencing && order.term < highest_term_) {
    return false;
  }
  highest_term_ = std::max(highest_term_, order.term);
  switch (order.kind) {
    case OrderKind::kLoad:
      Load(order.model, now);
      break;
    case OrderKind::kUnload:
      Unload(order.model);
      break;
    case OrderKind::kRole:
      break;
    case OrderKind::kLeave:
      Leave();
      break;
  }
  return true;
}

void OrderHandler::Load(const LoadedModel& model, Instant now) {
  const auto& models = Models(now);
  if (std::find(models.begin(), models.end(), model) != models.end()) {
    return;
  }
  const auto same = [&](const auto& it) { return it.model == model; };
  if (std::any_of(loading_.begin(), loading_.end(), same)) {
    return;
  }
  const bool slow = static_cast<std::int32_t>(loading_.size()) + 1 >=
                    options_.slow_from_loads;
  const auto time = slow ? options_.load_time * 2 : options_.load_time;
  loading_.push_back({now + time, model});
}

void OrderHandler::Unload(const LoadedModel& model) {
  std::erase_if(models_,
                [&](const auto& it) { return it.model == model.model; });
}

const std::vector<LoadedModel>& OrderHandler::Models(Instant now) {
  for (const auto& it : loading_) {
    if (it.due <= now) {
      Unload(it.model);
      models_.push_back(it.model);
    }
  }
  std::erase_if(loading_, [now](const auto& it) { return it.due <= now; });
  return models_;
}

bool OrderHandler::Serves(const ModelId& model,
                          std::string_view weights,
                          Instant now) {
  const auto& models = Models(now);
  return std::any_of(models.begin(), models.end(), [&](const auto& it) {
    return it.model == model && (weights.empty() || it.weights == weights);
  });
}

std::int32_t OrderHandler::loading(Instant now) {
  Models(now);
  return static_cast<std::int32_t>(loading_.size());
}

}  // namespace baobabrun::standin
