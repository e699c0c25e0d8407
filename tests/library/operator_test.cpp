// Tests of the operator library.

#include "auburnhaven/operator.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::library;
using namespace std::chrono_literals;

namespace {

/** @return A small configuration without faults. */
ConfigurationBuilder
sample()
{
  ConfigurationBuilder builder;
  builder.add(AccountBuilder("shop", digestOfKey("key")))
    .add(GroupBuilder("g", "m", "1")
           .adapters({ "b", "a" })
           .serves({ "shop" })
           .kind({ "draft", 1 }));
  return builder;
}

} // namespace

class OperatorLibraryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OperatorLibraryTest);
  CPPUNIT_TEST(digestsKeys);
  CPPUNIT_TEST(sortsListsWithoutOrder);
  CPPUNIT_TEST(windowsHoldDaysAndMinutes);
  CPPUNIT_TEST(findsNamesUsedTwice);
  CPPUNIT_TEST(findsFaultsOfMeaning);
  CPPUNIT_TEST(onlyNamedOperationsAreIdempotent);
  CPPUNIT_TEST(equalConfigurationsPrintEqually);
  CPPUNIT_TEST_SUITE_END();

public:
  void digestsKeys()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::string(
        "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"),
      digestOfKey("key"));
  }

  void sortsListsWithoutOrder()
  {
    const auto adapters =
      sample().build().groups_.at(state::GroupId("g")).adapters_;
    CPPUNIT_ASSERT(std::vector<std::string>({ "a", "b" }) == adapters);
  }

  void windowsHoldDaysAndMinutes()
  {
    const KindBuilder kind =
      KindBuilder("k", 1).window(kWorkdays, { 6, 30 }, { 24, 0 }, -30min, 9);
    const state::PriorityWindow expected{ 31, 390, 1440, -30, 9 };
    CPPUNIT_ASSERT(expected == kind.build().windows_.at(0));
  }

  void findsNamesUsedTwice()
  {
    ConfigurationBuilder builder = sample();
    builder.add(AccountBuilder("shop", digestOfKey("other")));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), builder.faults().size());
    CPPUNIT_ASSERT_EQUAL(std::string("accounts.shop.id"),
                         builder.faults().at(0).key_);
  }

  void findsFaultsOfMeaning()
  {
    ConfigurationBuilder builder = sample();
    builder.add(ServiceBuilder("s").allows({ "nobody" }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), builder.faults().size());
  }

  void onlyNamedOperationsAreIdempotent()
  {
    const ServiceBuilder service =
      ServiceBuilder("s").idempotent("look", 1s).atMostOnce("book", 2s);
    CPPUNIT_ASSERT(service.build().operations_.at(0).idempotent_);
    CPPUNIT_ASSERT(!service.build().operations_.at(1).idempotent_);
  }

  void equalConfigurationsPrintEqually()
  {
    CPPUNIT_ASSERT_EQUAL(toToml(sample().build()), toToml(sample().build()));
    ConfigurationBuilder other = sample();
    other.policy({ 7, 0, true, 24h });
    CPPUNIT_ASSERT(toToml(sample().build()) != toToml(other.build()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorLibraryTest);
