// Tests of acquiring the leadership of a zone.

#include "coordination/replica/zone_leadership.h"
#include "fakes/fake_event_log.h"
#include "fakes/fake_replica_engines.h"
#include "fakes/fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

namespace {

/** A daemon that competes for the leadership. */
struct Daemon
{
  Daemon(fakes::FakeClock& aClock,
         const std::shared_ptr<fakes::FakeStoreData>& aData,
         fakes::FakeReplicaFleet& aFleet,
         const std::string& aName)
    : store_(aClock, aData)
    , engines_(aClock, aFleet)
    , leadership_(aClock, store_, engines_, log_, settings(aName))
  {
  }

  static ZoneLeadershipSettings settings(const std::string& aName)
  {
    ZoneLeadershipSettings settings;
    settings.key_ = "duty";
    settings.holderName_ = aName;
    settings.lease_.timeToLive_ = 1500ms;
    settings.lease_.renewal_ = 400ms;
    settings.lease_.margin_ = 400ms;
    settings.lease_.retryPause_ = 150ms;
    return settings;
  }

  fakes::FakeStore store_;                 ///< Its connection to the store.
  fakes::FakeReplicaEngineClient engines_; ///< Its client of the engines.
  fakes::FakeEventLog log_;                ///< Its log.
  ZoneLeadership leadership_;              ///< Its leadership of the zone.
};

} // namespace

class ZoneLeadershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ZoneLeadershipTest);
  CPPUNIT_TEST(failedCandidateDoesNotRetry);
  CPPUNIT_TEST(freeLeaseIsAcquiredAfterExpiry);
  CPPUNIT_TEST(releasedLeaseIsAcquiredAtOnce);
  CPPUNIT_TEST(leaseLostByTheStoreStaysWithItsHolder);
  CPPUNIT_TEST(leaseLostByTheStoreIsNotAcquiredBesideItsHolder);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    for (const char* name : { "a", "b", "c" }) {
      daemons_.push_back(std::make_unique<Daemon>(clock_, data_, fleet_, name));
    }
  }

  // When many daemons start, all but one fail to acquire the lease. They read
  // no store changes while they hear the coordinator, so they must learn the
  // holder from the failed attempt; otherwise they keep trying.
  void failedCandidateDoesNotRetry()
  {
    run(10s);
    CPPUNIT_ASSERT(daemons_[0]->leadership_.isHeld());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), *daemons_[1]->leadership_.holder());
    // One attempt per daemon, plus the holder's renewals.
    const std::uint64_t renewals = 10s / 400ms + 1;
    CPPUNIT_ASSERT(data_->writes_ <= renewals + daemons_.size());
  }

  void freeLeaseIsAcquiredAfterExpiry()
  {
    run(1s);
    const auto dead = std::move(daemons_.front());
    daemons_.erase(daemons_.begin());
    run(2s);
    CPPUNIT_ASSERT(!daemons_[0]->leadership_.isHeld());
    for (const auto& daemon : daemons_) {
      daemon->leadership_.setHolder(std::nullopt);
    }
    run(1s);
    CPPUNIT_ASSERT(daemons_[0]->leadership_.isHeld());
    CPPUNIT_ASSERT(!daemons_[1]->leadership_.isHeld());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), *daemons_[1]->leadership_.holder());
  }

  void releasedLeaseIsAcquiredAtOnce()
  {
    run(1s);
    bool done = false;
    daemons_[0]->leadership_.handBack([&] {
      done = true;
      daemons_[1]->leadership_.setHolder(std::nullopt);
    });
    run(100ms);
    CPPUNIT_ASSERT(done);
    CPPUNIT_ASSERT(!daemons_[0]->leadership_.isHeld());
    CPPUNIT_ASSERT(daemons_[1]->leadership_.isHeld());
  }

  void leaseLostByTheStoreStaysWithItsHolder()
  {
    run(1s);
    const std::uint64_t before = daemons_[0]->leadership_.authority();
    loseLease();
    run(3s);
    CPPUNIT_ASSERT(daemons_[0]->leadership_.isHeld());
    CPPUNIT_ASSERT(daemons_[0]->leadership_.authority() > before);
  }

  // The holder learns of the loss as late as at its next renewal.
  void leaseLostByTheStoreIsNotAcquiredBesideItsHolder()
  {
    run(1s);
    daemons_[0]->store_.faults().down_ = true;
    loseLease();
    for (int step = 0; step < 200; ++step) {
      run(10ms);
      CPPUNIT_ASSERT(!daemons_[0]->leadership_.isHeld() ||
                     !daemons_[1]->leadership_.isHeld());
    }
    CPPUNIT_ASSERT(daemons_[1]->leadership_.isHeld());
  }

private:
  /** Restores an empty copy of the store; the daemons see that the lease is
   * gone. */
  void loseLease()
  {
    data_->restore({});
    for (const auto& daemon : daemons_) {
      daemon->leadership_.noteRestored();
      if (!daemon->leadership_.isHeld()) {
        daemon->leadership_.setHolder(std::nullopt);
      }
    }
  }

  void run(state::Duration aTime)
  {
    for (const auto end = clock_.now() + aTime; clock_.now() < end;) {
      for (const auto& daemon : daemons_) {
        daemon->store_.step();
        daemon->leadership_.tick(true);
      }
      clock_.advance(10ms);
    }
  }

  fakes::FakeClock clock_; ///< Clock.
  std::shared_ptr<fakes::FakeStoreData> data_ =
    std::make_shared<fakes::FakeStoreData>();    ///< The store's data.
  fakes::FakeReplicaFleet fleet_{ clock_ };      ///< The engines.
  std::vector<std::unique_ptr<Daemon>> daemons_; ///< The daemons.
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneLeadershipTest);
