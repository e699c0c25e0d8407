// Fault tests of GroupManager: daemons with fake stores and fake engines.

#include "fakes/fake_engine_faults.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::fakes;

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/** @return Fleet of one domain whose only group has one open copy on three VMs.
 */
std::unique_ptr<FakeEngineFleet>
smallFleet(int aVms, bool aChecksFencing, std::uint32_t aReserves)
{
  FleetShape shape;
  shape.domains_ = 1;
  shape.vmsPerDomain_ = aVms;
  shape.checksFencing_ = aChecksFencing;
  auto fleet = std::make_unique<FakeEngineFleet>(shape);
  fleet->engines_->loadTime_ = seconds(5);
  fleet->configuration_.policy_.reservesPerCopy_ = aReserves;
  fleet->setGroup("g", 1, 1, 3);
  fleet->startAll();
  fleet->run(seconds(40));
  CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fleet->openCopies(0, "g"));
  return fleet;
}

state::VmId
memberOf(const FakeEngineFleet& aFleet, std::size_t aRank)
{
  return aFleet.storedRecord(0).copies_.begin()->second.members_.at(aRank);
}

void
setStoreDown(FakeEngineFleet& aFleet, bool aDown)
{
  for (auto& daemon : aFleet.daemons_) {
    daemon->store_.faults().down_ = aDown;
  }
}

} // namespace

class GroupManagerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GroupManagerTest);
  CPPUNIT_TEST(replacesLostMember);
  CPPUNIT_TEST(closesCopyWithinEvidenceLimit);
  CPPUNIT_TEST(pausedHolderSendsNothingAfterLeaseExpiry);
  CPPUNIT_TEST(ambiguousWriteIsResolved);
  CPPUNIT_TEST(staleOrderIsRefusedOrRepaired);
  CPPUNIT_TEST(restartOfAllDaemonsReloadsNothing);
  CPPUNIT_TEST(storeOutageKeepsCopiesOpen);
  CPPUNIT_TEST(reserveReplacesMemberWithoutStore);
  CPPUNIT_TEST(leavingHeadGetsNoNewWork);
  CPPUNIT_TEST(plannedStopReleasesLeases);
  CPPUNIT_TEST(auditTrailSurvivesDaemons);
  CPPUNIT_TEST(statusReportsClosedReason);
  CPPUNIT_TEST(randomSchedulesWithFencing);
  CPPUNIT_TEST(randomSchedulesWithoutFencing);
  CPPUNIT_TEST_SUITE_END();

