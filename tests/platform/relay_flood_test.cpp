// Tests of a relay whose targets send bytes without end to many callers at
// once.

#include "platform/relay_world.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace auburnhaven;
using namespace std::chrono_literals;
using fakes::RawServer;
using fakes::RelayWorld;
using fakes::statusOf;
using Socket = boost::asio::ip::tcp::socket;
using Milliseconds = std::chrono::milliseconds;

namespace {

constexpr std::size_t kCallers = 60; ///< Callers whose answers do not end.
constexpr std::size_t kMiB = std::size_t{ 1024 } * 1024; ///< Bytes.
constexpr Milliseconds kFloodTime{ 2000 }; ///< How long others ask beside it.
constexpr Milliseconds kWorstWait{ 1000 }; ///< For another request: the
                                           ///< latency target of the routes.

/** A target that sends bytes without end on all its connections at once. */
class FloodingTarget
{
public:
  /**
   * @param aHead Head of the response.
   * @param aPause Before each piece.
   */
  FloodingTarget(std::string aHead, Milliseconds aPause)
    : acceptor_(context_, { boost::asio::ip::address_v4::loopback(), 0 })
    , head_(std::move(aHead))
    , pause_(aPause)
  {
    accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~FloodingTarget()
  {
    ended_ = true;
    context_.stop();
    thread_.join();
    for (std::thread& connection : connections_) {
      connection.join();
    }
  }
  FloodingTarget(const FloodingTarget&) = delete;
  FloodingTarget& operator=(const FloodingTarget&) = delete;

  state::Endpoint endpoint() const
  {
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
  }

private:
  void accept()
  {
    acceptor_.async_accept(
      [this](boost::system::error_code aError, Socket aSocket) {
        if (!aError) {
          connections_.emplace_back(
            [this, socket = std::move(aSocket)]() mutable { flood(socket); });
          accept();
        }
      });
  }

  void flood(Socket& aSocket) const
  {
    const std::string piece(std::size_t{ 64 } * 1024, 'x');
    RawServer::readRequest(aSocket);
    RawServer::write(aSocket, head_);
    boost::system::error_code error;
    while (!error && !ended_) {
      std::this_thread::sleep_for(pause_);
      boost::asio::write(aSocket, boost::asio::buffer(piece), error);
    }
  }

  boost::asio::io_context context_;         ///< Accepts connections.
  boost::asio::ip::tcp::acceptor acceptor_; ///< Listener.
  const std::string head_;                  ///< Head of the response.
  const Milliseconds pause_;                ///< Before each piece.
  std::atomic<bool> ended_{ false };        ///< Whether the test is over.
  std::vector<std::thread> connections_;    ///< One for each connection.
  std::thread thread_;                      ///< Runs the context.
};

/** @return Bytes of memory that this process holds. */
std::size_t
residentBytes()
{
  std::ifstream status("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  status >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/** @return Head of a response to request a1 that announces a long body. */
std::string
longHead(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nX-Attempt-Id: a1\r\nX-Origin-Signature: s1\r\n"
         "Content-Length: 999999999999\r\n\r\n";
}

} // namespace

/** A worker that sent bytes without end filled the memory of the daemon, and
 * the requests of other clients ended with it. */
class RelayFloodTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayFloodTest);
  CPPUNIT_TEST(slowEndlessBodiesDoNotFillMemory);
  CPPUNIT_TEST(endlessErrorsDoNotFillMemory);
  CPPUNIT_TEST(fastEndlessBodiesLetOthersRun);
  CPPUNIT_TEST_SUITE_END();

public:
  // Each body was bounded, their sum was not.
  void slowEndlessBodiesDoNotFillMemory()
  {
    expectBoundedMemory("200 OK", 30ms);
  }

  // An error's body was also kept while the request was sent again.
  void endlessErrorsDoNotFillMemory()
  {
    expectBoundedMemory("500 Failed", 30ms);
  }

  // A body was taken up to its limit before any other request had its turn.
  void fastEndlessBodiesLetOthersRun() { expectBoundedMemory("200 OK", 0ms); }

private:
  static void expectBoundedMemory(const std::string& aStatus,
                                  Milliseconds aPause)
  {
    constexpr std::size_t kMaxGrowth =
      RelayWorld::kMaxResponsesBytes + 40 * kMiB;
    const FloodingTarget first(longHead(aStatus), aPause);
    const FloodingTarget second(longHead(aStatus), aPause);
    RelayWorld world;
    world.startWith({ first.endpoint(), second.endpoint() });
    const std::size_t before = residentBytes();
    std::atomic<std::size_t> answered{ 0 };
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < kCallers; ++index) {
      callers.emplace_back([&world, &answered] {
        const std::string answer =
          world.ask(RelayWorld::request("POST", "/safe/", "x"));
        answered += statusOf(answer) == "200" ? 0 : 1;
      });
    }
    std::size_t growth = 0;
    auto worst = std::chrono::steady_clock::duration::zero();
    const auto until = std::chrono::steady_clock::now() + kFloodTime;
    while (std::chrono::steady_clock::now() < until) {
      const auto from = std::chrono::steady_clock::now();
      CPPUNIT_ASSERT_EQUAL(
        std::string("404"),
        statusOf(world.ask(RelayWorld::request("POST", "/nothing/", "x"))));
      worst = std::max(worst, std::chrono::steady_clock::now() - from);
      growth =
        std::max(growth, residentBytes() - std::min(before, residentBytes()));
      std::this_thread::sleep_for(5ms);
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    const std::string seen =
      std::to_string(growth / kMiB) + " MiB, worst " +
      std::to_string(std::chrono::duration_cast<Milliseconds>(worst).count()) +
      " ms";
    CPPUNIT_ASSERT_MESSAGE(seen, growth <= kMaxGrowth);
    CPPUNIT_ASSERT_MESSAGE(seen, worst < kWorstWait);
    CPPUNIT_ASSERT_EQUAL(kCallers, answered.load());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, world.responses_.heldBytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayFloodTest);
