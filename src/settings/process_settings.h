// The settings of one VM process, which `baobabrun serve -c FILE` reads.
//
// The file is JSON and may contain comments. Unknown fields are errors.
// Example:
//
//   {
//     "vm": "ikeja-1", "zone": "ikeja", "region": "lagos",
//     "callers": "127.0.0.1:8080",        // for callers
//     "operators": "127.0.0.1:8081",      // operators, endpoints, /metrics
//     "peers": "127.0.0.1:8082",          // for the other VMs
//     "fleet": [ {"vm": "lekki-1", "zone": "lekki", "region": "lagos",
//                 "peers": "127.0.0.1:9082", "control": true} ]
//   }
//
// A VM with a "gateway" object discovers the other VMs through "seeds" instead
// of "fleet". Its id in "vm" is its peers address. It may omit "callers",
// "operators" and "key_salt", and accepts no calls on an address that is
// omitted.
#ifndef SETTINGS_PROCESS_SETTINGS_H_
#define SETTINGS_PROCESS_SETTINGS_H_

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/time.h"
#include "settings/gateway_settings.h"

namespace baobabrun {

// An IP address and port. With port 0 the system chooses a free port.
struct Address {
  std::string host;
  std::uint16_t port = 0;

  bool operator==(const Address&) const = default;
};

std::string ToString(const Address& address);
// Parses "HOST:PORT".
Result<Address> ParseAddress(std::string_view text);

// Another VM of the fleet, as listed in "fleet". A VM may list itself.
struct PeerSettings {
  VmId vm;
  ZoneId zone;
  RegionId region;
  Address address;         // its "peers" address
  bool control = false;    // a replica of the control log
  std::string public_key;  // CURVE key in Z85; empty without encryption
};

struct TlsSettings {
  std::filesystem::path certificate_file;  // if empty, no TLS
  std::filesystem::path key_file;
};

struct ProcessSettings {
  VmId vm;
  ZoneId zone;
  RegionId region;
  Address callers;
  Address operators;
  Address peers;
  std::vector<PeerSettings> fleet;

  // A name of this VM for people. Defaults to its id.
  std::string name;
  // Addresses of some VMs of the fleet. Only the hosts are used, because the
  // port for peers is the same on all VMs.
  std::vector<Address> seeds;
  // True only when the whole fleet starts for the first time. The seeds then
  // form the control group. Later, a replica with an empty disk joins the
  // existing group.
  bool bootstrap = false;
  Address readiness;  // also serves /readyz, like the callers' port
  Address metrics;    // serves the gateway's counters and histograms
  GatewaySettings gateway;

  // Whether this VM is a replica of the control log, which requires data_dir.
  bool control = false;
  std::filesystem::path data_dir;
  // Read at start when there is no control group ("fleet" lists no replica).
  std::filesystem::path declarations;
  // BLAKE2b hash of the operators' key, keyed with the fleet's salt, in
  // hexadecimal.
  std::string operator_key_hash;
  // Mixed into every stored key hash. The same on every VM.
  std::string key_salt;
  // File with this VM's CURVE secret key. If empty, traffic is not encrypted.
  std::filesystem::path curve_secret_file;

  TlsSettings tls;
  LogLevel log_level = LogLevel::kInfo;
  std::int64_t clock_drift_ppm = 200;
  std::size_t max_body_bytes = 4 << 20;
  std::size_t max_connections = 20'000;
  // The memory that the process may use, in MB of 10^6 bytes. What callers,
  // endpoints and other VMs can fill is bounded by shares of it.
  std::size_t memory_limit_mb = 512;
  // The rate of this VM's network link, in Mbit/s. Estimates between VMs take
  // only a part of it. Zero if it isn't known; they are then sent at once.
  double link_mbps = 0;
  Duration header_timeout = seconds(10);
  Duration shutdown_timeout = seconds(60);
  Duration heartbeat = milliseconds(250);
  // A new control leader is elected between one and two times this duration
  // after the last message from the previous leader. It should be several times
  // the message delay between control VMs.
  Duration election_timeout = seconds(1);
};

// How many bytes a second estimates may take of the link (PeerPriority::kBulk);
// zero for no bound.
double BulkBytesPerSecond(const ProcessSettings& settings);

// Returns whether `address` was set.
inline bool IsSet(const Address& address) {
  return !address.host.empty();
}

// Reads and checks `file`. Errors are SettingsErrors whose message contains the
// file and JSON path.
Result<ProcessSettings> LoadProcessSettings(const std::filesystem::path& file);

}  // namespace baobabrun

#endif  // SETTINGS_PROCESS_SETTINGS_H_
