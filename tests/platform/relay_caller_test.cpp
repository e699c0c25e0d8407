// Tests of what the relay records when callers do not take their answers.

#include "platform/relay_world.h"

#include <atomic>

using namespace auburnhaven;
using namespace std::chrono_literals;
using fakes::chunk;
using fakes::contains;
using fakes::kStreamHead;
using fakes::RawServer;
using fakes::RelayWorld;
using Socket = boost::asio::ip::tcp::socket;

namespace {

constexpr std::size_t kHugeBytes =
  std::size_t{ 7 } * 1024 * 1024; ///< More than sockets take unread.

constexpr std::chrono::milliseconds kStandstill{
  200
}; ///< How long the relay's thread stands still.

/** @return Events with more bytes than sockets take unread. */
std::string
hugeEvents()
{
  constexpr std::size_t kEventBytes = std::size_t{ 32 } * 1024;
  std::string events;
  for (int id = 1; events.size() < kHugeBytes; ++id) {
    events += chunk("id: " + std::to_string(id) +
                    "\ndata: " + std::string(kEventBytes, 'x') + "\n\n");
  }
  return events;
}

/** @return Number of requests that ended so. */
std::uint64_t
outcomes(RelayWorld& aWorld, const std::string& aOutcome)
{
  return aWorld.metrics_
    .counter("auburnhaven_relay_requests_total{outcome=\"" + aOutcome + "\"}")
    .value();
}

/** Stops the relay's thread for a while, as a frozen machine does. */
void
standStill(RelayWorld& aWorld)
{
  boost::asio::post(aWorld.pool_.context(0),
                    [] { std::this_thread::sleep_for(kStandstill); });
}

/** Waits until the server is idle. */
void
waitForIdle(const RelayWorld& aWorld)
{
  for (int count = 0; count < 500 && aWorld.server_.inFlight() > 0; ++count) {
    std::this_thread::sleep_for(10ms);
  }
}

/** A caller that has sent a request. */
class Caller
{
public:
  Caller(const RelayWorld& aWorld, const std::string& aPath)
  {
    socket_.connect(
      { boost::asio::ip::address_v4::loopback(), aWorld.server_.port() });
    boost::asio::write(socket_,
                       boost::asio::buffer(RelayWorld::request("POST", aPath)));
  }
  /** @return Its connection. */
  Socket& socket() { return socket_; }
  /** @return What comes until the relay closes the connection. */
  std::string readAll()
  {
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

private:
  boost::asio::io_context context_; ///< Event loop; never run.
  Socket socket_{ context_ };       ///< Its connection.
};

/** Sends a request, reads nothing for a while and resets the connection. */
void
askAndReset(RelayWorld& aWorld, const std::string& aPath)
{
  Caller caller(aWorld, aPath);
  std::this_thread::sleep_for(400ms);
  RawServer::reset(caller.socket());
}

} // namespace

class RelayCallerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayCallerTest);
  CPPUNIT_TEST(answerThatCouldNotBeWrittenIsNotAnswered);
  CPPUNIT_TEST(streamThatCouldNotBeWrittenIsNotDelivered);
  CPPUNIT_TEST(halfClosedCallerGetsItsStream);
  CPPUNIT_TEST(abandonedRequestsEndBeforeTheRelayDoes);
  CPPUNIT_TEST(requestOfACallerThatLeftWhileItWaitedIsNotSent);
  CPPUNIT_TEST(halfClosedCallerIsServedAfterAStandstill);
  CPPUNIT_TEST_SUITE_END();

public:
  void answerThatCouldNotBeWrittenIsNotAnswered()
  {
    const RawServer target([](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      RawServer::write(
        aSocket, RelayWorld::response("200 OK", std::string(kHugeBytes, 'x')));
    });
    RelayWorld world;
    world.startWith({ target.endpoint() });
    askAndReset(world, "/safe/1");
    waitForIdle(world);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, outcomes(world, "answered"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         outcomes(world, "caller went away"));
  }

  void streamThatCouldNotBeWrittenIsNotDelivered()
  {
    const RawServer target([](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      RawServer::write(aSocket, kStreamHead + hugeEvents() + "0\r\n\r\n");
    });
    RelayWorld world;
    world.startWith({ target.endpoint() });
    askAndReset(world, "/stream/1");
    waitForIdle(world);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         outcomes(world, "stream delivered"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         outcomes(world, "caller went away"));
  }

  void halfClosedCallerGetsItsStream()
  {
    const RawServer target([](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      std::this_thread::sleep_for(300ms);
      RawServer::write(aSocket, kStreamHead + chunk("id: 1\ndata: a\n\n"));
      std::this_thread::sleep_for(300ms);
      RawServer::write(aSocket, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    });
    RelayWorld world;
    world.startWith({ target.endpoint() });
    Caller caller(world, "/stream/1");
    caller.socket().shutdown(Socket::shutdown_send);
    const std::string answer = caller.readAll();
    CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "id: 2\ndata: b\n\n\r\n"));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("0\r\n\r\n"));
    waitForIdle(world);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         outcomes(world, "stream delivered"));
  }

  // A process that had stood still sent the requests of callers that had left
  // meanwhile.
  void requestOfACallerThatLeftWhileItWaitedIsNotSent()
  {
    std::atomic<int> arrived{ 0 };
    const RawServer target([&arrived](Socket& aSocket, int) {
      while (!RawServer::readRequest(aSocket).empty()) {
        ++arrived;
        RawServer::write(aSocket, RelayWorld::response("200 OK", "late"));
      }
    });
    RelayWorld world;
    world.startWith({ target.endpoint() });
    // Twice, since the second request finds a kept connection.
    for (int round = 1; round <= 2; ++round) {
      for (const char* path : { "/safe/1", "/unsafe/1", "/stream/1" }) {
        standStill(world);
        Caller caller(world, path);
        caller.socket().close();
        std::this_thread::sleep_for(kStandstill + 300ms);
        waitForIdle(world);
      }
      CPPUNIT_ASSERT_EQUAL(round - 1, arrived.load());
      CPPUNIT_ASSERT(fakes::contains(
        world.ask(RelayWorld::request("POST", "/safe/1")), "late"));
    }
  }

  void halfClosedCallerIsServedAfterAStandstill()
  {
    const RawServer target(
      fakes::respondWith(RelayWorld::response("200 OK", "whole")));
    RelayWorld world;
    world.startWith({ target.endpoint() });
    standStill(world);
    Caller caller(world, "/unsafe/1");
    caller.socket().shutdown(Socket::shutdown_send);
    const std::string answer = caller.readAll();
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("whole"));
  }

  // A request that outlived the relay's parts crashed the process at its end.
  void abandonedRequestsEndBeforeTheRelayDoes()
  {
    const RawServer target([](Socket& aSocket, int aIndex) {
      RawServer::readRequest(aSocket);
      if (aIndex > 0) {
        RawServer::write(aSocket, kStreamHead + chunk("id: 1\ndata: a\n\n"));
      }
      RawServer::readUntil(aSocket, "never");
    });
    for (const char* path : { "/safe/1", "/stream/1" }) {
      RelayWorld world;
      world.startWith({ target.endpoint() });
      Caller caller(world, path);
      std::this_thread::sleep_for(300ms);
      world.server_.drain();
      const auto start = std::chrono::steady_clock::now();
      world.server_.abandon();
      waitForIdle(world);
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < 1s);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                           outcomes(world, "caller went away"));
      const std::string answer = caller.readAll();
      CPPUNIT_ASSERT_MESSAGE(answer, !answer.ends_with("0\r\n\r\n"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayCallerTest);
