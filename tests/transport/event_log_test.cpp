// Tests of the structured log.

#include "transport/event_log_writer.h"

#include "fakes/fake_clock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <array>
#include <unistd.h>

using namespace auburnhaven;
using namespace std::chrono_literals;
using state::LogWeight;

namespace {

/** A pipe whose reader reads only when asked to. */
class Pipe
{
public:
  Pipe() { CPPUNIT_ASSERT_EQUAL(0, pipe(ends_.data())); }
  ~Pipe()
  {
    close(ends_[0]);
    close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  /** @return The end to write to. */
  int writer() const { return ends_[1]; }
  /** @return What can be read now. */
  std::string read() const
  {
    std::string text(1 << 20, '\0');
    const ssize_t size = ::read(ends_[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

private:
  std::array<int, 2> ends_{}; ///< Reader and writer.
};

/** @return Lines of a text. */
std::vector<std::string>
linesOf(const std::string& aText)
{
  std::vector<std::string> lines;
  std::istringstream stream(aText);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

} // namespace

class EventLogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(recordIsOneLineOfJson);
  CPPUNIT_TEST(burstOfRoutineIsBounded);
  CPPUNIT_TEST(stoppedReaderBlocksNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void recordIsOneLineOfJson()
  {
    const Pipe pipe;
    transport::EventLogWriter log(clock_, pipe.writer());
    log.write(LogWeight::kChange,
              "part",
              "it happened",
              { state::logField("id", std::string_view("a\"b\n\xff")),
                state::logField("count", 3),
                state::logField("age_ms", 1.5),
                state::logField("good", true) });
    const auto lines = linesOf(pipe.read());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, lines.size());
    const auto record = nlohmann::json::parse(lines.front());
    CPPUNIT_ASSERT(record.at("part") == "part");
    CPPUNIT_ASSERT(record.at("event") == "it happened");
    CPPUNIT_ASSERT(record.at("count") == 3);
    CPPUNIT_ASSERT(record.at("good") == true);
  }

  void burstOfRoutineIsBounded()
  {
    const Pipe pipe;
    transport::EventLogWriter log(clock_, pipe.writer(), { 10, 20 });
    for (int index = 0; index < 1000; ++index) {
      log.write(LogWeight::kRoutine, "part", "alike", {});
    }
    log.write(LogWeight::kChange, "part", "failure", {});
    const auto lines = linesOf(pipe.read());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 11 }, lines.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 990 }, log.leftOut());
    const auto last = nlohmann::json::parse(lines.back());
    CPPUNIT_ASSERT(last.at("event") == "failure");
    CPPUNIT_ASSERT(last.at("left_out") == 990);
    clock_.advance(1s);
    log.write(LogWeight::kRoutine, "part", "alike", {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, linesOf(pipe.read()).size());
  }

  void stoppedReaderBlocksNothing()
  {
    const Pipe pipe;
    transport::EventLogWriter log(clock_, pipe.writer(), { 1e6, 1e6 });
    const std::string text(500, 'x');
    for (int index = 0; index < 5000; ++index) {
      log.write(LogWeight::kChange,
                "part",
                "long",
                { state::logField("text", std::string_view(text)) });
    }
    CPPUNIT_ASSERT(log.leftOut() > 1000);
    // What the reader finds later are whole lines.
    std::string all = pipe.read();
    log.write(LogWeight::kChange, "part", "after", {});
    all += pipe.read();
    for (const std::string& line : linesOf(all)) {
      CPPUNIT_ASSERT(
        !nlohmann::json::parse(line, nullptr, false).is_discarded());
    }
  }

private:
  fakes::FakeClock clock_; ///< Clock.
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);
