// Tests of limits that targets have named, with a dispatcher and without one.

#include "coordination/routing/target_pool.h"
#include "fakes/fake_clock.h"
#include "fakes/fake_engine_spec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

namespace {

const state::ServiceId kPool("pool");        ///< Service of model engines.
const state::ServiceId kPlain("shop");       ///< Plain service.
const state::ModelId kModel("m");            ///< Model.
const state::ZoneId kZone("a");              ///< Zone of all targets.
const state::Endpoint kDispatcher{ "d", 9 }; ///< Dispatcher.
constexpr double kLimit = 3;                 ///< Limit that targets name.
constexpr std::size_t kDaemons = 20;         ///< Daemons.
constexpr auto kWindow = 4s;                 ///< Time in which requests count.
constexpr auto kMaxInWindow =
  static_cast<std::ptrdiff_t>(1.5 * kLimit * 4 + 5); ///< Requests allowed.

state::RoutingConfigPtr
config()
{
  state::EngineSpec engine = fakes::engineWithTimes();
  engine.batchSlots_ = 26;
  engine.stepsPerPass_ = 8;
  engine.stepTokens_ = 2048;
  engine.usualPrompt_ = 700;
  engine.usualAnswer_ = 140;
  engine.models_ = { { kModel, 4, 1.0, 1.0, {}, {} } };
  auto result = std::make_shared<state::RoutingConfig>();
  result->services_ = { { kPool, 700, engine }, { kPlain, 100, {} } };
  return result;
}

state::Instance
plainInstance(const std::string& aName, std::uint64_t aBornAtMs)
{
  state::Instance instance;
  instance.id_ = state::VmId(aName);
  instance.service_ = kPlain;
  instance.zone_ = kZone;
  instance.endpoint_ = { aName, 1 };
  instance.slots_ = 6;
  instance.bornAtMs_ = aBornAtMs;
  return instance;
}

/** Daemons that share four replicas and three plain targets; the first daemon
 * dispatches. */
class Site
{
public:
  explicit Site(fakes::FakeClock& aClock)
    : clock_(aClock)
  {
    for (std::size_t index = 0; index < kDaemons; ++index) {
      TargetPoolSettings settings;
      settings.zone_ = kZone;
      daemons_.push_back(std::make_unique<TargetPool>(
        clock_, settings, [random = std::mt19937_64(index)]() mutable {
          return random();
        }));
      daemons_.back()->setDaemons(kDaemons);
    }
    list(1);
    digest();
  }

  /** Registers the plain targets. @param aBornAtMs Their incarnation. */
  void list(std::uint64_t aBornAtMs)
  {
    auto instances = std::make_shared<state::InstanceMap>();
    for (const char* name : { "p1", "p2", "p3" }) {
      (*instances)[state::VmId(name)] = plainInstance(name, aBornAtMs);
    }
    for (const auto& daemon : daemons_) {
      daemon->setView(config(), instances);
    }
  }

  /** Sends a digest with idle replicas to all daemons. */
  void digest()
  {
    ZoneDigest digest{ kZone, kPool, 1, ++digests_, {}, {}, true, false };
    for (const char* name : { "r1", "r2", "r3", "r4" }) {
      digest.copies_.push_back({ state::VmId(name),
                                 { name, 1 },
                                 kModel,
                                 0,
                                 0,
                                 false,
                                 1,
                                 clock_.now() });
    }
    for (const auto& daemon : daemons_) {
      daemon->setDigest(digest);
      daemon->setDispatcher(kZone, kDispatcher);
    }
  }

  /** Sends a request of a daemon to a target, whose response names its limit.
   * @return The decision. */
  TargetDecision send(std::size_t aDaemon, const TargetNeed& aNeed)
  {
    TargetPool& daemon = *daemons_[aDaemon];
    TargetDecision decision = decide(daemon, aNeed);
    if (decision.reason_ == RefusalReason::kNone) {
      arrivals_[decision.vm_].push_back(clock_.now());
      const bool limited = limited_.contains(decision.vm_.value());
      daemon.noteLimit(decision.vm_,
                       limited ? std::optional(kLimit) : std::nullopt);
      daemon.finish(decision.vm_, SendResult::kAnswered);
    }
    return decision;
  }

