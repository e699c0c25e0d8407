// Tests of workers' entries in the store that another writer has left.

#include "fakes/fake_event_log.h"
#include "fakes/fake_store.h"
#include "fakes/text_func.h"
#include "platform/instance_codec.h"
#include "platform/routing_codec.h"

#include "coordination/routing/store_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <vector>

using namespace auburnhaven;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kDepth = 100'000; ///< Levels of nesting.

/** @return A good entry with the text of one field replaced. */
std::string
entryWith(const std::string& aField, const std::string& aText)
{
  const std::map<std::string, std::string> good = {
    { "backend", "\"s1\"" },
    { "address", "\"10.0.0.9:8080\"" },
    { "zone", "\"z1\"" },
    { "batch_slots", "26" },
    { "state", "\"healthy\"" },
    { "born", "1773141150000" },
    { "sequence", "4" },
    { "fault_domain", "\"d1\"" },
    { "preloaded", "[\"m0\"]" },
    { "group", R"({"name":"g","epoch":12,"rank":0,"state":"open"})" }
  };
  std::string entry;
  for (const auto& [field, text] : good) {
    entry += entry.empty() ? "{" : ",";
    entry += '"' + field + "\":" + (field == aField ? aText : text);
  }
  return entry + "}";
}

/** @return Entries that name no worker to use. */
std::vector<std::string>
oddEntries()
{
  const std::string nested =
    std::string(kDepth, '[') + std::string(kDepth, ']');
  std::vector<std::string> entries = {
    "",
    std::string("\x00\xff", 2),
    "null",
    "[]",
    nested,
    std::string(kDepth * 4, '['),
    fakes::repeat("{\"a\":", kDepth) + "1" + std::string(kDepth, '}'),
    entryWith("zone", nested),
    entryWith("preloaded", nested),
    entryWith("group", R"({"name":"g","epoch":1e300,"rank":0,"state":"open"})"),
    entryWith("group", R"({"name":"g","epoch":12,"rank":-1,"state":"open"})"),
    entryWith("group",
              R"({"name":"g","epoch":12,"rank":4294967295,"state":"open"})"),
    entryWith("group", R"({"name":"g","epoch":12,"rank":4096,"state":"open"})"),
    entryWith("state", "\"asleep\""),
    entryWith("backend", "7"),
  };
  for (const char* field : { "batch_slots", "born", "sequence" }) {
    for (const char* number : { "1e999",
                                "1e300",
                                "-1",
                                "0.5",
                                "18446744073709551616",
                                "\"7\"",
                                "null" }) {
      entries.push_back(entryWith(field, number));
    }
  }
  entries.push_back(entryWith("batch_slots", "4294967295"));
  entries.push_back(entryWith("born", "18446744073709551615"));
  for (const char* port : { "0",
                            "-1",
                            "65536",
                            "99999999999999999999",
                            "",
                            "80x",
                            "+80",
                            " 80" }) {
    entries.push_back(
      entryWith("address", "\"10.0.0.9:" + std::string(port) + '"'));
  }
  for (const char* address :
       { "999.1.1.1:80", ":80", "10.0.0.9", "a host:80", "\\u0000:80" }) {
    entries.push_back(entryWith("address", '"' + std::string(address) + '"'));
  }
  return entries;
}

} // namespace

class OddEntryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OddEntryTest);
  CPPUNIT_TEST(oddEntryNamesNoWorker);
  CPPUNIT_TEST(oddEntryInAListHidesNoOther);
  CPPUNIT_TEST(entryThatTurnsOddIsGoneUntilItIsGoodAgain);
  CPPUNIT_TEST(oddReportIsNone);
  CPPUNIT_TEST(wholeCountsMayBeWrittenAsFractions);
  CPPUNIT_TEST(fractionalLoadsOfAReportAreRoundedUp);
  CPPUNIT_TEST_SUITE_END();

