// Tests of the timeout that a caller names.

#include "transport/gateway/request_timeout_func.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace std::chrono_literals;

class RequestTimeoutTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestTimeoutTest);
  CPPUNIT_TEST(callersNumberCounts);
  CPPUNIT_TEST(whatIsNoPositiveNumberIsIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  /** A timeout of 1.5e3 was read as 1 ms. */
  void callersNumberCounts()
  {
    CPPUNIT_ASSERT(transport::requestTimeout("1500", 5s) == 1500ms);
    CPPUNIT_ASSERT(transport::requestTimeout("1.5e3", 5s) == 1500ms);
    CPPUNIT_ASSERT(transport::requestTimeout("1500.9", 5s) == 1500ms);
    CPPUNIT_ASSERT(transport::requestTimeout("0.4", 5s) == 1ms);
    CPPUNIT_ASSERT(transport::requestTimeout("6000", 5s) == 5s);
    CPPUNIT_ASSERT(transport::requestTimeout("1e300", 5s) == 5s);
  }

  void whatIsNoPositiveNumberIsIgnored()
  {
    for (const char* odd : { "", "0", "-1", "soon", "5s", "inf", "nan" }) {
      CPPUNIT_ASSERT_MESSAGE(odd, transport::requestTimeout(odd, 5s) == 5s);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTimeoutTest);
