// Tests of printing the records of one request.

#include "app/command_line.h"
#include "app/command_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace auburnhaven;

class CommandLogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CommandLogTest);
  CPPUNIT_TEST(recordsOfOneRequestInOrder);
  CPPUNIT_TEST(missingFileAndUnknownRequest);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    char name[] = "/tmp/auburnhaven-log-XXXXXX";
    const int file = mkstemp(name);
    CPPUNIT_ASSERT(file >= 0);
    close(file);
    path_ = name;
  }
  void tearDown() override { std::remove(path_.c_str()); }

  void recordsOfOneRequestInOrder()
  {
    std::ofstream(path_)
      << "edge-1 {\"time_ms\":20,\"id\":\"a\",\"event\":\"x\"}\n"
      << "not a record of a\n"
      << "{\"time_ms\":15,\"id\":\"b\"}\n"
      << "{\"time_ms\":10,\"id\":\"a\",\"event\":\"y\"}\n"
      << "{\"time_ms\":5,\"other\":\"a\"}\n"
      << "{\"time_ms\":\"a\",\"id\":\"a\"}\n";
    std::ostringstream out;
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(app::kExitOk),
                         app::runLog("a", { path_ }, out));
    CPPUNIT_ASSERT_EQUAL(
      std::string("{\"time_ms\":10,\"id\":\"a\",\"event\":\"y\"}\n"
                  "edge-1 {\"time_ms\":20,\"id\":\"a\",\"event\":\"x\"}\n"),
      out.str());
  }

  void missingFileAndUnknownRequest()
  {
    std::ostringstream out;
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(app::kExitFailed),
                         app::runLog("a", { path_ }, out));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(app::kExitBadInput),
                         app::runLog("a", { path_ + "-none" }, out));
  }

private:
  std::string path_; ///< A log.
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLogTest);
