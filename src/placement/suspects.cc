// Records of suspected crashes.
#include "placement/suspects.h"

#include <algorithm>
#include <string_view>

#include "base/hash.h"

namespace baobabrun {
namespace {

constexpr std::size_t kCrashesForQuarantine = 2;

bool IsSameCrash(const SuspectedCrash& left, const SuspectedCrash& right) {
  return left.fingerprint == right.fingerprint &&
         left.endpoint == right.endpoint &&
         left.incarnation == right.incarnation;
}

std::string_view ViewOf(const std::shared_ptr<const std::string>& text) {
  return text == nullptr ? std::string_view() : std::string_view(*text);
}

}  // namespace

Fingerprint FingerprintOf(const Request& request) {
  auto hash = FastHash(request.organisation.value());
  if (request.caller.kind == RequestKind::kService) {
    hash = FastHash(request.service, hash);
    hash = FastHash(request.caller.method, hash);
    hash = FastHash(request.caller.path, hash);
    hash = FastHash(request.caller.query, hash);
    return FastHash(ViewOf(request.caller.body), hash);
  }
  hash = FastHash(request.caller.call.model.value(), hash);
  hash = FastHash(request.adapter, hash);
  return FastHash(ViewOf(request.caller.call.prompt), hash);
}

bool SuspectTracker::Add(SuspectedCrash crash, Instant now) {
  if (now >= crash.at + options_.retention) {
    return false;
  }
  const auto known =
      std::find_if(suspected_crashes_.begin(), suspected_crashes_.end(),
                   [&crash](const auto& it) { return IsSameCrash(it, crash); });
  if (known != suspected_crashes_.end()) {
    return false;
  }
  if (suspected_crashes_.size() >= options_.max_suspected_crashes) {
    suspected_crashes_.erase(
        std::min_element(suspected_crashes_.begin(), suspected_crashes_.end(),
                         [](const auto& left, const auto& right) {
                           return left.at < right.at;
                         }));
  }
  suspected_crashes_.push_back(std::move(crash));
  return true;
}

void SuspectTracker::OnHeartbeat(const EndpointId& endpoint,
                                 Incarnation incarnation,
                                 Instant now) {
  std::erase_if(suspected_crashes_, [&](const SuspectedCrash& it) {
    return it.endpoint == endpoint && it.incarnation == incarnation &&
           now >= it.at + options_.heartbeat_margin;
  });
  for (auto& it : suspected_crashes_) {
    if (it.endpoint == endpoint && it.incarnation < incarnation) {
      it.confirmed = true;
    }
  }
}

void SuspectTracker::OnExpired(const EndpointId& endpoint,
                               Incarnation incarnation) {
  for (auto& it : suspected_crashes_) {
    if (it.endpoint == endpoint && it.incarnation <= incarnation) {
      it.confirmed = true;
    }
  }
}

void SuspectTracker::RemoveExpired(Instant now) {
  std::erase_if(suspected_crashes_, [&](const SuspectedCrash& it) {
    return now >= it.at + options_.retention;
  });
}

SuspectStatus SuspectTracker::StatusOf(Fingerprint fingerprint) const {
  std::size_t suspected_crashes = 0;
  std::size_t confirmed = 0;
  for (const auto& it : suspected_crashes_) {
    if (it.fingerprint == fingerprint) {
      suspected_crashes += 1;
      confirmed += it.confirmed ? 1 : 0;
    }
  }
  if (confirmed >= kCrashesForQuarantine) {
    return SuspectStatus::kQuarantined;
  }
  if (suspected_crashes >= kCrashesForQuarantine) {
    return SuspectStatus::kUnresolved;
  }
  return suspected_crashes == 0 ? SuspectStatus::kClear
                                : SuspectStatus::kSuspect;
}

std::vector<SuspectedCrash> SuspectTracker::NextToReport(std::size_t most) {
  std::vector<SuspectedCrash> out;
  const auto n = std::min(most, suspected_crashes_.size());
  for (std::size_t k = 0; k < n; ++k) {
    out.push_back(
        suspected_crashes_[next_reported_++ % suspected_crashes_.size()]);
  }
  return out;
}

}  // namespace baobabrun
