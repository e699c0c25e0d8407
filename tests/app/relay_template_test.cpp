// Tests of the relay daemon's settings as the platform's template renders them.

#include "app/faults_of.h"
#include "app/file_func.h"
#include "app/relay_settings_file.h"
#include "fakes/settings_template.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace auburnhaven;
using namespace std::chrono_literals;
using app::RelayDaemonSettings;
using Json = nlohmann::json;

namespace {

constexpr char kTemplatePath[] =
  AUBURNHAVEN_SOURCE_DIR "/deploy/relay-settings.toml.in";

/** @return What the platform tells a machine. */
Json
platformFields()
{
  return Json::parse(R"({
    "node_name": "edge-malmo-a-1", "ip": "10.1.0.40", "zone": "malmo-a",
    "zones": {"malmo-a": "syd", "lund-b": "syd"},
    "bind": {"frontend": "10.1.0.40:8227", "ready": "10.1.0.40:8220",
             "admin": "10.1.0.40:8229"},
    "internal_ports": [7340, 7355],
    "seed_nodes": ["10.1.0.40:8229", "10.2.0.29:8229"],
    "bootstrap": true,
    "limits": {"cpu_quota": 0.17, "bandwidth_mbps": 700.0},
    "timing_bounds": {"config_apply_ms": 3000, "grace_period_s": 9,
      "retry_budget_ratio": 0.25, "retry_window_s": 12, "retry_min_extra": 302,
      "stall_limit_ms": 4000},
    "platform": {"address": "10.200.1.7:8223"}})");
}

/** A figure of the platform and the setting that is made of it. */
struct Figure
{
  const char* path_; ///< Where the platform tells it.
  double said_;      ///< What it says usually.
  std::function<double(const RelayDaemonSettings&)>
    get_;          ///< Reads the setting,
                   ///< in the figure's unit.
  double default_; ///< Value without it.
};

double
inMs(std::chrono::duration<double, std::milli> aTime)
{
  return aTime.count();
}

double
inSeconds(std::chrono::duration<double> aTime)
{
  return aTime.count();
}

/** @return All figures that the template passes on. */
std::vector<Figure>
figures()
{
  using Settings = RelayDaemonSettings;
  return {
    { "/timing_bounds/stall_limit_ms",
      4000,
      [](const Settings& aRead) { return inMs(aRead.stallLimit_); },
      6000 },
    { "/timing_bounds/config_apply_ms",
      3000,
      [](const Settings& aRead) { return inMs(aRead.newsLimit_); },
      2000 },
    { "/timing_bounds/grace_period_s",
      9,
      [](const Settings& aRead) { return inSeconds(aRead.stopLimit_); },
      8 },
    { "/timing_bounds/retry_budget_ratio",
      0.25,
      [](const Settings& aRead) { return aRead.retries_.ratio_; },
      0.2 },
    { "/timing_bounds/retry_min_extra",
      302,
      [](const Settings& aRead) -> double { return aRead.retries_.extra_; },
      300 },
    { "/timing_bounds/retry_window_s",
      12,
      [](const Settings& aRead) { return inSeconds(aRead.retries_.window_); },
      10 },
    { "/limits/cpu_quota",
      0.17,
      [](const Settings& aRead) { return aRead.processorShare_; },
      1 },
    { "/limits/bandwidth_mbps",
      700,
      [](const Settings& aRead) { return aRead.linkMbps_; },
      200 },
  };
}

} // namespace

class RelayTemplateTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayTemplateTest);
  CPPUNIT_TEST(figuresKeepTheirValueAndUnit);
  CPPUNIT_TEST(fractionsKeepTheDaemonStarting);
  CPPUNIT_TEST(wholeFiguresMayBeWrittenAsFractions);
  CPPUNIT_TEST(absentFigureLeavesItsDefault);
  CPPUNIT_TEST(valueThatIsNoNumberLeavesItsDefault);
  CPPUNIT_TEST(zeroIsAFigure);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    state::leaf::try_handle_all(
      [&]() -> state::leaf::result<void> {
        BOOST_LEAF_AUTO(text, app::readFile(kTemplatePath));
        template_ = text;
        return {};
      },
      [] { CPPUNIT_FAIL("the template cannot be read"); });
  }

  void figuresKeepTheirValueAndUnit()
  {
    const RelayDaemonSettings settings = read(platformFields());
    for (const Figure& figure : figures()) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(
        figure.path_, figure.said_, figure.get_(settings), 1e-9);
    }
    CPPUNIT_ASSERT(settings.firstStart_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, settings.zones_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, settings.seedPeers_.size());
  }

  /** A fraction among the platform's figures ended each daemon at its start. */
  void fractionsKeepTheDaemonStarting()
  {
    expect("/timing_bounds/stall_limit_ms", 4000.4, 4001);
    expect("/timing_bounds/config_apply_ms", 2500.6, 2500);
    expect("/timing_bounds/grace_period_s", 7.5, 7.5);
    expect("/timing_bounds/grace_period_s", 0.0305, 0.03);
    expect("/timing_bounds/retry_budget_ratio", 0.125, 0.125);
    expect("/timing_bounds/retry_min_extra", 302.9, 302);
    expect("/timing_bounds/retry_window_s", 7.5, 7.5);
    expect("/limits/bandwidth_mbps", 14.5, 14.5);
  }

  void wholeFiguresMayBeWrittenAsFractions()
  {
    for (const Figure& figure : figures()) {
      expect(figure.path_, 8.0, 8);
    }
    expect("/timing_bounds/stall_limit_ms", 1e5, 100'000);
  }

  void absentFigureLeavesItsDefault()
  {
    for (const Figure& figure : figures()) {
      Json fields = platformFields();
      const Json::json_pointer path(figure.path_);
      fields.at(path.parent_pointer()).erase(path.back());
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(
        figure.path_, figure.default_, figure.get_(read(fields)), 1e-9);
      expect(figure.path_, nullptr, figure.default_);
    }
    Json none = platformFields();
    none.erase("timing_bounds");
    none.erase("limits");
    none.erase("bootstrap");
    none.erase("seed_nodes");
    const RelayDaemonSettings settings = read(none);
    for (const Figure& figure : figures()) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(
        figure.path_, figure.default_, figure.get_(settings), 1e-9);
    }
    CPPUNIT_ASSERT(!settings.firstStart_);
  }

  void valueThatIsNoNumberLeavesItsDefault()
  {
    const std::vector<Json> odd = { true,
                                    false,
                                    "",
                                    "many",
                                    "1 000",
                                    "7,5",
                                    "nan",
                                    "inf",
                                    "-inf",
                                    "0x10",
                                    Json::array({ 1, 2 }),
                                    Json{ { "a", "b" } } };
    for (const Figure& figure : figures()) {
      for (const Json& value : odd) {
        expect(figure.path_, value, figure.default_);
      }
    }
  }

  /** Whether a 0 counts as absent is not left to the template. */
  void zeroIsAFigure()
  {
    expect("/timing_bounds/retry_budget_ratio", 0, 0);
    expect("/timing_bounds/retry_budget_ratio", 0.0, 0);
    expect("/timing_bounds/retry_min_extra", 0, 0);
    expect("/timing_bounds/stall_limit_ms", 0, 0);
  }

private:
  RelayDaemonSettings read(const Json& aFields) const
  {
    const std::string text = fakes::SettingsTemplate(template_).fill(aFields);
    RelayDaemonSettings settings;
    const auto faults = fakes::faultsOf([&]() -> state::leaf::result<void> {
      BOOST_LEAF_AUTO(parsed, app::parseRelaySettings(text, "s.toml"));
      settings = parsed.settings_;
      return {};
    });
    std::string message = text;
    for (const state::InputError& fault : faults) {
      message += fault.key_ + ": " + fault.message_ + '\n';
    }
    CPPUNIT_ASSERT_MESSAGE(message, faults.empty());
    return settings;
  }

  /** Asserts that a figure with one value yields another one, in its unit, and
   * leaves the other figures as they are. */
  void expect(const std::string& aPath, const Json& aSaid, double aValue) const
  {
    Json fields = platformFields();
    fields[Json::json_pointer(aPath)] = aSaid;
    const RelayDaemonSettings settings = read(fields);
    for (const Figure& figure : figures()) {
      const double wanted = figure.path_ == aPath ? aValue : figure.said_;
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(aPath + " = " + aSaid.dump() + ", " +
                                             figure.path_,
                                           wanted,
                                           figure.get_(settings),
                                           1e-9);
    }
  }

  std::string template_; ///< Text of the deployed template.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTemplateTest);
