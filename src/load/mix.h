// The mix describes the load of a run: the router addresses to send to, the
// organisations with their rates and kinds of requests, the shared prompt
// prefixes and the faults to inject. It is read from a JSON file with comments:
//
//   {
//     "entries": ["127.0.0.1:18110", "127.0.0.1:18120"],
//     "duration_ms": 10000,
//     "prefixes": {"level_bytes": 2048, "fan_out": [4, 8],
//                  "zipf_permille": 1100},
//     "organisations": [
//       {"organisation": "hall-a", "key": "demo-key-a", "model": "tagger",
//        "requests_per_second": 50, "prompt_bytes": 8192, "answer_tokens": 16,
//        "max_tokens": 64, "stream_percent": 50, "service_percent": 10,
//        "service_method": "POST", "service_path": "/bookings/",
//        "over_rate": false}
//     ],
//     "faults": [
//       {"at_ms": 2000, "endpoint": "127.0.0.1:9001", "fault": "crash"}
//     ]
//   }
#ifndef LOAD_MIX_H_
#define LOAD_MIX_H_

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "settings/process_settings.h"

namespace baobabrun::load {

// The requests of one organisation.
struct OrganisationLoad {
  std::string organisation;
  std::string key;
  std::string model;
  std::int64_t requests_per_second = 1;
  std::int64_t prompt_bytes = 4096;
  std::int64_t answer_tokens = 16;
  // Must not exceed the cap in the organisation's contract.
  std::int64_t max_tokens = 64;
  std::int32_t stream_percent = 100;
  std::int32_t service_percent = 0;  // share of service calls in all requests
  std::string service_method = "POST";
  std::string service_path;
  // The organisation sends more than its contract allows, so refusals because
  // of its rate are correct.
  bool over_rate = false;
};

// Prompts of one organisation begin with texts that are nested in levels. Each
// text of a level is followed by one of `fan_out` texts of the next level,
// drawn by Zipf's law.
struct PrefixShape {
  std::int64_t level_bytes = 2048;
  std::vector<std::int32_t> fan_out;  // one value for each level
  std::int32_t zipf_permille = 1000;  // Zipf exponent in thousandths
};

struct PlannedFault {
  Duration at{};  // from the start of the run
  Address endpoint;
  std::string body;  // JSON body for POST /fault
};

struct Mix {
  std::vector<Address> entries;
  Duration duration = seconds(10);
  // Time that answers may take after `duration` is over.
  Duration drain = seconds(60);
  PrefixShape prefixes;
  std::vector<OrganisationLoad> organisations;
  std::vector<PlannedFault> faults;
};

// Errors: SettingsError; the message contains `source` and the JSON path.
Result<Mix> ParseMix(std::string_view json, std::string_view source);
Result<Mix> LoadMix(const std::filesystem::path& file);

}  // namespace baobabrun::load

#endif  // LOAD_MIX_H_
