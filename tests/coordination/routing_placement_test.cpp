// Tests of giving places at copies, alone and under the load of many daemons.

#include "coordination/routing/target_pool.h"
#include "fakes/fake_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <random>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

namespace {

const state::ServiceId kService("pool");
const state::ModelId kModel("m");

/** @return An engine that reads 1,500 tokens in 33 ms between passes of eight
 * steps. */
state::EngineSpec
engine()
{
  state::EngineSpec engine;
  engine.batchSlots_ = 22;
  engine.step_ = state::FloatMs(6.07);
  engine.stepPerRequest_ = state::FloatMs(0.241);
  engine.stepsPerPass_ = 8;
  engine.stepTokens_ = 2048;
  engine.promptTokensPerMs_ = 46;
  engine.usualPrompt_ = 1500;
  engine.usualAnswer_ = 144;
  engine.models_ = { { kModel, 16, 1.0, 1.0, {}, {} } };
  return engine;
}

state::RoutingConfigPtr
config()
{
  auto result = std::make_shared<state::RoutingConfig>();
  result->services_ = { { kService, 700, engine() } };
  return result;
}

/** @return What a request needs. */
TargetNeed
need()
{
  return { kService, kModel, { 1500, 144 }, 500ms, 8s, {} };
}

state::Endpoint
endpointOf(const std::string& aZone)
{
  return { "coordinator-" + aZone, 9 };
}

/** @return A digest of a zone with copies of given loads. */
ZoneDigest
digest(const std::string& aZone,
       std::uint64_t aCount,
       const std::map<std::string, std::uint32_t>& aLoads,
       state::TimePoint aAsOf)
{
  ZoneDigest result{
    state::ZoneId(aZone), kService, 1, aCount, {}, {}, true, false
  };
  for (const auto& [name, load] : aLoads) {
    result.copies_.push_back(
      { state::VmId(name), { name, 1 }, kModel, load, 0, false, 1, aAsOf });
  }
  return result;
}

/** One daemon's pool in zone "a". */
struct Pool
{
  explicit Pool(fakes::FakeClock& aClock,
                std::uint64_t aSeed = 1,
                std::uint32_t aPooled = 24)
    : pool_(aClock,
            settings(aPooled),
            [random = std::mt19937_64(aSeed)]() mutable { return random(); })
  {
    pool_.setView(config(), std::make_shared<state::InstanceMap>());
  }
  static TargetPoolSettings settings(std::uint32_t aPooled)
  {
    TargetPoolSettings settings;
    settings.zone_ = state::ZoneId("a");
    settings.sharedDispatcherMaxCopies_ = aPooled;
    return settings;
  }
  TargetPool pool_; ///< The pool.
};

/** A copy that reads prompts in passes, and writes for all others between. */
class PlayedCopy
{
public:
  /** Takes a prompt. */
  void take(double aNowMs) { waiting_.push_back(aNowMs); }
  /** @return Requests at it. */
  std::uint32_t load() const
  {
    return static_cast<std::uint32_t>(waiting_.size() + writing_.size());
  }
  /** Works until a time. @param aDelays Takes the first events' delays. */
  void work(double aUntilMs, std::vector<double>& aDelays)
  {
    const state::EngineSpec spec = engine();
    while (nowMs_ < aUntilMs) {
      if (load() == 0) {
        nowMs_ = aUntilMs;
        return;
      }
      std::vector<double> read;
      while (!waiting_.empty() && read.size() < spec.stepsPerPass_ &&
             writing_.size() + read.size() < spec.batchSlots_) {
        read.push_back(waiting_.front());
        waiting_.pop_front();
      }
      for (const double arrived : read) {
        nowMs_ += prefillTime(spec, spec.models_.front(), 1500).count();
        writing_.push_back({ 18, arrived });
      }
      nowMs_ += decodePassTime(spec,
                               spec.models_.front(),
                               static_cast<std::uint32_t>(writing_.size()))
                  .count();
      for (Writing& writing : writing_) {
        if (writing.left_ == 18) {
          aDelays.push_back(nowMs_ - writing.arrived_);
        }
        --writing.left_;
      }
      std::erase_if(writing_,
                    [](const Writing& aOne) { return aOne.left_ == 0; });
    }
  }

private:
  /** A request that writes. */
  struct Writing
  {
    int left_;       ///< Events that it still has to write.
    double arrived_; ///< When it arrived, in ms.
  };

  double nowMs_ = 0;             ///< Until when it has worked.
  std::deque<double> waiting_;   ///< Prompts by arrival.
  std::vector<Writing> writing_; ///< Requests that write.
};

} // namespace

class RoutingPlacementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingPlacementTest);
  CPPUNIT_TEST(placesGoAroundBeforeTheyAreReported);
  CPPUNIT_TEST(slowCopyGetsLess);
  CPPUNIT_TEST(certainMissIsRefusedWithATime);
  CPPUNIT_TEST(givenPlaceIsNotTakenAtATargetThatLeaves);
  CPPUNIT_TEST(fewCopiesHaveOneDispatcher);
  CPPUNIT_TEST(manyCopiesHaveOneInEachZone);
  CPPUNIT_TEST(silentZoneGivesNoPlaces);
  CPPUNIT_TEST(manyDaemonsServeMoreInTime);
  CPPUNIT_TEST(overloadIsRefusedBeforeItMakesOthersLate);
  CPPUNIT_TEST_SUITE_END();

public:
  void placesGoAroundBeforeTheyAreReported()
  {
    Pool pool(clock_);
    pool.pool_.setDigest(
      digest("a", 1, { { "x", 0 }, { "y", 0 }, { "z", 0 } }, clock_.now()));
    std::map<state::VmId, int> given;
    for (int request = 0; request < 9; ++request) {
      clock_.advance(10ms);
      ++given[pool.pool_.place(need()).vm_];
    }
    for (const char* name : { "x", "y", "z" }) {
      CPPUNIT_ASSERT_EQUAL(3, given[state::VmId(name)]);
    }
  }

  void slowCopyGetsLess()
  {
    Pool pool(clock_);
    ZoneDigest slow = digest("a", 1, { { "x", 0 }, { "y", 0 } }, clock_.now());
    slow.copies_.front().slowness_ = 3;
    pool.pool_.setDigest(slow);
    int given = 0;
    for (int request = 0; request < 12; ++request) {
      given += pool.pool_.place(need()).vm_ == state::VmId("x") ? 1 : 0;
      clock_.advance(50ms);
    }
    CPPUNIT_ASSERT(given < 5);
  }

  void certainMissIsRefusedWithATime()
  {
    Pool pool(clock_);
    pool.pool_.setDigest(digest("a", 1, { { "x", 0 } }, clock_.now()));
    int given = 0;
    TargetDecision last = pool.pool_.place(need());
    for (; last.reason_ == RefusalReason::kNone && given < 100; ++given) {
      last = pool.pool_.place(need());
    }
    // A prompt takes 33 ms to read and a step of the others.
    CPPUNIT_ASSERT(given >= 3 && given < 16);
    CPPUNIT_ASSERT(last.reason_ == RefusalReason::kTooLate);
    CPPUNIT_ASSERT(last.retryAfter_ > 0ms);
    clock_.advance(last.retryAfter_);
    CPPUNIT_ASSERT(pool.pool_.place(need()).reason_ == RefusalReason::kNone);
  }

  void givenPlaceIsNotTakenAtATargetThatLeaves()
  {
    Pool pool(clock_);
    pool.pool_.setDigest(digest("a", 1, { { "x", 0 } }, clock_.now()));
    const state::VmId vm("x");
    CPPUNIT_ASSERT(pool.pool_.take(need(), vm).reason_ == RefusalReason::kNone);
    TargetNeed again = need();
    again.excluded_ = { vm };
    CPPUNIT_ASSERT(pool.pool_.take(again, vm).reason_ != RefusalReason::kNone);
    pool.pool_.notePause(vm, 1s);
    CPPUNIT_ASSERT(pool.pool_.take(need(), vm).reason_ != RefusalReason::kNone);
    clock_.advance(1s);
    CPPUNIT_ASSERT(pool.pool_.take(need(), vm).reason_ == RefusalReason::kNone);
    pool.pool_.noteLeaving(vm);
    CPPUNIT_ASSERT(pool.pool_.take(need(), vm).reason_ != RefusalReason::kNone);
    CPPUNIT_ASSERT(pool.pool_.place(need()).reason_ != RefusalReason::kNone);
  }

  void fewCopiesHaveOneDispatcher()
  {
    Pool one(clock_);
    Pool two(clock_, 2);
    for (Pool* pool : { &one, &two }) {
      hear(*pool, 1);
    }
    const auto dispatcher = one.pool_.dispatcherFor(need());
    CPPUNIT_ASSERT(dispatcher);
    for (int request = 0; request < 20; ++request) {
      CPPUNIT_ASSERT(one.pool_.dispatcherFor(need()) == dispatcher);
      CPPUNIT_ASSERT(two.pool_.dispatcherFor(need()) == dispatcher);
    }
    CPPUNIT_ASSERT(!one.pool_.dispatcherFor(need(), dispatcher));
  }

  void manyCopiesHaveOneInEachZone()
  {
    Pool pool(clock_, 1, 3);
    hear(pool, 1);
    CPPUNIT_ASSERT(pool.pool_.dispatcherFor(need()) == endpointOf("a"));
    for (int request = 0; request < 8; ++request) {
      const state::VmId vm = pool.pool_.place(need()).vm_;
      CPPUNIT_ASSERT(vm == state::VmId("a1") || vm == state::VmId("a2"));
    }
    clock_.advance(1ms);
    // The own copies are full: requests go where there is room.
    pool.pool_.setDigest(
      digest("a", 9, { { "a1", 22 }, { "a2", 22 } }, clock_.now()));
    for (int request = 0; request < 20; ++request) {
      CPPUNIT_ASSERT(pool.pool_.dispatcherFor(need()) != endpointOf("a"));
      const auto other = pool.pool_.dispatcherFor(need(), endpointOf("b"));
      CPPUNIT_ASSERT(other == endpointOf("c"));
    }
  }

  void silentZoneGivesNoPlaces()
  {
    Pool pool(clock_, 1, 3);
    hear(pool, 1);
    clock_.advance(3s);
    CPPUNIT_ASSERT(!pool.pool_.dispatcherFor(need()));
  }

  // A hundred daemons, twenty copies that can just serve the load, loads that
  // are 0.3 to 0.8 s old.
  void manyDaemonsServeMoreInTime()
  {
    const double alone = play(false, 190);
    const double placed = play(true, 190);
    const std::string figures =
      std::to_string(placed) + " against " + std::to_string(alone);
    CPPUNIT_ASSERT_MESSAGE(figures, placed > 0.97);
    CPPUNIT_ASSERT_MESSAGE(figures, placed > alone + 0.02);
  }

  // An eighth more than the copies can serve: who is let in must be in time.
  void overloadIsRefusedBeforeItMakesOthersLate()
  {
    const double alone = play(false, 215);
    const double placed = play(true, 215);
    const std::string figures =
      std::to_string(placed) + " against " + std::to_string(alone);
    CPPUNIT_ASSERT_MESSAGE(figures, placed > alone + 0.05);
  }

