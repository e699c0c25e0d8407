// Tests of exit statuses and of what commands print.

#include "app/command_line.h"
#include "app/command_output.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

using namespace auburnhaven;

namespace {

/** Keeps standard output and error of a command out of the test's own. */
class CapturedOutput
{
public:
  CapturedOutput()
    : out_(std::cout.rdbuf(text_.rdbuf()))
    , error_(std::cerr.rdbuf(text_.rdbuf()))
  {
  }
  ~CapturedOutput()
  {
    std::cout.rdbuf(out_);
    std::cerr.rdbuf(error_);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

private:
  std::ostringstream text_; ///< What the command printed.
  std::streambuf* out_;     ///< Buffer of standard output.
  std::streambuf* error_;   ///< Buffer of standard error.
};

/** @return Exit status of a command. */
int
run(std::vector<std::string> aWords)
{
  aWords.insert(aWords.begin(), "auburnhaven");
  std::vector<char*> words;
  words.reserve(aWords.size());
  for (std::string& word : aWords) {
    words.push_back(word.data());
  }
  const CapturedOutput captured;
  return app::runCommandLine(static_cast<int>(words.size()), words.data());
}

} // namespace

class CommandTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CommandTest);
  CPPUNIT_TEST(helpAndVersionAreNoErrors);
  CPPUNIT_TEST(wrongArgumentsAreBadInput);
  CPPUNIT_TEST(faultyFilesAreBadInput);
  CPPUNIT_TEST(silentDaemonIsFailure);
  CPPUNIT_TEST(differenceNamesEachValue);
  CPPUNIT_TEST(timesArePrintedInUtc);
  CPPUNIT_TEST(progressNamesWhoIsMissing);
  CPPUNIT_TEST_SUITE_END();

public:
  void helpAndVersionAreNoErrors()
  {
    CPPUNIT_ASSERT_EQUAL(int(app::kExitOk), run({ "--help" }));
    CPPUNIT_ASSERT_EQUAL(int(app::kExitOk), run({ "--version" }));
    CPPUNIT_ASSERT_EQUAL(int(app::kExitOk), run({ "settings" }));
    CPPUNIT_ASSERT_EQUAL(int(app::kExitOk),
                         run({ "config", "submit", "--help" }));
  }

  void wrongArgumentsAreBadInput()
  {
    const std::vector<std::vector<std::string>> commands = {
      {},
      { "bogus" },
      { "serve" },
      { "config" },
      { "config", "submit", "f.toml" },
      { "status" },
      { "audit", "--count", "0", "--operator-key-file", "/dev/null" },
      { "status", "--operator", "host:1", "--operator-key-file", "/dev/null" },
    };
    for (const auto& command : commands) {
      CPPUNIT_ASSERT_EQUAL(int(app::kExitBadInput), run(command));
    }
  }

  void faultyFilesAreBadInput()
  {
    CPPUNIT_ASSERT_EQUAL(int(app::kExitBadInput),
                         run({ "serve", "--settings", "/nonexistent" }));
    CPPUNIT_ASSERT_EQUAL(int(app::kExitBadInput),
                         run({ "config", "check", "/nonexistent" }));
    CPPUNIT_ASSERT_EQUAL(int(app::kExitBadInput),
                         run({ "serve", "--settings", "/dev/null" }));
  }

  void silentDaemonIsFailure()
  {
    // Port 1 on loopback refuses connections.
    CPPUNIT_ASSERT_EQUAL(int(app::kExitFailed),
                         run({ "status",
                               "--operator",
                               "127.0.0.1:1",
                               "--operator-key-file",
                               "/dev/null" }));
  }

  void differenceNamesEachValue()
  {
    std::ostringstream out;
    const bool differs = app::printDifference(
      out,
      { { "groups/a", R"({"copies":1,"model":"m"})" }, { "old", "{}" } },
      { { "groups/a", R"({"copies":2,"model":"m"})" }, { "new", "{}" } });
    CPPUNIT_ASSERT(differs);
    CPPUNIT_ASSERT_EQUAL(
      std::string("~ groups/a\n    /copies: 1 -> 2\n+ new\n- old\n"),
      out.str());
    CPPUNIT_ASSERT(
      !app::printDifference(out, { { "a", "1" } }, { { "a", "1" } }));
  }

  void timesArePrintedInUtc()
  {
    const state::WallTime time{ std::chrono::milliseconds(1700000000042) };
    CPPUNIT_ASSERT_EQUAL(std::string("2023-11-14T22:13:20.042Z"),
                         app::timeText(time));
  }

  void progressNamesWhoIsMissing()
  {
    std::ostringstream out;
    const protocol::DaemonGeneration daemon{ state::DaemonId("d"),
                                             state::ZoneId("z"),
                                             state::Generation(4) };
    app::printProgress(out, { state::Generation(5), {}, {}, { daemon } });
    CPPUNIT_ASSERT_EQUAL(
      std::string("generation 5: in force on 0 daemons, 0 lagging, 1 "
                  "unreachable\n  unreachable d in zone z, last at generation "
                  "4\n"),
      out.str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandTest);
