// Finds the fleet's VMs from a few seeds. A VM tells the seeds of itself,
// learns from their answers whom they know, and goes on comparing what it knows
// with the others, so that everybody hears of everybody, whoever joins later.
//
// In a fleet that is found this way a VM's id is its peers address, so that
// knowing the id is enough to reach it. Whether a VM is up is not decided here
// (see FleetMembership).
//
// No clock, thread or socket: call Tick often.
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
  bool entry = false;    // takes callers' requests

  bool operator==(const VmRecord&) const = default;
};

enum class DirectoryKind {
  kJoin = 1,     // the sender's own record; answered by kTable
  kAdded = 2,    // records that are new to the sender
  kCompare = 3,  // a digest of all that the sender knows; answered by kTable
                 // where the receiver knows something else
  kTable = 4,    // all that the sender knows
};

struct DirectoryMessage {
  DirectoryKind kind = DirectoryKind::kJoin;
  std::vector<VmRecord> records;
  std::uint64_t digest = 0;
};

std::string EncodeDirectory(const DirectoryMessage& message);
// Errors: MembershipError::kMalformed.
Result<DirectoryMessage> DecodeDirectory(std::string_view bytes);

struct OutgoingDirectory {
  VmId to;
  DirectoryMessage message;
};

struct DirectoryActions {
  std::vector<OutgoingDirectory> send;
  std::vector<VmRecord> added;  // new, or told otherwise than before
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
  // All known VMs without this one.
  std::vector<VmRecord> Others() const;
  // VMs that take callers' requests, this one included.
  std::size_t entries() const;

 private:
  void Learn(const VmRecord& record, DirectoryActions& actions);
  DirectoryMessage Table(DirectoryKind kind) const;
  DirectoryMessage Own(DirectoryKind kind) const;
  const VmId* AnyOther();

  const VmRecord self_;
  const std::vector<VmId> seeds_;  // without this VM
  std::mt19937_64 random_;
  std::map<VmId, VmRecord> others_;
  std::uint64_t digest_ = 0;  // of self_ and others_
  bool answered_ = false;     // some VM has sent its table
  Instant next_join_;
  Instant next_comparison_;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_DIRECTORY_H_
