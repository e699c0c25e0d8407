// Tests of the store follower.

#include "fakes/follower_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

class RoutingFollowerTest
  : public CppUnit::TestFixture
  , private fakes::FollowerWorld
{
  CPPUNIT_TEST_SUITE(RoutingFollowerTest);
  CPPUNIT_TEST(listsThenWatches);
  CPPUNIT_TEST(versionsNeverDecrease);
  CPPUNIT_TEST(undecodableEntryIsNoInstance);
  CPPUNIT_TEST(compactedHistoryTriggersNewList);
  CPPUNIT_TEST(daemonKeyRemovedBeforeCompactionIsReported);
  CPPUNIT_TEST(entriesMissingAfterOutageStayForGracePeriod);
  CPPUNIT_TEST(targetMissingFromPeerSnapshotHasNoGracePeriod);
  CPPUNIT_TEST(outageOfThisDaemonAloneHasNoGracePeriod);
  CPPUNIT_TEST(outageThatPeersShareHasAGracePeriod);
  CPPUNIT_TEST(changesAreReadWhenPeersDoNotHearTheStore);
  CPPUNIT_TEST(changesAreReadSeldomWhenPeersDoNotHearTheStore);
  CPPUNIT_TEST(coordinatorReadsAQuietStoreOften);
  CPPUNIT_TEST(removedEntryIsDroppedAtOnce);
  CPPUNIT_TEST(configurationIsTakenFromPeer);
  CPPUNIT_TEST(peerAnnouncementsReplaceWatches);
  CPPUNIT_TEST(watchesResumeWhenPeersFallSilent);
  CPPUNIT_TEST(announcedChangesCountWhileAZoneIsSilent);
  CPPUNIT_TEST(lowUrgencyMakesFewerCalls);
  CPPUNIT_TEST(nothingIsReadBeforeFirstConfiguration);
  CPPUNIT_TEST(staleListIsNotUsedUntilCaughtUp);
  CPPUNIT_TEST(staleListIsReadAgainAfterCompaction);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    start(followerSettings());
    data_->put("config", "3");
    data_->put("vm/a", "plain");
  }

  void lowUrgencyMakesFewerCalls()
  {
    const auto callsOf = [&](FollowerUrgency aUrgency) {
      follower_->setUrgency(aUrgency);
      const std::uint64_t before = data_->reads_;
      for (int change = 0; change < 80; ++change) {
        data_->put("vm/b", change % 2 == 0 ? "plain" : "engine");
        run(100ms);
      }
      return data_->reads_ - before;
    };
    run(1s);
    const std::uint64_t normal = callsOf(FollowerUrgency::kNormal);
    const std::uint64_t low = callsOf(FollowerUrgency::kLow);
    CPPUNIT_ASSERT(low <= 8s / 800ms + 1);
    CPPUNIT_ASSERT(low < normal);
  }

  // Many daemons start at once, before the first configuration exists, while
  // their VMs register one after the other. Reading each registration would
  // load the store with calls that have no use yet.
  void nothingIsReadBeforeFirstConfiguration()
  {
    start(followerSettings());
    for (int vm = 0; vm < 40; ++vm) {
      data_->put("vm/" + std::to_string(vm), "engine");
      run(100ms);
    }
    CPPUNIT_ASSERT(data_->reads_ <= 2);
    data_->put("config", "5");
    run(100ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, version());
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 40 }, follower_->instances()->size());
  }

  // A restarted daemon lists from a store replica that lags by seconds and
  // still has a removed target and a replaced configuration.
  void staleListIsNotUsedUntilCaughtUp()
  {
    data_->oldList_ = data_->listNow();
    data_->remove("vm/a");
    data_->put("vm/b", "plain");
    data_->put("config", "4");
    std::vector<std::uint64_t> versions;
    follower_->onConfig([&](const state::RoutingConfigPtr& aConfig) {
      versions.push_back(aConfig->version_.value());
    });
    std::size_t listed = 0;
    follower_->onInstances([&](const state::InstanceMapPtr& aInstances) {
      ++listed;
      CPPUNIT_ASSERT(!aInstances->contains(state::VmId("a")));
      CPPUNIT_ASSERT(aInstances->contains(state::VmId("b")));
    });
    run(1s);
    CPPUNIT_ASSERT(listed > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, versions.back());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, versions.size());
  }

  void staleListIsReadAgainAfterCompaction()
  {
    data_->oldList_ = data_->listNow();
    data_->remove("vm/a");
    data_->compact();
    run(1s);
    CPPUNIT_ASSERT(follower_->hasListed());
    CPPUNIT_ASSERT(follower_->instances()->empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, version());
  }

  void listsThenWatches()
  {
    std::vector<std::string> own;
    follower_->onDaemonKey(
      [&](const std::string& aKey, const std::optional<std::string>& aValue) {
        own.push_back(aKey + "=" + aValue.value_or("-"));
      });
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, version());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, follower_->instances()->size());
    data_->put("config", "4");
    data_->put("vm/b", "engine");
    data_->put("own/x", "1");
    data_->remove("own/x");
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, version());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, follower_->instances()->size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, own.size());
    CPPUNIT_ASSERT_EQUAL(std::string("own/x=-"), own.back());
  }

  void versionsNeverDecrease()
  {
    run(1s);
    data_->put("config", "2");
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, version());
    data_->put("config", "nonsense");
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, version());
  }

  void undecodableEntryIsNoInstance()
  {
    data_->put("vm/b", "garbage");
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, follower_->instances()->size());
    data_->put("vm/a", "garbage");
    run(1s);
    CPPUNIT_ASSERT(follower_->instances()->empty());
  }

  void compactedHistoryTriggersNewList()
  {
    run(1s);
    data_->remove("vm/a");
    data_->put("vm/b", "plain");
    data_->compact();
    run(3s);
    CPPUNIT_ASSERT(follower_->instances()->contains(state::VmId("b")));
    CPPUNIT_ASSERT(!follower_->instances()->contains(state::VmId("a")));
  }

  void daemonKeyRemovedBeforeCompactionIsReported()
  {
    std::map<std::string, std::string> own;
    follower_->onDaemonKey(
      [&](const std::string& aKey, const std::optional<std::string>& aValue) {
        own[aKey] = aValue.value_or("gone");
      });
    data_->put("own/x", "1");
    data_->put("own/y", "1");
    run(1s);
    data_->remove("own/x");
    data_->compact();
    run(3s);
    CPPUNIT_ASSERT_EQUAL(std::string("gone"), own["own/x"]);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), own["own/y"]);
  }

  void entriesMissingAfterOutageStayForGracePeriod()
  {
    run(1s);
    store_->faults().down_ = true;
    run(2s);
    CPPUNIT_ASSERT(follower_->hasOutage());
    data_->remove("vm/a");
    store_->faults().down_ = false;
    run(1s);
    CPPUNIT_ASSERT(!follower_->hasOutage());
    CPPUNIT_ASSERT(follower_->instances()->contains(state::VmId("a")));
    run(3s);
    CPPUNIT_ASSERT(!follower_->instances()->contains(state::VmId("a")));
  }

  // Only this daemon had a store outage. The peer that sent the snapshot had
  // none, so its view is current.
  void targetMissingFromPeerSnapshotHasNoGracePeriod()
  {
    run(1s);
    store_->faults().down_ = true;
    run(1s);
    store_->faults().down_ = false;
    run(1500ms);
    CPPUNIT_ASSERT(!follower_->hasOutage());
    data_->remove("vm/a");
    follower_->offerSnapshot({ data_->revision(data_->nextRevision_), "", {} });
    CPPUNIT_ASSERT(follower_->instances()->empty());
  }

  // Peers that are still heard must have renewed their leases during the
  // outage, so the store itself was available and missing entries are really
  // gone.
  void outageOfThisDaemonAloneHasNoGracePeriod()
  {
    run(1s);
    store_->faults().down_ = true;
    follower_->updatePeerStatus(true, {});
    run(16s);
    CPPUNIT_ASSERT(follower_->hasOutage());
    run(3s);
    data_->remove("vm/a");
    store_->faults().down_ = false;
    run(2s);
    CPPUNIT_ASSERT(!follower_->hasOutage());
    CPPUNIT_ASSERT(follower_->instances()->empty());
  }

  // Peers that are heard but do not hear the store either prove nothing of its
  // entries: they expired for all.
  void outageThatPeersShareHasAGracePeriod()
  {
    run(1s);
    store_->faults().down_ = true;
    follower_->updatePeerStatus(true, {});
    peersFollow_ = false;
    run(5s);
    CPPUNIT_ASSERT(follower_->hasOutage());
    data_->remove("vm/a");
    store_->faults().down_ = false;
    peersFollow_ = true;
    run(2s);
    CPPUNIT_ASSERT(!follower_->hasOutage());
    CPPUNIT_ASSERT(follower_->instances()->contains(state::VmId("a")));
    run(3s);
    CPPUNIT_ASSERT(follower_->instances()->empty());
  }

  // Coordinators that the store had turned away went on sending digests, and
  // nobody read a withdrawn key or a leaving target for over two seconds.
  void changesAreReadWhenPeersDoNotHearTheStore()
  {
    run(1s);
    follower_->updatePeerStatus(true, follower_->sharedRevision());
    run(3s);
    peersFollow_ = false;
    for (int version = 11; version < 15; ++version) {
      data_->put("config", std::to_string(version));
      data_->put("vm/e" + std::to_string(version), "engine");
      run(1600ms);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(version), this->version());
      CPPUNIT_ASSERT_EQUAL(std::size_t(version - 9),
                           follower_->instances()->size());
    }
  }

  // At a thousand daemons, each read counts.
  void changesAreReadSeldomWhenPeersDoNotHearTheStore()
  {
    run(1s);
    follower_->updatePeerStatus(true, follower_->sharedRevision());
    peersFollow_ = false;
    run(2s);
    const std::uint64_t reads = data_->reads_;
    run(14s);
    CPPUNIT_ASSERT(data_->reads_ >= reads + 9);
    CPPUNIT_ASSERT(data_->reads_ <= reads + 11);
  }

  // Others know the store only as well as their coordinator reads it.
  void coordinatorReadsAQuietStoreOften()
  {
    run(1s);
    follower_->updatePeerStatus(false, {});
    for (const auto urgency :
         { FollowerUrgency::kNormal, FollowerUrgency::kHigh }) {
      follower_->setUrgency(urgency);
      run(2s);
      for (int step = 0; step < 100; ++step) {
        run(20ms);
        CPPUNIT_ASSERT(clock_.now() - follower_->readAsOf() < 800ms);
      }
    }
    store_->faults().down_ = true;
    const state::TimePoint last = follower_->readAsOf();
    run(3s);
    CPPUNIT_ASSERT(follower_->readAsOf() - last < 400ms);
  }

  void removedEntryIsDroppedAtOnce()
  {
    run(1s);
    data_->remove("vm/a");
    run(1s);
    CPPUNIT_ASSERT(follower_->instances()->empty());
  }

  void configurationIsTakenFromPeer()
  {
    store_->faults().down_ = true;
    run(1s);
    CPPUNIT_ASSERT(!follower_->config());
    follower_->offerConfig("7");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, version());
    CPPUNIT_ASSERT_EQUAL(std::string("7"), follower_->configText());
  }

  void peerAnnouncementsReplaceWatches()
  {
    run(1s);
    const state::Revision known = follower_->sharedRevision();
    follower_->updatePeerStatus(true, known);
    run(2s);
    const std::uint64_t reads = data_->reads_;
    // Changes of model engines are not announced; daemons get them in digests.
    data_->put("vm/e", "engine");
    run(3s);
    CPPUNIT_ASSERT_EQUAL(reads, data_->reads_);
    const state::Revision announced = data_->put("config", "9");
    run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, version());
    follower_->updatePeerStatus(true, announced);
    run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, version());
    run(15s);
    CPPUNIT_ASSERT(data_->reads_ <= reads + 3);
  }

  void watchesResumeWhenPeersFallSilent()
  {
    run(1s);
    follower_->updatePeerStatus(true, follower_->sharedRevision());
    run(1s);
    data_->put("config", "9");
    follower_->updatePeerStatus(false, {});
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, version());
  }

  // When one zone has no coordinator, all daemons read from the store and load
  // it. Coordinators of other zones can still send the announced changes.
  void announcedChangesCountWhileAZoneIsSilent()
  {
    run(1s);
    follower_->updatePeerStatus(false, follower_->sharedRevision());
    CPPUNIT_ASSERT(!follower_->isBehind());
    const state::Revision announced = data_->put("config", "9");
    follower_->updatePeerStatus(false, announced);
    CPPUNIT_ASSERT(follower_->isBehind());
    follower_->offerSnapshot(
      { announced, "9", { { state::VmId("a"), "plain" } } });
    CPPUNIT_ASSERT(!follower_->isBehind());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, version());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, follower_->instances()->size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingFollowerTest);
