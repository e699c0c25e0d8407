// Tests of hearing the coordinators of zones.

#include "coordination/routing/zone_digest_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

class RoutingDigestMonitorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingDigestMonitorTest);
  CPPUNIT_TEST(eachZoneWithEnginesMustBeHeard);
  CPPUNIT_TEST(zoneThatWasHandedBackIsNotHeard);
  CPPUNIT_TEST_SUITE_END();

public:
  // A VM of zone b leaves while b has no coordinator: a daemon of zone a that
  // hears its own coordinator must read the store all the same.
  void eachZoneWithEnginesMustBeHeard()
  {
    const state::TimePoint start{ 1h };
    ZoneDigestMonitor hearing(ownZone_, 1s);
    CPPUNIT_ASSERT(!hearing.allZonesFresh(start));
    hearing.noteDigest(ownZone_, start);
    CPPUNIT_ASSERT(hearing.allZonesFresh(start));
    hearing.setZones({ otherZone_ });
    CPPUNIT_ASSERT(!hearing.allZonesFresh(start));
    hearing.noteDigest(otherZone_, start);
    CPPUNIT_ASSERT(hearing.allZonesFresh(start + 900ms));
    hearing.noteDigest(ownZone_, start + 900ms);
    CPPUNIT_ASSERT(!hearing.allZonesFresh(start + 1s));
  }

  void zoneThatWasHandedBackIsNotHeard()
  {
    const state::TimePoint start{ 1h };
    ZoneDigestMonitor hearing(ownZone_, 1s);
    hearing.noteDigest(ownZone_, start);
    hearing.noteRelease(ownZone_);
    CPPUNIT_ASSERT(!hearing.allZonesFresh(start));
  }

private:
  const state::ZoneId ownZone_{ "a" };   ///< Zone of the daemon.
  const state::ZoneId otherZone_{ "b" }; ///< Another zone.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingDigestMonitorTest);
