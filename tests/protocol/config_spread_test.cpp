// Tests of how soon all daemons of a zone have a change, over links of a
// limited bandwidth.

#include "protocol/config_exchange.h"

#include "fakes/fake_thin_links.h"
#include "fakes/follower_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <random>

using namespace auburnhaven;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kDaemons = 33;      ///< Daemons of the zone.
constexpr double kLeaderMbit = 50;        ///< Link of the coordinator's VM.
constexpr double kDaemonMbit = 14;        ///< Link of each other VM.
constexpr double kBytesPerMbit = 125'000; ///< Bytes in a megabit.
constexpr int kFewRoutes = 40;            ///< Routes at the start.
constexpr int kManyRoutes = 2000;         ///< Routes that come at once.
constexpr state::Duration kBound = 2s;    ///< From a change in the store until
                                          ///< the last daemon has it.
constexpr state::Duration kCallTimeout = 600ms; ///< Of the daemons' own calls.
constexpr state::Duration kTick = 20ms;         ///< Step of the test.
constexpr state::Duration kDigest = 300ms;      ///< Between two announcements.

/** A daemon with its way to the store and to others. */
class Daemon
{
public:
  Daemon(fakes::FakeClock& aClock,
         const std::shared_ptr<fakes::FakeStoreData>& aData,
         fakes::ThinNetwork& aNetwork,
         state::Endpoint aAt,
         double aMbit)
    : store_(aClock, aData)
    , follower_(aClock, store_, codec_, log_, settings())
    , links_(aNetwork, aAt, aMbit)
    , exchange_(aClock,
                links_,
                follower_,
                log_,
                { aAt, aAt.port_, aMbit * kBytesPerMbit })
    , at_(std::move(aAt))
  {
  }

  /** @return Version in force; 0 before the first. */
  std::uint64_t version() const
  {
    return follower_.config() ? follower_.config()->version_.value() : 0;
  }

  static coordination::FollowerSettings settings()
  {
    coordination::FollowerSettings settings =
      fakes::FollowerWorld::followerSettings();
    settings.peerFetchTimeout_ = 800ms;
    return settings;
  }

  const fakes::FakeRoutingCodec codec_;  ///< Reads values.
  fakes::FakeEventLog log_;              ///< Log.
  fakes::FakeStore store_;               ///< Way to the store.
  coordination::StoreFollower follower_; ///< Its news.
  fakes::ThinLinks links_;               ///< Way to others.
  protocol::ConfigExchange exchange_;    ///< Asks and tells.
  state::Endpoint at_;                   ///< Where it listens.
};

/** A configuration that grows and changes as an operator's does. */
class Operator
{
public:
  /** @param aData The store. */
  explicit Operator(fakes::FakeStoreData& aData)
    : data_(aData)
  {
    addRoutes(kFewRoutes);
  }

  /** Adds routes. @return The version written. */
  std::uint64_t addRoutes(int aCount)
  {
    for (int count = 0; count < aCount; ++count) {
      routes_.push_back(route(8000));
    }
    return write();
  }

  /** Changes one route in the midst of the others. @return The version. */
  std::uint64_t changeRoute()
  {
    routes_[random_() % routes_.size()] = route(9000);
    return write();
  }

private:
  std::string word()
  {
    constexpr std::size_t kLetters = 10;
    std::string text;
    for (std::size_t letter = 0; letter < kLetters; ++letter) {
      text += static_cast<char>('a' + random_() % 26);
    }
    return text;
  }

  std::string route(int aTimeout)
  {
    const std::string name = word();
    return R"({"name":"r-)" + name + R"(","hostname":")" + word() +
           R"(.example","prefix":"/)" + word() + "/" + word() +
           R"(/","route_type":"idempotent","stream_resume":false,)" +
           R"("timeout_ms":)" + std::to_string(aTimeout) +
           R"(,"target_latency_ms":150,"max_attempts":2,"priority":3,)" +
           R"("backend":"shop-backend","weighted_backends":)" +
           R"([{"backend":"shop-backend","weight":1}]},)" + "\n";
  }

  std::uint64_t write()
  {
    std::string text = std::to_string(++version_) + "\n";
    for (const std::string& route : routes_) {
      text += route;
    }
    data_.put("config", text);
    return version_;
  }

  fakes::FakeStoreData& data_;      ///< The store.
  std::mt19937 random_{ 5 };        ///< Words.
  std::vector<std::string> routes_; ///< Routes as written.
  std::uint64_t version_ = 0;       ///< Version written last.
};

} // namespace

class ConfigSpreadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigSpreadTest);
  CPPUNIT_TEST(bulkOfRoutesHoldsUpNoDaemon);
  CPPUNIT_TEST(changesInQuickSuccessionHoldUpNoDaemon);
  CPPUNIT_TEST(leavingTargetIsToldBesideBulkOfRoutes);
  CPPUNIT_TEST(coordinatorKeepsItsOwnSmallLinkFree);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { startZone(kLeaderMbit); }

  void startZone(double aLeaderMbit)
  {
    data_ = std::make_shared<fakes::FakeStoreData>();
    operator_ = std::make_unique<Operator>(*data_);
    data_->put("vm/p", "plain");
    data_->put("vm/q", "plain");
    leader_ = makeDaemon(1, aLeaderMbit);
    for (std::uint16_t daemon = 0; daemon < kDaemons; ++daemon) {
      daemons_.push_back(makeDaemon(daemon + 2, kDaemonMbit));
    }
    run(2s);
    // From now on the store answers the coordinator alone.
    for (const auto& daemon : daemons_) {
      daemon->store_.faults().down_ = true;
    }
  }

  void tearDown() override
  {
    daemons_.clear();
    leader_.reset();
    due_.clear();
    late_.clear();
  }

  void bulkOfRoutesHoldsUpNoDaemon()
  {
    expect(operator_->addRoutes(kManyRoutes));
    run(300ms);
    expect(operator_->changeRoute());
    run(700ms);
    expect(operator_->changeRoute());
    run(300ms);
    expect(operator_->changeRoute());
    run(kBound + kTick);
    CPPUNIT_ASSERT_EQUAL(std::string(), late_);
  }

  void changesInQuickSuccessionHoldUpNoDaemon()
  {
    operator_->addRoutes(kManyRoutes);
    run(10s);
    for (int change = 0; change < 20; ++change) {
      expect(operator_->changeRoute());
      run(100ms);
    }
    run(kBound);
    CPPUNIT_ASSERT_EQUAL(std::string(), late_);
  }

  void leavingTargetIsToldBesideBulkOfRoutes()
  {
    operator_->addRoutes(kManyRoutes);
    run(700ms);
    data_->remove("vm/p");
    run(kBound);
    for (const auto& daemon : daemons_) {
      CPPUNIT_ASSERT(
        !daemon->follower_.instances()->contains(state::VmId("p")));
    }
  }

  // Its renewals, questions and acknowledgements wait behind what it tells.
  void coordinatorKeepsItsOwnSmallLinkFree()
  {
    tearDown();
    startZone(kDaemonMbit);
    expect(operator_->addRoutes(kManyRoutes));
    run(kBound + kTick);
    CPPUNIT_ASSERT_EQUAL(std::string(), late_);
    CPPUNIT_ASSERT(network_.longestWait(leader_->at_) < kCallTimeout / 2);
    for (const auto& daemon : daemons_) {
      CPPUNIT_ASSERT(network_.longestWait(daemon->at_) < kCallTimeout / 2);
    }
  }

private:
  /** A version that all must have by a time. */
  struct Due
  {
    std::uint64_t version_ = 0; ///< The version.
    state::TimePoint at_{};     ///< When the bound ends.
  };

  std::unique_ptr<Daemon> makeDaemon(std::uint16_t aPort, double aMbit)
  {
    return std::make_unique<Daemon>(
      clock_, data_, network_, state::Endpoint{ "d", aPort }, aMbit);
  }

  void expect(std::uint64_t aVersion)
  {
    due_.push_back({ aVersion, clock_.now() + kBound });
  }

  void run(state::Duration aTime)
  {
    for (state::Duration past{}; past < aTime; past += kTick) {
      clock_.advance(kTick);
      leader_->store_.step();
      leader_->follower_.tick();
      const bool announces = clock_.now() >= announceAt_;
      if (announces) {
        announceAt_ = clock_.now() + kDigest;
        announced_ = leader_->follower_.sharedRevision();
      }
      for (const auto& daemon : daemons_) {
        daemon->store_.step();
        follow(*daemon);
      }
      network_.step();
      checkDue();
    }
  }

  void follow(Daemon& aDaemon)
  {
    aDaemon.follower_.updatePeerStatus(aDaemon.follower_.hasListed(),
                                       announced_);
    aDaemon.follower_.noteConfirmed(clock_.now());
    aDaemon.exchange_.noteCoordinator(leader_->at_, announced_, true);
    aDaemon.follower_.tick();
    aDaemon.exchange_.tick();
  }

  void checkDue()
  {
    while (!due_.empty() && due_.front().at_ <= clock_.now()) {
      std::size_t behind = 0;
      for (const auto& daemon : daemons_) {
        behind += daemon->version() < due_.front().version_ ? 1 : 0;
      }
      if (behind > 0) {
        late_ += "version " + std::to_string(due_.front().version_) +
                 " is late at " + std::to_string(behind) + " daemons; ";
      }
      due_.pop_front();
    }
  }

  fakes::FakeClock clock_;                       ///< Clock.
  fakes::ThinNetwork network_{ clock_ };         ///< Links.
  std::shared_ptr<fakes::FakeStoreData> data_;   ///< The store.
  std::unique_ptr<Operator> operator_;           ///< Writes configurations.
  std::unique_ptr<Daemon> leader_;               ///< The coordinator.
  std::vector<std::unique_ptr<Daemon>> daemons_; ///< All others.
  std::deque<Due> due_;                          ///< Versions awaited.
  std::string late_;                             ///< What was late.
  state::Revision announced_;                    ///< Newest announcement.
  state::TimePoint announceAt_{};                ///< When to announce next.
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigSpreadTest);
