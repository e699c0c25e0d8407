// Short randomized simulations of requests that check all invariants.

#include "coordination/request_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;

class RequestRandomTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestRandomTest);
  CPPUNIT_TEST(invariantsHold);
  CPPUNIT_TEST_SUITE_END();

public:
  void invariantsHold()
  {
    for (const std::uint64_t seed : { 11, 12, 13 }) {
      fakes::RequestSimulation simulation(seed);
      const fakes::SimulationReport report = simulation.run(20000);
      CPPUNIT_ASSERT(report.answered_ > 100 && report.replayed_ > 10);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), report.duplicateRuns_);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), report.falseNotRun_);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), report.duplicateOutcomes_);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), report.wrongAnswers_);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), report.missingOutcomes_);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRandomTest);
