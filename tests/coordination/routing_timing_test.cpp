// Tests of the estimated request timing of replicas.

#include "coordination/routing/engine_timing_func.h"
#include "fakes/fake_engine_spec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;

class RoutingTimingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingTimingTest);
  CPPUNIT_TEST(decodeStepGrowsWithBatch);
  CPPUNIT_TEST(prefillGrowsFasterThanPrompt);
  CPPUNIT_TEST(fullReplicaDelaysFirstEvent);
  CPPUNIT_TEST(modelPaceScalesAllTimes);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    engine_ = fakes::engineWithTimes();
    engine_.batchSlots_ = 26;
    engine_.perMillionPairs_ = state::FloatMs(0.7);
    engine_.usualPrompt_ = 1076;
    engine_.usualAnswer_ = 116;
  }

  void decodeStepGrowsWithBatch()
  {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      6.07, decodeStepTime(engine_, model_, 0).count(), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      6.07 + 26 * 0.241, decodeStepTime(engine_, model_, 26).count(), 1e-9);
  }

  void prefillGrowsFasterThanPrompt()
  {
    const double one = prefillTime(engine_, model_, 1000).count();
    const double two = prefillTime(engine_, model_, 2000).count();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000 / 46.0 + 0.35, one, 1e-9);
    CPPUNIT_ASSERT(two > 2 * one);
  }

  void fullReplicaDelaysFirstEvent()
  {
    const auto at = [&](std::uint32_t aRunning, std::uint32_t aWaiting) {
      return firstEventTime(engine_, model_, { aRunning, aWaiting, 26 }, 1000)
        .count();
    };
    CPPUNIT_ASSERT(at(0, 0) < 60);
    CPPUNIT_ASSERT(at(25, 0) < 150);
    CPPUNIT_ASSERT(at(26, 0) > at(25, 0) + 50);
    CPPUNIT_ASSERT(at(26, 10) > at(26, 0) + 500);
  }

  void modelPaceScalesAllTimes()
  {
    state::ModelSpec quick = model_;
    quick.pace_ = 0.5;
    const state::TargetLoad load{ 10, 0, 26 };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      firstEventTime(engine_, model_, load, 500).count() / 2,
      firstEventTime(engine_, quick, load, 500).count(),
      1e-6);
  }

private:
  state::EngineSpec engine_; ///< Engine settings.
  state::ModelSpec model_;   ///< The model.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTimingTest);