  /** Sends requests of all daemons in turn. @return Refusals. */
  std::uint32_t play(const TargetNeed& aNeed,
                     state::Duration aTime,
                     state::Duration aPause)
  {
    std::uint32_t refusals = 0;
    const state::TimePoint end = clock_.now() + aTime;
    while (clock_.now() < end) {
      if (clock_.now() >= digestAt_) {
        digest();
        digestAt_ = clock_.now() + 300ms;
      }
      const TargetDecision decision = send(next_++ % kDaemons, aNeed);
      if (decision.reason_ != RefusalReason::kNone) {
        ++refusals;
        CPPUNIT_ASSERT(decision.retryAfter_ > 0ms);
        CPPUNIT_ASSERT(decision.retryAfter_ <= 2s);
      }
      clock_.advance(aPause);
    }
    return refusals;
  }

  /** Checks that no target that names a limit got more. */
  void expectWithinLimits(state::TimePoint aFrom)
  {
    for (const std::string& name : limited_) {
      const auto& times = arrivals_[state::VmId(name)];
      auto first = std::lower_bound(times.begin(), times.end(), aFrom);
      for (; first != times.end(); ++first) {
        const auto end = std::lower_bound(first, times.end(), *first + kWindow);
        CPPUNIT_ASSERT_MESSAGE(name + " got " + std::to_string(end - first),
                               end - first <= kMaxInWindow);
      }
    }
  }

  std::set<std::string> limited_; ///< Targets that name a limit.
  bool dispatches_ = true;        ///< Whether the dispatcher answers.
  std::size_t dispatcher_ = 0;    ///< Daemon that dispatches.
  std::map<state::VmId, std::vector<state::TimePoint>>
    arrivals_; ///< Requests by target.

private:
  TargetDecision decide(TargetPool& aDaemon, const TargetNeed& aNeed)
  {
    const bool asks = aDaemon.dispatcherFor(aNeed).has_value();
    if (!asks || !dispatches_) {
      return aDaemon.choose(aNeed);
    }
    TargetPool& dispatcher = *daemons_[dispatcher_];
    dispatcher.noteLimits(aDaemon.limitsFor(aNeed));
    const TargetDecision place = dispatcher.place(aNeed);
    return place.reason_ == RefusalReason::kNone
             ? aDaemon.take(aNeed, place.vm_)
             : place;
  }

  fakes::FakeClock& clock_;                          ///< Clock.
  std::vector<std::unique_ptr<TargetPool>> daemons_; ///< One for each daemon.
  std::uint64_t digests_ = 0;                        ///< Digests sent.
  state::TimePoint digestAt_{};                      ///< Time of the next one.
  std::size_t next_ = 0;                             ///< Requests sent.
};

} // namespace

class RoutingLimitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingLimitsTest);
  CPPUNIT_TEST(limitedReplicasGetNoMoreAndOthersTheRest);
  CPPUNIT_TEST(limitedPlainTargetsGetNoMore);
  CPPUNIT_TEST(limitHoldsWithoutDispatcher);
  CPPUNIT_TEST(limitHoldsAcrossDispatchers);
  CPPUNIT_TEST(requestsAreRefusedOnlyWhenAllTargetsAreAtTheirLimit);
  CPPUNIT_TEST(limitEndsWithAResponseThatNamesNone);
  CPPUNIT_TEST(limitEndsWithTheIncarnation);
  CPPUNIT_TEST(olderResponseChangesNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void limitedReplicasGetNoMoreAndOthersTheRest()
  {
    site_.limited_ = { "r1", "r2", "r3" };
    const state::TimePoint start = clock_.now();
    CPPUNIT_ASSERT_EQUAL(0U, site_.play(model_, 20s, 25ms));
    site_.expectWithinLimits(start + 3s);
    CPPUNIT_ASSERT(site_.arrivals_[state::VmId("r4")].size() > 400);
    // The limit is used, not just kept.
    CPPUNIT_ASSERT(site_.arrivals_[state::VmId("r1")].size() > 45);
  }

  void limitedPlainTargetsGetNoMore()
  {
    site_.limited_ = { "p1", "p2", "p3" };
    const state::TimePoint start = clock_.now();
    const std::uint32_t refusals = site_.play(plain_, 20s, 40ms);
    site_.expectWithinLimits(start + 3s);
    CPPUNIT_ASSERT(refusals > 250);
    CPPUNIT_ASSERT(refusals < 350);
  }

  void limitHoldsWithoutDispatcher()
  {
    site_.limited_ = { "p1", "p2", "p3" };
    site_.dispatches_ = false;
    const state::TimePoint start = clock_.now();
    site_.play(plain_, 30s, 40ms);
    site_.expectWithinLimits(start + 3s);
    CPPUNIT_ASSERT(site_.arrivals_[state::VmId("p1")].size() > 15);
  }

  void limitHoldsAcrossDispatchers()
  {
    site_.limited_ = { "r1", "r2", "r3", "r4" };
    const state::TimePoint start = clock_.now();
    for (std::size_t round = 0; round < 6; ++round) {
      site_.play(model_, 3s, 25ms);
      site_.dispatches_ = false;
      site_.play(model_, 500ms, 25ms);
      site_.dispatches_ = true;
      ++site_.dispatcher_;
    }
    site_.expectWithinLimits(start + 3s);
  }

  void requestsAreRefusedOnlyWhenAllTargetsAreAtTheirLimit()
  {
    site_.limited_ = { "r1", "r2", "r3", "r4" };
    CPPUNIT_ASSERT_EQUAL(0U, site_.play(model_, 10s, 100ms));
    CPPUNIT_ASSERT(site_.play(model_, 10s, 25ms) > 200);
    TargetDecision refusal;
    for (int sends = 0; sends < 12; ++sends) {
      refusal = site_.send(0, model_);
    }
    CPPUNIT_ASSERT(refusal.reason_ == RefusalReason::kLimited);
  }

  void limitEndsWithAResponseThatNamesNone()
  {
    site_.limited_ = { "p1", "p2", "p3" };
    CPPUNIT_ASSERT(site_.play(plain_, 10s, 40ms) > 0);
    site_.limited_.clear();
    site_.play(plain_, 3s, 40ms);
    CPPUNIT_ASSERT_EQUAL(0U, site_.play(plain_, 10s, 40ms));
  }

  void limitEndsWithTheIncarnation()
  {
    site_.limited_ = { "p1", "p2", "p3" };
    CPPUNIT_ASSERT(site_.play(plain_, 10s, 40ms) > 0);
    site_.limited_.clear();
    site_.list(2);
    CPPUNIT_ASSERT_EQUAL(0U, site_.play(plain_, 10s, 40ms));
  }

  void olderResponseChangesNothing()
  {
    TargetLimits limits(clock_);
    const state::VmId vm("x");
    limits.note({ vm, 2.0, 1s }, 0);
    limits.note({ vm, {}, 2s }, 0);
    CPPUNIT_ASSERT(limits.isLimited(vm));
    limits.note({ vm, {}, 0s }, 0);
    CPPUNIT_ASSERT(!limits.isLimited(vm));
    limits.note({ vm, 2.0, 500ms }, 0);
    CPPUNIT_ASSERT(!limits.isLimited(vm));
  }

private:
  const TargetNeed model_{ kPool, kModel, { 700, 140 }, 500ms, 8s, {} };
  const TargetNeed plain_{ kPlain, {}, {}, 500ms, 8s, {} };
  fakes::FakeClock clock_; ///< Clock.
  Site site_{ clock_ };    ///< Daemons and targets.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingLimitsTest);
