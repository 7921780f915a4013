// Tests of the replica's files with crashes, damaged bytes and disk errors.
#include "control/log_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "control/control_error.h"
#include "control/memory_disk_test.h"

namespace baobabrun {
namespace {

const Membership kInitial{{VmId("a"), VmId("b"), VmId("c")}, {}, {}, {}};

LogEntry MakeEntry(Term term, LogIndex index) {
  return {term, index, "payload " + std::to_string(index), std::nullopt};
}

std::unique_ptr<LogStore> OpenOk(Disk& disk) {
  auto store = LogStore::Open(disk, kInitial);
  CPPUNIT_ASSERT_MESSAGE(store.ok() ? "" : store.error().message, store.ok());
  return std::move(store.value());
}

// Returns a disk with five synced entries.
MemoryDisk FiveEntries() {
  MemoryDisk disk;
  const auto store = OpenOk(disk);
  CPPUNIT_ASSERT(store->SaveHardState({1, VmId("a"), true}).ok());
  for (LogIndex i = 1; i <= 5; ++i) {
    CPPUNIT_ASSERT(store->Append({MakeEntry(1, i)}).ok());
    CPPUNIT_ASSERT(store->Sync().ok());
  }
  return disk;
}

}  // namespace

class LogStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStoreTest);
  CPPUNIT_TEST(SyncedStateIsReadBack);
  CPPUNIT_TEST(TornTailIsCutAtAnyLength);
  CPPUNIT_TEST(DamageInDurablePartIsRejected);
  CPPUNIT_TEST(ReplacedEntriesAreDropped);
  CPPUNIT_TEST(SnapshotAndLaterEntriesAreReadBack);
  CPPUNIT_TEST(CrashBetweenSnapshotAndLogRewrite);
  CPPUNIT_TEST(MissingLogIsRejected);
  CPPUNIT_TEST(DiskErrorsHaveDistinctCodes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SyncedStateIsReadBack() {
    auto disk = FiveEntries();
    const auto stored = OpenOk(disk)->TakeStoredState();
    CPPUNIT_ASSERT(stored.hard_state == (HardState{1, VmId("a"), true}));
    CPPUNIT_ASSERT(stored.snapshot.membership == kInitial);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, stored.entries.size());
    CPPUNIT_ASSERT(stored.entries[4] == MakeEntry(1, 5));
  }

  void TornTailIsCutAtAnyLength() {
    auto disk = FiveEntries();
    const auto store = OpenOk(disk);
    CPPUNIT_ASSERT(store->Append({MakeEntry(1, 6), MakeEntry(1, 7)}).ok());
    const std::string cached = disk.files["log"].cached;
    for (std::size_t n = 0; n <= cached.size(); ++n) {
      MemoryDisk torn = disk;
      torn.files["log"].cached = cached.substr(0, n);
      const auto stored = OpenOk(torn)->TakeStoredState();
      CPPUNIT_ASSERT(stored.entries.size() >= 5);
      CPPUNIT_ASSERT(stored.entries.size() <= 7);
      // The first opening has cut off the torn tail, so the second one reads
      // the same entries.
      CPPUNIT_ASSERT_EQUAL(stored.entries.size(),
                           OpenOk(torn)->TakeStoredState().entries.size());
    }
  }

  // Flips one bit of each byte in turn. Only damage to the last record can't be
  // distinguished from a torn tail, because no frame follows it.
  void DamageInDurablePartIsRejected() {
    auto disk = FiveEntries();
    const std::string good = disk.files["log"].durable;
    const std::string last = good.substr(good.rfind("BOBR"));
    for (std::size_t i = 0; i < good.size() - last.size(); ++i) {
      disk.files["log"].durable = good;
      disk.files["log"].durable[i] ^= 1;
      const auto store = LogStore::Open(disk, kInitial);
      CPPUNIT_ASSERT_MESSAGE("byte " + std::to_string(i), !store.ok());
      CPPUNIT_ASSERT(store.error().code == ControlError::kCorrupt);
      CPPUNIT_ASSERT(store.error().message.find("file log") !=
                     std::string::npos);
      CPPUNIT_ASSERT(store.error().message.find("offset") != std::string::npos);
    }
    for (const std::string name : {"vote"}) {
      auto damaged = FiveEntries();
      damaged.files[name].durable[30] ^= 1;
      CPPUNIT_ASSERT(!LogStore::Open(damaged, kInitial).ok());
    }
    // A log that was written as a whole has an end frame, so damage to its last
    // entry is detected too.
    auto sealed = FiveEntries();
    OpenOk(sealed);
    auto& bytes = sealed.files["log"].durable;
    bytes[bytes.find("payload 5")] ^= 1;
    CPPUNIT_ASSERT(!LogStore::Open(sealed, kInitial).ok());
  }

  void ReplacedEntriesAreDropped() {
    auto disk = FiveEntries();
    const auto store = OpenOk(disk);
    CPPUNIT_ASSERT(store->Append({MakeEntry(2, 4)}).ok());
    CPPUNIT_ASSERT(store->Sync().ok());
    const auto stored = OpenOk(disk)->TakeStoredState();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, stored.entries.size());
    CPPUNIT_ASSERT_EQUAL(Term{2}, stored.entries[3].term);
  }

  void SnapshotAndLaterEntriesAreReadBack() {
    auto disk = FiveEntries();
    const SnapshotMeta meta{3, 1, kInitial};
    CPPUNIT_ASSERT(
        OpenOk(disk)
            ->SaveSnapshot({meta, "state"}, {MakeEntry(1, 4), MakeEntry(1, 5)})
            .ok());
    const auto store = OpenOk(disk);
    CPPUNIT_ASSERT_EQUAL(std::string("state"), store->snapshot().data);
    const auto stored = store->TakeStoredState();
    CPPUNIT_ASSERT(stored.snapshot == meta);
    CPPUNIT_ASSERT_EQUAL(LogIndex{3}, stored.commit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stored.entries.size());
  }

  void CrashBetweenSnapshotAndLogRewrite() {
    struct Case {
      SnapshotMeta meta;
      std::size_t left;
    };
    const Case cases[] = {
        {{3, 1, kInitial}, 2},   // same log: later entries stay
        {{3, 2, kInitial}, 0},   // another leader's log
        {{9, 2, kInitial}, 0}};  // snapshot past the log's end
    for (const auto& it : cases) {
      auto disk = FiveEntries();
      const auto log = disk.files["log"];
      CPPUNIT_ASSERT(OpenOk(disk)->SaveSnapshot({it.meta, "state"}, {}).ok());
      disk.files["log"] = log;
      const auto stored = OpenOk(disk)->TakeStoredState();
      CPPUNIT_ASSERT_EQUAL(it.left, stored.entries.size());
    }
  }

  void MissingLogIsRejected() {
    auto disk = FiveEntries();
    disk.files.erase("log");
    const auto store = LogStore::Open(disk, kInitial);
    CPPUNIT_ASSERT(!store.ok());
    CPPUNIT_ASSERT(store.error().code == ControlError::kCorrupt);
  }

  void DiskErrorsHaveDistinctCodes() {
    auto disk = FiveEntries();
    const auto store = OpenOk(disk);
    disk.full = true;
    const auto full = store->Append({MakeEntry(1, 6)});
    CPPUNIT_ASSERT(!full.ok());
    CPPUNIT_ASSERT(full.error().code == ControlError::kDiskFull);
    disk.full = false;
    disk.fail_sync = true;
    const auto failed = store->Sync();
    CPPUNIT_ASSERT(!failed.ok());
    CPPUNIT_ASSERT(failed.error().code == ControlError::kDisk);
    // Reopening the files cuts off the torn record.
    disk.fail_sync = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                         OpenOk(disk)->TakeStoredState().entries.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStoreTest);

}  // namespace baobabrun
