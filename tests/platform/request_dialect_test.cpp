// Tests of the figures in callers' headers.

#include "platform/request_dialect.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace std::chrono_literals;

namespace {

/** @return What the relay reads of a request with one header. */
transport::RelayRequestInfo
readWith(const std::string& aName, const std::string& aValue)
{
  transport::HttpRequest request;
  request.headers_.push_back({ aName, aValue });
  return platform::RequestDialect().read(request);
}

/** @return Time that a caller waits. */
std::optional<std::chrono::milliseconds>
deadlineOf(const std::string& aValue)
{
  return readWith("X-Deadline-Ms", aValue).callerTimeout_;
}

} // namespace

class RequestDialectTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestDialectTest);
  CPPUNIT_TEST(deadlineMayBeAnyDecimalNumber);
  CPPUNIT_TEST(deadlineThatIsNoNumberIsNone);
  CPPUNIT_TEST(tokensMayBeFractions);
  CPPUNIT_TEST_SUITE_END();

public:
  /** A deadline of 1.5e3 was read as 1 ms: its request was given up at once. */
  void deadlineMayBeAnyDecimalNumber()
  {
    CPPUNIT_ASSERT(deadlineOf("1500") == 1500ms);
    CPPUNIT_ASSERT(deadlineOf("1500.0") == 1500ms);
    CPPUNIT_ASSERT(deadlineOf("1500.9") == 1500ms);
    CPPUNIT_ASSERT(deadlineOf("1.5e3") == 1500ms);
    CPPUNIT_ASSERT(deadlineOf("0.4") == 0ms);
    CPPUNIT_ASSERT(deadlineOf("99999999999") > 24h);
    CPPUNIT_ASSERT(deadlineOf("1e300") > 24h);
  }

  void deadlineThatIsNoNumberIsNone()
  {
    for (const char* odd : { "", "soon", "-5", "nan", "inf", "-inf", " 5" }) {
      CPPUNIT_ASSERT_MESSAGE(odd, !deadlineOf(odd));
    }
  }

  void tokensMayBeFractions()
  {
    const auto tokens = readWith("X-Token-Usage", "1459.2,80.0").tokens_;
    CPPUNIT_ASSERT_EQUAL(1460U, tokens.prompt_);
    CPPUNIT_ASSERT_EQUAL(80U, tokens.answer_);
    CPPUNIT_ASSERT_EQUAL(0U,
                         readWith("X-Token-Usage", "1460;80").tokens_.prompt_);
    CPPUNIT_ASSERT_EQUAL(0U,
                         readWith("X-Token-Usage", "-1,80").tokens_.answer_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestDialectTest);
