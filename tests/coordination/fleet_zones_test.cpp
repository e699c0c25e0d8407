// Tests of zones that lose the platform, other zones or both: one for each row
// of the table in docs/operating/fleet.md.

#include "coordination/fleet/rendezvous_func.h"
#include "fakes/fake_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace auburnhaven;
using namespace std::chrono_literals;
using coordination::SubmitStatus;

class FleetZonesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetZonesTest);
  CPPUNIT_TEST(zonesFindEachOther);
  CPPUNIT_TEST(oneGatewayForEachZone);
  CPPUNIT_TEST(deadGatewayIsReplaced);
  CPPUNIT_TEST(zoneWithoutThePlatform);
  CPPUNIT_TEST(zoneWithoutTheOtherZones);
  CPPUNIT_TEST(zoneWithoutPlatformAndOtherZones);
  CPPUNIT_TEST(splitInsideAZone);
  CPPUNIT_TEST(allZonesWithoutThePlatform);
  CPPUNIT_TEST(zoneEntriesStayInTheirZone);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    clock_ = fakes::FakeClock();
    switch_ = std::make_unique<fakes::PeerSwitch>(clock_, 3);
    fleet_ = std::make_unique<fakes::FakeFleet>(
      clock_,
      [this](const state::Endpoint& aOwn) {
        return std::make_unique<fakes::FakePeerNetwork>(*switch_, aOwn);
      },
      3);
    fleet_->onDeliver([this] { switch_->step(); });
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      fleet_->vms().add(fakes::FakeFleet::zoneName(zone), 16);
    }
    fleet_->startAll(kZones, kDaemons);
    fleet_->run(15s);
    CPPUNIT_ASSERT(fleet_->agreed());
    CPPUNIT_ASSERT(commit(0, 1) == SubmitStatus::kCommitted);
    CPPUNIT_ASSERT(isInForceEverywhereInTime(1));
  }

  void tearDown() override
  {
    fleet_.reset();
    switch_.reset();
  }

  void zonesFindEachOther()
  {
    for (const auto& [id, daemon] : fleet_->daemons()) {
      const auto zones = daemon.node_->otherZones();
      CPPUNIT_ASSERT_EQUAL(kZones - 1, zones.size());
      for (const auto& [zone, peers] : zones) {
        CPPUNIT_ASSERT_EQUAL(kDaemons, peers.size());
      }
    }
  }

  void oneGatewayForEachZone()
  {
    fleet_->run(20s);
    switch_->resetCrossed();
    switch_->measure([](const coordination::PeerMessage& aMessage) {
      const auto* gossip =
        std::get_if<coordination::GossipMessage>(&aMessage.body_);
      return gossip == nullptr ? 0 : gossip->entries_.size();
    });
    publishSummary(0, "copy");
    fleet_->run(10s);
    // The entry is sent to each of the other zones exactly once.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ kZones - 1 }, switch_->crossed());
  }

  void deadGatewayIsReplaced()
  {
    const auto gateway =
      coordination::chooseDaemons(
        "gateway/zone-b", fleet_->at(0, 0).node_->liveMembers(), 1)
        .front();
    fleet_->stop(gateway);
    fleet_->run(30s);
    const std::size_t origin = gateway == fakes::FakeFleet::idOf(0, 2) ? 3 : 2;
    publishSummary(origin, "copy");
    fleet_->run(10s);
    CPPUNIT_ASSERT(hasSummary(1, "copy"));
  }

  void zoneWithoutThePlatform()
  {
    fleet_->platformDown(0, true);
    // The other zones forward the change; reports of VMs and the membership
    // stay up to date.
    CPPUNIT_ASSERT(commit(1, 2) == SubmitStatus::kCommitted);
    CPPUNIT_ASSERT(isInForceEverywhereInTime(2));
    fleet_->run(20s);
    CPPUNIT_ASSERT(evidenceFresh(0));
    CPPUNIT_ASSERT(fleet_->agreed());
    CPPUNIT_ASSERT(submit(0, 3).status_ == SubmitStatus::kUnavailable);
  }

  void zoneWithoutTheOtherZones()
  {
    cutZone(0);
    // The zone's own watchers still read each change from the store.
    CPPUNIT_ASSERT(commit(1, 2) == SubmitStatus::kCommitted);
    CPPUNIT_ASSERT(isInForceEverywhereInTime(2));
    CPPUNIT_ASSERT(commit(0, 3) == SubmitStatus::kCommitted);
    CPPUNIT_ASSERT(isInForceEverywhereInTime(3));
    fleet_->run(40s);
    CPPUNIT_ASSERT(evidenceFresh(0));
    CPPUNIT_ASSERT(fleet_->at(0, 2).node_->otherZones().empty());
    for (const auto& zone : fleet_->at(0, 2).node_->progress().zones_) {
      CPPUNIT_ASSERT(!zone.reachable_);
    }
    switch_->cut(nullptr);
    fleet_->run(20s);
    CPPUNIT_ASSERT_EQUAL(kZones - 1,
                         fleet_->at(0, 2).node_->otherZones().size());
  }

  void zoneWithoutPlatformAndOtherZones()
  {
    cutZone(0);
    fleet_->platformDown(0, true);
    CPPUNIT_ASSERT(commit(1, 2) == SubmitStatus::kCommitted);
    fleet_->run(60s);
    // The zone keeps serving with its last configuration.
    CPPUNIT_ASSERT(evidenceFresh(0));
    for (const auto& [id, daemon] : fleet_->daemons()) {
      const std::uint64_t expected =
        fakes::FakeFleet::inZone(daemon, 0) ? 1 : 2;
      CPPUNIT_ASSERT_EQUAL(expected,
                           daemon.node_->configuration()->generation_.value());
    }
    // A daemon that starts now gets the configuration from its peers.
    fleet_->start(0, kDaemons, kZones).store_->faults().down_ = true;
    fleet_->run(9s);
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t{ 1 },
      fleet_->at(0, kDaemons).node_->configuration()->generation_.value());
    // After the zone rejoins, the change arrives within the time limit.
    switch_->cut(nullptr);
    fleet_->platformDown(0, false);
    CPPUNIT_ASSERT(isInForceEverywhereInTime(2));
  }

  void splitInsideAZone()
  {
    switch_->cut([](const state::Endpoint& aLeft,
                    const state::Endpoint& aRight) {
      return aLeft.address_ == "127.0.0.1" && aRight.address_ == "127.0.0.1" &&
             aLeft.port_ % 2 != aRight.port_ % 2;
    });
    fleet_->run(15s);
    // Each half has its own watchers and observers.
    CPPUNIT_ASSERT(commit(1, 2) == SubmitStatus::kCommitted);
    CPPUNIT_ASSERT(isInForceEverywhereInTime(2));
    CPPUNIT_ASSERT(evidenceFresh(0));
    CPPUNIT_ASSERT_EQUAL(kDaemons / 2,
                         fleet_->at(0, 0).node_->liveMembers().size());
    switch_->cut(nullptr);
    fleet_->run(15s);
    CPPUNIT_ASSERT(fleet_->agreed());
  }

  void allZonesWithoutThePlatform()
  {
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      fleet_->platformDown(zone, true);
    }
    fleet_->run(30s);
    CPPUNIT_ASSERT(fleet_->agreed());
    CPPUNIT_ASSERT(evidenceFresh(0) && evidenceFresh(2));
    publishSummary(2, "copy");
    fleet_->run(9s);
    CPPUNIT_ASSERT(hasSummary(1, "copy"));
    CPPUNIT_ASSERT(submit(1, 2).status_ == SubmitStatus::kUnavailable);
  }

  void zoneEntriesStayInTheirZone()
  {
    fleet_->run(5s);
    for (const auto& [id, daemon] : fleet_->daemons()) {
      const std::string zone = daemon.settings_.self_.zone_.value();
      for (const auto& [vm, info] : daemon.node_->observation().vms()) {
        CPPUNIT_ASSERT_EQUAL(zone, info.zone_.value());
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 16 },
                           daemon.node_->observation().vms().size());
    }
  }

