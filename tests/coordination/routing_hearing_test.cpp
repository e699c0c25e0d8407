// Tests of hearing the coordinators of zones.

#include "coordination/routing/zone_hearing.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

class RoutingHearingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingHearingTest);
  CPPUNIT_TEST(eachZoneWithEnginesMustBeHeard);
  CPPUNIT_TEST(zoneThatWasHandedBackIsNotHeard);
  CPPUNIT_TEST_SUITE_END();

public:
  // A VM of zone b leaves while b has no coordinator: a daemon of zone a that
  // hears its own coordinator must read the store all the same.
  void eachZoneWithEnginesMustBeHeard()
  {
    const state::TimePoint start{ 1h };
    ZoneHearing hearing(ownZone_, 1s);
    CPPUNIT_ASSERT(!hearing.hearsAll(start));
    hearing.heard(ownZone_, start);
    CPPUNIT_ASSERT(hearing.hearsAll(start));
    hearing.setZones({ otherZone_ });
    CPPUNIT_ASSERT(!hearing.hearsAll(start));
    hearing.heard(otherZone_, start);
    CPPUNIT_ASSERT(hearing.hearsAll(start + 900ms));
    hearing.heard(ownZone_, start + 900ms);
    CPPUNIT_ASSERT(!hearing.hearsAll(start + 1s));
  }

  void zoneThatWasHandedBackIsNotHeard()
  {
    const state::TimePoint start{ 1h };
    ZoneHearing hearing(ownZone_, 1s);
    hearing.heard(ownZone_, start);
    hearing.ended(ownZone_);
    CPPUNIT_ASSERT(!hearing.hearsAll(start));
  }

private:
  const state::ZoneId ownZone_{ "a" };   ///< Zone of the daemon.
  const state::ZoneId otherZone_{ "b" }; ///< Another zone.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingHearingTest);
