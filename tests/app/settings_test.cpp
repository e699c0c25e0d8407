// Tests of reading settings files.

#include "app/faults_of.h"
#include "app/settings_file.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace auburnhaven;
using app::Settings;

namespace {

const std::string kGood = R"(daemon = "entry-1"
zone = "malmo-a"
region = "south"
stores = ["127.0.0.1:7000"]
vm_list = "127.0.0.1:7001"
peer_key = "0123456789abcdef"
operator_key = "fedcba9876543210"
[listeners]
callers = "127.0.0.1:8001"
peers = "127.0.0.1:8002"
operators = "[::1]:8003"
)";

/** @return Faults of a text; empty when it is accepted. */
std::vector<state::InputError>
faultsOf(const std::string& aText)
{
  return fakes::faultsOf([&]() -> state::leaf::result<void> {
    BOOST_LEAF_AUTO(settings, app::parseSettings(aText, "s.toml"));
    CPPUNIT_ASSERT(!settings.daemon_.empty());
    return {};
  });
}

/** @return A text with one part replaced. */
std::string
replaced(std::string aText, const std::string& aPart, const std::string& aNew)
{
  aText.replace(aText.find(aPart), aPart.size(), aNew);
  return aText;
}

/** Fails unless a text has one fault at the line and key. */
void
expectFault(const std::string& aText,
            int aLine,
            const std::string& aKey,
            const std::string& aMessage)
{
  const auto errors = faultsOf(aText);
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), errors.size());
  CPPUNIT_ASSERT_EQUAL(std::string("s.toml"), errors[0].source_);
  CPPUNIT_ASSERT_EQUAL(aLine, errors[0].line_);
  CPPUNIT_ASSERT_EQUAL(aKey, errors[0].key_);
  CPPUNIT_ASSERT_EQUAL(aMessage, errors[0].message_);
}

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(readsValuesAndDefaults);
  CPPUNIT_TEST(reportsEachFaultWithItsPlace);
  CPPUNIT_TEST(reportsAllFaultsInOneGo);
  CPPUNIT_TEST(referenceNamesEveryKey);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsValuesAndDefaults()
  {
    CPPUNIT_ASSERT(faultsOf(kGood).empty());
    const Settings settings =
      app::parseSettings(kGood + "[limits]\nbody_bytes = 4096\n", "s").value();
    CPPUNIT_ASSERT_EQUAL(std::string("malmo-a"), settings.zone_.value());
    CPPUNIT_ASSERT_EQUAL(std::string("::1"),
                         settings.listeners_.operators_.address_);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(8003),
                         settings.listeners_.operators_.port_);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(4096), settings.limits_.bodyBytes_);
    CPPUNIT_ASSERT(settings.evidenceLimit_ == Settings().evidenceLimit_);
  }

  void reportsEachFaultWithItsPlace()
  {
    const std::string type = "must be of type ";
    expectFault(
      kGood + "color = 1\n", 12, "listeners.color", "is not a known key");
    expectFault(
      replaced(kGood, "zone = \"malmo-a\"\n", ""), 1, "zone", "is missing");
    expectFault(replaced(kGood, "\"malmo-a\"", "7"),
                2,
                "zone",
                type + "string, not integer");
    expectFault(replaced(kGood, "[\"127.0.0.1:7000\"]", "[]"),
                4,
                "stores",
                "length 0 is not between 1 and 4096");
    expectFault(replaced(kGood, "127.0.0.1:7001", "example.org:1"),
                5,
                "vm_list",
                "must be an IP number and a port, address:port");
    expectFault(replaced(kGood, "0123456789abcdef", "short"),
                6,
                "peer_key",
                "length 5 is not between 16 and 256");
    expectFault(replaced(kGood, "8002", "8001"),
                8,
                "listeners.peers",
                "has the same address as another listener");
    expectFault(kGood + "[limits]\nbody_bytes = -1\n",
                13,
                "limits.body_bytes",
                "value -1 is not between 1024 and 67108864");
    expectFault("log_level = \"loud\"\n" + kGood,
                1,
                "log_level",
                "must be info, warning or error");
    CPPUNIT_ASSERT_EQUAL(2, faultsOf("a = 1\nb = = 2\n").at(0).line_);
  }

  void reportsAllFaultsInOneGo()
  {
    const auto errors = faultsOf(
      replaced(replaced(kGood, "\"malmo-a\"", "7"), "8001", "0") + "x = 1\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), errors.size());
    CPPUNIT_ASSERT_EQUAL(2, errors[0].line_);
    CPPUNIT_ASSERT_EQUAL(9, errors[1].line_);
    CPPUNIT_ASSERT_EQUAL(12, errors[2].line_);
  }

  void referenceNamesEveryKey()
  {
    const std::string text = app::settingsReference();
    CPPUNIT_ASSERT(text.find("| `limits.idle_timeout_ms` |") !=
                   std::string::npos);
    CPPUNIT_ASSERT(text.find("| `listeners.peers` |") != std::string::npos);
    CPPUNIT_ASSERT(text.find("| `daemon` |") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