public:
  void replacesLostMember()
  {
    const auto fleet = smallFleet(4, true, 0);
    const state::VmId lost = memberOf(*fleet, 1);
    fleet->engine(lost).alive_ = false;
    fleet->run(seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fleet->openCopies(0, "g"));
    fleet->run(seconds(17));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fleet->openCopies(0, "g"));
    CPPUNIT_ASSERT(memberOf(*fleet, 1) != lost);
  }

  /** Each daemon closes a copy from its own reports, without the store or the
   * shared table. */
  void closesCopyWithinEvidenceLimit()
  {
    const auto fleet = smallFleet(4, false, 0);
    for (auto& daemon : fleet->daemons_) {
      daemon->table_->cut_ = true;
      daemon->store_.faults().down_ = true;
    }
    fleet->engine(memberOf(*fleet, 2)).alive_ = false;
    fleet->run(fleet->limits_.evidenceLimit_ + FakeEngineFleet::kStep);
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fleet->openCopies(daemon, "g"));
    }
  }

  /** A paused lease holder must not act on its old lease once it resumes and a
   * successor has taken over. */
  void pausedHolderSendsNothingAfterLeaseExpiry()
  {
    const auto fleet = smallFleet(5, false, 0);
    const int holder = fleet->holderOf(0);
    CPPUNIT_ASSERT(holder >= 0);
    GroupDaemon& paused = *fleet->daemons_[static_cast<std::size_t>(holder)];
    paused.paused_ = true;
    fleet->engine(memberOf(*fleet, 0)).alive_ = false;
    fleet->run(minutes(1));
    const int successor = fleet->holderOf(0);
    CPPUNIT_ASSERT(successor >= 0 && successor != holder);
    const std::uint64_t sent = paused.engines_.sent();
    paused.paused_ = false;
    fleet->run(seconds(20));
    CPPUNIT_ASSERT_EQUAL(sent, paused.engines_.sent());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      fleet->openCopies(static_cast<std::size_t>(holder), "g"));
  }

  /** The replies of record writes are lost while a member is replaced. */
  void ambiguousWriteIsResolved()
  {
    const auto fleet = smallFleet(4, true, 0);
    for (auto& daemon : fleet->daemons_) {
      daemon->store_.faults().loseAnswers_ = 4;
    }
    fleet->engine(memberOf(*fleet, 1)).alive_ = false;
    fleet->run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fleet->openCopies(0, "g"));
  }

  /** An order with an old fencing number is refused by an engine that checks
   * the number; an engine that does not is reassigned. */
  void staleOrderIsRefusedOrRepaired()
  {
    for (const bool checks : { true, false }) {
      const auto fleet = smallFleet(5, checks, 0);
      const state::VmId vm = memberOf(*fleet, 1);
      coordination::EngineOrder old;
      old.vm_ = vm;
      old.fencing_ = state::FencingNumber(1);
      old.role_ = {
        { state::GroupId("old"), 0 }, 0, old.fencing_, "m", "0", {}
      };
      fleet->daemons_[0]->engines_.sendOrder(
        {}, old, seconds(1), [](coordination::OrderStatus) {});
      fleet->run(seconds(2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ checks ? 1U : 0U },
                           fleet->openCopies(0, "g"));
      fleet->run(seconds(10));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fleet->openCopies(0, "g"));
      CPPUNIT_ASSERT_EQUAL(checks ? 0UL : 1UL, fleet->engine(vm).oldOrders_);
    }
  }

  /** Daemons that restart with an empty shared table must adopt the copies
   * that already serve, without loading a model again. */
  void restartOfAllDaemonsReloadsNothing()
  {
    const auto fleet = smallFleet(4, true, 0);
    const std::uint64_t loads = fleet->engines_->loads_;
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
      fleet->crash(daemon);
    }
    fleet->table_->clear();
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
      fleet->start(daemon);
    }
    fleet->run(seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fleet->openCopies(2, "g"));
    CPPUNIT_ASSERT_EQUAL(loads, fleet->engines_->loads_);
  }

  /** Open copies outlive a store outage of one hour; a member lost during the
   * outage is replaced once the store is back, as there is no reserve. */
  void storeOutageKeepsCopiesOpen()
  {
    const auto fleet = smallFleet(5, true, 0);
    setStoreDown(*fleet, true);
    for (int minute = 0; minute < 60; ++minute) {
      fleet->run(minutes(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fleet->openCopies(1, "g"));
    }
    CPPUNIT_ASSERT_EQUAL(-1, fleet->holderOf(0));
    fleet->engine(memberOf(*fleet, 1)).alive_ = false;
    fleet->run(minutes(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fleet->openCopies(1, "g"));
    setStoreDown(*fleet, false);
    fleet->run(minutes(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fleet->openCopies(1, "g"));
  }

  /** The substitution made during a store outage enters the record after the
   * outage, and no engine loads again. */
  void reserveReplacesMemberWithoutStore()
  {
    for (const bool checks : { true, false }) {
      const auto fleet = smallFleet(5, checks, 1);
      setStoreDown(*fleet, true);
      fleet->run(minutes(1));
      const state::VmId lost = memberOf(*fleet, 1);
      fleet->engine(lost).alive_ = false;
      fleet->run(minutes(1));
      for (std::size_t daemon = 0; daemon < 3; ++daemon) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fleet->openCopies(daemon, "g"));
      }
      CPPUNIT_ASSERT(memberOf(*fleet, 1) == lost);
      fleet->engine(lost).alive_ = true;
      setStoreDown(*fleet, false);
      const std::uint64_t loads = fleet->engines_->loads_;
      fleet->run(minutes(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fleet->openCopies(0, "g"));
      CPPUNIT_ASSERT(memberOf(*fleet, 1) != lost);
      CPPUNIT_ASSERT_EQUAL(loads, fleet->engines_->loads_);
    }
  }

  void leavingHeadGetsNoNewWork()
  {
    const auto fleet = smallFleet(4, true, 0);
    const state::VmId head = memberOf(*fleet, 0);
    fleet->engine(head).info_.listing_ = state::VmListing::kLeaving;
    fleet->run(seconds(1));
    for (const auto& daemon : fleet->daemons_) {
      CPPUNIT_ASSERT(daemon->manager_->leavingVms() ==
                     std::vector<state::VmId>{ head });
      for (const auto& copy : daemon->manager_->copies()) {
        CPPUNIT_ASSERT(!copy.open_ || copy.head_ != head);
      }
    }
    fleet->run(seconds(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fleet->openCopies(0, "g"));
    CPPUNIT_ASSERT(memberOf(*fleet, 0) != head);
  }

  void plannedStopReleasesLeases()
  {
    const auto fleet = smallFleet(4, true, 0);
    const int holder = fleet->holderOf(0);
    CPPUNIT_ASSERT(holder >= 0);
    bool done = false;
    fleet->daemons_[static_cast<std::size_t>(holder)]->manager_->releaseLeases(
      [&done] { done = true; });
    fleet->run(seconds(1));
    CPPUNIT_ASSERT(done);
    CPPUNIT_ASSERT(
      fleet->store_->leases_.at("lease/domain/d0").holder_.empty());
    fleet->run(seconds(25));
    CPPUNIT_ASSERT(fleet->holderOf(0) >= 0 && fleet->holderOf(0) != holder);
  }

  void auditTrailSurvivesDaemons()
  {
    const auto fleet = smallFleet(4, true, 0);
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
      fleet->crash(daemon);
    }
    fleet->start(0);
    coordination::AuditTrail trail;
    fleet->daemons_[0]->manager_->fetchAuditTrail(
      FakeEngineFleet::domainId(0),
      [&trail](const coordination::AuditTrail& aTrail) { trail = aTrail; });
    fleet->run(seconds(1));
    CPPUNIT_ASSERT(trail.size() >= 4);
    for (const coordination::AuditEntry& entry : trail) {
      CPPUNIT_ASSERT(!entry.change_.empty() && !entry.coordinator_.empty());
    }
  }

  void statusReportsClosedReason()
  {
    const auto fleet = smallFleet(3, true, 0);
    const state::VmId lost = memberOf(*fleet, 1);
    fleet->engine(lost).alive_ = false;
    fleet->run(seconds(30));
    const auto report = fleet->daemons_[0]->manager_->status();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, report.groups_.size());
    const coordination::GroupStatus& group = report.groups_.front();
    CPPUNIT_ASSERT_EQUAL(0U, group.open_);
    CPPUNIT_ASSERT(group.downtime_ > seconds(20));
    const coordination::CopyStatus& copy = group.copies_.front();
    CPPUNIT_ASSERT(copy.closedReason_.find(lost.value()) != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), copy.members_.at(1).health_);
    CPPUNIT_ASSERT_EQUAL(
      8U,
      report.strandedAccelerators_.at("member of a copy that does not serve"));
  }

  void randomSchedulesWithFencing() { runSchedules(true); }
  void randomSchedulesWithoutFencing() { runSchedules(false); }

private:
  static void runSchedules(bool aChecksFencing)
  {
    constexpr std::uint64_t kSchedules = 4;
    constexpr std::uint64_t kSteps = 6000;
    for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
      CPPUNIT_ASSERT_EQUAL(std::string(),
                           runSchedule(seed, kSteps, aChecksFencing));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupManagerTest);