private:
  /** Lets a daemon hear three zones of two copies each. */
  void hear(Pool& aPool, std::uint64_t aCount)
  {
    for (const char* zone : { "a", "b", "c" }) {
      const std::string name(zone);
      aPool.pool_.setDigest(digest(
        name, aCount, { { name + '1', 5 }, { name + '2', 5 } }, clock_.now()));
      aPool.pool_.setDispatcher(state::ZoneId(name), endpointOf(name));
    }
  }

  /** Plays 15 s. @return The part of the requests in time. */
  double play(bool aPlaced, double aPerSecond)
  {
    constexpr std::size_t kDaemons = 100;
    constexpr int kCopies = 20;
    std::vector<std::unique_ptr<Pool>> pools;
    for (std::size_t index = 0; index < kDaemons; ++index) {
      pools.push_back(std::make_unique<Pool>(clock_, index + 1));
      pools.back()->pool_.setDaemons(kDaemons);
    }
    std::map<std::string, PlayedCopy> copies;
    std::map<std::string, std::uint32_t> earlier;
    for (int copy = 0; copy < kCopies; ++copy) {
      copies["c" + std::to_string(copy)];
    }
    std::mt19937_64 random(11);
    std::exponential_distribution<double> gap(aPerSecond / 1000);
    std::vector<double> delays;
    std::size_t asked = 0;
    double nextAt = gap(random);
    for (int now = 0; now < 15000; ++now, clock_.advance(1ms)) {
      for (auto& [name, copy] : copies) {
        copy.work(now, delays);
      }
      if (now % 300 == 0) {
        std::map<std::string, std::uint32_t> loads;
        for (const auto& [name, copy] : copies) {
          loads[name] = copy.load();
        }
        const ZoneDigest news = digest("a",
                                       ++digests_,
                                       earlier.empty() ? loads : earlier,
                                       clock_.now() - 300ms);
        earlier = loads;
        for (const auto& pool : pools) {
          pool->pool_.setDigest(news);
        }
      }
      for (; nextAt <= now; nextAt += gap(random)) {
        ++asked;
        TargetPool& daemon = pools[random() % kDaemons]->pool_;
        const TargetDecision target =
          aPlaced ? pools.front()->pool_.place(need()) : daemon.choose(need());
        if (target.reason_ == RefusalReason::kNone) {
          copies[target.vm_.value()].take(now);
        }
      }
    }
    const auto inTime =
      std::count_if(delays.begin(), delays.end(), [](double aDelay) {
        return aDelay <= 500;
      });
    return static_cast<double>(inTime) / static_cast<double>(asked);
  }

  fakes::FakeClock clock_;    ///< Clock.
  std::uint64_t digests_ = 0; ///< Digests sent.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingPlacementTest);
