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
faultsOf(const std::string& aText, app::RelaySettingsFile* aRead = nullptr)
{
  return fakes::faultsOf([&]() -> state::leaf::result<void> {
    BOOST_LEAF_AUTO(file, app::parseRelaySettings(aText, "s.toml"));
    if (aRead != nullptr) {
      *aRead = file;
    }
    return {};
  });
}

/** @return What is read of a text that has no fault. */
app::RelaySettingsFile
read(const std::string& aText)
{
  app::RelaySettingsFile file;
  CPPUNIT_ASSERT_MESSAGE(aText, faultsOf(aText, &file).empty());
  return file;
}

/** @return kGood with one text replaced. */
std::string
goodWith(const std::string& aOld, const std::string& aNew)
{
  std::string text = kGood;
  CPPUNIT_ASSERT(text.find(aOld) != std::string::npos);
  return text.replace(text.find(aOld), aOld.size(), aNew);
}

/** @return What is read of kGood with one more line before its tables. */
app::RelaySettingsFile
readWith(const std::string& aLine)
{
  return read(aLine + '\n' + kGood);
}

} // namespace

class RelaySettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelaySettingsTest);
  CPPUNIT_TEST(settingsAreRead);
  CPPUNIT_TEST(faultsNameTheirPlace);
  CPPUNIT_TEST(figureThatIsNoneIsReplacedWithANote);
  CPPUNIT_TEST(figureOutOfRangeTakesTheNearestValue);
  CPPUNIT_TEST(fractionsAreRoundedToTheSafeSide);
  CPPUNIT_TEST(oddTruthValueIsNoFirstStart);
  CPPUNIT_TEST(oddSeedIsLeftOut);
  CPPUNIT_TEST(whoAndWhereMustBeSound);
  CPPUNIT_TEST(notesAreShort);
  CPPUNIT_TEST(referenceNamesAllKeys);
  CPPUNIT_TEST(referenceNamesTypesAndRanges);
  CPPUNIT_TEST_SUITE_END();

