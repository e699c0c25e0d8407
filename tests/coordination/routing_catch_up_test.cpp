// Tests of how much a daemon reads from the store to catch up.

#include "fakes/follower_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kConfigBytes = 500UL * 1024; ///< A large configuration.
constexpr int kVersions = 20; ///< Versions written in sequence.

/** @return Text of a large configuration. */
std::string
largeConfig(int aVersion)
{
  return std::to_string(aVersion) + std::string(kConfigBytes, ' ');
}

} // namespace

class RoutingCatchUpTest
  : public CppUnit::TestFixture
  , private fakes::FollowerWorld
{
  CPPUNIT_TEST_SUITE(RoutingCatchUpTest);
  CPPUNIT_TEST(versionsSentByPeersAreNotReadAgain);
  CPPUNIT_TEST(changesThatPeersDoNotSendAreReadOnce);
  CPPUNIT_TEST(skippedVersionIsReadWhenPeersFallSilent);
  CPPUNIT_TEST(skippedVersionIsReadWhenAnnounced);
  CPPUNIT_TEST(behindTimeStartsAtOldestAnnouncement);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    FollowerSettings settings = followerSettings();
    settings.peerFetchTimeout_ = 800ms;
    start(settings);
    data_->put("config", largeConfig(1));
    data_->put("vm/a", "plain");
    run(1s);
    follower_->updatePeerStatus(true, follower_->sharedRevision());
    run(1s);
    data_->readBytes_ = 0;
  }

  void versionsSentByPeersAreNotReadAgain()
  {
    for (int version = 2; version <= kVersions; ++version) {
      const state::Revision at = data_->put("config", largeConfig(version));
      follower_->updatePeerStatus(true, at);
      follower_->offerSnapshot(
        { at, largeConfig(version), { { state::VmId("a"), "plain" } } });
      run(100ms);
    }
    data_->put("vm/b", "plain");
    data_->put("own/x", "1");
    std::optional<std::string> daemonValue;
    follower_->onDaemonKey(
      [&](const std::string&, const std::optional<std::string>& aValue) {
        daemonValue = aValue;
      });
    run(30s);
    CPPUNIT_ASSERT(daemonValue == "1");
    CPPUNIT_ASSERT(follower_->instances()->contains(state::VmId("b")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ kVersions }, version());
    CPPUNIT_ASSERT(data_->readBytes_ < 2 * kConfigBytes);
  }

  void changesThatPeersDoNotSendAreReadOnce()
  {
    state::Revision at;
    for (int version = 2; version <= kVersions; ++version) {
      at = data_->put("config", largeConfig(version));
    }
    follower_->updatePeerStatus(true, at);
    run(2s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ kVersions }, version());
    CPPUNIT_ASSERT(!follower_->isBehind());
    CPPUNIT_ASSERT(data_->readBytes_ < 2 * kConfigBytes);
  }

  // The follower has read other changes with newer revisions but skipped this
  // configuration version, which no peer has announced.
  void skippedVersionIsReadWhenPeersFallSilent()
  {
    skipVersion();
    follower_->updatePeerStatus(false, {});
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, version());
  }

  void skippedVersionIsReadWhenAnnounced()
  {
    const state::Revision at = skipVersion();
    follower_->updatePeerStatus(true, at);
    CPPUNIT_ASSERT(follower_->isBehind());
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, version());
    CPPUNIT_ASSERT(!follower_->isBehind());
  }

  void behindTimeStartsAtOldestAnnouncement()
  {
    store_->faults().down_ = true;
    CPPUNIT_ASSERT(follower_->behindFor() == state::Duration{});
    const state::Revision first = data_->put("config", largeConfig(2));
    follower_->updatePeerStatus(true, first);
    run(1s);
    const state::Revision second = data_->put("config", largeConfig(3));
    follower_->updatePeerStatus(true, second);
    run(500ms);
    CPPUNIT_ASSERT(follower_->behindFor() == 1500ms);
    const std::map<state::VmId, std::string> plainInstances{ { state::VmId("a"),
                                                               "plain" } };
    follower_->offerSnapshot({ first, largeConfig(2), plainInstances });
    CPPUNIT_ASSERT(follower_->behindFor() == 500ms);
    follower_->offerSnapshot({ second, largeConfig(3), plainInstances });
    CPPUNIT_ASSERT(follower_->behindFor() == state::Duration{});
  }

private:
  /** Writes a configuration version that no peer announces and the follower
   * skips. @return Its revision. */
  state::Revision skipVersion()
  {
    const state::Revision at = data_->put("config", largeConfig(2));
    data_->put("vm/b", "plain");
    run(15s);
    CPPUNIT_ASSERT(follower_->instances()->contains(state::VmId("b")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, version());
    return at;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingCatchUpTest);
