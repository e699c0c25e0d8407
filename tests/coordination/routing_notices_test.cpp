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
    notices_.noteLeaving(kVm, 7);
    clock_.advance(60s);
    notices_.noteLife(kVm, 7);
    CPPUNIT_ASSERT(notices_.isLeaving(kVm));
    notices_.noteLife(kVm, 8);
    CPPUNIT_ASSERT(!notices_.isLeaving(kVm));
  }

  // The registration that arrives after the notice may be older than it.
  void unknownLifeIsTheNextOneRegistered()
  {
    notices_.noteLeaving(kVm, 0);
    notices_.noteLife(kVm, 7);
    CPPUNIT_ASSERT(notices_.isLeaving(kVm));
    notices_.noteLife(kVm, 0);
    CPPUNIT_ASSERT(notices_.isLeaving(kVm));
    notices_.noteLife(kVm, 8);
    CPPUNIT_ASSERT(!notices_.isLeaving(kVm));
  }

  void restEndsByTime()
  {
    notices_.noteRest(kVm, 7, 3s);
    CPPUNIT_ASSERT(notices_.restsUntil(kVm) == clock_.now() + 3s);
    CPPUNIT_ASSERT(!notices_.isLeaving(kVm));
    notices_.noteLife(kVm, 8);
    CPPUNIT_ASSERT(notices_.restsUntil(kVm) < clock_.now());
  }

  void shorterRestDoesNotEndALongerOne()
  {
    notices_.noteRest(kVm, 7, 3s);
    notices_.noteRest(kVm, 7, 1s);
    CPPUNIT_ASSERT(notices_.restsUntil(kVm) == clock_.now() + 3s);
  }

  void endlessRestIsForgottenInTheEnd()
  {
    notices_.noteRest(kVm, 7, std::chrono::hours(24 * 365));
    CPPUNIT_ASSERT(notices_.restsUntil(kVm) > clock_.now() + 5min);
    CPPUNIT_ASSERT(notices_.restsUntil(kVm) < clock_.now() + 1h);
  }

private:
  const state::VmId kVm{ "vm" };    ///< A target.
  fakes::FakeClock clock_;          ///< Clock.
  TargetNotices notices_{ clock_ }; ///< The notices.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingNoticesTest);
