// Tests of the retry budget.

#include "coordination/request/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven::coordination;

class RetryBudgetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(requestsAndTimeAddRetries);
  CPPUNIT_TEST(availableRetriesAreBounded);
  CPPUNIT_TEST(raisedMaximumIsAvailableAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void requestsAndTimeAddRetries()
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

  void availableRetriesAreBounded()
  {
    RetryBudget budget({ 1000, 0, 3 });
    budget.addRetries(100);
    budget.requestStarted();
    CPPUNIT_ASSERT_EQUAL(3U, budget.available());
    budget.setMaximum(2);
    CPPUNIT_ASSERT_EQUAL(2U, budget.available());
  }

  // A new daemon learns only after its start how many daemons share the limit.
  // Streams that break in its first second must still be able to resume on
  // another target, so the raised maximum must not fill up gradually.
  void raisedMaximumIsAvailableAtOnce()
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
