// Tests of a daemon's share of the limit of repeated sends.

#include "app/retry_share_func.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace std::chrono_literals;
using app::RetryShare;
using coordination::RetryBudget;

class RetryShareTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetryShareTest);
  CPPUNIT_TEST(limitIsDividedAmongDaemons);
  CPPUNIT_TEST(windowMayBeAFraction);
  CPPUNIT_TEST(limitOfNothingAllowsNoRetry);
  CPPUNIT_TEST(smallLimitStillAllowsRetries);
  CPPUNIT_TEST_SUITE_END();

public:
  void limitIsDividedAmongDaemons()
  {
    const RetryShare share = app::shareOfRetries({ 0.2, 302, 10s }, 20);
    CPPUNIT_ASSERT_EQUAL(160U, share.ratioPermille_);
    CPPUNIT_ASSERT_EQUAL(9U, share.maximum_);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.628, share.perSecond_, 0.001);
    CPPUNIT_ASSERT(app::shareOfRetries({ 0.2, 302, 10s }, 0) ==
                   app::shareOfRetries({ 0.2, 302, 10s }, 1));
  }

  void windowMayBeAFraction()
  {
    const double whole = app::shareOfRetries({ 0.2, 302, 10s }, 20).perSecond_;
    const double half =
      app::shareOfRetries({ 0.2, 302, 7500ms }, 20).perSecond_;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(whole / 0.75, half, 1e-9);
  }

  /** Each daemon had one retry where the platform grants none. */
  void limitOfNothingAllowsNoRetry()
  {
    const app::RelayRetryLimits nothing{ 0, 0, 10s };
    RetryBudget budget(app::firstRetryBudget(nothing));
    CPPUNIT_ASSERT(!budget.tryAcquireRetry());
    const RetryShare share = app::shareOfRetries(nothing, 20);
    budget.setMaximum(share.maximum_);
    for (int second = 0; second < 100; ++second) {
      budget.requestStarted();
      budget.addRetries(share.perSecond_);
      CPPUNIT_ASSERT(!budget.tryAcquireRetry());
    }
  }

  void smallLimitStillAllowsRetries()
  {
    for (const app::RelayRetryLimits& limits :
         { app::RelayRetryLimits{ 0.2, 0, 10s },
           app::RelayRetryLimits{ 0, 5, 10s } }) {
      RetryBudget budget(app::firstRetryBudget(limits));
      CPPUNIT_ASSERT(budget.tryAcquireRetry());
      const RetryShare share = app::shareOfRetries(limits, 20);
      budget.setMaximum(share.maximum_);
      for (int second = 0; second < 600; ++second) {
        budget.requestStarted();
        budget.addRetries(share.perSecond_);
      }
      CPPUNIT_ASSERT_EQUAL(1U, budget.available());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryShareTest);
