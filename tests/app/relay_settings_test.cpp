// Tests of reading the relay daemon's settings.

#include "app/faults_of.h"
#include "app/relay_settings_file.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;

namespace {

const std::string kGood = R"(daemon = "edge-1"
zone = "a"
zones = ["a", "b"]
store = "10.0.0.1:8223"
seed_peers = []
peer_key = "0123456789abcdef"
first_start = true
news_limit_ms = 3000
link_mbps = 14.5
[listeners]
callers = "10.0.0.2:1"
status = "10.0.0.2:2"
peers = "10.0.0.2:3"
digests = "10.0.0.2:4"
[retries]
ratio = 0.25
extra = 300
)";

/** @return Faults of a text. */
std::vector<state::InputError>
faultsOf(const std::string& aText, app::RelayDaemonSettings* aRead = nullptr)
{
  return fakes::faultsOf([&]() -> state::leaf::result<void> {
    BOOST_LEAF_AUTO(settings, app::parseRelaySettings(aText, "s.toml"));
    if (aRead != nullptr) {
      *aRead = settings;
    }
    return {};
  });
}

} // namespace

class RelaySettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelaySettingsTest);
  CPPUNIT_TEST(settingsAreRead);
  CPPUNIT_TEST(faultsNameTheirPlace);
  CPPUNIT_TEST(referenceNamesAllKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  void settingsAreRead()
  {
    app::RelayDaemonSettings settings;
    CPPUNIT_ASSERT(faultsOf(kGood, &settings).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, settings.zones_.size());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{ 4 },
                         settings.listeners_.digests_.port_);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, settings.retries_.ratio_, 1e-9);
    CPPUNIT_ASSERT(settings.firstStart_);
    CPPUNIT_ASSERT(settings.newsLimit_ == std::chrono::seconds(3));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(14.5, settings.linkMbps_, 1e-9);
  }

  void faultsNameTheirPlace()
  {
    const auto faults = faultsOf("color = 1\n" + kGood + "ratio2 = 1\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, faults.size());
    CPPUNIT_ASSERT_EQUAL(std::string("color"), faults.at(0).key_);
    CPPUNIT_ASSERT_EQUAL(1, faults.at(0).line_);
    CPPUNIT_ASSERT_EQUAL(std::string("retries.ratio2"), faults.at(1).key_);
    std::string missing = kGood;
    missing.erase(0, missing.find('\n') + 1);
    CPPUNIT_ASSERT_EQUAL(std::string("daemon"), faultsOf(missing).at(0).key_);
    std::string badRatio = kGood;
    badRatio.replace(badRatio.find("0.25"), 4, "\"x\"");
    CPPUNIT_ASSERT_EQUAL(std::string("retries.ratio"),
                         faultsOf(badRatio).at(0).key_);
  }

  void referenceNamesAllKeys()
  {
    const std::string reference = app::relaySettingsReference();
    for (const char* key :
         { "`store`", "`listeners.digests`", "`retries.window_s`" }) {
      CPPUNIT_ASSERT(reference.find(key) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelaySettingsTest);
