// Tests quotas and retries over several VMs under seeded loads and network
// partitions: no sliding window exceeds its bound, and demand within the
// contract is admitted.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>

#include "gateway/quota.h"
#include "gateway/retry_allowance.h"

namespace baobabrun {
namespace {

constexpr Duration kWindow = seconds(8);
constexpr std::int64_t kRate = 100'000;
constexpr std::int64_t kBurst = 100'000;
constexpr QuotaBound kBound{kWindow, 0.1, 110'000};
constexpr int kEntries = 8;
constexpr int kSeeds = 60;
const OrganisationId kHall("hall");

ManifestViewPtr ViewOf(std::int64_t rate, std::int64_t burst) {
  Manifest manifest;
  manifest.number = 1;
  ManifestOrganisation organisation;
  organisation.organisation = kHall;
  organisation.rate = rate;
  organisation.burst = burst;
  manifest.organisations = {organisation};
  return std::make_shared<const ManifestView>(std::move(manifest));
}

// The largest sum that was granted in any window that ends with a grant.
class WindowSum {
 public:
  void Add(std::int64_t cost, Instant now) {
    taken_.push_back({now, cost});
    sum_ += cost;
    while (taken_.front().first <= now - kWindow) {
      sum_ -= taken_.front().second;
      taken_.pop_front();
    }
    most_ = std::max(most_, sum_);
  }
  std::int64_t most() const { return most_; }

 private:
  std::deque<std::pair<Instant, std::int64_t>> taken_;
  std::int64_t sum_ = 0;
  std::int64_t most_ = 0;
};

struct Load {
  double demand = 1;  // relative to the rate, over all entries
  // Entries lose contact with the leader, and leaders change.
  bool cuts = false;
};

struct Outcome {
  std::int64_t most = 0;     // largest sum in any window
  std::int64_t asked = 0;    // tokens
  std::int64_t refused = 0;  // tokens
};

// Simulates entries that ask a leader, lose contact with it for a while, and
// then get another leader that may know nothing of their consumption.
Outcome Simulate(const Load& load, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Instant now(seconds(1));
  const auto view = ViewOf(kRate, kBurst);
  std::optional<QuotaLedger> ledger(kBound);
  std::vector<VmId> vms;
  std::vector<LocalQuota> quotas(kEntries, LocalQuota(kBound));
  for (int n = 0; n < kEntries; ++n) {
    vms.emplace_back("e" + std::to_string(n));
    quotas[static_cast<std::size_t>(n)].SetSharers(kEntries);
    quotas[static_cast<std::size_t>(n)].SetManifest(view);
  }
  ledger->Start({}, now);
  ledger->SetManifest(view);
  ledger->SetEntries(vms);
  Outcome outcome;
  WindowSum window;
  std::lognormal_distribution<double> cost(8.9, 0.6);
  std::exponential_distribution<double> pause(load.demand * kRate / 8'800.0);
  std::uniform_int_distribution<std::size_t> entry(0, kEntries - 1);
  std::vector<Instant> cut_until(kEntries);
  Instant next_report = now;
  Instant next_cut = now + seconds(10);
  for (const auto end = now + seconds(90); now < end;) {
    now += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(pause(random)));
    if (load.cuts && now >= next_cut) {
      next_cut = now + seconds(6 + random() % 6);
      const auto until = now + seconds(1 + random() % 5);
      const bool leader_lost = random() % 3 == 0;
      for (auto& it : cut_until) {
        it = leader_lost || random() % 4 == 0 ? until : Instant();
      }
      // The next leader either knows what entries reported to all control VMs,
      // or has only just started.
      if (leader_lost && random() % 2 == 0) {
        const auto stored = ledger->Uses(now);
        ledger.emplace(kBound);
        ledger->Start(random() % 2 == 0 ? stored : QuotaUses(), until);
        ledger->SetManifest(view);
        ledger->SetEntries(vms);
      }
    }
    const auto in_touch = [&](std::size_t n) { return now >= cut_until[n]; };
    if (now >= next_report) {
      next_report = now + milliseconds(400);
      for (std::size_t n = 0; n < kEntries; ++n) {
        if (in_touch(n)) {
          ledger->Receive(vms[n], quotas[n].Report(now), now);
        }
      }
    }
    const auto n = entry(random);
    const auto amount = static_cast<std::int64_t>(cost(random));
    outcome.asked += amount;
    bool granted = false;
    if (in_touch(n)) {
      const auto answer = ledger->Answer(
          vms[n], {1, kHall, amount, quotas[n].Taken(kHall, now)}, now);
      granted = answer.granted;
      if (granted) {
        quotas[n].Granted(kHall, amount, answer.cap, now, now);
      } else if (answer.alone) {
        granted = quotas[n].TakeLocally(kHall, amount, now);
      }
    } else {
      granted = quotas[n].TakeLocally(kHall, amount, now);
    }
    if (granted) {
      window.Add(amount, now);
    } else {
      outcome.refused += amount;
    }
  }
  outcome.most = window.most();
  return outcome;
}

constexpr std::int64_t MostAllowed() {
  constexpr std::int64_t kWindowS = 8;
  return static_cast<std::int64_t>((kRate * kWindowS + kBurst) *
                                   (1 + kBound.overage)) +
         kBound.slack;
}

}  // namespace

class QuotaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaTest);
  CPPUNIT_TEST(OverloadStaysWithinTheBound);
  CPPUNIT_TEST(OverloadWithPartitionsStaysWithinTheBound);
  CPPUNIT_TEST(DemandWithinTheContractIsGranted);
  CPPUNIT_TEST(EntryKeepsItsPaceWithoutALeader);
  CPPUNIT_TEST(StoredConsumptionCountsAfterARestart);
  CPPUNIT_TEST(LowerRateAppliesAtOnce);
  CPPUNIT_TEST(RefusalStatesTheRetryDelay);
  CPPUNIT_TEST(RetriesOfAllVmsStayWithinTheBound);
  CPPUNIT_TEST(NumberOfSharersNeverDecreases);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OverloadStaysWithinTheBound() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const auto outcome = Simulate({4, false}, seed);
      CPPUNIT_ASSERT(outcome.most <= MostAllowed());
      CPPUNIT_ASSERT(outcome.refused > 0);
    }
  }

  void OverloadWithPartitionsStaysWithinTheBound() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const auto most = Simulate({4, true}, seed).most;
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " +
                                 std::to_string(most) + " of " +
                                 std::to_string(MostAllowed()),
                             most <= MostAllowed());
    }
  }

  // At seven tenths of the rate, nothing is refused while the leader can be
  // asked.
  void DemandWithinTheContractIsGranted() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const auto outcome = Simulate({0.7, false}, seed);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, outcome.refused);
    }
  }

  // An entry out of contact goes on at its pace and no faster.
  void EntryKeepsItsPaceWithoutALeader() {
    Instant now(seconds(100));
    LocalQuota quota(kBound);
    quota.SetSharers(kEntries);
    quota.SetManifest(ViewOf(kRate, kBurst));
    for (int n = 0; n < 80; ++n) {
      now += milliseconds(100);
      quota.Granted(kHall, 1'000, 0, now, now);
    }
    std::int64_t alone = 0;
    for (int n = 0; n < 80; ++n) {
      now += milliseconds(100);
      alone += quota.TakeLocally(kHall, 1'000, now) ? 1'000 : 0;
    }
    CPPUNIT_ASSERT(alone >= 70'000);
    CPPUNIT_ASSERT(alone <= 80'000);
    CPPUNIT_ASSERT(!quota.TakeLocally(kHall, 50'000, now));
  }

  // All VMs lost power: entries have no state, the control VM has its file.
  void StoredConsumptionCountsAfterARestart() {
    const Instant now(seconds(100));
    const VmId vm("e");
    QuotaLedger ledger({kWindow, 0, 0});
    ledger.SetEntries({vm});
    ledger.Start({}, now - seconds(20));
    ledger.SetManifest(ViewOf(1'000, 1'000));
    CPPUNIT_ASSERT(ledger.Answer(vm, {1, kHall, 6'000, 0}, now).granted);
    QuotaLedger next({kWindow, 0, 0});
    next.SetEntries({vm});
    next.SetManifest(ViewOf(1'000, 1'000));
    const auto later = now + seconds(1);
    next.Start(DecodeQuotaUses(EncodeQuotaUses(ledger.Uses(now))).value(),
               later);
    const auto refused = next.Answer(vm, {1, kHall, 6'000, 0}, later);
    CPPUNIT_ASSERT(!refused.granted && !refused.alone);
    CPPUNIT_ASSERT(next.Answer(vm, {1, kHall, 2'000, 0}, later).granted);
    CPPUNIT_ASSERT(
        next.Answer(vm, {1, kHall, 6'000, 0}, later + seconds(9)).granted);
  }

  void LowerRateAppliesAtOnce() {
    const Instant now(seconds(100));
    const VmId vm("e");
    QuotaLedger ledger({kWindow, 0, 0});
    ledger.SetEntries({vm});
    ledger.Start({}, now - seconds(20));
    ledger.SetManifest(ViewOf(kRate, kBurst));
    CPPUNIT_ASSERT(ledger.Answer(vm, {1, kHall, 5'000, 0}, now).granted);
    ledger.SetManifest(ViewOf(100, 100));
    CPPUNIT_ASSERT(!ledger.Answer(vm, {1, kHall, 90, 0}, now).granted);
    const auto later = now + seconds(9);
    std::int64_t granted = 0;
    for (int n = 0; n < 100; ++n) {
      granted += ledger.Answer(vm, {1, kHall, 90, 0}, later).granted ? 90 : 0;
    }
    CPPUNIT_ASSERT(granted > 0);
    CPPUNIT_ASSERT(granted <= 100 * 8 + 100);
  }

  void RefusalStatesTheRetryDelay() {
    const Instant now(seconds(100));
    const VmId vm("e");
    QuotaLedger ledger({kWindow, 0, 0});
    ledger.SetEntries({vm});
    ledger.Start({}, now - seconds(20));
    ledger.SetManifest(ViewOf(1'000, 1'000));
    CPPUNIT_ASSERT(
        ledger.Answer(vm, {1, kHall, 8'000, 0}, now - seconds(7)).granted);
    const auto answer = ledger.Answer(vm, {1, kHall, 900, 0}, now);
    CPPUNIT_ASSERT(!answer.granted);
    CPPUNIT_ASSERT(answer.retry_after > milliseconds(900));
    CPPUNIT_ASSERT(
        !ledger.Answer(vm, {1, kHall, 900, 0}, now + milliseconds(900))
             .granted);
    CPPUNIT_ASSERT(ledger
                       .Answer(vm, {1, kHall, 900, 0},
                               now + answer.retry_after + milliseconds(130))
                       .granted);
  }

  void RetriesOfAllVmsStayWithinTheBound() {
    constexpr RetryAllowanceOptions kRetries{0.2, seconds(10), 56};
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      std::mt19937_64 random(seed);
      std::vector<RetryAllowance> vms(kEntries, RetryAllowance(kRetries));
      for (auto& it : vms) {
        it.SetSharers(kEntries);
      }
      std::deque<Instant> requests;
      std::deque<Instant> repeats;
      Instant now(seconds(1));
      for (int n = 0; n < 20'000; ++n) {
        now += milliseconds(random() % 10);
        auto& vm = vms[random() % kEntries];
        // Requests come in waves; every failed one is retried.
        if (random() % 3 != 0 && (n / 4'000) % 2 == 0) {
          vm.CountRequest("desk", now);
          requests.push_back(now);
        } else if (vm.TrySpend("desk", now)) {
          repeats.push_back(now);
        }
        while (!repeats.empty() && repeats.front() < now - kRetries.window) {
          repeats.pop_front();
        }
        while (!requests.empty() &&
               requests.front() < now - 2 * kRetries.window) {
          requests.pop_front();
        }
        // The requests counted are those in the window, in the one before it,
        // or in the one half a window earlier, whichever are the most.
        const auto counted =
            std::max({CountIn(requests, now - kRetries.window, now),
                      CountIn(requests, now - 2 * kRetries.window,
                              now - kRetries.window),
                      CountIn(requests, now - kRetries.window * 3 / 2,
                              now - kRetries.window / 2)});
        const auto most = kRetries.ratio * static_cast<double>(counted) +
                          static_cast<double>(kRetries.slack);
        CPPUNIT_ASSERT(static_cast<double>(repeats.size()) <= most);
      }
    }
  }

  static std::size_t CountIn(const std::deque<Instant>& times,
                             Instant first,
                             Instant last) {
    return static_cast<std::size_t>(
        std::upper_bound(times.begin(), times.end(), last) -
        std::lower_bound(times.begin(), times.end(), first));
  }

  void NumberOfSharersNeverDecreases() {
    RetryAllowance retries({0, seconds(10), 8});
    retries.SetSharers(4);
    retries.SetSharers(1);
    const Instant now(seconds(1));
    CPPUNIT_ASSERT(retries.TrySpend("desk", now));
    CPPUNIT_ASSERT(retries.TrySpend("desk", now));
    CPPUNIT_ASSERT(!retries.TrySpend("desk", now));
    CPPUNIT_ASSERT(retries.TrySpend("desk", now + seconds(11)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaTest);

}  // namespace baobabrun