private:
  static constexpr std::size_t kZones = 3;   ///< Zones of the tests.
  static constexpr std::size_t kDaemons = 6; ///< Daemons of each zone.

  /** @return Result of submitting a change in a zone; if committed, the change
   * creates the given generation. */
  coordination::SubmitResult submit(std::size_t aZone,
                                    std::uint64_t aGeneration)
  {
    state::ServingGroup group;
    group.id_ = state::GroupId("group-" + std::to_string(aGeneration));
    coordination::Submission submission;
    submission.id_ =
      coordination::SubmissionId("submission-" + std::to_string(aGeneration));
    submission.base_ = state::Generation(aGeneration - 1);
    submission.put_[state::documentName(group.id_)] =
      state::encodeDocument(group);
    std::optional<coordination::SubmitResult> result;
    fleet_->at(aZone, 4).node_->configStore().submit(
      submission,
      [&](const coordination::SubmitResult& aResult) { result = aResult; });
    fleet_->runUntil([&] { return result.has_value(); }, 20s);
    CPPUNIT_ASSERT(result.has_value());
    return *result;
  }

  /** @return Status of submitting a change, see submit(). */
  SubmitStatus commit(std::size_t aZone, std::uint64_t aGeneration)
  {
    return submit(aZone, aGeneration).status_;
  }

  /** @return Whether a generation is in force everywhere within 9 s. */
  bool isInForceEverywhereInTime(std::uint64_t aGeneration)
  {
    const state::Generation generation(aGeneration);
    return fleet_->runUntil([&] { return fleet_->inForce(generation); }, 9s) <
           9s;
  }

  /** Cuts a zone off from the other zones. */
  void cutZone(std::size_t aZone)
  {
    const std::string address = fakes::FakeFleet::endpointOf(aZone, 0).address_;
    switch_->cut(
      [address](const state::Endpoint& aLeft, const state::Endpoint& aRight) {
        return (aLeft.address_ == address) != (aRight.address_ == address);
      });
  }

  /** @return Whether the daemons of a zone have reports of all its 16 VMs, at
   * most 3 s old. */
  bool evidenceFresh(std::size_t aZone) const
  {
    return std::all_of(
      fleet_->daemons().begin(),
      fleet_->daemons().end(),
      [&](const auto& aItem) {
        const auto& reports = aItem.second.node_->observation().reports();
        return !fakes::FakeFleet::inZone(aItem.second, aZone) ||
               (reports.size() == 16 &&
                std::all_of(
                  reports.begin(), reports.end(), [&](const auto& aReport) {
                    return clock_.now() - aReport.second.observedAt_ <= 3s;
                  }));
      });
  }

  /** Publishes a replica summary at a daemon of the first zone. */
  void publishSummary(std::size_t aDaemon, const std::string& aName)
  {
    fleet_->at(0, aDaemon)
      .node_->table()
      .publish({ { coordination::EntryKind::kCopySummary, aName },
                 { 1, 1 },
                 "open",
                 clock_.now() });
  }

  /** @return Whether all daemons of a zone have a replica summary. */
  bool hasSummary(std::size_t aZone, const std::string& aName)
  {
    return std::all_of(
      fleet_->daemons().begin(),
      fleet_->daemons().end(),
      [&](const auto& aItem) {
        return !fakes::FakeFleet::inZone(aItem.second, aZone) ||
               aItem.second.node_->table()
                 .find({ coordination::EntryKind::kCopySummary, aName })
                 .has_value();
      });
  }

  fakes::FakeClock clock_;                    ///< Clock of the test.
  std::unique_ptr<fakes::PeerSwitch> switch_; ///< Simulated network.
  std::unique_ptr<fakes::FakeFleet> fleet_;   ///< The daemons.
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetZonesTest);
