// Tests of discovery and failure detection among the daemons of a zone.

#include "fakes/fake_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace std::chrono_literals;

class FleetMembershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetMembershipTest);
  CPPUNIT_TEST(daemonsFindEachOther);
  CPPUNIT_TEST(daemonsFindEachOtherThroughTheStore);
  CPPUNIT_TEST(deadDaemonIsDetected);
  CPPUNIT_TEST(leavingDaemonIsRemovedAtOnce);
  CPPUNIT_TEST(pausedDaemonReturns);
  CPPUNIT_TEST(restartedDaemonReplacesItself);
  CPPUNIT_TEST(splitZoneRejoins);
  CPPUNIT_TEST(wholeZoneIsReplaced);
  CPPUNIT_TEST(linksAreBounded);
  CPPUNIT_TEST(messageLossCausesNoDeath);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    clock_ = fakes::FakeClock();
    switch_ = std::make_unique<fakes::PeerSwitch>(clock_, 7);
    fleet_ = std::make_unique<fakes::FakeFleet>(
      clock_,
      [this](const state::Endpoint& aOwn) {
        return std::make_unique<fakes::FakePeerNetwork>(*switch_, aOwn);
      },
      7);
    fleet_->onDeliver([this] { switch_->step(); });
  }

  void tearDown() override
  {
    fleet_.reset();
    switch_.reset();
  }

  void daemonsFindEachOther()
  {
    fleet_->startAll(1, 18);
    CPPUNIT_ASSERT(convergesWithin(10s));
  }

  void daemonsFindEachOtherThroughTheStore()
  {
    fleet_->startAll(1, 6);
    // Stops the two seed daemons; the others can only find each other through
    // the directory in the store.
    fleet_->stop(fakes::FakeFleet::idOf(0, 0));
    fleet_->stop(fakes::FakeFleet::idOf(0, 1));
    CPPUNIT_ASSERT(convergesWithin(60s));
  }

  void deadDaemonIsDetected()
  {
    fleet_->startAll(1, 18);
    CPPUNIT_ASSERT(convergesWithin(10s));
    fleet_->run(5s);
    fleet_->stop(fakes::FakeFleet::idOf(0, 9));
    CPPUNIT_ASSERT(convergesWithin(5s));
  }

  void leavingDaemonIsRemovedAtOnce()
  {
    fleet_->startAll(1, 18);
    CPPUNIT_ASSERT(convergesWithin(10s));
    fleet_->at(0, 9).node_->stop();
    fleet_->stop(fakes::FakeFleet::idOf(0, 9));
    CPPUNIT_ASSERT(convergesWithin(2s));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, deaths());
  }

  void pausedDaemonReturns()
  {
    fleet_->startAll(1, 18);
    CPPUNIT_ASSERT(convergesWithin(10s));
    pause(9, true);
    CPPUNIT_ASSERT(convergesWithin(20s));
    fleet_->run(60s);
    pause(9, false);
    CPPUNIT_ASSERT(convergesWithin(5s));
    // The paused daemon must not count its own pause as silence of the others.
    const auto& counts = fleet_->at(0, 9).node_->membership().counts();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, counts.deaths_);
  }

  void restartedDaemonReplacesItself()
  {
    fleet_->startAll(1, 6);
    CPPUNIT_ASSERT(convergesWithin(10s));
    const state::Incarnation last =
      fleet_->start(0, 3, 1).settings_.self_.incarnation_;
    CPPUNIT_ASSERT(convergesWithin(10s));
    fleet_->run(5s);
    const auto& member =
      fleet_->at(0, 5).node_->members().at(fakes::FakeFleet::idOf(0, 3));
    CPPUNIT_ASSERT(member.address_.incarnation_ == last);
  }

  void splitZoneRejoins()
  {
    fleet_->startAll(1, 12);
    CPPUNIT_ASSERT(convergesWithin(10s));
    switch_->cut(
      [](const state::Endpoint& aLeft, const state::Endpoint& aRight) {
        return aLeft.port_ % 2 != aRight.port_ % 2;
      });
    fleet_->run(30s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 },
                         fleet_->at(0, 3).node_->liveMembers().size());
    switch_->cut(nullptr);
    CPPUNIT_ASSERT(convergesWithin(10s));
  }

  void wholeZoneIsReplaced()
  {
    fleet_->startAll(1, 12);
    CPPUNIT_ASSERT(convergesWithin(10s));
    fleet_->run(40s);
    for (std::size_t index = 0; index < 12; ++index) {
      fleet_->stop(fakes::FakeFleet::idOf(0, index));
    }
    for (std::size_t index = 20; index < 32; ++index) {
      fleet_->start(0, index, 1);
    }
    CPPUNIT_ASSERT(convergesWithin(90s));
  }

  void linksAreBounded()
  {
    fleet_->startAll(1, 48);
    CPPUNIT_ASSERT(convergesWithin(20s));
    fleet_->run(20s);
    for (const auto& [id, daemon] : fleet_->daemons()) {
      CPPUNIT_ASSERT(daemon.node_->membership().links().size() <= 12);
    }
  }

  void messageLossCausesNoDeath()
  {
    fleet_->startAll(1, 24);
    CPPUNIT_ASSERT(convergesWithin(20s));
    switch_->faults().loss_ = 0.1;
    fleet_->run(300s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, deaths());
  }

private:
  /** @return Whether all daemons agree on the members within a time limit. */
  bool convergesWithin(state::Duration aLimit)
  {
    return fleet_->runUntil([this] { return fleet_->agreed(); }, aLimit) <
           aLimit;
  }

  /** Pauses or resumes a daemon and holds back the messages to it meanwhile. */
  void pause(std::size_t aIndex, bool aPaused)
  {
    fleet_->at(0, aIndex).paused_ = aPaused;
    switch_->hold(fakes::FakeFleet::endpointOf(0, aIndex), aPaused);
  }

  /** @return Number of daemons judged dead, summed over the running ones. */
  std::uint64_t deaths()
  {
    std::uint64_t deaths = 0;
    for (const auto& [id, daemon] : fleet_->daemons()) {
      deaths += daemon.node_->membership().counts().deaths_;
    }
    return deaths;
  }

  fakes::FakeClock clock_;                    ///< Clock of the test.
  std::unique_ptr<fakes::PeerSwitch> switch_; ///< Simulated network.
  std::unique_ptr<fakes::FakeFleet> fleet_;   ///< The daemons.
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMembershipTest);