public:
  void settingsAreRead()
  {
    const app::RelaySettingsFile file = read(kGood);
    const app::RelayDaemonSettings& settings = file.settings_;
    CPPUNIT_ASSERT(file.notes_.empty());
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
  }

  void figureThatIsNoneIsReplacedWithANote()
  {
    for (const char* odd :
         { "\"x\"", "\"\"", "true", "[0.1]", "nan", "inf", "-0.1", "\"-1\"" }) {
      const auto file = read(goodWith("0.25", odd));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t{ 1 }, file.notes_.size());
      const state::InputError& note = file.notes_.front();
      CPPUNIT_ASSERT_EQUAL(std::string("retries.ratio"), note.key_);
      CPPUNIT_ASSERT_EQUAL(16, note.line_);
      CPPUNIT_ASSERT_EQUAL(std::string("s.toml"), note.source_);
      CPPUNIT_ASSERT_MESSAGE(note.message_,
                             note.message_.ends_with("uses 0.2"));
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, file.settings_.retries_.ratio_, 1e-9);
      CPPUNIT_ASSERT_EQUAL(300U, file.settings_.retries_.extra_);
    }
  }

  void figureOutOfRangeTakesTheNearestValue()
  {
    using std::chrono::hours;
    const auto stall = readWith("stall_limit_ms = 3600001");
    CPPUNIT_ASSERT(stall.settings_.stallLimit_ == hours(1));
    CPPUNIT_ASSERT_EQUAL(std::string("stall_limit_ms"),
                         stall.notes_.at(0).key_);
    CPPUNIT_ASSERT(readWith("stop_limit_s = 1e300").settings_.stopLimit_ ==
                   hours(1));
    CPPUNIT_ASSERT(readWith("stop_limit_s = 3600").notes_.empty());
    const auto link = read(goodWith("14.5", "0"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, link.settings_.linkMbps_, 1e-9);
    const auto extra = read(goodWith("extra = 300", "extra = 1e10"));
    CPPUNIT_ASSERT_EQUAL(1'000'000U, extra.settings_.retries_.extra_);
    // A window that is cut short would allow more retries than were granted.
    const auto window =
      read(goodWith("extra = 300", "window_s = 9999999.5")).settings_;
    CPPUNIT_ASSERT(window.retries_.window_ ==
                   std::chrono::milliseconds(9'999'999'500));
    const auto noWindow = read(goodWith("extra = 300", "window_s = 0"));
    CPPUNIT_ASSERT(noWindow.settings_.retries_.window_ ==
                   std::chrono::seconds(1));
  }

  void fractionsAreRoundedToTheSafeSide()
  {
    using std::chrono::milliseconds;
    const auto stopLimit = [](const std::string& aSeconds) {
      return readWith("stop_limit_s = " + aSeconds).settings_.stopLimit_;
    };
    CPPUNIT_ASSERT(stopLimit("7.5") == milliseconds(7500));
    CPPUNIT_ASSERT(stopLimit("\"7.5\"") == milliseconds(7500));
    CPPUNIT_ASSERT(stopLimit("7.2999") == milliseconds(7299));
    CPPUNIT_ASSERT(readWith("stall_limit_ms = 5999.2").settings_.stallLimit_ ==
                   milliseconds(6000));
    // Decimal fractions that a binary number holds only nearly are exact.
    for (int ms = 1; ms < 10000; ++ms) {
      const std::string seconds = std::to_string(ms / 1000) + '.' +
                                  std::to_string(1000 + ms % 1000).substr(1);
      CPPUNIT_ASSERT_MESSAGE(seconds, stopLimit(seconds) == milliseconds(ms));
    }
    const auto window = read(goodWith("extra = 300", "window_s = 7.0001"));
    CPPUNIT_ASSERT(window.settings_.retries_.window_ == milliseconds(7001));
  }

  void oddTruthValueIsNoFirstStart()
  {
    CPPUNIT_ASSERT(read(goodWith("= true", "= 'true'")).settings_.firstStart_);
    for (const char* odd : { "= ''", "= 1", "= 'TRUE'", "= [true]" }) {
      const auto file = read(goodWith("= true", odd));
      CPPUNIT_ASSERT_MESSAGE(odd, !file.settings_.firstStart_);
      CPPUNIT_ASSERT_EQUAL(std::string("first_start"), file.notes_.at(0).key_);
    }
    CPPUNIT_ASSERT(read(goodWith("= true", "= 'false'")).notes_.empty());
  }

  void oddSeedIsLeftOut()
  {
    const auto file =
      read(goodWith("[]", R"(["10.0.0.5:1", "a host:2", 7, "10.0.0.6:3"])"));
    const std::vector<state::Endpoint> sound = { { "10.0.0.5", 1 },
                                                 { "10.0.0.6", 3 } };
    CPPUNIT_ASSERT(file.settings_.seedPeers_ == sound);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, file.notes_.size());
    CPPUNIT_ASSERT(read(goodWith("[]", "'none'")).settings_.seedPeers_.empty());
  }

  /** Another value in their place would serve as another daemon, elsewhere. */
  void whoAndWhereMustBeSound()
  {
    const std::vector<std::pair<std::string, std::string>> odd = {
      { "daemon = \"edge-1\"", "daemon" },
      { "zone = \"a\"", "zone" },
      { "zones = [\"a\", \"b\"]", "zones" },
      { "store = \"10.0.0.1:8223\"", "store" },
      { "callers = \"10.0.0.2:1\"", "listeners.callers" },
      { "status = \"10.0.0.2:2\"", "listeners.status" },
      { "peers = \"10.0.0.2:3\"", "listeners.peers" },
      { "digests = \"10.0.0.2:4\"", "listeners.digests" },
    };
    for (const auto& [line, key] : odd) {
      const std::string name = line.substr(0, line.find(' '));
      for (const char* value : { " = \"\"", " = 7", " = []" }) {
        const auto faults = faultsOf(goodWith(line, name + value));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          name + value, std::size_t{ 1 }, faults.size());
        CPPUNIT_ASSERT_EQUAL(key, faults.front().key_);
      }
      CPPUNIT_ASSERT_EQUAL(key, faultsOf(goodWith(line, "")).at(0).key_);
    }
  }

  void notesAreShort()
  {
    const std::string longText(100'000, 'x');
    const auto file = readWith("stop_limit_s = '" + longText + '\'');
    CPPUNIT_ASSERT(file.notes_.at(0).message_.size() < 200);
  }

  void referenceNamesAllKeys()
  {
    const std::string reference = app::relaySettingsReference();
    for (const char* key :
         { "`store`", "`listeners.digests`", "`retries.window_s`" }) {
      CPPUNIT_ASSERT(reference.find(key) != std::string::npos);
    }
  }

  void referenceNamesTypesAndRanges()
  {
    const std::string reference = app::relaySettingsReference();
    for (const char* row :
         { "| `stop_limit_s` | number | 0 to 3600 | 8 |",
           "| `stall_limit_ms` | number | 0 to 3600000 | 6000 |",
           "| `retries.ratio` | number | 0 to 10 | 0.2 |",
           "| `retries.window_s` | number | 1 to 1000000000 | 10 |",
           "| `first_start` | boolean |  | false |",
           "| `balancer_lag_ms` | integer | 0 to 3600000 | 2200 |" }) {
      CPPUNIT_ASSERT_MESSAGE(row, reference.find(row) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelaySettingsTest);
