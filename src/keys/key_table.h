// Callers' keys as one VM knows them: finds the organisation of a key, and
// remembers withdrawals for as long as the process lives.
//
// Used by the decision thread only.
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

// What a lookup found. `organisation` is set only if `found`, `key` also for a
// withdrawn key, and `reason` only if not `found`.
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

  // Takes the keys of `state`. Of a state older than one taken before only the
  // withdrawals count. Returns the keys that this withdrew, so that their
  // callers' streams can be ended.
  std::vector<KeyId> Apply(const FleetState& state);

  // Withdraws `keys` ahead of the committed state, also keys not known yet.
  // Returns those that weren't withdrawn before.
  std::vector<KeyId> Withdraw(const std::vector<KeyId>& keys);

  // The organisation of `key`, or why there is none.
  KeyLookup Lookup(std::string_view key) const;

  bool IsWithdrawn(const KeyId& key) const { return withdrawn_.contains(key); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    OrganisationId organisation;
    std::vector<KeyId> keys;  // never empty; all have the same secret
    bool ambiguous = false;   // the secret is declared for two organisations
  };
  // The stored hashes are keyed, so a caller can't choose its place in the map.
  struct Bucket {
    std::size_t operator()(const KeyHash& hash) const;
  };
  struct Equal {
    bool operator()(const KeyHash& left, const KeyHash& right) const {
      return SameHash(left, right);
    }
  };

  void Insert(const KeyRecord& record);

  const std::string salt_;
  StateVersion version_;  // never falls
  std::unordered_map<KeyHash, Entry, Bucket, Equal> entries_;
  std::set<KeyId> withdrawn_;  // only grows
};

}  // namespace baobabrun

#endif  // KEYS_KEY_TABLE_H_
