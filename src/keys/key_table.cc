// Looks up and withdraws callers' keys.
#include "keys/key_table.h"

#include <algorithm>
#include <cstring>

namespace baobabrun {

std::size_t KeyTable::KeyHashHasher::operator()(const KeyHash& hash) const {
  std::size_t n = 0;
  std::memcpy(&n, hash.data(), sizeof(n));
  return n;
}

void KeyTable::Insert(const KeyRecord& record) {
  auto& entry = entries_[record.hash];
  if (entry.keys.empty()) {
    entry.organisation = record.organisation;
  } else if (entry.organisation != record.organisation) {
    entry.ambiguous = true;
  }
  entry.keys.push_back(record.key);
}

std::vector<KeyId> KeyTable::Apply(const FleetState& state) {
  std::vector<KeyId> withdrawn_keys;
  for (const auto& it : state.declarations.keys) {
    if (it.withdrawn) {
      withdrawn_keys.push_back(it.key);
    }
  }
  if (state.version >= version_) {
    version_ = state.version;
    entries_.clear();
    for (const auto& it : state.declarations.keys) {
      Insert(it);
    }
  }
  return Withdraw(withdrawn_keys);
}

std::vector<KeyId> KeyTable::Withdraw(const std::vector<KeyId>& keys) {
  std::vector<KeyId> newly_withdrawn;
  for (const auto& it : keys) {
    if (withdrawn_.insert(it).second) {
      newly_withdrawn.push_back(it);
    }
  }
  return newly_withdrawn;
}

KeyLookup KeyTable::Lookup(std::string_view key) const {
  KeyLookup result;
  if (key.empty()) {
    result.reason = RefusalReason::kKeyMissing;
    return result;
  }
  const auto it = entries_.find(HashKey(key, salt_));
  if (it == entries_.end() || it->second.ambiguous) {
    return result;
  }
  const auto& entry = it->second;
  result.key = entry.keys.front();
  const auto withdrawn_key =
      std::find_if(entry.keys.begin(), entry.keys.end(),
                   [this](const auto& id) { return IsWithdrawn(id); });
  if (withdrawn_key != entry.keys.end()) {
    result.key = *withdrawn_key;
    result.reason = RefusalReason::kKeyWithdrawn;
    return result;
  }
  result.found = true;
  result.organisation = entry.organisation;
  return result;
}

}  // namespace baobabrun
