// Tests of configurations with figures in forms that the daemon does not
// expect.

#include "fakes/fake_event_log.h"
#include "fakes/fake_store.h"
#include "platform/config_codec.h"
#include "platform/config_example.h"
#include "platform/routing_codec.h"

#include "coordination/routing/store_follower.h"

#include <nlohmann/json.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <vector>

using namespace auburnhaven;
using namespace std::chrono_literals;
using state::EngineSpec;
using state::RoutingConfig;
using Json = nlohmann::json;

namespace {

/** A figure of the example and what is made of it. */
struct Figure
{
  const char* path_;                                ///< Where it stands.
  std::function<double(const RoutingConfig&)> get_; ///< Reads the result.
  double default_; ///< Result without the figure.
};

/** @return The engines' properties of a configuration. */
const EngineSpec&
engineOf(const RoutingConfig& aConfig)
{
  return *aConfig.services_.at(0).engine_;
}

double
inMs(std::chrono::duration<double, std::milli> aTime)
{
  return aTime.count();
}

/** @return Figures of a route, a service, an account and the limits. */
std::vector<Figure>
routeFigures()
{
  using Config = RoutingConfig;
  const state::CallerLimits limits;
  return {
    { "/route_table/0/timeout_ms",
      [](const Config& aRead) { return inMs(aRead.routes_.at(0).timeout_); },
      60'000 },
    { "/route_table/0/target_latency_ms",
      [](const Config& aRead) {
        return inMs(aRead.routes_.at(0).latencyTarget_);
      },
      0 },
    { "/route_table/0/max_attempts",
      [](const Config& aRead) -> double {
        return aRead.routes_.at(0).maxAttempts_;
      },
      1 },
    { "/route_table/0/priority",
      [](const Config& aRead) -> double {
        return aRead.routes_.at(0).priority_;
      },
      0 },
    { "/route_table/0/weighted_backends/0/weight",
      [](const Config& aRead) -> double {
        return aRead.routes_.at(0).services_.at(0).weight_;
      },
      0 },
    { "/backends/0/max_connections",
      [](const Config& aRead) -> double {
        return aRead.services_.at(0).maxConnections_;
      },
      0 },
    { "/limits/max_header_bytes",
      [](const Config& aRead) -> double { return aRead.limits_.headerBytes_; },
      static_cast<double>(limits.headerBytes_) },
    { "/limits/max_body_bytes",
      [](const Config& aRead) -> double {
        return static_cast<double>(aRead.limits_.bodyBytes_);
      },
      static_cast<double>(limits.bodyBytes_) },
    { "/limits/header_timeout_ms",
      [](const Config& aRead) { return inMs(aRead.limits_.headerTimeout_); },
      inMs(limits.headerTimeout_) },
    { "/limits/idle_timeout_ms",
      [](const Config& aRead) { return inMs(aRead.limits_.idleTimeout_); },
      inMs(limits.idleTimeout_) },
  };
}

/** @return Figures of model engines. */
std::vector<Figure>
engineFigures()
{
  using Config = RoutingConfig;
  return {
    { "/backends/0/runtime/batch_slots",
      [](const Config& aRead) -> double { return engineOf(aRead).batchSlots_; },
      1 },
    { "/backends/0/runtime/step_ms",
      [](const Config& aRead) { return engineOf(aRead).step_.count(); },
      0 },
    { "/backends/0/runtime/per_seq_ms",
      [](const Config& aRead) {
        return engineOf(aRead).stepPerRequest_.count();
      },
      0 },
    { "/backends/0/runtime/context_per_k",
      [](const Config& aRead) {
        return engineOf(aRead).stepPerThousandContext_.count();
      },
      0 },
    { "/backends/0/runtime/pairs_per_m",
      [](const Config& aRead) {
        return engineOf(aRead).perMillionPairs_.count();
      },
      0 },
    { "/backends/0/runtime/read_per_s",
      [](const Config& aRead) {
        return engineOf(aRead).promptTokensPerMs_ * 1000;
      },
      1000 },
    { "/backends/0/runtime/report_lag_ms",
      [](const Config& aRead) { return inMs(engineOf(aRead).reportLag_); },
      0 },
    { "/backends/0/runtime/batch_form_ms",
      [](const Config& aRead) { return inMs(engineOf(aRead).openTime_); },
      0 },
    { "/backends/0/runtime/loads_per_s",
      [](const Config& aRead) { return engineOf(aRead).loadsPerSecond_; },
      1 },
    { "/backends/0/runtime/loads_at_once",
      [](const Config& aRead) -> double {
        return engineOf(aRead).loadsAtOnce_;
      },
      1 },
    { "/backends/0/runtime/usual/prompt",
      [](const Config& aRead) -> double {
        return engineOf(aRead).usualPrompt_;
      },
      0 },
    { "/backends/0/runtime/usual/answer",
      [](const Config& aRead) -> double {
        return engineOf(aRead).usualAnswer_;
      },
      0 },
    { "/backends/0/runtime/model_list/0/work_share",
      [](const Config& aRead) {
        return engineOf(aRead).models_.at(0).workShare_;
      },
      0 },
    { "/backends/0/runtime/model_list/0/pace",
      [](const Config& aRead) { return engineOf(aRead).models_.at(0).pace_; },
      1 },
    { "/backends/0/runtime/model_list/0/load_time_s",
      [](const Config& aRead) {
        return inMs(engineOf(aRead).models_.at(0).loadTime_) / 1000;
      },
      0 },
    { "/backends/0/runtime/model_list/0/warm_s",
      [](const Config& aRead) {
        return inMs(engineOf(aRead).models_.at(0).warmTime_) / 1000;
      },
      0 },
  };
}

/** @return All figures but the version and the sizes of models. */
std::vector<Figure>
figures()
{
  std::vector<Figure> all = routeFigures();
  for (Figure& figure : engineFigures()) {
    all.push_back(std::move(figure));
  }
  return all;
}

/** @return Text of the example with one value replaced. */
std::string
exampleWith(const std::string& aPath, const Json& aValue)
{
  Json config = Json::parse(fakes::kConfig);
  config[Json::json_pointer(aPath)] = aValue;
  return config.dump();
}

/** @return What is read of a text. */
RoutingConfig
read(const std::string& aText)
{
  const auto decoded = platform::decodeConfig(aText);
  CPPUNIT_ASSERT_MESSAGE(aText, decoded.has_value());
  return decoded->config_;
}

/** Asserts that a figure with one value yields another, and changes no other
 * figure. */
void
expect(const std::string& aPath, const Json& aSaid, double aValue)
{
  const RoutingConfig good = read(fakes::kConfig);
  const RoutingConfig config = read(exampleWith(aPath, aSaid));
  for (const Figure& figure : figures()) {
    const double wanted = figure.path_ == aPath ? aValue : figure.get_(good);
    CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(aPath + " = " + aSaid.dump() + ", " +
                                           figure.path_,
                                         wanted,
                                         figure.get_(config),
                                         1e-9);
  }
}

} // namespace

class OddConfigTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OddConfigTest);
  CPPUNIT_TEST(valueThatIsNoFigureCostsItselfAlone);
  CPPUNIT_TEST(fractionsAreUsed);
  CPPUNIT_TEST(wholeFiguresMayBeWrittenAsFractions);
  CPPUNIT_TEST(veryLargeFiguresAreBounded);
  CPPUNIT_TEST(modelOfUnknownSizeIsLeftOut);
  CPPUNIT_TEST(oddVersionIsNoConfiguration);
  CPPUNIT_TEST(figuresWithoutTheirObjectHaveDefaults);
  CPPUNIT_TEST(followerAppliesAndLogsThem);
  CPPUNIT_TEST_SUITE_END();

