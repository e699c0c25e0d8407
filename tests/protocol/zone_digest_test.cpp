// Tests of the digests and of the exchange of the configuration.

#include "coordination/routing/zone_digest_monitor.h"
#include "protocol/config_exchange.h"
#include "protocol/datagram_func.h"
#include "protocol/zone_digest_codec.h"

#include "fakes/fake_byte_links.h"
#include "fakes/fake_event_log.h"
#include "fakes/fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>

using namespace auburnhaven;
using namespace std::chrono_literals;

namespace {

/** @return A digest with some copies. */
coordination::ZoneDigest
digest(int aCopies, state::TimePoint aNow)
{
  coordination::ZoneDigest result{ state::ZoneId("z"),
                                   state::ServiceId("s"),
                                   7,
                                   9,
                                   state::Revision(33, state::StoreEra(2)),
                                   {},
                                   true,
                                   true };
  for (int index = 0; index < aCopies; ++index) {
    result.copies_.push_back({ state::VmId("vm" + std::to_string(index)),
                               { "10.0.0.1", 80 },
                               state::ModelId("m"),
                               3,
                               4,
                               index % 2 == 1,
                               1.5,
                               aNow - 100ms });
  }
  return result;
}

/** Reads any text as a version of its length, or as an instance of a service of
 * that name. */
class AnyCodec : public coordination::RoutingCodec
{
public:
  std::optional<state::DecodedRouting> decodeConfig(
    const std::string& aText) const override
  {
    state::RoutingConfig config;
    config.version_ = state::Generation(aText.size());
    return state::DecodedRouting{ std::move(config), {} };
  }
  std::optional<state::Instance> decodeInstance(
    const state::VmId& aVm,
    const std::string& aText) const override
  {
    state::Instance instance;
    instance.id_ = aVm;
    instance.service_ = state::ServiceId(aText);
    return instance;
  }
};

} // namespace

class ZoneDigestTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ZoneDigestTest);
  CPPUNIT_TEST(digestComesBack);
  CPPUNIT_TEST(digestOfEarlierVersionNamesNoEra);
  CPPUNIT_TEST(largeDigestFitsIntoDatagram);
  CPPUNIT_TEST(garbageIsNoDigest);
  CPPUNIT_TEST(digestWithAnAgeOutOfRangeIsRefused);
  CPPUNIT_TEST(cutOffDaemonLearnsFromPeer);
  CPPUNIT_TEST(calmDaemonLearnsNewsFromItsCoordinator);
  CPPUNIT_TEST(sameNewsAreNotToldTwiceAtOnce);
  CPPUNIT_TEST(changeIsReadWhileTheCoordinatorIsTurnedAway);
  CPPUNIT_TEST_SUITE_END();

