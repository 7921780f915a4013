// Reads process settings.
#include "settings/process_settings.h"

#include <arpa/inet.h>
#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "base/file.h"
#include "base/hash.h"
#include "settings/json_reader.h"
#include "settings/settings_error.h"

namespace baobabrun {
namespace {

void ReadAddress(ObjectReader& reader, const char* name, Address* out) {
  std::string text;
  reader.Required(name, &text);
  auto address = ParseAddress(text);
  if (!address.ok()) {
    reader.Fail(name, address.error().message);
    return;
  }
  *out = address.value();
}

void ReadOptionalAddress(ObjectReader& reader, const char* name, Address* out) {
  std::string text;
  reader.Optional(name, &text);
  if (text.empty()) {
    return;
  }
  auto address = ParseAddress(text);
  if (!address.ok()) {
    reader.Fail(name, address.error().message);
    return;
  }
  *out = address.value();
}

// Reads the duration `name` from the field NAME_ms or NAME_s, of which the
// object may have one. The number may have a fraction. Zero counts as 1 ms,
// since no duration of the settings has a meaning without length.
void ReadDuration(ObjectReader& reader,
                  const std::string& name,
                  Duration* out) {
  struct Unit {
    const char* suffix;
    double in_ns;
  };
  constexpr Unit kUnits[] = {{"_ms", 1e6}, {"_s", 1e9}};
  constexpr double kYearNs = 365 * 86'400e9;
  constexpr double kNone = -1;
  bool found = false;
  for (const auto& [suffix, in_ns] : kUnits) {
    const auto field = name + suffix;
    double n = kNone;
    reader.Optional(field.c_str(), &n, 0.0, kYearNs / in_ns);
    if (n == kNone) {
      continue;
    }
    if (found) {
      reader.Fail(field, "must not stand beside " + name + "_ms");
    }
    found = true;
    *out =
        std::max<Duration>(Duration(std::llround(n * in_ns)), milliseconds(1));
  }
}

template <class Id>
void ReadId(ObjectReader& reader, const char* name, Id* out) {
  std::string text;
  reader.Required(name, &text);
  *out = Id(std::move(text));
}

void ReadPath(ObjectReader& reader,
              const char* name,
              const std::filesystem::path& base,
              std::filesystem::path* out) {
  std::string text;
  reader.Optional(name, &text);
  if (!text.empty()) {
    *out = base / text;
  }
}

Result<PeerSettings> ReadPeer(const nlohmann::json& json,
                              const std::string& source,
                              const std::string& path) {
  PeerSettings peer;
  ObjectReader reader(json, source, path);
  ReadId(reader, "vm", &peer.vm);
  ReadId(reader, "zone", &peer.zone);
  ReadId(reader, "region", &peer.region);
  ReadAddress(reader, "peers", &peer.address);
  reader.Optional("control", &peer.control);
  reader.Optional("public_key", &peer.public_key);
  const auto status = reader.Finish();
  if (!status.ok()) {
    return status.error();
  }
  return peer;
}

void ReadFleet(ObjectReader& reader, ProcessSettings* settings) {
  const auto* fleet = reader.Array("fleet");
  if (fleet == nullptr) {
    return;
  }
  for (std::size_t n = 0; n < fleet->size(); ++n) {
    auto peer = ReadPeer((*fleet)[n], reader.source(),
                         reader.PathOf(fmt::format("fleet/{}", n)));
    if (!peer.ok()) {
      reader.Fail("fleet", peer.error().message);
      return;
    }
    settings->fleet.push_back(std::move(peer.value()));
  }
}

void ReadTls(ObjectReader& reader,
             const std::filesystem::path& base,
             ProcessSettings* settings) {
  const auto* tls = reader.Object("tls");
  if (tls == nullptr) {
    return;
  }
  ObjectReader fields(*tls, reader.source(), reader.PathOf("tls"));
  ReadPath(fields, "certificate_file", base, &settings->tls.certificate_file);
  ReadPath(fields, "key_file", base, &settings->tls.key_file);
  const auto status = fields.Finish();
  if (!status.ok()) {
    reader.Fail("tls", status.error().message);
  } else if (settings->tls.certificate_file.empty() !=
             settings->tls.key_file.empty()) {
    reader.Fail("tls", "needs both certificate_file and key_file");
  }
}

void ReadSeeds(ObjectReader& reader, ProcessSettings* settings) {
  std::vector<std::string> seeds;
  reader.Optional("seeds", &seeds);
  for (const auto& it : seeds) {
    auto address = ParseAddress(it);
    if (!address.ok()) {
      reader.Fail("seeds", address.error().message);
      return;
    }
    settings->seeds.push_back(address.value());
  }
}

void ReadGateway(ObjectReader& reader, ProcessSettings* settings) {
  const auto* json = reader.Object("gateway");
  if (json == nullptr) {
    return;
  }
  auto& out = settings->gateway;
  out.enabled = true;
  ObjectReader fields(*json, reader.source(), reader.PathOf("gateway"));
  constexpr double kMaxRatio = 1'000.0;
  fields.Optional("retry_ratio", &out.retry_ratio, 0.0, kMaxRatio);
  ReadDuration(fields, "retry_window", &out.retry_window);
  fields.OptionalLimit("retry_slack", &out.retry_slack);
  ReadDuration(fields, "quota_window", &out.quota_window);
  fields.Optional("quota_overage", &out.quota_overage, 0.0, kMaxRatio);
  fields.OptionalLimit("quota_slack", &out.quota_slack);
  ReadDuration(fields, "report_interval", &out.report_interval);
  ReadDuration(fields, "weights_deadline", &out.weights_deadline);
  ReadDuration(fields, "order_lease", &out.order_lease);
  constexpr std::int64_t kMaxLostDisks = 3;
  fields.Optional("lost_disks", &out.lost_disks, std::int64_t{0},
                  kMaxLostDisks);
  const auto status = fields.Finish();
  if (!status.ok()) {
    reader.Fail("gateway", status.error().message);
  }
}

void ReadLogLevel(ObjectReader& reader, ProcessSettings* settings) {
  std::string text = "info";
  reader.Optional("log_level", &text);
  const auto level = LogLevelFromName(text);
  if (!level) {
    reader.Fail("log_level", "must be debug, info, warning or error");
    return;
  }
  settings->log_level = *level;
}

void CheckConsistency(ObjectReader& reader, const ProcessSettings& settings) {
  if (settings.control && settings.data_dir.empty()) {
    reader.Fail("data_dir", "is required when control is true");
  }
  if (settings.gateway.enabled &&
      settings.vm.value() != ToString(settings.peers)) {
    reader.Fail("vm", "must be the peers address when gateway is set");
  }
  if (settings.key_salt.size() > kKeyHashBytes * 2) {
    reader.Fail("key_salt", "must be at most 64 bytes");
  }
  if (!settings.operator_key_hash.empty() &&
      FromHex(settings.operator_key_hash).size() != kKeyHashBytes) {
    reader.Fail("operator_key_hash", "must be 64 hexadecimal digits");
  }
}

Result<ProcessSettings> ReadAll(const nlohmann::json& json,
                                const std::filesystem::path& file) {
  const auto base = file.parent_path();
  ProcessSettings settings;
  ObjectReader reader(json, file.string(), "");
  ReadId(reader, "vm", &settings.vm);
  ReadId(reader, "zone", &settings.zone);
  ReadId(reader, "region", &settings.region);
  ReadGateway(reader, &settings);
  const auto read_address =
      settings.gateway.enabled ? &ReadOptionalAddress : &ReadAddress;
  read_address(reader, "callers", &settings.callers);
  read_address(reader, "operators", &settings.operators);
  ReadAddress(reader, "peers", &settings.peers);
  settings.name = settings.vm.value();
  reader.Optional("name", &settings.name);
  ReadSeeds(reader, &settings);
  reader.Optional("bootstrap", &settings.bootstrap);
  ReadOptionalAddress(reader, "readiness", &settings.readiness);
  ReadOptionalAddress(reader, "metrics", &settings.metrics);
  ReadFleet(reader, &settings);
  reader.Optional("control", &settings.control);
  ReadPath(reader, "data_dir", base, &settings.data_dir);
  ReadPath(reader, "declarations", base, &settings.declarations);
  reader.Optional("operator_key_hash", &settings.operator_key_hash);
  if (settings.gateway.enabled) {
    reader.Optional("key_salt", &settings.key_salt);
  } else {
    reader.Required("key_salt", &settings.key_salt);
  }
  ReadPath(reader, "curve_secret_file", base, &settings.curve_secret_file);
  ReadTls(reader, base, &settings);
  ReadLogLevel(reader, &settings);
  reader.Optional("clock_drift_ppm", &settings.clock_drift_ppm, 0, 100'000);
  reader.Optional("max_body_bytes", &settings.max_body_bytes, 1'024, 1 << 30);
  reader.Optional("max_connections", &settings.max_connections, 1, 1'000'000);
  reader.Optional("memory_limit_mb", &settings.memory_limit_mb, 32, 1'000'000);
  constexpr double kMaxLinkMbps = 1e9;
  reader.Optional("link_mbps", &settings.link_mbps, 0.0, kMaxLinkMbps);
  ReadDuration(reader, "header_timeout", &settings.header_timeout);
  ReadDuration(reader, "shutdown_timeout", &settings.shutdown_timeout);
  ReadDuration(reader, "heartbeat", &settings.heartbeat);
  ReadDuration(reader, "election_timeout", &settings.election_timeout);
  CheckConsistency(reader, settings);
  const auto status = reader.Finish();
  if (!status.ok()) {
    return status.error();
  }
  return settings;
}

}  // namespace

double BulkBytesPerSecond(const ProcessSettings& settings) {
  constexpr double kBytesPerMegabit = 125'000;
  constexpr double kBulkShare = 0.25;
  return settings.link_mbps * kBytesPerMegabit * kBulkShare;
}

std::string ToString(const Address& address) {
  return fmt::format("{}:{}", address.host, address.port);
}

Result<Address> ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  const Error bad{SettingsError::kInvalid,
                  fmt::format("'{}' must be an IP address and port, as in "
                              "127.0.0.1:8080",
                              text)};
  if (colon == std::string_view::npos) {
    return bad;
  }
  Address address{std::string(text.substr(0, colon)), 0};
  const auto port = text.substr(colon + 1);
  const auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (ec != std::errc() || end != port.data() + port.size()) {
    return bad;
  }
  // Unlike ACE_INET_Addr, inet_pton() never queries a name server, which would
  // block the thread for seconds.
  in_addr v4{};
  in6_addr v6{};
  if (address.host.find('\0') != std::string::npos ||
      (inet_pton(AF_INET, address.host.c_str(), &v4) != 1 &&
       inet_pton(AF_INET6, address.host.c_str(), &v6) != 1)) {
    return bad;
  }
  return address;
}

Result<ProcessSettings> LoadProcessSettings(const std::filesystem::path& file) {
  auto text = ReadTextFile(file);
  if (!text.ok()) {
    return Error{SettingsError::kUnreadable, text.error().message};
  }
  auto json = ParseJson(text.value(), file.string());
  if (!json.ok()) {
    return json.error();
  }
  return ReadAll(json.value(), file);
}

}  // namespace baobabrun
