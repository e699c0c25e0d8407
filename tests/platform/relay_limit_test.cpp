// Tests of targets that name the rate of requests that they take.

#include "platform/relay_world.h"

#include <algorithm>
#include <mutex>

using namespace auburnhaven;
using namespace std::chrono_literals;
using fakes::contains;
using fakes::RawServer;
using fakes::RelayWorld;
using fakes::statusOf;
using Clock = std::chrono::steady_clock;
using Socket = boost::asio::ip::tcp::socket;

namespace {

constexpr std::size_t kDaemons = 6; ///< Daemons that share the targets.
constexpr double kLimit = 2;        ///< Requests a second that a target takes.
constexpr auto kNoticeTime = 3s; ///< From the first limit until it must hold.
constexpr auto kWindow = 4s;     ///< Time in which requests are counted.
constexpr auto kMaxInWindow = static_cast<std::ptrdiff_t>(
  1.5 * kLimit * 4 + 5); ///< Requests allowed in it.

/** A target that names a limit in each response until it is lifted. */
class LimitedTarget
{
public:
  LimitedTarget()
    : server_([this](Socket& aSocket, int) { serve(aSocket); })
  {
  }
  /** @return Endpoint of the target. */
  state::Endpoint endpoint() const { return server_.endpoint(); }
  /** Names no limit any more. */
  void lift() { limited_ = false; }
  /** @return When requests arrived, in order. */
  std::vector<Clock::time_point> arrivals()
  {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }

private:
  void serve(Socket& aSocket)
  {
    for (;;) {
      if (RawServer::readRequest(aSocket).empty()) {
        return;
      }
      {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back(Clock::now());
      }
      RawServer::write(aSocket,
                       RelayWorld::response("200 OK",
                                            "fine",
                                            limited_
                                              ? "Server-Limit: 2.0\r\n"
                                                "Connection: close\r\n"
                                              : "Connection: close\r\n"));
      return;
    }
  }

  std::atomic<bool> limited_{ true };       ///< Whether it names a limit.
  std::mutex mutex_;                        ///< Guards the following member.
  std::vector<Clock::time_point> arrivals_; ///< When requests arrived.
  RawServer server_;                        ///< Listener.
};

/** @return Most arrivals within a window that begins after a time. */
std::ptrdiff_t
mostInWindow(const std::vector<Clock::time_point>& aArrivals,
             Clock::time_point aFrom)
{
  std::ptrdiff_t most = 0;
  auto first = std::lower_bound(aArrivals.begin(), aArrivals.end(), aFrom);
  for (; first != aArrivals.end(); ++first) {
    const auto end = std::lower_bound(first, aArrivals.end(), *first + kWindow);
    most = std::max(most, end - first);
  }
  return most;
}

} // namespace

class RelayLimitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayLimitTest);
  CPPUNIT_TEST(targetsGetNoMoreThanTheLimitThatTheyName);
  CPPUNIT_TEST_SUITE_END();

public:
  void targetsGetNoMoreThanTheLimitThatTheyName()
  {
    LimitedTarget one;
    LimitedTarget two;
    std::vector<std::unique_ptr<RelayWorld>> daemons;
    for (std::size_t index = 0; index < kDaemons; ++index) {
      daemons.push_back(std::make_unique<RelayWorld>());
      daemons.back()->startWith({ one.endpoint(), two.endpoint() });
      daemons.back()->targets_.setDaemons(kDaemons);
    }
    const auto start = Clock::now();
    int refusals = 0;
    for (std::size_t index = 0; Clock::now() < start + kNoticeTime + kWindow;
         ++index) {
      const std::string response =
        daemons[index % kDaemons]->ask(RelayWorld::request("GET", "/safe/"));
      refusals += statusOf(response) == "503" ? 1 : 0;
      CPPUNIT_ASSERT(statusOf(response) == "200" ||
                     contains(response, "Retry-After: "));
      std::this_thread::sleep_for(25ms);
    }
    for (LimitedTarget* target : { &one, &two }) {
      const auto most = mostInWindow(target->arrivals(), start + kNoticeTime);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s",
                             most <= kMaxInWindow);
    }
    CPPUNIT_ASSERT(refusals > 0);
    expectEndOfLimit(daemons, one, two);
  }

private:
  /** Checks that the targets are used freely once a response names no limit. */
  static void expectEndOfLimit(
    const std::vector<std::unique_ptr<RelayWorld>>& aDaemons,
    LimitedTarget& aOne,
    LimitedTarget& aTwo)
  {
    aOne.lift();
    aTwo.lift();
    RelayWorld& daemon = *aDaemons.front();
    const auto until = Clock::now() + fakes::kLoopbackLimit;
    int inARow = 0;
    while (inARow < 20 && Clock::now() < until) {
      const std::string response =
        daemon.ask(RelayWorld::request("GET", "/safe/"));
      inARow = statusOf(response) == "200" ? inARow + 1 : 0;
      std::this_thread::sleep_for(10ms);
    }
    CPPUNIT_ASSERT_EQUAL(20, inARow);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayLimitTest);
