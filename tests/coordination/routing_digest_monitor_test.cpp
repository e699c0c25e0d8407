// Tests of tracking digests of zone coordinators.

#include "coordination/routing/zone_digest_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

class RoutingDigestMonitorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingDigestMonitorTest);
  CPPUNIT_TEST(everyZoneWithEnginesMustSendDigests);
  CPPUNIT_TEST(zoneWithReleasedLeaseIsNotFresh);
  CPPUNIT_TEST(digestProvesOnlyWhatItsSenderKnows);
  CPPUNIT_TEST_SUITE_END();

public:
  // When a VM of zone b shuts down while b has no coordinator, no digest
  // reports it. A daemon of zone a must then read the store, even though it
  // receives digests of its own zone.
  void everyZoneWithEnginesMustSendDigests()
  {
    const state::TimePoint start{ 1h };
    ZoneDigestMonitor monitor(ownZone_, 1s);
    CPPUNIT_ASSERT(!monitor.allZonesFresh(start));
    monitor.noteDigest(ownZone_, start, start);
    CPPUNIT_ASSERT(monitor.allZonesFresh(start));
    monitor.setZones({ otherZone_ });
    CPPUNIT_ASSERT(!monitor.allZonesFresh(start));
    monitor.noteDigest(otherZone_, start, start);
    CPPUNIT_ASSERT(monitor.allZonesFresh(start + 900ms));
    monitor.noteDigest(ownZone_, start + 900ms, start);
    CPPUNIT_ASSERT(!monitor.allZonesFresh(start + 1s));
  }

  // Digests of a coordinator that the store had turned away counted as proof
  // that nothing had changed in the store.
  void digestProvesOnlyWhatItsSenderKnows()
  {
    const state::TimePoint start{ 1h };
    ZoneDigestMonitor monitor(ownZone_, 1s);
    monitor.setZones({ otherZone_ });
    CPPUNIT_ASSERT(monitor.knownAsOf() == state::TimePoint{});
    monitor.noteDigest(ownZone_, start + 1s, start + 900ms);
    monitor.noteDigest(otherZone_, start + 1s, start + 800ms);
    CPPUNIT_ASSERT(monitor.knownAsOf() == start + 800ms);
    // The other zone's coordinator no longer hears the store.
    monitor.noteDigest(ownZone_, start + 2s, start + 1900ms);
    monitor.noteDigest(otherZone_, start + 2s, start + 800ms);
    CPPUNIT_ASSERT(monitor.allZonesFresh(start + 2s));
    CPPUNIT_ASSERT(monitor.knownAsOf() == start + 800ms);
    // A clock that runs ahead proves nothing of the future.
    monitor.noteDigest(otherZone_, start + 2s, start + 9s);
    CPPUNIT_ASSERT(monitor.knownAsOf() == start + 1900ms);
  }

  void zoneWithReleasedLeaseIsNotFresh()
  {
    const state::TimePoint start{ 1h };
    ZoneDigestMonitor monitor(ownZone_, 1s);
    monitor.noteDigest(ownZone_, start, start);
    monitor.noteRelease(ownZone_);
    CPPUNIT_ASSERT(!monitor.allZonesFresh(start));
  }

private:
  const state::ZoneId ownZone_{ "a" };   ///< Zone of the daemon.
  const state::ZoneId otherZone_{ "b" }; ///< Another zone.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingDigestMonitorTest);
