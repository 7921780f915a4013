// Discovery of the fleet's VMs.
#include "membership/directory.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "base/utf8.h"
#include "membership/directory.pb.h"
#include "membership/membership_error.h"

namespace baobabrun {
namespace {

// Interval at which kJoin is sent to the seeds until a table has arrived.
constexpr milliseconds kJoinInterval{250};
// Interval of kJoin after that. A seed that restarted without its disk, or that
// was unreachable at first, gets this VM's record that way.
constexpr milliseconds kRejoinInterval{2'000};
constexpr milliseconds kCompareInterval{1'000};

// Digests of records are combined by exclusive or, so that a changed record can
// be replaced without recomputing the others.
std::uint64_t DigestOf(const VmRecord& record) {
  const std::uint64_t roles = (record.control ? 2 : 0) + (record.entry ? 1 : 0);
  return FastHash(record.vm.value() + "/" + record.zone.value(), roles);
}

void ToProto(const VmRecord& record, wire::VmRecord* out) {
  out->set_vm(record.vm.value());
  out->set_zone(record.zone.value());
  out->set_region(record.region.value());
  out->set_control(record.control);
  out->set_entry(record.entry);
}

VmRecord FromProto(const wire::VmRecord& in) {
  return {VmId(in.vm()), ZoneId(in.zone()), RegionId(in.region()), in.control(),
          in.entry()};
}

}  // namespace

std::string EncodeDirectory(const DirectoryMessage& message) {
  wire::Directory out;
  out.set_kind(static_cast<std::uint32_t>(message.kind));
  out.set_digest(message.digest);
  for (const auto& it : message.records) {
    ToProto(it, out.add_records());
  }
  return out.SerializeAsString();
}

Result<DirectoryMessage> DecodeDirectory(std::string_view bytes) {
  wire::Directory in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      in.kind() < static_cast<std::uint32_t>(DirectoryKind::kJoin) ||
      in.kind() > static_cast<std::uint32_t>(DirectoryKind::kTable)) {
    return Error{MembershipError::kMalformed, "malformed directory message"};
  }
  DirectoryMessage message;
  message.kind = static_cast<DirectoryKind>(in.kind());
  message.digest = in.digest();
  for (const auto& it : in.records()) {
    if (!IsUtf8(it.vm()) || !IsUtf8(it.zone()) || !IsUtf8(it.region())) {
      Log(Event::kPeerMessageMalformed,
          "the record of vm {} is skipped: a name isn't UTF-8", it.vm());
      continue;
    }
    message.records.push_back(FromProto(it));
  }
  return message;
}

Directory::Directory(VmRecord self,
                     std::vector<VmId> seeds,
                     std::mt19937_64 random,
                     Instant now)
    : self_(std::move(self)),
      seeds_([&] {
        std::erase(seeds, self_.vm);
        return std::move(seeds);
      }()),
      random_(random),
      digest_(DigestOf(self_)),
      next_join_(now),
      next_comparison_(now + kCompareInterval) {}

DirectoryMessage Directory::OwnRecordMessage(DirectoryKind kind) const {
  return {kind, {self_}, digest_};
}

DirectoryMessage Directory::TableMessage(DirectoryKind kind) const {
  auto message = OwnRecordMessage(kind);
  for (const auto& [vm, record] : others_) {
    message.records.push_back(record);
  }
  return message;
}

const VmId* Directory::RandomPeer() {
  if (others_.empty()) {
    return nullptr;
  }
  std::uniform_int_distribution<std::size_t> pick(0, others_.size() - 1);
  return &std::next(others_.begin(), static_cast<long>(pick(random_)))->first;
}

DirectoryActions Directory::Tick(Instant now) {
  DirectoryActions actions;
  if (now >= next_join_) {
    next_join_ = now + (table_received_ ? kRejoinInterval : kJoinInterval);
    for (const auto& it : seeds_) {
      actions.send.push_back({it, OwnRecordMessage(DirectoryKind::kJoin)});
    }
  }
  if (now >= next_comparison_) {
    next_comparison_ = now + kCompareInterval;
    if (const auto* other = RandomPeer()) {
      actions.send.push_back(
          {*other, OwnRecordMessage(DirectoryKind::kCompare)});
    }
  }
  return actions;
}

DirectoryActions Directory::Receive(const VmId& from,
                                    const DirectoryMessage& message,
                                    Instant /*now*/) {
  DirectoryActions actions;
  for (const auto& it : message.records) {
    MergeRecord(it, actions);
  }
  const bool differs = message.digest != digest_;
  switch (message.kind) {
    case DirectoryKind::kJoin:
    case DirectoryKind::kCompare:
      if (differs) {
        actions.send.push_back({from, TableMessage(DirectoryKind::kTable)});
      }
      break;
    case DirectoryKind::kTable:
      table_received_ = true;
      break;
    case DirectoryKind::kAdded:
      break;
  }
  // Sends the records of VMs that join through this one to all others at once.
  if (message.kind == DirectoryKind::kJoin && !actions.added.empty()) {
    for (const auto& [vm, record] : others_) {
      if (vm != from) {
        actions.send.push_back(
            {vm, {DirectoryKind::kAdded, actions.added, digest_}});
      }
    }
  }
  return actions;
}

void Directory::MergeRecord(const VmRecord& record, DirectoryActions& actions) {
  if (record.vm == self_.vm || record.vm.empty()) {
    return;
  }
  const auto [it, added] = others_.try_emplace(record.vm, record);
  if (!added) {
    if (it->second == record) {
      return;
    }
    digest_ ^= DigestOf(it->second);
    it->second = record;
  }
  digest_ ^= DigestOf(record);
  actions.added.push_back(record);
}

std::vector<VmRecord> Directory::Others() const {
  std::vector<VmRecord> all;
  all.reserve(others_.size());
  for (const auto& [vm, record] : others_) {
    all.push_back(record);
  }
  return all;
}

std::size_t Directory::CountEntryVms() const {
  const auto n = std::count_if(others_.begin(), others_.end(),
                               [](const auto& it) { return it.second.entry; });
  return static_cast<std::size_t>(n) + (self_.entry ? 1 : 0);
}

}  // namespace baobabrun
