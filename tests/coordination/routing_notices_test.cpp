// Tests of what targets have told of themselves in their answers.

#include "coordination/routing/target_notices.h"
#include "fakes/fake_clock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

class RoutingNoticesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingNoticesTest);
  CPPUNIT_TEST(leavingEndsWithTheLife);
  CPPUNIT_TEST(unknownLifeIsTheNextOneRegistered);
  CPPUNIT_TEST(restEndsByTime);
  CPPUNIT_TEST(shorterRestDoesNotEndALongerOne);
  CPPUNIT_TEST(endlessRestIsForgottenInTheEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void leavingEndsWithTheLife()
  {
    notices_.noteLeaving(vm_, 7);
    clock_.advance(60s);
    notices_.noteIncarnation(vm_, 7);
    CPPUNIT_ASSERT(notices_.isLeaving(vm_));
    notices_.noteIncarnation(vm_, 8);
    CPPUNIT_ASSERT(!notices_.isLeaving(vm_));
  }

  // The registration that arrives after the notice may be older than it.
  void unknownLifeIsTheNextOneRegistered()
  {
    notices_.noteLeaving(vm_, 0);
    notices_.noteIncarnation(vm_, 7);
    CPPUNIT_ASSERT(notices_.isLeaving(vm_));
    notices_.noteIncarnation(vm_, 0);
    CPPUNIT_ASSERT(notices_.isLeaving(vm_));
    notices_.noteIncarnation(vm_, 8);
    CPPUNIT_ASSERT(!notices_.isLeaving(vm_));
  }

  void restEndsByTime()
  {
    notices_.notePause(vm_, 7, 3s);
    CPPUNIT_ASSERT(notices_.pausedUntil(vm_) == clock_.now() + 3s);
    CPPUNIT_ASSERT(!notices_.isLeaving(vm_));
    notices_.noteIncarnation(vm_, 8);
    CPPUNIT_ASSERT(notices_.pausedUntil(vm_) < clock_.now());
  }

  void shorterRestDoesNotEndALongerOne()
  {
    notices_.notePause(vm_, 7, 3s);
    notices_.notePause(vm_, 7, 1s);
    CPPUNIT_ASSERT(notices_.pausedUntil(vm_) == clock_.now() + 3s);
  }

  void endlessRestIsForgottenInTheEnd()
  {
    notices_.notePause(vm_, 7, std::chrono::hours(24 * 365));
    CPPUNIT_ASSERT(notices_.pausedUntil(vm_) > clock_.now() + 5min);
    CPPUNIT_ASSERT(notices_.pausedUntil(vm_) < clock_.now() + 1h);
  }

private:
  const state::VmId vm_{ "vm" };    ///< A target.
  fakes::FakeClock clock_;          ///< Clock.
  TargetNotices notices_{ clock_ }; ///< The notices.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingNoticesTest);
