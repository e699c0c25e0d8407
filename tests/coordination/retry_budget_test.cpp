// Tests of the budget of repeated sends.

#include "coordination/request/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven::coordination;

class RetryBudgetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(requestsAndTimeEarnRetries);
  CPPUNIT_TEST(savedRetriesAreBounded);
  CPPUNIT_TEST(greaterMaximumIsAtHandAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void requestsAndTimeEarnRetries()
  {
    RetryBudget budget({ 200, 0, 10 });
    for (int request = 0; request < 5; ++request) {
      CPPUNIT_ASSERT(!budget.tryAcquireRetry());
      budget.requestStarted();
    }
    CPPUNIT_ASSERT(budget.tryAcquireRetry());
    CPPUNIT_ASSERT(!budget.tryAcquireRetry());
    for (int tick = 0; tick < 4; ++tick) {
      budget.addRetries(0.25);
    }
    CPPUNIT_ASSERT(budget.tryAcquireRetry());
    CPPUNIT_ASSERT(!budget.tryAcquireRetry());
  }

  void savedRetriesAreBounded()
  {
    RetryBudget budget({ 1000, 0, 3 });
    budget.addRetries(100);
    budget.requestStarted();
    CPPUNIT_ASSERT_EQUAL(3U, budget.available());
    budget.setMaximum(2);
    CPPUNIT_ASSERT_EQUAL(2U, budget.available());
  }

  // A daemon that has just started learns how many daemons share the limit;
  // streams that break off in its first second may go on elsewhere.
  void greaterMaximumIsAtHandAtOnce()
  {
    RetryBudget budget({ 200, 1, 1 });
    budget.setMaximum(8);
    CPPUNIT_ASSERT_EQUAL(8U, budget.available());
    CPPUNIT_ASSERT(budget.tryAcquireRetry());
    budget.setMaximum(8);
    CPPUNIT_ASSERT_EQUAL(7U, budget.available());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);
