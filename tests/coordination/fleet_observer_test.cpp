// Tests of polling VMs and of sharing their reports among the daemons.

#include "fakes/fake_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace std::chrono_literals;

class FleetObserverTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetObserverTest);
  CPPUNIT_TEST(evidenceIsFreshEverywhere);
  CPPUNIT_TEST(evidenceIsNeverTooYoung);
  CPPUNIT_TEST(silentVmAges);
  CPPUNIT_TEST(changedRoleSpreads);
  CPPUNIT_TEST(restartedVmReplacesItsReport);
  CPPUNIT_TEST(loadSpreads);
  CPPUNIT_TEST(leavingVmIsKnownInTime);
  CPPUNIT_TEST(vanishedVmIsForgotten);
  CPPUNIT_TEST(deathOfAnObserverKeepsEvidenceFresh);
  CPPUNIT_TEST(eachVmIsPolledByFewDaemons);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    clock_ = fakes::FakeClock();
    switch_ = std::make_unique<fakes::PeerSwitch>(clock_, 5);
    fleet_ = std::make_unique<fakes::FakeFleet>(
      clock_,
      [this](const state::Endpoint& aOwn) {
        return std::make_unique<fakes::FakePeerNetwork>(*switch_, aOwn);
      },
      5);
    fleet_->onDeliver([this] { switch_->step(); });
    fleet_->vms().add("zone-a", 64);
    fleet_->startAll(1, 12);
    fleet_->run(15s);
  }

  void tearDown() override
  {
    fleet_.reset();
    switch_.reset();
  }

  void evidenceIsFreshEverywhere()
  {
    for (int step = 0; step < 100; ++step) {
      fleet_->step();
      CPPUNIT_ASSERT(greatestAge() <= 3s);
    }
  }

  void evidenceIsNeverTooYoung()
  {
    switch_->faults().loss_ = 0.05;
    switch_->faults().jitter_ = std::chrono::milliseconds(300);
    std::map<state::VmId, state::TimePoint> silentSince;
    for (int step = 0; step < 600; ++step) {
      if (step % 40 == 0) {
        const state::VmId vm("zone-a-vm-" + std::to_string(step % 64));
        auto& fake = fleet_->vms().vms_.at(vm);
        fake.silent_ = true;
        silentSince.try_emplace(vm, clock_.now());
      }
      if (step == 200) {
        pause(3, true);
      }
      if (step == 300) {
        pause(3, false);
      }
      fleet_->step();
      for (const auto& [vm, since] : silentSince) {
        checkNotYounger(vm, since);
      }
    }
  }

  void silentVmAges()
  {
    const state::VmId vm("zone-a-vm-5");
    fleet_->vms().vms_.at(vm).silent_ = true;
    fleet_->run(10s);
    for (const auto& [id, daemon] : fleet_->daemons()) {
      const auto& report = daemon.node_->observation().reports().at(vm);
      CPPUNIT_ASSERT(clock_.now() - report.observedAt_ >= 8s);
    }
  }

  void changedRoleSpreads()
  {
    const state::VmId vm("zone-a-vm-5");
    auto& report = fleet_->vms().vms_.at(vm).report_;
    report.phase_ = state::EnginePhase::kLoading;
    report.role_.fencing_ = state::FencingNumber(8);
    CPPUNIT_ASSERT(
      everywhereWithin(3s, [&](const coordination::Observation& aView) {
        const auto& held = aView.reports().at(vm);
        return held.phase_ == state::EnginePhase::kLoading &&
               held.role_.fencing_ == state::FencingNumber(8);
      }));
  }

  void restartedVmReplacesItsReport()
  {
    const state::VmId vm("zone-a-vm-5");
    auto& report = fleet_->vms().vms_.at(vm).report_;
    report.incarnation_ = state::Incarnation(2);
    report.count_ = 0;
    report.phase_ = state::EnginePhase::kIdle;
    report.role_ = {};
    CPPUNIT_ASSERT(
      everywhereWithin(3s, [&](const coordination::Observation& aView) {
        const auto& held = aView.reports().at(vm);
        return held.incarnation_ == state::Incarnation(2) &&
               held.phase_ == state::EnginePhase::kIdle;
      }));
  }

  void loadSpreads()
  {
    // This VM is the first member of its replica; only that one reports load.
    const state::VmId vm("zone-a-vm-32");
    fleet_->vms().vms_.at(vm).report_.load_.running_ = 40;
    CPPUNIT_ASSERT(
      everywhereWithin(3s, [&](const coordination::Observation& aView) {
        return aView.reports().at(vm).load_.running_ == 40;
      }));
  }

  void leavingVmIsKnownInTime()
  {
    const state::VmId vm("zone-a-vm-5");
    fleet_->vms().vms_.at(vm).info_.listing_ = state::VmListing::kLeaving;
    CPPUNIT_ASSERT(
      everywhereWithin(3s, [&](const coordination::Observation& aView) {
        return aView.vms().at(vm).listing_ == state::VmListing::kLeaving;
      }));
  }

  void vanishedVmIsForgotten()
  {
    const state::VmId vm("zone-a-vm-5");
    fleet_->vms().vms_.erase(vm);
    CPPUNIT_ASSERT(
      everywhereWithin(4s, [&](const coordination::Observation& aView) {
        return !aView.vms().contains(vm) && !aView.reports().contains(vm);
      }));
    fleet_->run(20s);
    CPPUNIT_ASSERT(!fleet_->at(0, 3).node_->observation().vms().contains(vm));
  }

  void deathOfAnObserverKeepsEvidenceFresh()
  {
    fleet_->stop(fakes::FakeFleet::idOf(0, 7));
    for (int step = 0; step < 200; ++step) {
      fleet_->step();
      CPPUNIT_ASSERT(greatestAge() <= 3s);
    }
  }

  void eachVmIsPolledByFewDaemons()
  {
    std::size_t observed = 0;
    for (const auto& [id, daemon] : fleet_->daemons()) {
      observed += daemon.node_->observer().observedCount();
    }
    CPPUNIT_ASSERT_EQUAL(64 * coordination::kObserversPerVm, observed);
  }

