// Tests of followers whose store returns to an older state.

#include "fakes/follower_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

namespace {

constexpr auto kBound = 2s;     ///< Time in which a change must be in force.
constexpr int kLostWrites = 40; ///< Writes that the store loses.

/** A daemon that follows the store. */
struct Daemon
{
  Daemon(fakes::FakeClock& aClock,
         const std::shared_ptr<fakes::FakeStoreData>& aData)
    : store_(aClock, aData)
    , follower_(aClock,
                store_,
                codec_,
                log_,
                fakes::FollowerWorld::followerSettings())
  {
  }

  std::uint64_t version() const { return follower_.config()->version_.value(); }
  bool knows(const char* aVm) const
  {
    return follower_.instances()->contains(state::VmId(aVm));
  }

  fakes::FakeRoutingCodec codec_; ///< Decodes values.
  fakes::FakeEventLog log_;       ///< Log.
  fakes::FakeStore store_;        ///< Connection to the store.
  StoreFollower follower_;        ///< The follower.
};

} // namespace

class RestoredStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RestoredStoreTest);
  CPPUNIT_TEST(changeAfterRestoreReachesDaemonThatPeersTell);
  CPPUNIT_TEST(changeBelowResumedWatchIsNotMissed);
  CPPUNIT_TEST(confirmedVersionIsNotUndone);
  CPPUNIT_TEST(laggingListAfterRestoreIsNotUsed);
  CPPUNIT_TEST(entryThatTheCopyLacksStaysForGracePeriod);
  CPPUNIT_TEST(entryThatTheCopyLacksLeavesToldDaemonsToo);
  CPPUNIT_TEST(announcementWithoutEraCountsInKnownEra);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    data_->put("config", "3");
    data_->put("vm/a", "plain");
    copy_ = *data_;
    run(1s);
    for (int write = 0; write < kLostWrites; ++write) {
      data_->put("vm/e", "engine");
    }
    run(1s);
  }

  void changeAfterRestoreReachesDaemonThatPeersTell()
  {
    data_->restore(copy_);
    run(1s);
    data_->put("config", "4");
    run(kBound);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, watching_.version());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, told_.version());
  }

  void changeBelowResumedWatchIsNotMissed()
  {
    data_->restore(copy_);
    data_->put("config", "4");
    data_->put("vm/b", "plain");
    data_->remove("vm/a");
    for (int write = 0; write < 2 * kLostWrites; ++write) {
      data_->put("vm/e", "engine");
    }
    run(kBound);
    for (const Daemon* daemon : { &watching_, &told_ }) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, daemon->version());
      CPPUNIT_ASSERT(daemon->knows("b"));
    }
    run(kBound);
    CPPUNIT_ASSERT(!watching_.knows("a"));
  }

  void confirmedVersionIsNotUndone()
  {
    data_->put("config", "4");
    run(kBound);
    data_->restore(copy_);
    run(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, watching_.version());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, told_.version());
    data_->put("config", "4");
    run(1s);
    data_->put("config", "5");
    run(kBound);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, watching_.version());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, told_.version());
  }

  void laggingListAfterRestoreIsNotUsed()
  {
    data_->oldList_ = data_->listNow();
    data_->restore(copy_);
    data_->put("config", "4");
    run(500ms);
    for (int write = 0; write < 2 * kLostWrites; ++write) {
      data_->put("vm/e", "engine");
    }
    run(kBound);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, watching_.version());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, told_.version());
  }

  void entryThatTheCopyLacksStaysForGracePeriod()
  {
    data_->put("vm/b", "plain");
    data_->put("vm/c", "plain");
    run(1s);
    data_->restore(copy_);
    run(1s);
    CPPUNIT_ASSERT(watching_.knows("b") && told_.knows("b"));
    data_->put("vm/b", "plain");
    run(4s);
    CPPUNIT_ASSERT(watching_.knows("b") && told_.knows("b"));
  }

  void entryThatTheCopyLacksLeavesToldDaemonsToo()
  {
    data_->put("vm/b", "plain");
    run(1s);
    data_->restore(copy_);
    for (int write = 0; write < kLostWrites; ++write) {
      data_->put("vm/e", "engine");
      run(100ms);
    }
    CPPUNIT_ASSERT(!watching_.knows("b"));
    CPPUNIT_ASSERT(!told_.knows("b"));
  }

  void announcementWithoutEraCountsInKnownEra()
  {
    data_->restore(copy_);
    run(kBound);
    const state::Revision known = told_.follower_.knownRevision();
    CPPUNIT_ASSERT(known.era() == state::StoreEra(1));
    told_.follower_.updatePeerStatus(
      true, told_.follower_.inKnownEra(state::Revision(known.value() + 1)));
    CPPUNIT_ASSERT(told_.follower_.isBehind());
  }

private:
  void run(state::Duration aTime)
  {
    constexpr std::chrono::milliseconds kStep{ 20 };
    for (state::Duration past{}; past < aTime; past += kStep) {
      clock_.advance(kStep);
      for (Daemon* daemon : { &watching_, &told_ }) {
        daemon->store_.step();
        daemon->follower_.tick();
      }
      tell();
    }
  }

  /** The watching daemon announces changes and answers questions for them. */
  void tell()
  {
    const bool heard = told_.follower_.hasListed();
    told_.follower_.updatePeerStatus(heard,
                                     watching_.follower_.sharedRevision());
    told_.follower_.noteConfirmed(watching_.follower_.readAsOf());
    auto snapshot = watching_.follower_.snapshot();
    if (told_.follower_.isBehind() && snapshot) {
      snapshot->config_ = watching_.follower_.configText();
      told_.follower_.offerSnapshot(*snapshot);
    }
  }

  fakes::FakeClock clock_; ///< Clock.
  std::shared_ptr<fakes::FakeStoreData> data_ =
    std::make_shared<fakes::FakeStoreData>(); ///< The store.
  fakes::FakeStoreData copy_;                 ///< An older copy of it.
  Daemon watching_{ clock_, data_ };          ///< Watches the store.
  Daemon told_{ clock_, data_ }; ///< Hears of changes from the other one.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreTest);