public:
  void oddEntryNamesNoWorker()
  {
    CPPUNIT_ASSERT(platform::decodeInstance(vm_, entryWith("", "")));
    for (const std::string& entry : oddEntries()) {
      CPPUNIT_ASSERT_MESSAGE(entry.substr(0, 200),
                             !platform::decodeInstance(vm_, entry));
    }
  }

  void oddEntryInAListHidesNoOther()
  {
    start();
    int number = 0;
    for (const std::string& entry : oddEntries()) {
      data_->put("vm/odd-" + std::to_string(++number), entry);
    }
    data_->put("vm/a", entryWith("", ""));
    data_->put("vm/z", entryWith("", ""));
    run(6s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, follower_->instances()->size());
    data_->put("vm/later", entryWith("", ""));
    run(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, follower_->instances()->size());
  }

  void entryThatTurnsOddIsGoneUntilItIsGoodAgain()
  {
    start();
    data_->put("vm/a", entryWith("", ""));
    data_->put("vm/z", entryWith("", ""));
    run(6s);
    for (const std::string& entry : oddEntries()) {
      data_->put("vm/a", entry);
      run(2s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, follower_->instances()->size());
      data_->put("vm/a", entryWith("", ""));
      run(2s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, follower_->instances()->size());
    }
  }

  void oddReportIsNone()
  {
    const std::string report = R"({"sequence":2,"queued":1,"active":12})";
    CPPUNIT_ASSERT(platform::decodeReport(report));
    for (const char* odd : { R"({"sequence":-2,"queued":1,"active":12})",
                             R"({"sequence":2,"queued":1e300,"active":12})",
                             R"({"sequence":2,"queued":1,"active":1e999})",
                             R"({"sequence":2,"queued":1,"active":-3})",
                             R"({"sequence":2,"queued":4294967296})",
                             R"({"pace":"fast"})",
                             "[]" }) {
      CPPUNIT_ASSERT_MESSAGE(odd, !platform::decodeReport(odd));
    }
    const auto slow = platform::decodeReport(R"({"pace":1e300})");
    CPPUNIT_ASSERT(slow);
    CPPUNIT_ASSERT(slow->slowness_ < 1e6);
  }

  /** An entry with 26.0 in place of 26 named no worker. */
  void wholeCountsMayBeWrittenAsFractions()
  {
    const auto slots =
      platform::decodeInstance(vm_, entryWith("batch_slots", "26.0"));
    CPPUNIT_ASSERT(slots);
    CPPUNIT_ASSERT_EQUAL(26U, slots->slots_);
    const auto born =
      platform::decodeInstance(vm_, entryWith("born", "1.77314115e12"));
    CPPUNIT_ASSERT(born);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1773141150000 }, born->bornAtMs_);
    const auto report = platform::decodeReport(
      R"({"sequence":2.0,"queued":1.0,"active":12.0,
          "group":{"name":"g","epoch":12.0,"rank":1.0,"state":"open"}})");
    CPPUNIT_ASSERT(report);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, report->state_.orders_);
    CPPUNIT_ASSERT_EQUAL(12U, report->load_.running_);
    CPPUNIT_ASSERT_EQUAL(1U, report->state_.place_->rank_);
  }

  /** A report with a mean in place of a count hid its worker. */
  void fractionalLoadsOfAReportAreRoundedUp()
  {
    const auto report =
      platform::decodeReport(R"({"sequence":2,"queued":0.2,"active":11.5})");
    CPPUNIT_ASSERT(report);
    CPPUNIT_ASSERT_EQUAL(12U, report->load_.running_);
    CPPUNIT_ASSERT_EQUAL(1U, report->load_.waiting_);
    for (const char* odd : { R"({"sequence":2.5})",
                             R"({"born":2.5})",
                             R"({"queued":-0.5})",
                             R"({"queued":null})",
                             R"({"active":1000000000.5})" }) {
      CPPUNIT_ASSERT_MESSAGE(odd, !platform::decodeReport(odd));
    }
  }

private:
  void start()
  {
    coordination::FollowerSettings settings;
    settings.configKey_ = "config";
    settings.instancePrefix_ = "vm/";
    settings.daemonPrefix_ = "own/";
    data_->put("config", R"({"version":1,"route_table":[],"backends":[]})");
    follower_ = std::make_unique<coordination::StoreFollower>(
      clock_, store_, codec_, log_, settings);
  }

  /** Advances the clock, the store and the follower. */
  void run(state::Duration aTime)
  {
    for (state::Duration passed{}; passed < aTime; passed += 20ms) {
      clock_.advance(20ms);
      store_.step();
      follower_->tick();
    }
  }

  const state::VmId vm_{ "a" }; ///< A VM.
  fakes::FakeClock clock_;      ///< Clock.
  std::shared_ptr<fakes::FakeStoreData> data_ =
    std::make_shared<fakes::FakeStoreData>();             ///< The store's data.
  fakes::FakeStore store_{ clock_, data_ };               ///< The store.
  platform::PlatformRoutingCodec codec_;                  ///< Reads entries.
  fakes::FakeEventLog log_;                               ///< Log.
  std::unique_ptr<coordination::StoreFollower> follower_; ///< Follower.
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntryTest);
