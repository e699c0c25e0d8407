// Tests of finding routes and client accounts.

#include "coordination/routing/route_table.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using coordination::RouteTable;

namespace {

/** @return A route of a host and prefix. */
state::Route
route(const std::string& aName,
      const std::string& aHost,
      const std::string& aPrefix)
{
  state::Route result;
  result.id_ = state::RouteId(aName);
  result.host_ = aHost;
  result.prefix_ = aPrefix;
  return result;
}

/** @return A table with routes on two hosts and two client accounts. */
RouteTable
table()
{
  auto config = std::make_shared<state::RoutingConfig>();
  config->routes_ = { route("root", "a.example", "/"),
                      route("short", "a.example", "/x/"),
                      route("long", "a.example", "/x/y/"),
                      route("other", "b.example", "/x/") };
  config->accounts_ = { { state::AccountId("one"), { "k1", "k2" }, {} },
                        { state::AccountId("two"), { "k3" }, 1U } };
  return RouteTable(config);
}

/** @return Name of the route found, or "-". */
std::string
found(const char* aHost, const char* aPath)
{
  static const RouteTable kTable = table();
  const state::Route* route = kTable.findRoute(aHost, aPath);
  return route == nullptr ? "-" : route->id_.value();
}

} // namespace

class RoutingTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingTableTest);
  CPPUNIT_TEST(longestPrefixWins);
  CPPUNIT_TEST(hostSelectsRoute);
  CPPUNIT_TEST(keysIdentifyAccounts);
  CPPUNIT_TEST_SUITE_END();

public:
  void longestPrefixWins()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("long"), found("a.example", "/x/y/z"));
    CPPUNIT_ASSERT_EQUAL(std::string("short"), found("a.example", "/x/z/y/"));
    CPPUNIT_ASSERT_EQUAL(std::string("root"), found("a.example", "/xy"));
    // A prefix ends with a slash, so "/x" does not match "/x/".
    CPPUNIT_ASSERT_EQUAL(std::string("root"), found("a.example", "/x"));
  }

  void hostSelectsRoute()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("other"), found("b.example", "/x/"));
    CPPUNIT_ASSERT_EQUAL(std::string("-"), found("b.example", "/"));
    CPPUNIT_ASSERT_EQUAL(std::string("-"), found("c.example", "/x/"));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), found("B.Example:80", "/x/1"));
    CPPUNIT_ASSERT_EQUAL(std::string("-"), found("b.example", ""));
  }

  void keysIdentifyAccounts()
  {
    const RouteTable accounts = table();
    CPPUNIT_ASSERT(accounts.needsKeys());
    CPPUNIT_ASSERT_EQUAL(std::string("one"),
                         accounts.findAccount("k2")->id_.value());
    CPPUNIT_ASSERT_EQUAL(std::string("two"),
                         accounts.findAccount("k3")->id_.value());
    CPPUNIT_ASSERT(accounts.findAccount("") == nullptr);
    CPPUNIT_ASSERT(accounts.findAccount("k") == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTableTest);
