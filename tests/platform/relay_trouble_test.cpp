// Tests of relayed requests whose targets shut down, ask for a pause or violate
// the protocol.

#include "platform/relay_world.h"

#include <atomic>

using namespace auburnhaven;
using namespace std::chrono_literals;
using fakes::chunk;
using fakes::contains;
using fakes::kStreamHead;
using fakes::RawServer;
using fakes::RelayWorld;
using fakes::respondWith;
using fakes::statusOf;
using Socket = boost::asio::ip::tcp::socket;

namespace {

constexpr std::size_t kPieceBytes =
  std::size_t{ 16 } * 1024; ///< Size of one piece of an endless response.
constexpr auto kMaxTimeoutOverrun =
  500ms; ///< Largest delay of the final response after a route's timeout.

/** A target that sends the same response to each request and counts them. */
class CountingTarget
{
public:
  /** @param aResponse Response to each request. */
  explicit CountingTarget(std::string aResponse)
    : server_([this, response = std::move(aResponse)](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      ++requests_;
      RawServer::write(aSocket, response);
    })
  {
  }
  /** @return Endpoint of the target. */
  state::Endpoint endpoint() const { return server_.endpoint(); }
  /** @return Requests received. */
  int requests() const { return requests_; }

private:
  std::atomic<int> requests_{ 0 }; ///< Requests received.
  RawServer server_;               ///< Listener.
};

/** @return A target's script: reads a request, then sends a start and endlessly
 * many pieces, with a pause before each. */
RawServer::Script
respondEndlessly(const std::string& aStart,
                 const std::string& aPiece,
                 std::chrono::milliseconds aPause = {})
{
  return [=](Socket& aSocket, int) {
    RawServer::readRequest(aSocket);
    RawServer::write(aSocket, aStart);
    boost::system::error_code error;
    while (!error) {
      std::this_thread::sleep_for(aPause);
      boost::asio::write(aSocket, boost::asio::buffer(aPiece), error);
    }
  };
}

/** @return Value of a response's Retry-After in seconds; -1 when absent. */
double
retryAfter(const std::string& aResponse)
{
  const std::string mark = "Retry-After: ";
  const std::size_t at = aResponse.find(mark);
  return at == std::string::npos
           ? -1
           : std::stod(aResponse.substr(at + mark.size()));
}

const std::string kRejection = RelayWorld::response(
  "503 Full",
  "",
  "X-Not-Executed: 1\r\nRetry-After: 1.2\r\n"); ///< Rejects the request and
                                                ///< asks for a pause of 1.2 s.

} // namespace

class RelayTroubleTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayTroubleTest);
  CPPUNIT_TEST(leavingTargetGetsNoFurtherRequests);
  CPPUNIT_TEST(restartedTargetIsUsedAgain);
  CPPUNIT_TEST(pausedTargetGetsNoRequests);
  CPPUNIT_TEST(pausedTargetsAreNoAlternatives);
  CPPUNIT_TEST(invalidRetryAfterIsIgnored);
  CPPUNIT_TEST(endlessResponseHeadIsAborted);
  CPPUNIT_TEST(endlessInterimResponsesAreAborted);
  CPPUNIT_TEST(endlessBodyIsAborted);
  CPPUNIT_TEST(endlessChunkFramingIsAborted);
  CPPUNIT_TEST(endlessEventIsAborted);
  CPPUNIT_TEST(trickledResponseEndsAtTheTimeout);
  CPPUNIT_TEST(slowRejectionBodyDoesNotDelayRetry);
  CPPUNIT_TEST(stalledStreamResumesElsewhere);
  CPPUNIT_TEST(slowStreamWithoutAlternativeIsKept);
  CPPUNIT_TEST(lateCopyOfAResponseIsDiscarded);
  CPPUNIT_TEST(lateCopyOfARejectionIsIgnored);
  CPPUNIT_TEST(truncatedResponseIsNeverASuccess);
  CPPUNIT_TEST_SUITE_END();

