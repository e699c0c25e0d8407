// Tests of reading and checking configuration files.

#include "app/config_file.h"
#include "app/faults_of.h"
#include "auburnhaven/operator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace auburnhaven;

namespace {

const std::string kDigest(64, 'a');

const std::string kGood = R"([policy]
spares_per_domain = 2

[[accounts]]
id = "shop"
key_sha256 = ")" + kDigest +
                          R"("

[[groups]]
id = "drafts"
model = "m"
version = "1"
accounts = ["shop"]
vms_per_copy = 4
copies = 2
[[groups.kinds]]
id = "draft"
priority = 5
[[groups.kinds.windows]]
weekdays = ["mon", "sun"]
from = "06:00"
to = "24:00"
utc_offset_minutes = 60
priority = 9

[[services]]
id = "orders"
accounts = ["shop"]
[[services.operations]]
name = "confirm"
idempotent = false
[[services.targets]]
vm = "v1"
zone = "a"
endpoint = "127.0.0.1:9000"
)";

/** @return Faults of a text; empty when it is accepted. */
std::vector<state::InputError>
faultsOf(const std::string& aText)
{
  return fakes::faultsOf([&]() -> state::leaf::result<void> {
    BOOST_LEAF_AUTO(parsed, app::parseConfiguration(aText, "c.toml"));
    CPPUNIT_ASSERT(!parsed.accounts_.empty());
    return {};
  });
}

/** One wrong edit of the good file and the fault that it gives. */
struct WrongEdit
{
  std::string part_;    ///< Text to replace.
  std::string new_;     ///< Replacement.
  int line_;            ///< Line of the fault.
  std::string key_;     ///< Key of the fault.
  std::string message_; ///< Text of the fault.
};

const std::vector<WrongEdit> kWrongEdits = {
  { "spares_per_domain = 2",
    "spares_per_domain = 99",
    2,
    "policy.spares_per_domain",
    "value 99 is not between 0 and 64" },
  { "id = \"shop\"",
    "id = \"sh op\"",
    5,
    "accounts.sh op.id",
    "'sh op' must be 1 to 128 letters, digits, '.', '_', '-'" },
  { kDigest,
    "abc",
    6,
    "accounts.shop.key_sha256",
    "must be 64 hexadecimal digits in lower case" },
  { "accounts = [\"shop\"]",
    "accounts = [\"ship\"]",
    12,
    "groups.drafts.accounts",
    "names unknown client account 'ship'" },
  { "accounts = [\"shop\"]",
    "accounts = [\"shop\", \"shop\"]",
    12,
    "groups.drafts.accounts",
    "holds a value twice" },
  { "vms_per_copy = 4",
    "vms_per_copy = 0",
    13,
    "groups.vms_per_copy",
    "value 0 is not between 1 and 10000" },
  { "copies = 2",
    "copies = \"two\"",
    14,
    "groups.copies",
    "must be of type integer, not string" },
  { "version = \"1\"", "vorsion = \"1\"", 8, "groups.version", "is missing" },
  { "\"mon\"",
    "\"moon\"",
    19,
    "groups.kinds.windows.weekdays",
    "'moon' is not one of mon to sun" },
  { "06:00",
    "6 o'clock",
    20,
    "groups.kinds.windows.from",
    "must be a time of day, hh:mm, up to 24:00" },
  { "24:00",
    "05:00",
    15,
    "groups.drafts.kinds.draft.windows",
    "a window must start before its end" },
  { "[[services]]",
    "[[groups.kinds.windows]]\nweekdays = [\"mon\"]\nfrom = \"08:00\"\nto = "
    "\"09:00\"\nutc_offset_minutes = 0\npriority = 1\n[[services]]",
    15,
    "groups.drafts.kinds.draft.windows",
    "two windows overlap" },
  { "[[services]]",
    "[[groups.kinds]]\nid = \"draft\"\n[[services]]",
    15,
    "groups.drafts.kinds",
    "names 'draft' twice" },
  { "[[groups]]",
    "[[accounts]]\nid = \"shop\"\nkey_sha256 = \"" + kDigest + "\"\n[[groups]]",
    8,
    "accounts",
    "'shop' occurs twice" },
  { "[[groups]]",
    "[[accounts]]\nid = \"other\"\nkey_sha256 = \"" + kDigest +
      "\"\n[[groups]]",
    6,
    "accounts.shop.key_sha256",
    "is the key of another client account too" },
  { "idempotent = false",
    "",
    28,
    "services.operations.idempotent",
    "is missing" },
  { "127.0.0.1:9000",
    "host:9000",
    34,
    "services.targets.endpoint",
    "must be an IP number and a port, address:port" },
  { "[[services.targets]]",
    "[[services.targets]]\nvm = \"v1\"\nzone = \"a\"\nendpoint = "
    "\"127.0.0.1:9001\"\n[[services.targets]]",
    31,
    "services.orders.targets",
    "names VM 'v1' twice" },
};

} // namespace

class ConfigFileTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigFileTest);
  CPPUNIT_TEST(readsValues);
  CPPUNIT_TEST(reportsEachFaultWithItsPlace);
  CPPUNIT_TEST(reportsFaultsOfFormAndMeaningTogether);
  CPPUNIT_TEST(findsModelInTwoGroups);
  CPPUNIT_TEST(roundTripsThroughTheOperatorLibrary);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsValues()
  {
    CPPUNIT_ASSERT(faultsOf(kGood).empty());
    const state::Configuration parsed =
      app::parseConfiguration(kGood, "c").value();
    const state::ServingGroup& group =
      parsed.groups_.at(state::GroupId("drafts"));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), parsed.policy_.sparesPerDomain_);
    CPPUNIT_ASSERT(state::Promise() == group.promise_);
    const state::PriorityWindow& window = group.kinds_.at(0).windows_.at(0);
    CPPUNIT_ASSERT_EQUAL(65, int(window.weekdays_));
    CPPUNIT_ASSERT_EQUAL(360, int(window.fromMinute_));
    CPPUNIT_ASSERT_EQUAL(1440, int(window.toMinute_));
  }

  void reportsEachFaultWithItsPlace()
  {
    for (const WrongEdit& edit : kWrongEdits) {
      std::string text = kGood;
      text.replace(text.find(edit.part_), edit.part_.size(), edit.new_);
      const auto errors = faultsOf(text);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        edit.message_, edit.line_, errors.at(0).line_);
      CPPUNIT_ASSERT_EQUAL(edit.key_, errors.at(0).key_);
      CPPUNIT_ASSERT_EQUAL(edit.message_, errors.at(0).message_);
    }
  }

  void reportsFaultsOfFormAndMeaningTogether()
  {
    std::string text = kGood;
    text.replace(text.find("copies = 2"), 10, "copies = 0");
    text.replace(text.find("accounts = [\"shop\"]"), 19, "accounts = [\"x\"]");
    text += "color = 1\n";
    const auto errors = faultsOf(text);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), errors.size());
    CPPUNIT_ASSERT_EQUAL(12, errors.at(0).line_);
    CPPUNIT_ASSERT_EQUAL(14, errors[1].line_);
    CPPUNIT_ASSERT_EQUAL(35, errors[2].line_);
  }

  void findsModelInTwoGroups()
  {
    using namespace library;
    ConfigurationBuilder builder;
    builder.add(AccountBuilder("shop", kDigest));
    for (const char* name : { "a", "b" }) {
      builder.add(
        GroupBuilder(name, "m", "1").serves({ "shop" }).kind({ "k", 1 }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), builder.faults().size());
    CPPUNIT_ASSERT_EQUAL(std::string("groups.b.model"),
                         builder.faults().at(0).key_);
  }

  void roundTripsThroughTheOperatorLibrary()
  {
    using namespace library;
    using namespace std::chrono_literals;
    ConfigurationBuilder builder;
    builder.policy({ 3, 1, false, 48h })
      .add(AccountBuilder("shop", digestOfKey("k")).limits(7, 8).weight(9))
      .add(GroupBuilder("g", "m", "1")
             .adapters({ "z\"\\\n", "a" })
             .serves({ "shop" })
             .kind(KindBuilder("k", -1).window(
               kWorkdays, { 6, 30 }, { 24, 0 }, -90min, 5))
             .copies(2, 32)
             .priority(4)
             .zones({ "b", "a" })
             .worstMinute(1s, 20ms, 990))
      .add(ServiceBuilder("s")
             .allows({ "shop" })
             .idempotent("look", 1s)
             .atMostOnce("book", 2s)
             .target("v", "a", { "::1", 80 }));
    CPPUNIT_ASSERT(builder.faults().empty());
    const std::string text = toToml(builder.build());
    CPPUNIT_ASSERT(faultsOf(text).empty());
    const state::Configuration parsed =
      app::parseConfiguration(text, "c").value();
    CPPUNIT_ASSERT(builder.build() == parsed);
    CPPUNIT_ASSERT_EQUAL(text, toToml(parsed));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFileTest);