private:
  /** @return Greatest age of any VM's report at any daemon. */
  state::Duration greatestAge() const
  {
    state::Duration greatestAge{};
    for (const auto& [id, daemon] : fleet_->daemons()) {
      const auto& reports = daemon.node_->observation().reports();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 64 }, reports.size());
      for (const auto& [vm, report] : reports) {
        greatestAge = std::max(greatestAge, clock_.now() - report.observedAt_);
      }
    }
    return greatestAge;
  }

  /** Checks that no daemon has a report of a silent VM from after its silence
   * began. */
  void checkNotYounger(const state::VmId& aVm, state::TimePoint aSilentSince)
  {
    for (const auto& [id, daemon] : fleet_->daemons()) {
      const auto& reports = daemon.node_->observation().reports();
      const auto found = reports.find(aVm);
      CPPUNIT_ASSERT(found == reports.end() ||
                     found->second.observedAt_ <= aSilentSince);
    }
  }

  /** Pauses or resumes a daemon and holds back the messages to it meanwhile. */
  void pause(std::size_t aIndex, bool aPaused)
  {
    fleet_->at(0, aIndex).paused_ = aPaused;
    switch_->hold(fakes::FakeFleet::endpointOf(0, aIndex), aPaused);
  }

  /** @return Whether a condition holds at all daemons within a time limit. */
  bool everywhereWithin(
    state::Duration aLimit,
    const std::function<bool(const coordination::Observation&)>& aCondition)
  {
    const auto allDaemonsMatch = [&] {
      return std::all_of(fleet_->daemons().begin(),
                         fleet_->daemons().end(),
                         [&](const auto& aItem) {
                           return aCondition(aItem.second.node_->observation());
                         });
    };
    return fleet_->runUntil(allDaemonsMatch, aLimit) < aLimit;
  }

  fakes::FakeClock clock_;                    ///< Clock of the test.
  std::unique_ptr<fakes::PeerSwitch> switch_; ///< Simulated network.
  std::unique_ptr<fakes::FakeFleet> fleet_;   ///< The daemons.
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetObserverTest);