public:
  void digestComesBack()
  {
    const state::TimePoint now{ 1h };
    const auto sent = digest(3, now);
    CPPUNIT_ASSERT(protocol::decodeZoneDigest(
                     protocol::encodeZoneDigest(sent, now), now) == sent);
  }

  // The time of the measurement overflowed.
  void digestWithAnAgeOutOfRangeIsRefused()
  {
    const state::TimePoint now{ 1h };
    const auto message = nlohmann::json::from_cbor(
      protocol::encodeZoneDigest(digest(1, now), now));
    for (const std::int64_t age :
         { std::numeric_limits<std::int64_t>::min(),
           std::numeric_limits<std::int64_t>::max() }) {
      auto changed = message;
      changed.at(5).at(0).at(8) = age;
      CPPUNIT_ASSERT(
        !protocol::decodeZoneDigest(protocol::encodeDatagram(changed), now));
    }
  }

  void digestOfEarlierVersionNamesNoEra()
  {
    const state::TimePoint now{ 1h };
    auto message = nlohmann::json::from_cbor(
      protocol::encodeZoneDigest(digest(1, now), now));
    // The version before named the era, but not the age of what is known.
    message.erase(message.size() - 1);
    auto taken =
      protocol::decodeZoneDigest(protocol::encodeDatagram(message), now);
    CPPUNIT_ASSERT(taken->sharedRevision_ == digest(1, now).sharedRevision_);
    CPPUNIT_ASSERT(taken->knownAsOf_ == now);
    message.erase(message.size() - 1);
    taken = protocol::decodeZoneDigest(protocol::encodeDatagram(message), now);
    CPPUNIT_ASSERT(taken->sharedRevision_ == state::Revision(33));
  }

  void largeDigestFitsIntoDatagram()
  {
    const state::TimePoint now{ 1h };
    const std::string datagram =
      protocol::encodeZoneDigest(digest(100, now), now);
    CPPUNIT_ASSERT(datagram.size() <= protocol::kMaxDigestBytes);
    const auto taken = protocol::decodeZoneDigest(datagram, now);
    CPPUNIT_ASSERT(taken.has_value());
    // More than the copies of 60 VMs; what does not fit is not said to be gone.
    CPPUNIT_ASSERT(taken->copies_.size() >= 20);
    CPPUNIT_ASSERT(!taken->complete_);
  }

  void garbageIsNoDigest()
  {
    const state::TimePoint now{ 1h };
    const std::string good = protocol::encodeZoneDigest(digest(2, now), now);
    for (std::size_t size = 0; size < good.size(); ++size) {
      CPPUNIT_ASSERT(
        !protocol::decodeZoneDigest(good.substr(0, size), now).has_value());
    }
    CPPUNIT_ASSERT(!protocol::decodeZoneDigest("hello", now).has_value());
    CPPUNIT_ASSERT(!protocol::decodeZoneDigest("\x81\x01", now).has_value());
    std::mt19937 random(3);
    for (int round = 0; round < 2000; ++round) {
      std::string bytes(random() % 40, '\0');
      for (char& byte : bytes) {
        byte = static_cast<char>(random());
      }
      CPPUNIT_ASSERT(!protocol::decodeZoneDigest(bytes, now).has_value());
    }
  }

  void cutOffDaemonLearnsFromPeer()
  {
    fakes::FakeClock clock;
    fakes::ByteSwitch network(clock, 3);
    fakes::FakeEventLog log;
    const AnyCodec codec;
    auto data = std::make_shared<fakes::FakeStoreData>();
    data->put("config", "new");
    fakes::FakeStore goodStore(clock, data);
    fakes::FakeStore cutStore(clock, data);
    cutStore.faults().down_ = true;
    coordination::FollowerSettings settings;
    settings.configKey_ = "config";
    settings.instancePrefix_ = "vm/";
    coordination::StoreFollower good(clock, goodStore, codec, log, settings);
    coordination::StoreFollower cut(clock, cutStore, codec, log, settings);
    const state::Endpoint goodAt{ "g", 1 };
    const state::Endpoint cutAt{ "c", 1 };
    fakes::FakeByteLinks goodLinks(network, goodAt);
    fakes::FakeByteLinks cutLinks(network, cutAt);
    protocol::ConfigExchange giver(clock, goodLinks, good, log, { goodAt, 1 });
    protocol::ConfigExchange asker(clock, cutLinks, cut, log, { cutAt, 2 });
    asker.setPeers({ goodAt, cutAt });
    for (int step = 0; step < 150; ++step) {
      clock.advance(20ms);
      goodStore.step();
      cutStore.step();
      good.tick();
      cut.tick();
      asker.tick();
      network.step();
    }
    CPPUNIT_ASSERT(cut.config() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("new"), cut.configText());
  }

  // Questions that came faster than a slow link took the answers away filled
  // the coordinator's memory with copies of a large configuration.
  void sameNewsAreNotToldTwiceAtOnce()
  {
    fakes::FakeClock clock;
    fakes::ByteSwitch network(clock, 3);
    fakes::FakeEventLog log;
    const AnyCodec codec;
    auto data = std::make_shared<fakes::FakeStoreData>();
    data->put("config", "old");
    fakes::FakeStore store(clock, data);
    coordination::FollowerSettings settings;
    settings.configKey_ = "config";
    settings.instancePrefix_ = "vm/";
    coordination::StoreFollower leader(clock, store, codec, log, settings);
    const state::Endpoint leaderAt{ "l", 1 };
    const state::Endpoint askerAt{ "c", 1 };
    fakes::FakeByteLinks leaderLinks(network, leaderAt);
    fakes::FakeByteLinks askerLinks(network, askerAt);
    const protocol::ConfigExchange giver(
      clock, leaderLinks, leader, log, { leaderAt, 1 });
    int answers = 0;
    askerLinks.onMessage(
      [&](const state::Endpoint&, const std::string&) { ++answers; });
    const auto ask = [&](int aTimes) {
      for (int time = 0; time < aTimes; ++time) {
        clock.advance(50ms);
        store.step();
        leader.tick();
        askerLinks.send(leaderAt, protocol::encodeNewsQuestion({}));
        network.step();
      }
    };
    ask(16);
    clock.advance(2s);
    answers = 0;
    ask(16);
    CPPUNIT_ASSERT_EQUAL(1, answers);
    data->put("config", "newer");
    ask(16);
    CPPUNIT_ASSERT_EQUAL(2, answers);
  }

  // The store turned the coordinator away; its digests went on, and no daemon
  // read a change for up to two and a half seconds.
  void changeIsReadWhileTheCoordinatorIsTurnedAway()
  {
    constexpr std::chrono::milliseconds kBound{
      1800
    }; // below the 2 s that callers are promised
    for (int phase = 0; phase < 600; phase += 100) {
      CPPUNIT_ASSERT(timeToRead(std::chrono::milliseconds(phase)) <= kBound);
    }
  }

  // Reading news in the store, hundreds of daemons were told all changes of all
  // engines since their last reading, which took seconds.
  void calmDaemonLearnsNewsFromItsCoordinator()
  {
    fakes::FakeClock clock;
    fakes::ByteSwitch network(clock, 3);
    fakes::FakeEventLog log;
    const AnyCodec codec;
    auto data = std::make_shared<fakes::FakeStoreData>();
    data->put("config", "old");
    data->put("vm/p", "first");
    fakes::FakeStore leaderStore(clock, data);
    fakes::FakeStore calmStore(clock, data);
    coordination::FollowerSettings settings;
    settings.configKey_ = "config";
    settings.instancePrefix_ = "vm/";
    settings.peerFetchTimeout_ = 800ms;
    coordination::StoreFollower leader(
      clock, leaderStore, codec, log, settings);
    coordination::StoreFollower calm(clock, calmStore, codec, log, settings);
    const state::Endpoint leaderAt{ "l", 1 };
    const state::Endpoint calmAt{ "c", 1 };
    fakes::FakeByteLinks leaderLinks(network, leaderAt);
    fakes::FakeByteLinks calmLinks(network, calmAt);
    protocol::ConfigExchange giver(
      clock, leaderLinks, leader, log, { leaderAt, 1 });
    protocol::ConfigExchange asker(clock, calmLinks, calm, log, { calmAt, 2 });
    bool heard = false;
    bool told = true;
    const auto run = [&](std::chrono::milliseconds aTime) {
      for (std::chrono::milliseconds past{}; past < aTime; past += 20ms) {
        clock.advance(20ms);
        leaderStore.step();
        calmStore.step();
        leader.tick();
        calm.updatePeerStatus(heard, leader.sharedRevision());
        calm.noteConfirmed(leader.readAsOf());
        asker.noteCoordinator(
          leaderAt, told ? leader.sharedRevision() : state::Revision(), true);
        calm.tick();
        asker.tick();
        network.step();
      }
    };
    run(1s);
    heard = true;
    run(1s);
    const std::uint64_t version = calm.config()->version_.value();
    calmStore.faults().down_ = true;
    data->put("config", "newer");
    data->put("vm/p", "second");
    data->put("vm/q", "third");
    run(700ms);
    CPPUNIT_ASSERT(calm.config()->version_.value() > version);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, calm.instances()->size());
    CPPUNIT_ASSERT_EQUAL(state::ServiceId("second"),
                         calm.instances()->at(state::VmId("p")).service_);
    data->remove("vm/p");
    run(700ms);
    CPPUNIT_ASSERT(!calm.instances()->contains(state::VmId("p")));
    CPPUNIT_ASSERT(!calm.hasOutage());
    // No coordinator has the news: the store is asked.
    calmStore.faults().down_ = false;
    told = false;
    data->put("config", "the newest");
    run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("the newest"), calm.configText());
  }

