// The callers' keys known to one VM. Finds the organisation of a key, and keeps
// every withdrawal for as long as the process runs.
//
// Only used on the decision thread.
#ifndef KEYS_KEY_TABLE_H_
#define KEYS_KEY_TABLE_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/hash.h"
#include "base/ids.h"
#include "requests/refusal.h"
#include "settings/declarations.h"

namespace baobabrun {

// The result of a lookup. `organisation` is set only if `found` is true, and
// `reason` only if it is false. `key` is also set for a withdrawn key.
struct KeyLookup {
  bool found = false;
  OrganisationId organisation;
  KeyId key;
  RefusalReason reason = RefusalReason::kKeyUnknown;
};

class KeyTable {
 public:
  // `salt` is the fleet's key_salt.
  explicit KeyTable(std::string salt) : salt_(std::move(salt)) {}

  // Replaces the keys by those of `state`. From a state older than the last
  // one, only the withdrawals are taken. Returns the keys that were newly
  // withdrawn, so that their callers' streams can be ended.
  std::vector<KeyId> Apply(const FleetState& state);

  // Withdraws `keys` before the committed state does, including keys that
  // aren't known yet. Returns those that weren't already withdrawn.
  std::vector<KeyId> Withdraw(const std::vector<KeyId>& keys);

  // Returns the organisation of `key`, or the reason why there is none.
  KeyLookup Lookup(std::string_view key) const;

  bool IsWithdrawn(const KeyId& key) const { return withdrawn_.contains(key); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    OrganisationId organisation;
    std::vector<KeyId> keys;  // never empty; all have the same secret
    bool ambiguous = false;   // the secret is declared for two organisations
  };
  // The stored hashes are keyed hashes, so a caller can't choose the bucket
  // that its key falls into.
  struct KeyHashHasher {
    std::size_t operator()(const KeyHash& hash) const;
  };
  struct KeyHashEqual {
    bool operator()(const KeyHash& left, const KeyHash& right) const {
      return SameHash(left, right);
    }
  };

  void Insert(const KeyRecord& record);

  const std::string salt_;
  StateVersion version_;  // never decreases
  std::unordered_map<KeyHash, Entry, KeyHashHasher, KeyHashEqual> entries_;
  std::set<KeyId> withdrawn_;  // only grows
};

}  // namespace baobabrun

#endif  // KEYS_KEY_TABLE_H_
