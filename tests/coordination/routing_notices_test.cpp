// Tests of notices that targets have sent in their responses.

#include "coordination/routing/target_notices.h"
#include "fakes/fake_clock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

class RoutingNoticesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingNoticesTest);
  CPPUNIT_TEST(shutdownNoticeEndsWithTheIncarnation);
  CPPUNIT_TEST(noticeOfUnknownIncarnationCountsForTheNextRegistered);
  CPPUNIT_TEST(pauseExpires);
  CPPUNIT_TEST(shorterPauseDoesNotEndALongerOne);
  CPPUNIT_TEST(veryLongPauseIsCapped);
  CPPUNIT_TEST_SUITE_END();

public:
  void shutdownNoticeEndsWithTheIncarnation()
  {
    notices_.noteLeaving(vm_, 7);
    clock_.advance(60s);
    notices_.noteIncarnation(vm_, 7);
    CPPUNIT_ASSERT(notices_.isLeaving(vm_));
    notices_.noteIncarnation(vm_, 8);
    CPPUNIT_ASSERT(!notices_.isLeaving(vm_));
  }

  // A registration can arrive after the notice of the same incarnation, so the
  // first one registered does not end the notice.
  void noticeOfUnknownIncarnationCountsForTheNextRegistered()
  {
    notices_.noteLeaving(vm_, 0);
    notices_.noteIncarnation(vm_, 7);
    CPPUNIT_ASSERT(notices_.isLeaving(vm_));
    notices_.noteIncarnation(vm_, 0);
    CPPUNIT_ASSERT(notices_.isLeaving(vm_));
    notices_.noteIncarnation(vm_, 8);
    CPPUNIT_ASSERT(!notices_.isLeaving(vm_));
  }

  void pauseExpires()
  {
    notices_.notePause(vm_, 7, 3s);
    CPPUNIT_ASSERT(notices_.pausedUntil(vm_) == clock_.now() + 3s);
    CPPUNIT_ASSERT(!notices_.isLeaving(vm_));
    notices_.noteIncarnation(vm_, 8);
    CPPUNIT_ASSERT(notices_.pausedUntil(vm_) < clock_.now());
  }

  void shorterPauseDoesNotEndALongerOne()
  {
    notices_.notePause(vm_, 7, 3s);
    notices_.notePause(vm_, 7, 1s);
    CPPUNIT_ASSERT(notices_.pausedUntil(vm_) == clock_.now() + 3s);
  }

  void veryLongPauseIsCapped()
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
