// Conversion of announcements from and to JSON.
#include "endpoints/announcement.h"

#include <fmt/core.h>

#include <charconv>
#include <nlohmann/json.hpp>

#include "settings/json_reader.h"

namespace baobabrun {
namespace {

using nlohmann::json;

constexpr char kSource[] = "announcement";

constexpr NameEntry<EndpointKind> kKinds[] = {
    {EndpointKind::kEngine, "engine"},
    {EndpointKind::kService, "service"},
};
constexpr NameEntry<CacheEvent::Op> kOps[] = {
    {CacheEvent::Op::kStore, "store"},
    {CacheEvent::Op::kEvict, "evict"},
};

bool ParseHash(std::string_view text, BlockHash* out) {
  constexpr int kHexadecimal = 16;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(),
                                         *out, kHexadecimal);
  return ec == std::errc() && end == text.data() + text.size();
}

void ReadModels(ObjectReader& reader, Announcement* out) {
  const auto* models = reader.Array("models");
  if (models == nullptr) {
    return;
  }
  for (const auto& it : *models) {
    LoadedModel model;
    std::string name;
    ObjectReader fields(it, kSource, reader.PathOf("models"));
    fields.Required("model", &name);
    fields.Required("weights", &model.weights);
    fields.Optional("adapter", &model.adapter);
    const auto status = fields.Finish();
    if (!status.ok()) {
      reader.Fail("models", status.error().message);
      return;
    }
    model.model = ModelId(std::move(name));
    out->models.push_back(std::move(model));
  }
}

void ReadLoad(ObjectReader& reader, LoadReport* out) {
  const auto* load = reader.Object("load");
  if (load == nullptr) {
    return;
  }
  ObjectReader fields(*load, kSource, reader.PathOf("load"));
  fields.Optional("running", &out->running);
  fields.Optional("queued", &out->queued);
  fields.Optional("queued_tokens", &out->queued_tokens);
  const auto status = fields.Finish();
  if (!status.ok()) {
    reader.Fail("load", status.error().message);
  }
}

// Parsed without an ObjectReader per event, because an announcement may contain
// thousands of events.
bool ReadEvent(const json& item, CacheEvent* out) {
  if (!item.is_object() || !item.contains("op") || !item.contains("hash") ||
      !item["op"].is_string() || !item["hash"].is_string()) {
    return false;
  }
  const auto op =
      FromName<CacheEvent::Op>(kOps, item["op"].get_ref<const std::string&>());
  if (!op) {
    return false;
  }
  out->op = *op;
  return ParseHash(item["hash"].get_ref<const std::string&>(), &out->hash);
}

void ReadEvents(ObjectReader& reader, CacheEvents* out) {
  const auto* events = reader.Object("events");
  if (events == nullptr) {
    return;
  }
  ObjectReader fields(*events, kSource, reader.PathOf("events"));
  fields.Optional("first", &out->first);
  if (const auto* items = fields.Array("items")) {
    for (const auto& it : *items) {
      CacheEvent event;
      if (!ReadEvent(it, &event)) {
        fields.Fail("items", "must hold objects with op and hash");
        break;
      }
      out->items.push_back(event);
    }
  }
  const auto status = fields.Finish();
  if (!status.ok()) {
    reader.Fail("events", status.error().message);
  }
}

void ReadKind(ObjectReader& reader, Announcement* out) {
  std::string text;
  reader.Required("kind", &text);
  const auto kind = FromName<EndpointKind>(kKinds, text);
  if (!kind) {
    reader.Fail("kind", "must be engine or service");
    return;
  }
  out->kind = *kind;
}

}  // namespace

Result<Announcement> ParseAnnouncement(std::string_view text) {
  auto parsed = ParseJson(text, kSource, JsonBounds());
  if (!parsed.ok()) {
    return parsed.error();
  }
  Announcement out;
  std::string endpoint;
  std::string zone;
  std::string address;
  std::uint64_t incarnation = 0;
  ObjectReader reader(parsed.value(), kSource, "");
  reader.Required("endpoint", &endpoint);
  reader.Optional("incarnation", &incarnation, 1);
  reader.Required("zone", &zone);
  reader.Required("address", &address);
  ReadKind(reader, &out);
  reader.Optional("service", &out.service);
  ReadModels(reader, &out);
  reader.Optional("loading", &out.loading);
  reader.Optional("checks_fencing", &out.checks_fencing);
  reader.Optional("slots", &out.slots, 1);
  reader.Optional("leaving", &out.leaving);
  ReadLoad(reader, &out.load);
  ReadEvents(reader, &out.events);
  const auto parsed_address = ParseAddress(address);
  if (!parsed_address.ok()) {
    reader.Fail("address", parsed_address.error().message);
  }
  if (incarnation == 0) {
    reader.Fail("incarnation", "is missing");
  }
  const auto status = reader.Finish();
  if (!status.ok()) {
    return status.error();
  }
  out.endpoint = EndpointId(std::move(endpoint));
  out.zone = ZoneId(std::move(zone));
  out.address = parsed_address.value();
  out.incarnation = Incarnation(incarnation);
  return out;
}

std::string ToJson(const Announcement& it) {
  json models = json::array();
  for (const auto& model : it.models) {
    models.push_back({{"model", model.model.value()},
                      {"weights", model.weights},
                      {"adapter", model.adapter}});
  }
  json items = json::array();
  for (const auto& event : it.events.items) {
    items.push_back({{"op", NameOf<CacheEvent::Op>(kOps, event.op)},
                     {"hash", fmt::format("{:016x}", event.hash)}});
  }
  const json out = {
      {"endpoint", it.endpoint.value()},
      {"incarnation", it.incarnation.value()},
      {"zone", it.zone.value()},
      {"address", ToString(it.address)},
      {"kind", NameOf<EndpointKind>(kKinds, it.kind)},
      {"service", it.service},
      {"models", std::move(models)},
      {"loading", it.loading},
      {"checks_fencing", it.checks_fencing},
      {"slots", it.slots},
      {"leaving", it.leaving},
      {"load",
       {{"running", it.load.running},
        {"queued", it.load.queued},
        {"queued_tokens", it.load.queued_tokens}}},
      {"events", {{"first", it.events.first}, {"items", std::move(items)}}}};
  return out.dump();
}

}  // namespace baobabrun
