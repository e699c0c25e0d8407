// Tests of the canonical JSON of configuration documents.

#include "state/config_codec.h"
#include "state/vm_report_codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::state;

class ConfigCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigCodecTest);
  CPPUNIT_TEST(configurationSurvives);
  CPPUNIT_TEST(allFaultsAreFound);
  CPPUNIT_TEST(nameMustAgree);
  CPPUNIT_TEST(documentsAreRemoved);
  CPPUNIT_TEST(vmReportSurvives);
  CPPUNIT_TEST(damagedVmReportIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void configurationSurvives()
  {
    const Configuration before = sample();
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(
          after,
          decodeConfiguration(before.generation_, encodeConfiguration(before)));
        CPPUNIT_ASSERT(after == before);
        return {};
      },
      [] { CPPUNIT_FAIL("cannot be decoded"); });
  }

  void allFaultsAreFound()
  {
    const auto errors = faults(
      "group/g",
      R"({"id":"g","model":7,"version":"1","adapters":"none","accounts":[],
          "kinds":[{"id":"k","priority":"high","windows":[]}],
          "vms_per_copy":-1,"copies":99999999999,"priority":0,"extra":1,
          "promise":{"first_token_ms":1,"between_tokens_ms":1},"zones":[1]})");
    const std::vector<std::string> expected{
      "model",        "adapters", "kinds[0].priority",
      "vms_per_copy", "copies",   "promise.share_permille",
      "zones[0]",     "extra"
    };
    CPPUNIT_ASSERT_EQUAL(expected.size(), errors.size());
    for (std::size_t index = 0; index < expected.size(); ++index) {
      CPPUNIT_ASSERT_EQUAL(expected[index], errors[index].key_);
    }
  }

  void nameMustAgree()
  {
    const std::string text = encodeDocument(sample().policy_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, faults("nothing/x", text).size());
    ClientAccount account;
    account.id_ = AccountId("a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         faults("account/b", encodeDocument(account)).size());
  }

  void documentsAreRemoved()
  {
    Configuration configuration = sample();
    for (const auto& [name, text] : encodeConfiguration(configuration)) {
      removeDocument(name, configuration);
    }
    Configuration empty;
    empty.generation_ = configuration.generation_;
    CPPUNIT_ASSERT(configuration == empty);
  }

  void vmReportSurvives()
  {
    VmReport report;
    report.vm_ = VmId("vm");
    report.phase_ = EnginePhase::kFailed;
    report.role_ = {
      { GroupId("g"), 3 }, 31, FencingNumber(1ULL << 60U), "model", "v\n",
      { "a", "b" }
    };
    CPPUNIT_ASSERT(decodeVmState(report.vm_, encodeVmState(report)) == report);
    VmInfo info{
      VmId("vm"), ZoneId("z"),         DomainId("d"), { "127.0.0.1", 65535 },
      8,          VmListing::kLeaving, true
    };
    CPPUNIT_ASSERT(decodeVmInfo(info.id_, encodeVmInfo(info)) == info);
  }

  void damagedVmReportIsRefused()
  {
    VmReport report;
    report.role_.model_ = "model";
    std::string bytes = encodeVmState(report);
    CPPUNIT_ASSERT(!decodeVmState(VmId("vm"), bytes.substr(1)));
    CPPUNIT_ASSERT(!decodeVmState(VmId("vm"), std::string()));
    CPPUNIT_ASSERT(!decodeVmInfo(VmId("vm"), bytes));
  }

private:
  static Configuration sample()
  {
    Configuration sample;
    sample.generation_ = Generation(5);
    sample.policy_ = { 2, 1, false, std::chrono::hours(48) };
    ServingGroup group;
    group.id_ = GroupId("assistant");
    group.model_ = "large \"quoted\"";
    group.adapters_ = { "a", "b" };
    group.accounts_ = { AccountId("shop") };
    group.kinds_ = { { WorkKindId("draft"), -3, { { 31, 1, 1440, -60, 9 } } } };
    group.priority_ = -5;
    group.zones_ = { ZoneId("zone-a") };
    sample.groups_[group.id_] = group;
    sample.accounts_[AccountId("shop")] = {
      AccountId("shop"), "abc", 10, 4000000000U, 3
    };
    PlainService service;
    service.id_ = ServiceId("orders");
    service.accounts_ = { AccountId("shop") };
    service.operations_ = {
      { "confirm", false, std::chrono::milliseconds(5) }
    };
    service.targets_ = {
      { VmId("vm"), ZoneId("zone-a"), { "127.0.0.1", 80 } }
    };
    sample.services_[service.id_] = service;
    return sample;
  }

  static std::vector<InputError> faults(const std::string& aName,
                                        const std::string& aText)
  {
    std::vector<InputError> found;
    Configuration configuration;
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        return decodeDocument(aName, aText, configuration);
      },
      [&](const InputErrors& aErrors) { found = aErrors.errors_; },
      [] {});
    CPPUNIT_ASSERT(configuration == Configuration());
    return found;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigCodecTest);