public:
  /** One odd figure kept daemons at the configuration before. */
  void valueThatIsNoFigureCostsItselfAlone()
  {
    const std::vector<Json> odd = {
      true, "x", "7", nullptr, -1, -0.5, Json::array({ 1 }), Json::object()
    };
    for (const Figure& figure : figures()) {
      for (const Json& value : odd) {
        expect(figure.path_, value, figure.default_);
      }
    }
  }

  void fractionsAreUsed()
  {
    expect("/route_table/0/timeout_ms", 7999.9, 7999);
    expect("/route_table/0/max_attempts", 2.9, 2);
    expect("/route_table/0/weighted_backends/0/weight", 0.25, 0.25);
    expect("/limits/header_timeout_ms", 4999.1, 5000);
    expect("/backends/0/runtime/report_lag_ms", 200.5, 201);
    expect("/backends/0/runtime/usual/prompt", 1076.4, 1076);
    expect("/backends/0/runtime/batch_slots", 26.5, 26);
    expect("/backends/0/runtime/model_list/0/warm_s", 0.29, 0.29);
  }

  void wholeFiguresMayBeWrittenAsFractions()
  {
    for (const Figure& figure : figures()) {
      expect(figure.path_, 1.0, 1);
    }
    CPPUNIT_ASSERT_EQUAL(
      4U,
      engineOf(read(exampleWith("/backends/0/runtime/model_list/0/size", 4.0)))
        .models_.at(0)
        .size_);
  }

  void veryLargeFiguresAreBounded()
  {
    for (const Figure& figure : figures()) {
      for (const Json& value : { Json(1e300), Json(18446744073709551615ULL) }) {
        const double got = figure.get_(read(exampleWith(figure.path_, value)));
        CPPUNIT_ASSERT_MESSAGE(figure.path_, got >= 1 && got <= 1e12);
      }
    }
  }

  /** A replica of another size would serve incomplete. */
  void modelOfUnknownSizeIsLeftOut()
  {
    const std::vector<Json> odd = {
      4.5, 0, -4, 4097, 1e300, "4", true, nullptr
    };
    for (const Json& value : odd) {
      const auto decoded = platform::decodeConfig(
        exampleWith("/backends/0/runtime/model_list/0/size", value));
      CPPUNIT_ASSERT_MESSAGE(value.dump(), decoded);
      CPPUNIT_ASSERT(engineOf(decoded->config_).models_.empty());
      CPPUNIT_ASSERT_EQUAL(std::string("model_list.m0.size"),
                           decoded->notes_.at(0).key_);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, decoded->config_.routes_.size());
    }
  }

  /** Another version in its place could hold back all later ones. */
  void oddVersionIsNoConfiguration()
  {
    const std::vector<Json> odd = { 7.5, -1, -7.0, 1e300, "7", true, nullptr };
    for (const Json& value : odd) {
      CPPUNIT_ASSERT_MESSAGE(
        value.dump(), !platform::decodeConfig(exampleWith("/version", value)));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 },
                         read(exampleWith("/version", 8.0)).version_.value());
  }

  void figuresWithoutTheirObjectHaveDefaults()
  {
    CPPUNIT_ASSERT(read(exampleWith("/limits", "none")).limits_ ==
                   state::CallerLimits());
    const RoutingConfig config = read(
      exampleWith("/backends/0/runtime/usual", Json::array({ 1076, 116 })));
    CPPUNIT_ASSERT_EQUAL(0U, engineOf(config).usualPrompt_);
    CPPUNIT_ASSERT_EQUAL(26U, engineOf(config).batchSlots_);
  }

  void followerAppliesAndLogsThem()
  {
    fakes::FakeClock clock;
    const auto data = std::make_shared<fakes::FakeStoreData>();
    fakes::FakeStore store(clock, data);
    fakes::FakeEventLog log;
    const platform::PlatformRoutingCodec codec;
    coordination::FollowerSettings settings;
    settings.configKey_ = "config";
    settings.instancePrefix_ = "vm/";
    settings.daemonPrefix_ = "own/";
    data->put("config", exampleWith("/route_table/0/max_attempts", "three"));
    coordination::StoreFollower follower(clock, store, codec, log, settings);
    for (int step = 0; step < 100 && !follower.config(); ++step) {
      clock.advance(20ms);
      store.step();
      follower.tick();
    }
    CPPUNIT_ASSERT(follower.config());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      log.count("store: configured value is not used as it stands"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddConfigTest);
