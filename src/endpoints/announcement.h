// The announcement in which an endpoint describes itself to a VM. The endpoint
// sends it as JSON with POST /endpoints/announce to the operators' port, at
// every heartbeat. Example:
//
//   {"endpoint": "engine-1", "incarnation": 7, "zone": "ikeja",
//    "address": "127.0.0.1:9001", "kind": "engine",
//    "models": [{"model": "tagger", "weights": "v3", "adapter": ""}],
//    "loading": 0, "checks_fencing": true, "slots": 8, "leaving": false,
//    "load": {"running": 3, "queued": 1, "queued_tokens": 4096},
//    "events": {"first": 120, "items": [{"op": "store", "hash": "9f..."},
//                                       {"op": "evict", "hash": "03..."}]}}
#ifndef ENDPOINTS_ANNOUNCEMENT_H_
#define ENDPOINTS_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "prefix/cache_event.h"
#include "settings/process_settings.h"

namespace baobabrun {

enum class EndpointKind { kEngine, kService };

struct LoadedModel {
  ModelId model;
  std::string weights;
  std::string adapter;

  bool operator==(const LoadedModel&) const = default;
};

// The load of an endpoint. The values are late when they arrive.
struct LoadReport {
  std::int32_t running = 0;
  std::int32_t queued = 0;
  std::int64_t queued_tokens = 0;  // prompt tokens that await prefill
};

struct Announcement {
  EndpointId endpoint;
  Incarnation incarnation;
  ZoneId zone;
  Address address;
  EndpointKind kind = EndpointKind::kEngine;
  std::string service;              // for kService
  std::vector<LoadedModel> models;  // for kEngine
  std::int32_t loading = 0;         // models that are being loaded
  bool checks_fencing = false;
  std::int32_t slots = 1;  // requests that the endpoint can run at once
  bool leaving = false;    // the endpoint takes no new requests
  LoadReport load;
  CacheEvents events;
};

// Errors: std::errc::invalid_argument, with the JSON path of the invalid field.
Result<Announcement> ParseAnnouncement(std::string_view json);
std::string ToJson(const Announcement& announcement);

}  // namespace baobabrun

#endif  // ENDPOINTS_ANNOUNCEMENT_H_
