// Tests of the times of a planned stop.

#include "app/stop_timer.h"

#include "fakes/fake_clock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using std::chrono::milliseconds;

namespace {

/** Timer whose sleeps take longer than asked, as on a starved machine. */
struct StarvedStop
{
  fakes::FakeClock clock_;   ///< Time.
  milliseconds extra_{ 80 }; ///< What each sleep takes longer.
  app::StopTimer timer_{ clock_, [this](state::Duration aTime) {
                          clock_.advance(aTime + extra_);
                        } };
};

} // namespace

class StopTimerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StopTimerTest);
  CPPUNIT_TEST(lateSleepsDoNotLengthenTheWait);
  CPPUNIT_TEST(lateFirstPhaseShortensTheNext);
  CPPUNIT_TEST(conditionMustHold);
  CPPUNIT_TEST(conditionIsAskedOnceAfterTheTime);
  CPPUNIT_TEST(phasesTakeWhatTheyTook);
  CPPUNIT_TEST(usualLimitLeavesTheBalancerItsLag);
  CPPUNIT_TEST(shortLimitStillLeavesTimeForRequests);
  CPPUNIT_TEST_SUITE_END();

public:
  void lateSleepsDoNotLengthenTheWait()
  {
    StarvedStop stop;
    CPPUNIT_ASSERT(
      !stop.timer_.waitFor([] { return false; }, milliseconds(7500)));
    CPPUNIT_ASSERT(stop.timer_.elapsed() >= milliseconds(7500));
    CPPUNIT_ASSERT(stop.timer_.elapsed() <= milliseconds(7600));
  }

  void lateFirstPhaseShortensTheNext()
  {
    StarvedStop stop;
    stop.extra_ = milliseconds(1000);
    stop.timer_.sleepUntil(milliseconds(2200));
    CPPUNIT_ASSERT(stop.timer_.elapsed() == milliseconds(3200));
    stop.extra_ = milliseconds(0);
    stop.timer_.waitFor([] { return false; }, milliseconds(7500));
    CPPUNIT_ASSERT(stop.timer_.elapsed() == milliseconds(7500));
    stop.timer_.sleepUntil(milliseconds(2200));
    CPPUNIT_ASSERT(stop.timer_.elapsed() == milliseconds(7500));
  }

  void conditionMustHold()
  {
    StarvedStop stop;
    stop.extra_ = milliseconds(0);
    const auto holds = [&] {
      const auto at = stop.timer_.elapsed();
      return at >= milliseconds(100) && at != milliseconds(200);
    };
    CPPUNIT_ASSERT(
      stop.timer_.waitFor(holds, milliseconds(5000), milliseconds(200)));
    CPPUNIT_ASSERT(stop.timer_.elapsed() >= milliseconds(400));
    CPPUNIT_ASSERT(stop.timer_.elapsed() <= milliseconds(440));
  }

  void conditionIsAskedOnceAfterTheTime()
  {
    StarvedStop stop;
    stop.clock_.advance(milliseconds(9000));
    CPPUNIT_ASSERT(
      stop.timer_.waitFor([] { return true; }, milliseconds(7500)));
    CPPUNIT_ASSERT(
      !stop.timer_.waitFor([] { return false; }, milliseconds(7500)));
    CPPUNIT_ASSERT(stop.timer_.elapsed() == milliseconds(9000));
  }

  void phasesTakeWhatTheyTook()
  {
    StarvedStop stop;
    stop.timer_.sleepUntil(milliseconds(300));
    CPPUNIT_ASSERT(stop.timer_.endPhase() == milliseconds(380));
    stop.clock_.advance(milliseconds(50));
    CPPUNIT_ASSERT(stop.timer_.endPhase() == milliseconds(50));
  }

  void usualLimitLeavesTheBalancerItsLag()
  {
    const app::StopTimes usual = { milliseconds(2200), milliseconds(7500) };
    CPPUNIT_ASSERT(app::planStop(milliseconds(2200), milliseconds(8000)) ==
                   usual);
  }

  /** With a limit below the balancer's lag all requests in flight were cut. */
  void shortLimitStillLeavesTimeForRequests()
  {
    for (int limit = 0; limit <= 10000; limit += 100) {
      const app::StopTimes times =
        app::planStop(milliseconds(2200), milliseconds(limit));
      CPPUNIT_ASSERT(times.refuseAt_ >= milliseconds(0));
      CPPUNIT_ASSERT(times.refuseAt_ <= milliseconds(2200));
      CPPUNIT_ASSERT(times.refuseAt_ * 2 <= times.giveUpAt_);
      CPPUNIT_ASSERT(times.giveUpAt_ * 4 >= milliseconds(limit) * 3);
      CPPUNIT_ASSERT(limit == 0 || times.giveUpAt_ < milliseconds(limit));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTimerTest);
