// Tests of the digests of whole requests.

#include "state/prompt_part_func.h"
#include "state/request_digest_func.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using state::wholeRequestPart;

class RequestDigestTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestDigestTest);
  CPPUNIT_TEST(sameRequestHasSameDigest);
  CPPUNIT_TEST(eachFieldTellsRequestsApart);
  CPPUNIT_TEST(partsThatCallersNameAreNoRequests);
  CPPUNIT_TEST_SUITE_END();

public:
  void sameRequestHasSameDigest()
  {
    CPPUNIT_ASSERT(wholeRequestPart({ "/a", "one", "body" }) ==
                   wholeRequestPart({ "/a", "one", "body" }));
    CPPUNIT_ASSERT(state::isWholeRequest(wholeRequestPart({})));
  }

  void eachFieldTellsRequestsApart()
  {
    const auto part = wholeRequestPart({ "/a", "one", "body" });
    CPPUNIT_ASSERT(part != wholeRequestPart({ "/b", "one", "body" }));
    CPPUNIT_ASSERT(part != wholeRequestPart({ "/a", "two", "body" }));
    CPPUNIT_ASSERT(part != wholeRequestPart({ "/a", "one", "" }));
    // Moving a letter from one field to the next makes another request.
    CPPUNIT_ASSERT(part != wholeRequestPart({ "/ao", "ne", "body" }));
  }

  void partsThatCallersNameAreNoRequests()
  {
    CPPUNIT_ASSERT(
      !state::isWholeRequest(state::promptPartFrom("ffffffffffffffff")));
    CPPUNIT_ASSERT(!state::isWholeRequest(state::promptPartFrom("any name")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestDigestTest);
