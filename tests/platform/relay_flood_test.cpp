// Tests of a relay whose targets send bytes without end to many callers at
// once.

#include "fakes/text_func.h"
#include "platform/relay_world.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <functional>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace auburnhaven;
using namespace std::chrono_literals;
using fakes::RawServer;
using fakes::RelayWorld;
using fakes::repeat;
using fakes::statusOf;
using Socket = boost::asio::ip::tcp::socket;
using Milliseconds = std::chrono::milliseconds;

namespace {

constexpr std::size_t kCallers = 60; ///< Callers whose answers do not end.
constexpr std::size_t kStreams = 6;  ///< Callers whose streams do not end.
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
   * @param aPiece What it sends again and again.
   */
  FloodingTarget(std::string aHead,
                 Milliseconds aPause,
                 std::string aPiece = std::string(std::size_t{ 64 } * 1024,
                                                  'x'))
    : acceptor_(context_, { boost::asio::ip::address_v4::loopback(), 0 })
    , head_(std::move(aHead))
    , pause_(aPause)
    , piece_(std::move(aPiece))
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
    RawServer::readRequest(aSocket);
    RawServer::write(aSocket, head_);
    boost::system::error_code error;
    while (!error && !ended_) {
      std::this_thread::sleep_for(pause_);
      // One call for all, so that there are always bytes to read.
      aSocket.write_some(boost::asio::buffer(piece_), error);
    }
  }

  boost::asio::io_context context_;         ///< Accepts connections.
  boost::asio::ip::tcp::acceptor acceptor_; ///< Listener.
  const std::string head_;                  ///< Head of the response.
  const Milliseconds pause_;                ///< Before each piece.
  const std::string piece_;                 ///< What it sends again and again.
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

/** @return A text with each byte in a chunk of its own. */
std::string
bytewise(const std::string& aText)
{
  std::string chunks;
  for (const char byte : aText) {
    chunks += fakes::chunk(std::string(1, byte));
  }
  return chunks;
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
  CPPUNIT_TEST(repeatedEventLetsOthersRun);
  CPPUNIT_TEST(repeatedEventInSingleBytesLetsOthersRun);
  CPPUNIT_TEST(repeatedEventsInTurnLetOthersRun);
  CPPUNIT_TEST(commentsInSingleBytesLetOthersRun);
  CPPUNIT_TEST(bodiesInSingleBytesLetOthersRun);
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

  // Events that the caller has were dropped until the deadline, and nobody else
  // had a turn.
  void repeatedEventLetsOthersRun()
  {
    expectOthersRun("/live/", fakes::kStreamHead, fakes::chunk(kEvent));
  }

  // A piece of one byte costs as much as a long one.
  void repeatedEventInSingleBytesLetsOthersRun()
  {
    expectOthersRun("/live/", fakes::kStreamHead, bytewise(kEvent));
  }

  void repeatedEventsInTurnLetOthersRun()
  {
    expectOthersRun("/live/",
                    fakes::kStreamHead + fakes::chunk(kEvent + kNextEvent),
                    fakes::chunk(kEvent) + fakes::chunk(kNextEvent));
  }

  void commentsInSingleBytesLetOthersRun()
  {
    expectOthersRun(
      "/live/", fakes::kStreamHead, bytewise(": " + std::string(200, 'x')));
  }

  void bodiesInSingleBytesLetOthersRun()
  {
    expectOthersRun("/unsafe/", kChunkedHead, bytewise(kEvent));
  }

private:
  static constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Origin-Signature: s1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"; ///< Head of a body in chunks.
  inline static const std::string kEvent =
    "id: 1\ndata: " + std::string(70, 'x') + "\n\n"; ///< First event.
  inline static const std::string kNextEvent =
    "id: 2\ndata: " + std::string(70, 'y') + "\n\n"; ///< Event after it.

  static void expectOthersRun(const std::string& aPath,
                              const std::string& aHead,
                              const std::string& aPiece)
  {
    constexpr std::size_t kTimes = 20000; ///< Pieces of one write.
    const FloodingTarget target(aHead, 0ms, repeat(aPiece, kTimes));
    RelayWorld world;
    world.startWith({ target.endpoint() });
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < kStreams; ++index) {
      callers.emplace_back(
        [&] { world.ask(RelayWorld::request("POST", aPath, "x")); });
    }
    const Milliseconds worst = worstOtherWait(world);
    for (std::thread& caller : callers) {
      caller.join();
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(worst.count()) + " ms",
                           worst < kWorstWait);
  }

  /** Sends other requests one after the other. @param aLook Called after each.
   * @return The longest time that one took. */
  static Milliseconds worstOtherWait(
    RelayWorld& aWorld,
    const std::function<void()>& aLook = [] {})
  {
    auto worst = std::chrono::steady_clock::duration::zero();
    const auto until = std::chrono::steady_clock::now() + kFloodTime;
    while (std::chrono::steady_clock::now() < until) {
      const auto from = std::chrono::steady_clock::now();
      CPPUNIT_ASSERT_EQUAL(
        std::string("404"),
        statusOf(aWorld.ask(RelayWorld::request("POST", "/nothing/", "x"))));
      worst = std::max(worst, std::chrono::steady_clock::now() - from);
      aLook();
      std::this_thread::sleep_for(5ms);
    }
    return std::chrono::duration_cast<Milliseconds>(worst);
  }

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
    const Milliseconds worst = worstOtherWait(world, [&] {
      const std::size_t now = residentBytes();
      growth = std::max(growth, now - std::min(before, now));
    });
    for (std::thread& caller : callers) {
      caller.join();
    }
    const std::string seen = std::to_string(growth / kMiB) + " MiB, worst " +
                             std::to_string(worst.count()) + " ms";
    CPPUNIT_ASSERT_MESSAGE(seen, growth <= kMaxGrowth);
    CPPUNIT_ASSERT_MESSAGE(seen, worst < kWorstWait);
    CPPUNIT_ASSERT_EQUAL(kCallers, answered.load());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, world.responses_.heldBytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayFloodTest);
