// Tests of how much a daemon reads of the store to catch up with it.

#include "fakes/follower_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kConfigBytes = 500UL * 1024; ///< A large configuration.
constexpr int kVersions = 20; ///< Versions written one after the other.

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
  CPPUNIT_TEST(versionsToldByPeersAreNotReadAgain);
  CPPUNIT_TEST(newsThatPeersLackAreReadOnce);
  CPPUNIT_TEST(versionPassedOverIsReadWhenOthersFallSilent);
  CPPUNIT_TEST(versionPassedOverIsReadWhenItIsAnnounced);
  CPPUNIT_TEST(lackIsCountedFromTheOldestAnnouncement);
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

  void versionsToldByPeersAreNotReadAgain()
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
    std::optional<std::string> own;
    follower_->onDaemonKey(
      [&](const std::string&, const std::optional<std::string>& aValue) {
        own = aValue;
      });
    run(30s);
    CPPUNIT_ASSERT(own == "1");
    CPPUNIT_ASSERT(follower_->instances()->contains(state::VmId("b")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ kVersions }, version());
    CPPUNIT_ASSERT(data_->readBytes_ < 2 * kConfigBytes);
  }

  void newsThatPeersLackAreReadOnce()
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

  // All other changes were read after it, and nobody had announced it yet.
  void versionPassedOverIsReadWhenOthersFallSilent()
  {
    passOver();
    follower_->updatePeerStatus(false, {});
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, version());
  }

  void versionPassedOverIsReadWhenItIsAnnounced()
  {
    const state::Revision at = passOver();
    follower_->updatePeerStatus(true, at);
    CPPUNIT_ASSERT(follower_->isBehind());
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, version());
    CPPUNIT_ASSERT(!follower_->isBehind());
  }

  void lackIsCountedFromTheOldestAnnouncement()
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
    const std::map<state::VmId, std::string> plains{ { state::VmId("a"),
                                                       "plain" } };
    follower_->offerSnapshot({ first, largeConfig(2), plains });
    CPPUNIT_ASSERT(follower_->behindFor() == 500ms);
    follower_->offerSnapshot({ second, largeConfig(3), plains });
    CPPUNIT_ASSERT(follower_->behindFor() == state::Duration{});
  }

private:
  /** Lets a version go by that nobody announces. @return Its revision. */
  state::Revision passOver()
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
