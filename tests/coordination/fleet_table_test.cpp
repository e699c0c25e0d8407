// Unit tests of the gossip table, the link clock and the store limiter.

#include "coordination/fleet/gossip_table.h"
#include "coordination/fleet/link_clock.h"
#include "coordination/fleet/store_limiter.h"
#include "fakes/fake_clock.h"
#include "fakes/fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace std::chrono_literals;
using coordination::EntryKind;
using coordination::GossipLink;
using coordination::GossipTable;

class FleetTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetTableTest);
  CPPUNIT_TEST(greaterVersionWins);
  CPPUNIT_TEST(sameVersionsConverge);
  CPPUNIT_TEST(digestsRepairLostEntries);
  CPPUNIT_TEST(bytesAreLimited);
  CPPUNIT_TEST(kindsAreSentInOrder);
  CPPUNIT_TEST(removedEntryLeavesATombstone);
  CPPUNIT_TEST(onlySomeKindsCrossZones);
  CPPUNIT_TEST(transitTimeIsBounded);
  CPPUNIT_TEST(limiterSendsUrgentCallsFirst);
  CPPUNIT_TEST(limiterSharesByDemand);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { clock_ = fakes::FakeClock(); }

  void greaterVersionWins()
  {
    GossipTable table(clock_, {});
    CPPUNIT_ASSERT(table.publish(entry("a", 2, "new")));
    CPPUNIT_ASSERT(!table.publish(entry("a", 1, "old")));
    CPPUNIT_ASSERT(!table.publish(entry("a", 2, "new")));
    CPPUNIT_ASSERT_EQUAL(std::string("new"),
                         table.find(entry("a", 0, "").key_)->payload_);
  }

  void sameVersionsConverge()
  {
    GossipTable left(clock_, {});
    GossipTable right(clock_, {});
    left.publish(entry("a", 1, "x"));
    left.publish(entry("a", 1, "y"));
    right.publish(entry("a", 1, "y"));
    right.publish(entry("a", 1, "x"));
    CPPUNIT_ASSERT(left.digest(kPeer).buckets_ == right.digest(kPeer).buckets_);
  }

  void digestsRepairLostEntries()
  {
    GossipTable left(clock_, {});
    GossipTable right(clock_, {});
    left.setLinks({ kPeer });
    right.setLinks({ kPeer });
    for (int index = 0; index < 500; ++index) {
      const std::string name = std::to_string(index);
      left.publish(entry(name, index % 3 == 0 ? 2 : 1, "payload"));
      right.publish(entry(name, index % 3 == 1 ? 2 : 1, "payload"));
    }
    // Discards the queued entries, as if they had been lost.
    drain(left);
    drain(right);
    for (int round = 0; round < 5; ++round) {
      const auto buckets = right.compare(kPeer, left.digest(kPeer));
      const auto request = left.compare(kPeer, buckets);
      right.enqueueRequested(kPeer, request);
      deliver(left, right);
      deliver(right, left);
    }
    CPPUNIT_ASSERT(left.digest(kPeer).buckets_ == right.digest(kPeer).buckets_);
  }

  void bytesAreLimited()
  {
    GossipTable table(clock_, { 1000, 2000, 4000 });
    table.setLinks({ kPeer });
    for (int index = 0; index < 1000; ++index) {
      table.publish(entry(std::to_string(index), 1, std::string(84, 'x')));
    }
    std::size_t bytes = 0;
    for (int step = 0; step < 600; ++step) {
      clock_.advance(100ms);
      table.tick();
      for (const auto& item : table.collect(kPeer)) {
        bytes += item.entry_.payload_.size();
      }
    }
    CPPUNIT_ASSERT(bytes <= 4000 + 60 * 1000 + 200);
    CPPUNIT_ASSERT(bytes >= 40000);
  }

  void kindsAreSentInOrder()
  {
    GossipTable table(clock_, {});
    table.setLinks({ kPeer });
    table.publish(entry("usage", 1, "x", EntryKind::kUsage));
    table.publish(entry("vm", 1, "x", EntryKind::kVmInfo));
    table.publish(entry("daemon", 1, "x", EntryKind::kDaemon));
    clock_.advance(100ms);
    table.tick();
    const auto items = table.collect(kPeer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, items.size());
    CPPUNIT_ASSERT(items[0].entry_.key_.kind_ == EntryKind::kDaemon);
    CPPUNIT_ASSERT(items[2].entry_.key_.kind_ == EntryKind::kUsage);
  }

  void removedEntryLeavesATombstone()
  {
    GossipTable table(clock_, {});
    table.publish(entry("a", 1, "x"));
    table.publish(entry("a", 2, ""));
    CPPUNIT_ASSERT(table.list(EntryKind::kVmInfo).empty());
    table.receive(kPeer, { entry("a", 1, "x"), false, false });
    CPPUNIT_ASSERT(table.list(EntryKind::kVmInfo).empty());
    clock_.advance(11min);
    table.tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, table.size());
  }

  void onlySomeKindsCrossZones()
  {
    GossipTable table(clock_, {});
    const GossipLink other{ { "127.0.1.1", 1 }, true };
    table.setLinks({ other });
    table.publish(entry("vm", 1, "x", EntryKind::kVmInfo));
    table.publish(entry("copy", 1, "x", EntryKind::kCopySummary));
    clock_.advance(100ms);
    table.tick();
    const auto items = table.collect(other);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, items.size());
    CPPUNIT_ASSERT(items[0].entry_.key_.kind_ == EntryKind::kCopySummary);
  }

  void transitTimeIsBounded()
  {
    coordination::LinkClock left(clock_);
    clock_.advance(7s);
    coordination::LinkClock right(clock_);
    CPPUNIT_ASSERT(
      !right.recordArrival(kPeer.endpoint_, left.stamp(kPeer.endpoint_)));
    clock_.advance(1s);
    const auto back = right.stamp(kPeer.endpoint_);
    clock_.advance(3s);
    const auto transit = left.recordArrival(kPeer.endpoint_, back);
    CPPUNIT_ASSERT(transit && *transit >= 3s && *transit <= 3010ms);
  }

  void limiterSendsUrgentCallsFirst()
  {
    fakes::FakeStore store(clock_, std::make_shared<fakes::FakeStoreData>());
    coordination::FleetSettings settings;
    settings.storeCallsPerSecond_ = 10;
    coordination::StoreLimiter limiter(settings, clock_, store);
    std::vector<int> answers;
    for (int index = 0; index < 40; ++index) {
      const bool urgent = index >= 30;
      limiter.get("k",
                  urgent ? coordination::StorePriority::kClaim
                         : coordination::StorePriority::kOther,
                  [&answers, index](const coordination::StoreReply&) {
                    answers.push_back(index);
                  });
    }
    for (int step = 0; step < 40; ++step) {
      clock_.advance(100ms);
      store.step();
      limiter.tick({ 1, 10, 10 });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 40 }, answers.size());
    // Of the calls that had to wait for the limit, the urgent ones were sent
    // first.
    for (std::size_t place = 20; place < 30; ++place) {
      CPPUNIT_ASSERT(answers[place] >= 30);
    }
  }

  void limiterSharesByDemand()
  {
    fakes::FakeStore store(clock_, std::make_shared<fakes::FakeStoreData>());
    coordination::FleetSettings settings;
    settings.storeCallsPerSecond_ = 900;
    settings.zones_ = 9;
    coordination::StoreLimiter limiter(settings, clock_, store);
    limiter.tick({ 100, 0, 0 });
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, limiter.share(), 1e-9);
    limiter.tick({ 100, 40, 10 });
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3 + 70.0 / 4, limiter.share(), 1e-9);
  }

private:
  inline static const GossipLink kPeer{ { "127.0.0.1", 1 }, false }; ///< Peer.

  /** @return An entry observed now. */
  coordination::SharedEntry entry(const std::string& aName,
                                  std::uint64_t aVersion,
                                  const std::string& aPayload,
                                  EntryKind aKind = EntryKind::kVmInfo) const
  {
    return { { aKind, aName }, { aVersion, 0 }, aPayload, clock_.now() };
  }

  /** @return All entries queued for the peer, collected over 50 s. */
  std::vector<coordination::WireEntry> drain(GossipTable& aTable)
  {
    std::vector<coordination::WireEntry> all;
    for (int step = 0; step < 50; ++step) {
      clock_.advance(1s);
      aTable.tick();
      const auto items = aTable.collect(kPeer);
      all.insert(all.end(), items.begin(), items.end());
    }
    return all;
  }

  /** Delivers all queued entries of one table to another. */
  void deliver(GossipTable& aFrom, GossipTable& aTo)
  {
    for (const auto& item : drain(aFrom)) {
      aTo.receive(kPeer, item);
    }
  }

  fakes::FakeClock clock_; ///< Clock of the test.
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTableTest);
