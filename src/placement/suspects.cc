// Bookkeeping of losses.
#include "placement/suspects.h"

#include <algorithm>
#include <string_view>

#include "base/hash.h"

namespace baobabrun {
namespace {

constexpr std::size_t kLossesForQuarantine = 2;

bool SameCase(const Loss& left, const Loss& right) {
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

bool Suspects::Add(Loss loss, Instant now) {
  if (now >= loss.at + options_.remembered) {
    return false;
  }
  const auto known =
      std::find_if(losses_.begin(), losses_.end(),
                   [&loss](const auto& it) { return SameCase(it, loss); });
  if (known != losses_.end()) {
    return false;
  }
  if (losses_.size() >= options_.most_kept) {
    losses_.erase(std::min_element(losses_.begin(), losses_.end(),
                                   [](const auto& left, const auto& right) {
                                     return left.at < right.at;
                                   }));
  }
  losses_.push_back(std::move(loss));
  return true;
}

void Suspects::OnHeartbeat(const EndpointId& endpoint,
                           Incarnation incarnation,
                           Instant now) {
  std::erase_if(losses_, [&](const Loss& it) {
    return it.endpoint == endpoint && it.incarnation == incarnation &&
           now >= it.at + options_.proof_margin;
  });
  for (auto& it : losses_) {
    if (it.endpoint == endpoint && it.incarnation < incarnation) {
      it.confirmed = true;
    }
  }
}

void Suspects::OnExpired(const EndpointId& endpoint, Incarnation incarnation) {
  for (auto& it : losses_) {
    if (it.endpoint == endpoint && it.incarnation <= incarnation) {
      it.confirmed = true;
    }
  }
}

void Suspects::Forget(Instant now) {
  std::erase_if(losses_, [&](const Loss& it) {
    return now >= it.at + options_.remembered;
  });
}

Standing Suspects::Of(Fingerprint fingerprint) const {
  std::size_t losses = 0;
  std::size_t confirmed = 0;
  for (const auto& it : losses_) {
    if (it.fingerprint == fingerprint) {
      losses += 1;
      confirmed += it.confirmed ? 1 : 0;
    }
  }
  if (confirmed >= kLossesForQuarantine) {
    return Standing::kQuarantined;
  }
  if (losses >= kLossesForQuarantine) {
    return Standing::kUnresolved;
  }
  return losses == 0 ? Standing::kClear : Standing::kSuspect;
}

std::vector<Loss> Suspects::Some(std::size_t most) {
  std::vector<Loss> out;
  const auto n = std::min(most, losses_.size());
  for (std::size_t k = 0; k < n; ++k) {
    out.push_back(losses_[next_told_++ % losses_.size()]);
  }
  return out;
}

}  // namespace baobabrun