public:
  void leavingTargetGetsNoFurtherRequests()
  {
    CountingTarget leaving(
      RelayWorld::response("200 OK", "last", "Server-Leaving: 1\r\n"));
    CountingTarget staying(RelayWorld::response("200 OK", "fine"));
    RelayWorld world;
    world.startWith({ leaving.endpoint(), staying.endpoint() });
    for (int round = 0; round < 30 && leaving.requests() == 0; ++round) {
      postIdempotent(world);
    }
    CPPUNIT_ASSERT_EQUAL(1, leaving.requests());
    for (int round = 0; round < 30; ++round) {
      // The target is still registered as serving; reading the registrations
      // again must not bring it back.
      world.start();
      CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(postIdempotent(world)));
    }
    CPPUNIT_ASSERT_EQUAL(1, leaving.requests());
  }

  void restartedTargetIsUsedAgain()
  {
    CountingTarget target(
      RelayWorld::response("200 OK", "last", "Server-Leaving: 1\r\n"));
    RelayWorld world;
    world.startWith({ target.endpoint() });
    postIdempotent(world);
    CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(postIdempotent(world)));
    world.instances_.begin()->second.bornAtMs_ = 7;
    world.start();
    CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(postIdempotent(world)));
    world.instances_.begin()->second.bornAtMs_ = 8;
    world.start();
    CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(postIdempotent(world)));
    CPPUNIT_ASSERT_EQUAL(2, target.requests());
  }

  void pausedTargetGetsNoRequests()
  {
    CountingTarget target(kRejection);
    RelayWorld world;
    world.startWith({ target.endpoint() });
    const auto from = std::chrono::steady_clock::now();
    postIdempotent(world);
    for (int round = 0; round < 20; ++round) {
      const std::string response = postIdempotent(world);
      CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(response));
      const std::chrono::duration<double> passed =
        std::chrono::steady_clock::now() - from;
      CPPUNIT_ASSERT(retryAfter(response) > 0);
      CPPUNIT_ASSERT(retryAfter(response) <=
                     std::max(0.1, 1.2 - passed.count()) + 0.2);
      world.start();
    }
    CPPUNIT_ASSERT_EQUAL(1, target.requests());
    std::this_thread::sleep_until(from + 1400ms);
    postIdempotent(world);
    CPPUNIT_ASSERT_EQUAL(2, target.requests());
  }

  void pausedTargetsAreNoAlternatives()
  {
    CountingTarget one(kRejection);
    CountingTarget two(kRejection);
    RelayWorld world;
    world.startWith({ one.endpoint(), two.endpoint() });
    for (int round = 0; round < 10; ++round) {
      CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(postIdempotent(world)));
    }
    CPPUNIT_ASSERT_EQUAL(1, one.requests());
    CPPUNIT_ASSERT_EQUAL(1, two.requests());
  }

  void invalidRetryAfterIsIgnored()
  {
    for (const char* value : { "soon", "-3", "nan", "1e999", "", "5 s" }) {
      CountingTarget target(RelayWorld::response(
        "503 Full",
        "",
        "X-Not-Executed: 1\r\nRetry-After: " + std::string(value) + "\r\n"));
      RelayWorld world;
      world.startWith({ target.endpoint() });
      postIdempotent(world);
      postIdempotent(world);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(value, 2, target.requests());
    }
  }

  void endlessResponseHeadIsAborted()
  {
    expectQuickFailure("HTTP/1.1 200 OK\r\n", "X-More: 0123456789abcdef\r\n");
    expectQuickFailure("HTTP/1.1 200 OK\r\nX-More: ", "0123456789abcdef");
    expectQuickFailure("", "no answer at all ");
    expectQuickFailure("", "\r\n");
  }

  void endlessInterimResponsesAreAborted()
  {
    expectQuickFailure("", "HTTP/1.1 100 Continue\r\n\r\n");
  }

  void endlessBodyIsAborted()
  {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                             "X-Origin-Signature: s1\r\n";
    const std::string piece(kPieceBytes, 'x');
    expectQuickFailure(head + "Transfer-Encoding: chunked\r\n\r\n",
                       chunk(piece));
    expectQuickFailure(head + "\r\n", piece);
    expectQuickFailure(head + "Content-Length: 999999999999\r\n\r\n", piece);
  }

  // Chunk extensions and trailers are framing bytes that never become part of
  // the body, so a limit on body bytes alone would not end the response.
  void endlessChunkFramingIsAborted()
  {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                             "X-Origin-Signature: s1\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    expectQuickFailure(head + "5;name=", std::string(4096, 'x'));
    expectQuickFailure(head + "0\r\n", "X-More: 0123456789abcdef\r\n");
  }

  void endlessEventIsAborted()
  {
    const std::string piece(kPieceBytes, 'x');
    const RawServer target(
      respondEndlessly(kStreamHead + chunk("id: 1\ndata: "), chunk(piece)));
    RelayWorld world;
    world.startWith({ target.endpoint() });
    const auto from = std::chrono::steady_clock::now();
    const std::string response =
      world.ask(RelayWorld::request("POST", "/stream/", "x"));
    // Ends before the caller's timeout (2.5 s) and the route's (3 s).
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - from < 2s);
    CPPUNIT_ASSERT(statusOf(response) != "200");
    CPPUNIT_ASSERT(!contains(response, "xxxx"));
  }

  void trickledResponseEndsAtTheTimeout()
  {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                             "X-Origin-Signature: s1\r\n";
    for (const auto& [start, piece] :
         { std::pair(head + "Content-Length: 100000\r\n\r\n", "x"),
           std::pair(head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"),
           std::pair(std::string("HTTP/1.1 200 OK\r\nX-More: "), "x"),
           std::pair(std::string(), "HTTP/1.1 100 Continue\r\n\r\n") }) {
      const RawServer target(respondEndlessly(start, piece, 200ms));
      RelayWorld world;
      world.startWith({ target.endpoint() }, 700ms);
      const auto from = std::chrono::steady_clock::now();
      const std::string response =
        world.ask(RelayWorld::request("POST", "/unsafe/", "x"));
      CPPUNIT_ASSERT_EQUAL(std::string("504"), statusOf(response));
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - from <
                     700ms + kMaxTimeoutOverrun);
    }
  }

  void slowRejectionBodyDoesNotDelayRetry()
  {
    std::string head =
      RelayWorld::response("503 Full", "", "X-Not-Executed: 1\r\n");
    head.replace(head.find("Length: 0"), 9, "Length: 9999");
    const RawServer full(respondEndlessly(head, "x", 50ms));
    const RawServer good(respondWith(RelayWorld::response("200 OK", "fine")));
    RelayWorld world;
    world.startWith({ full.endpoint(), good.endpoint() });
    for (int round = 0; round < 3; ++round) {
      const auto from = std::chrono::steady_clock::now();
      CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(postIdempotent(world)));
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - from < 1s);
    }
  }

  void stalledStreamResumesElsewhere()
  {
    std::atomic<int> streams{ 0 };
    const auto script = [&](Socket& aSocket, int aIndex) {
      if (streams++ == 0) {
        respondEndlessly(kStreamHead + chunk("id: 1\ndata: a\n\n"),
                         chunk("x"),
                         100ms)(aSocket, aIndex);
      } else {
        respondWith(kStreamHead + chunk("id: 2\ndata: b\n\n") +
                    "0\r\n\r\n")(aSocket, aIndex);
      }
    };
    const RawServer one(script);
    const RawServer two(script);
    RelayWorld world;
    world.startWith({ one.endpoint(), two.endpoint() });
    const std::string response =
      world.ask(RelayWorld::request("POST", "/stream/", "x"));
    CPPUNIT_ASSERT(contains(response, "data: a\n\n"));
    CPPUNIT_ASSERT(contains(response, "data: b\n\n"));
    CPPUNIT_ASSERT(response.ends_with("0\r\n\r\n"));
  }

  // The pause between events exceeds the limit after which a stream is resumed
  // from another target, but there is no other target.
  void slowStreamWithoutAlternativeIsKept()
  {
    const RawServer target([](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      RawServer::write(aSocket, kStreamHead + chunk("id: 1\ndata: a\n\n"));
      std::this_thread::sleep_for(1400ms);
      RawServer::write(aSocket, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    });
    RelayWorld world;
    world.startWith({ target.endpoint() });
    const std::string response =
      world.ask(RelayWorld::request("POST", "/stream/", "x"));
    CPPUNIT_ASSERT(contains(response, "data: b\n\n"));
    CPPUNIT_ASSERT(response.ends_with("0\r\n\r\n"));
  }

  void lateCopyOfAResponseIsDiscarded()
  {
    expectLateCopyIsDiscarded(RelayWorld::response("200 OK", "first's secret"));
  }

  void lateCopyOfARejectionIsIgnored()
  {
    const std::string rejection =
      RelayWorld::response("503 Full", "", "X-Not-Executed: 1\r\n");
    const std::string response = expectLateCopyIsDiscarded(rejection);
    // The second request ran, so a 503 would wrongly tell its caller that it
    // did not.
    CPPUNIT_ASSERT(statusOf(response) != "503");
  }

  void truncatedResponseIsNeverASuccess()
  {
    const std::string plain = RelayWorld::response("200 OK", "a whole answer");
    const std::string stream =
      kStreamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n";
    for (std::size_t size = 0; size < stream.size(); size += 7) {
      const RawServer target(respondWith(stream.substr(0, size)));
      RelayWorld world;
      world.startWith({ target.endpoint() }, 200ms);
      const std::string response =
        world.ask(RelayWorld::request("POST", "/stream/", "x"));
      CPPUNIT_ASSERT(statusOf(response) != "200" ||
                     !response.ends_with("0\r\n\r\n"));
    }
    for (std::size_t size = 0; size < plain.size(); size += 7) {
      const RawServer target(respondWith(plain.substr(0, size)));
      RelayWorld world;
      world.startWith({ target.endpoint() }, 200ms);
      CPPUNIT_ASSERT(statusOf(world.ask(
                       RelayWorld::request("POST", "/unsafe/", "x"))) != "200");
    }
  }

private:
  static std::string postIdempotent(RelayWorld& aWorld)
  {
    return aWorld.ask(RelayWorld::request("POST", "/safe/", "x"));
  }

  /** Checks that an endless response ends in an error well before the request's
   * deadline. */
  static void expectQuickFailure(const std::string& aStart,
                                 const std::string& aPiece)
  {
    const RawServer target(respondEndlessly(aStart, aPiece));
    RelayWorld world;
    world.startWith({ target.endpoint() });
    const auto from = std::chrono::steady_clock::now();
    const std::string response =
      world.ask(RelayWorld::request("POST", "/unsafe/", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string("502"), statusOf(response));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - from < 2s);
  }

  /** Checks that a late copy of an earlier response is not taken for the
   * response to the next request on the same connection. @return Response to
   * the second request. */
  static std::string expectLateCopyIsDiscarded(const std::string& aCopy)
  {
    const RawServer target([&](Socket& aSocket, int aIndex) {
      RawServer::readRequest(aSocket);
      RawServer::write(aSocket,
                       RelayWorld::response("200 OK", "first's secret"));
      if (aIndex == 0) {
        RawServer::readRequest(aSocket);
        RawServer::write(aSocket, aCopy);
        RawServer::readUntil(aSocket, "\r\n\r\n");
      }
    });
    RelayWorld world;
    world.startWith({ target.endpoint() });
    CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(postIdempotent(world)));
    std::string response =
      world.ask(RelayWorld::request("POST", "/safe/", "x", "second"));
    CPPUNIT_ASSERT(!contains(response, "secret"));
    return response;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTroubleTest);