private:
  /** @return How long after a change a daemon has read it, if the store turns
   * its coordinator away just before, some time into a quiet phase. */
  static state::Duration timeToRead(std::chrono::milliseconds aPhase)
  {
    constexpr std::chrono::milliseconds kQuietTime{ 5000 };
    constexpr std::chrono::milliseconds kDigestPeriod{ 300 };
    constexpr std::chrono::milliseconds kAuthority{ 1500 }; // with an extension
    fakes::FakeClock clock;
    fakes::FakeEventLog log;
    const AnyCodec codec;
    auto data = std::make_shared<fakes::FakeStoreData>();
    data->put("config", "old");
    fakes::FakeStore leaderStore(clock, data);
    fakes::FakeStore calmStore(clock, data);
    coordination::FollowerSettings settings;
    settings.configKey_ = "config";
    settings.instancePrefix_ = "vm/";
    settings.peerFetchTimeout_ = 800ms;
    coordination::StoreFollower leader(
      clock, leaderStore, codec, log, settings);
    coordination::StoreFollower calm(clock, calmStore, codec, log, settings);
    const state::ZoneId zone("z");
    coordination::ZoneDigestMonitor hearing(zone, 1s);
    state::TimePoint digestAt{};
    state::TimePoint turnedAwayAt = state::TimePoint::max();
    const auto step = [&] {
      clock.advance(20ms);
      leaderStore.step();
      calmStore.step();
      leader.tick();
      const bool leads =
        clock.now() < turnedAwayAt || clock.now() - turnedAwayAt < kAuthority;
      if (leads && clock.now() >= digestAt) {
        digestAt = clock.now() + kDigestPeriod;
        coordination::ZoneDigest digest;
        digest.zone_ = zone;
        digest.sharedRevision_ = leader.sharedRevision();
        digest.knownAsOf_ = leader.readAsOf();
        const auto arrived = protocol::decodeZoneDigest(
          protocol::encodeZoneDigest(digest, clock.now()), clock.now());
        hearing.noteDigest(zone, clock.now(), arrived->knownAsOf_);
      }
      calm.updatePeerStatus(hearing.allZonesFresh(clock.now()),
                            leader.sharedRevision());
      calm.noteConfirmed(hearing.knownAsOf());
      calm.tick();
    };
    const auto run = [&](std::chrono::milliseconds aTime) {
      for (std::chrono::milliseconds past{}; past < aTime; past += 20ms) {
        step();
      }
    };
    run(kQuietTime + aPhase);
    leaderStore.faults().down_ = true;
    turnedAwayAt = clock.now();
    data->put("config", "newer");
    while (calm.configText() != "newer") {
      step();
    }
    return clock.now() - turnedAwayAt;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneDigestTest);
