// Tests of placement by a dispatcher, alone and under the load of many daemons.

#include "coordination/routing/target_pool.h"
#include "fakes/fake_clock.h"
#include "fakes/fake_engine_spec.h"

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

/** @return Engine settings with a prefill time of 33 ms for 1,500 tokens and
 * eight decode steps in each pass. */
state::EngineSpec
engine()
{
  state::EngineSpec engine = fakes::engineWithTimes();
  engine.batchSlots_ = 22;
  engine.stepsPerPass_ = 8;
  engine.stepTokens_ = 2048;
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

/** @return Requirements of a request. */
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

/** @return A digest of a zone with replicas of the given loads. */
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

/** Simulates a replica that processes prompts in passes and decodes all other
 * requests in between. */
class SimulatedReplica
{
public:
  /** Queues a prompt. @param aNowMs Its arrival. */
  void take(double aNowMs) { waiting_.push_back(aNowMs); }
  /** @return Queued and running requests. */
  std::uint32_t load() const
  {
    return static_cast<std::uint32_t>(waiting_.size() + decoding_.size());
  }
  /** Simulates up to a time. @param aDelays Receives the times to the first
   * event, in ms. */
  void advance(double aUntilMs, std::vector<double>& aDelays)
  {
    const state::EngineSpec spec = engine();
    while (nowMs_ < aUntilMs) {
      if (load() == 0) {
        nowMs_ = aUntilMs;
        return;
      }
      std::vector<double> read;
      while (!waiting_.empty() && read.size() < spec.stepsPerPass_ &&
             decoding_.size() + read.size() < spec.batchSlots_) {
        read.push_back(waiting_.front());
        waiting_.pop_front();
      }
      for (const double arrived : read) {
        nowMs_ += prefillTime(spec, spec.models_.front(), 1500).count();
        decoding_.push_back({ 18, arrived });
      }
      nowMs_ += decodePassTime(spec,
                               spec.models_.front(),
                               static_cast<std::uint32_t>(decoding_.size()))
                  .count();
      for (Decoding& request : decoding_) {
        if (request.left_ == 18) {
          aDelays.push_back(nowMs_ - request.arrived_);
        }
        --request.left_;
      }
      std::erase_if(decoding_,
                    [](const Decoding& aOne) { return aOne.left_ == 0; });
    }
  }

private:
  /** A request in the decode phase. */
  struct Decoding
  {
    int left_;       ///< Events still to be produced.
    double arrived_; ///< Arrival time, in ms.
  };

  double nowMs_ = 0;               ///< Simulated time, in ms.
  std::deque<double> waiting_;     ///< Arrival times of queued prompts.
  std::vector<Decoding> decoding_; ///< Requests being decoded.
};

} // namespace

class RoutingPlacementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingPlacementTest);
  CPPUNIT_TEST(placementsAreSpreadBeforeTheyAreReported);
  CPPUNIT_TEST(slowReplicaGetsFewerRequests);
  CPPUNIT_TEST(requestThatWouldBeLateIsRefusedWithRetryAfter);
  CPPUNIT_TEST(placementIsNotUsedAtATargetThatShutsDown);
  CPPUNIT_TEST(fewReplicasShareOneDispatcher);
  CPPUNIT_TEST(manyReplicasHaveADispatcherInEachZone);
  CPPUNIT_TEST(silentZoneIsNoDispatcher);
  CPPUNIT_TEST(dispatcherServesMoreRequestsInTime);
  CPPUNIT_TEST(overloadIsRefusedBeforeItDelaysOthers);
  CPPUNIT_TEST_SUITE_END();

