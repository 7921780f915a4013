// Converts messages about shares to and from protobuf.
#include "limits/messages.h"

#include "limits/limits.pb.h"

namespace baobabrun {
namespace {

void Write(const LimitSubject& subject, limits::Subject* out) {
  out->set_organisation(subject.organisation.value());
  out->set_kind(static_cast<std::int32_t>(subject.kind));
}

void Write(const Portion& portion, limits::Portion* out) {
  out->set_rate(portion.rate);
  out->set_burst(portion.burst);
  out->set_level(portion.level);
}

bool IsAmount(Micro amount) {
  return amount >= 0 && amount <= kMaxMicro;
}

bool Read(const limits::Subject& in, LimitSubject* out) {
  if (in.kind() < 0 || in.kind() >= static_cast<std::int32_t>(kLimitKinds)) {
    return false;
  }
  out->organisation = OrganisationId(in.organisation());
  out->kind = static_cast<LimitKind>(in.kind());
  return true;
}

bool Read(const limits::Portion& in, Portion* out) {
  *out = {in.rate(), in.burst(), in.level()};
  return IsAmount(out->rate) && IsAmount(out->burst) && IsAmount(out->level) &&
         out->level <= out->burst;
}

bool ReadAsks(const limits::Batch& in, LimitsBatch* out) {
  for (const auto& it : in.asks()) {
    AskMessage message;
    message.ask = it.ask();
    message.missing = it.missing();
    message.gift = it.gift();
    message.spare_time = it.spare_time();
    if (!IsAmount(message.missing) || !IsAmount(message.gift) ||
        !Read(it.subject(), &message.subject) ||
        !Read(it.wanted(), &message.wanted)) {
      return false;
    }
    out->asks.push_back(std::move(message));
  }
  return true;
}

bool ReadGrants(const limits::Batch& in, LimitsBatch* out) {
  for (const auto& it : in.grants()) {
    GrantMessage message;
    message.ask = it.ask();
    message.lease = LeaseId(it.lease());
    message.missing = it.missing();
    message.refill = it.refill();
    message.gift = it.gift();
    if (!Read(it.subject(), &message.subject) ||
        !Read(it.portion(), &message.portion) ||
        !Read(it.spare(), &message.spare) || !IsAmount(it.missing()) ||
        !IsAmount(it.refill()) || !IsAmount(it.gift())) {
      return false;
    }
    out->grants.push_back(std::move(message));
  }
  return true;
}

template <class Wire, class Message>
bool ReadRenewals(const Wire& in, std::vector<Message>* out) {
  for (const auto& it : in) {
    Message message;
    message.lease = LeaseId(it.lease());
    message.renewal = it.renewal();
    if (!Read(it.subject(), &message.subject)) {
      return false;
    }
    out->push_back(std::move(message));
  }
  return true;
}

bool ReadReturns(const limits::Batch& in, LimitsBatch* out) {
  for (const auto& it : in.returns()) {
    ReturnMessage message;
    message.lease = LeaseId(it.lease());
    message.level = it.level();
    if (!Read(it.subject(), &message.subject) || !IsAmount(message.level)) {
      return false;
    }
    out->returns.push_back(std::move(message));
  }
  return true;
}

}  // namespace

std::string EncodeBatch(const LimitsBatch& batch) {
  limits::Batch out;
  for (const auto& it : batch.asks) {
    auto* ask = out.add_asks();
    Write(it.subject, ask->mutable_subject());
    ask->set_ask(it.ask);
    Write(it.wanted, ask->mutable_wanted());
    ask->set_missing(it.missing);
    ask->set_gift(it.gift);
    ask->set_spare_time(it.spare_time);
  }
  for (const auto& it : batch.grants) {
    auto* grant = out.add_grants();
    Write(it.subject, grant->mutable_subject());
    grant->set_ask(it.ask);
    grant->set_lease(it.lease.value());
    Write(it.portion, grant->mutable_portion());
    Write(it.spare, grant->mutable_spare());
    grant->set_missing(it.missing);
    grant->set_refill(it.refill);
    grant->set_gift(it.gift);
  }
  for (const auto& it : batch.renews) {
    auto* renew = out.add_renews();
    Write(it.subject, renew->mutable_subject());
    renew->set_lease(it.lease.value());
    renew->set_renewal(it.renewal);
  }
  for (const auto& it : batch.renewed) {
    auto* renewed = out.add_renewed();
    Write(it.subject, renewed->mutable_subject());
    renewed->set_lease(it.lease.value());
    renewed->set_renewal(it.renewal);
  }
  for (const auto& it : batch.returns) {
    auto* returned = out.add_returns();
    Write(it.subject, returned->mutable_subject());
    returned->set_lease(it.lease.value());
    returned->set_level(it.level);
  }
  if (batch.hello != 0) {
    out.mutable_hello()->set_life(batch.hello);
  }
  if (batch.cleared != 0) {
    out.mutable_cleared()->set_life(batch.cleared);
  }
  return out.SerializeAsString();
}

std::optional<LimitsBatch> DecodeBatch(std::string_view payload) {
  limits::Batch in;
  if (!in.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
    return std::nullopt;
  }
  LimitsBatch out;
  out.hello = in.hello().life();
  out.cleared = in.cleared().life();
  const bool valid = ReadAsks(in, &out) && ReadGrants(in, &out) &&
                     ReadRenewals(in.renews(), &out.renews) &&
                     ReadRenewals(in.renewed(), &out.renewed) &&
                     ReadReturns(in, &out);
  return valid ? std::optional(std::move(out)) : std::nullopt;
}

}  // namespace baobabrun
