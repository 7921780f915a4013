// Discovers the fleet's VMs from a few seeds. A VM sends its own record to the
// seeds and receives the records that they hold. After that it periodically
// compares its records with those of another VM, so that every VM gets the
// record of every other one, including VMs that join later.
//
// In a fleet with discovery, a VM's id is its peer address, so the id is enough
// to connect to it. This class doesn't decide whether a VM is up (see
// FleetMembership).
//
// It has no clock, thread or socket of its own; the caller calls Tick often.
#ifndef MEMBERSHIP_DIRECTORY_H_
#define MEMBERSHIP_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

namespace baobabrun {

struct VmRecord {
  VmId vm;
  ZoneId zone;
  RegionId region;
  bool control = false;  // may be a replica of the control log
  bool entry = false;    // accepts callers' requests

  bool operator==(const VmRecord&) const = default;
};

enum class DirectoryKind {
  kJoin = 1,   // the sender's own record; answered by kTable if digests differ
  kAdded = 2,  // records that the sender has just added or changed
  kCompare = 3,  // the sender's own record and a digest of all its records;
                 // answered by kTable if the receiver's digest differs
  kTable = 4,    // all records that the sender holds
};

struct DirectoryMessage {
  DirectoryKind kind = DirectoryKind::kJoin;
  std::vector<VmRecord> records;
  std::uint64_t digest = 0;
};

std::string EncodeDirectory(const DirectoryMessage& message);
// Skips records that can't be used. Errors: MembershipError::kMalformed.
Result<DirectoryMessage> DecodeDirectory(std::string_view bytes);

struct OutgoingDirectory {
  VmId to;
  DirectoryMessage message;
};

struct DirectoryActions {
  std::vector<OutgoingDirectory> send;
  std::vector<VmRecord> added;  // new or changed records
};

class Directory {
 public:
  // `seeds` may list this VM.
  Directory(VmRecord self,
            std::vector<VmId> seeds,
            std::mt19937_64 random,
            Instant now);

  DirectoryActions Tick(Instant now);
  DirectoryActions Receive(const VmId& from,
                           const DirectoryMessage& message,
                           Instant now);

  const std::vector<VmId>& seeds() const { return seeds_; }
  // The records of all known VMs except this one.
  std::vector<VmRecord> Others() const;
  // The number of VMs that accept callers' requests, including this one.
  std::size_t CountEntryVms() const;

 private:
  void MergeRecord(const VmRecord& record, DirectoryActions& actions);
  DirectoryMessage TableMessage(DirectoryKind kind) const;
  DirectoryMessage OwnRecordMessage(DirectoryKind kind) const;
  const VmId* RandomPeer();

  const VmRecord self_;
  const std::vector<VmId> seeds_;  // without this VM's id
  std::mt19937_64 random_;
  std::map<VmId, VmRecord> others_;
  std::uint64_t digest_ = 0;     // of self_ and others_
  bool table_received_ = false;  // whether any VM has sent a kTable message
  Instant next_join_;
  Instant next_comparison_;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_DIRECTORY_H_