public:
  void placementsAreSpreadBeforeTheyAreReported()
  {
    Pool pool(clock_);
    pool.pool_.setDigest(
      digest("a", 1, { { "x", 0 }, { "y", 0 }, { "z", 0 } }, clock_.now()));
    std::map<state::VmId, int> placed;
    for (int request = 0; request < 9; ++request) {
      clock_.advance(10ms);
      ++placed[pool.pool_.place(need()).vm_];
    }
    for (const char* name : { "x", "y", "z" }) {
      CPPUNIT_ASSERT_EQUAL(3, placed[state::VmId(name)]);
    }
  }

  void slowReplicaGetsFewerRequests()
  {
    Pool pool(clock_);
    ZoneDigest slow = digest("a", 1, { { "x", 0 }, { "y", 0 } }, clock_.now());
    slow.copies_.front().slowness_ = 3;
    pool.pool_.setDigest(slow);
    int placed = 0;
    for (int request = 0; request < 12; ++request) {
      placed += pool.pool_.place(need()).vm_ == state::VmId("x") ? 1 : 0;
      clock_.advance(50ms);
    }
    CPPUNIT_ASSERT(placed < 5);
  }

  void requestThatWouldBeLateIsRefusedWithRetryAfter()
  {
    Pool pool(clock_);
    pool.pool_.setDigest(digest("a", 1, { { "x", 0 } }, clock_.now()));
    int placed = 0;
    TargetDecision last = pool.pool_.place(need());
    for (; last.reason_ == RefusalReason::kNone && placed < 100; ++placed) {
      last = pool.pool_.place(need());
    }
    // A prompt takes 33 ms of prefill and a decode step of the others.
    CPPUNIT_ASSERT(placed >= 3 && placed < 16);
    CPPUNIT_ASSERT(last.reason_ == RefusalReason::kTooLate);
    CPPUNIT_ASSERT(last.retryAfter_ > 0ms);
    clock_.advance(last.retryAfter_);
    CPPUNIT_ASSERT(pool.pool_.place(need()).reason_ == RefusalReason::kNone);
  }

  void placementIsNotUsedAtATargetThatShutsDown()
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

  void fewReplicasShareOneDispatcher()
  {
    Pool one(clock_);
    Pool two(clock_, 2);
    for (Pool* pool : { &one, &two }) {
      sendDigests(*pool, 1);
    }
    const auto dispatcher = one.pool_.dispatcherFor(need());
    CPPUNIT_ASSERT(dispatcher);
    for (int request = 0; request < 20; ++request) {
      CPPUNIT_ASSERT(one.pool_.dispatcherFor(need()) == dispatcher);
      CPPUNIT_ASSERT(two.pool_.dispatcherFor(need()) == dispatcher);
    }
    CPPUNIT_ASSERT(!one.pool_.dispatcherFor(need(), dispatcher));
  }

  void manyReplicasHaveADispatcherInEachZone()
  {
    Pool pool(clock_, 1, 3);
    sendDigests(pool, 1);
    CPPUNIT_ASSERT(pool.pool_.dispatcherFor(need()) == endpointOf("a"));
    for (int request = 0; request < 8; ++request) {
      const state::VmId vm = pool.pool_.place(need()).vm_;
      CPPUNIT_ASSERT(vm == state::VmId("a1") || vm == state::VmId("a2"));
    }
    clock_.advance(1ms);
    // Replicas of the own zone are full, so requests go to zones with room.
    pool.pool_.setDigest(
      digest("a", 9, { { "a1", 22 }, { "a2", 22 } }, clock_.now()));
    for (int request = 0; request < 20; ++request) {
      CPPUNIT_ASSERT(pool.pool_.dispatcherFor(need()) != endpointOf("a"));
      const auto other = pool.pool_.dispatcherFor(need(), endpointOf("b"));
      CPPUNIT_ASSERT(other == endpointOf("c"));
    }
  }

  void silentZoneIsNoDispatcher()
  {
    Pool pool(clock_, 1, 3);
    sendDigests(pool, 1);
    clock_.advance(3s);
    CPPUNIT_ASSERT(!pool.pool_.dispatcherFor(need()));
  }

  // 100 daemons, 20 replicas that can just serve the load, and reported loads
  // that are 0.3 to 0.8 s old: daemons that choose by themselves miss the
  // uneven arrival of prompts.
  void dispatcherServesMoreRequestsInTime()
  {
    const double alone = simulate(false, 190);
    const double placed = simulate(true, 190);
    const std::string figures =
      std::to_string(placed) + " against " + std::to_string(alone);
    CPPUNIT_ASSERT_MESSAGE(figures, placed > 0.97);
    CPPUNIT_ASSERT_MESSAGE(figures, placed > alone + 0.02);
  }

  // The load is an eighth more than the replicas can serve. Requests that are
  // admitted must still be in time.
  void overloadIsRefusedBeforeItDelaysOthers()
  {
    const double alone = simulate(false, 215);
    const double placed = simulate(true, 215);
    const std::string figures =
      std::to_string(placed) + " against " + std::to_string(alone);
    CPPUNIT_ASSERT_MESSAGE(figures, placed > alone + 0.05);
  }

private:
  /** Sends a daemon the digests of three zones with two replicas each. */
  void sendDigests(Pool& aPool, std::uint64_t aCount)
  {
    for (const char* zone : { "a", "b", "c" }) {
      const std::string name(zone);
      aPool.pool_.setDigest(digest(
        name, aCount, { { name + '1', 5 }, { name + '2', 5 } }, clock_.now()));
      aPool.pool_.setDispatcher(state::ZoneId(name), endpointOf(name));
    }
  }

  /** Simulates 15 s of requests.
   * @param aPlaced Whether a dispatcher places them; else each daemon chooses
   * by itself.
   * @param aPerSecond Requests per second.
   * @return Fraction of all requests whose first event is in time. */
  double simulate(bool aPlaced, double aPerSecond)
  {
    constexpr std::size_t kDaemons = 100;
    constexpr int kCopies = 20;
    std::vector<std::unique_ptr<Pool>> pools;
    for (std::size_t index = 0; index < kDaemons; ++index) {
      pools.push_back(std::make_unique<Pool>(clock_, index + 1));
      pools.back()->pool_.setDaemons(kDaemons);
    }
    std::map<std::string, SimulatedReplica> copies;
    std::map<std::string, std::uint32_t> earlier;
    for (int copy = 0; copy < kCopies; ++copy) {
      copies["c" + std::to_string(copy)];
    }
    std::mt19937_64 random(11);
    std::exponential_distribution<double> gap(aPerSecond / 1000);
    std::vector<double> delays;
    std::size_t requested = 0;
    double nextAt = gap(random);
    for (int now = 0; now < 15000; ++now, clock_.advance(1ms)) {
      for (auto& [name, copy] : copies) {
        copy.advance(now, delays);
      }
      if (now % 300 == 0) {
        std::map<std::string, std::uint32_t> loads;
        for (const auto& [name, copy] : copies) {
          loads[name] = copy.load();
        }
        const ZoneDigest newest = digest("a",
                                         ++digests_,
                                         earlier.empty() ? loads : earlier,
                                         clock_.now() - 300ms);
        earlier = loads;
        for (const auto& pool : pools) {
          pool->pool_.setDigest(newest);
        }
      }
      for (; nextAt <= now; nextAt += gap(random)) {
        ++requested;
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
    return static_cast<double>(inTime) / static_cast<double>(requested);
  }

  fakes::FakeClock clock_;    ///< Clock.
  std::uint64_t digests_ = 0; ///< Digests sent.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingPlacementTest);
