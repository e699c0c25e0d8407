// Tests of responses and requests that end in the middle of their head.

#include "transport/http_client.h"
#include "transport/loopback.h"
#include "transport/response_reading.h"
#include "transport/server_world.h"
#include "transport/service_caller.h"

#include <algorithm>
#include <mutex>

using namespace auburnhaven;
using fakes::bodyEnd;
using fakes::Reading;
using fakes::respond;
using transport::HttpFailureKind;
using transport::HttpReadStatus;

namespace {

using Socket = boost::asio::ip::tcp::socket;
using Server = fakes::RawServer;
using Yield = boost::asio::yield_context;

constexpr char kHeadEnd[] = "\r\n\r\n"; ///< End of a head.
constexpr char kWarmPath[] =
  "/warm"; ///< Path of the requests that make a connection a kept one.
constexpr char kWarmAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** How a server ends a connection. */
enum class Ending : std::uint8_t
{
  kClose, ///< Closes it.
  kReset, ///< Resets it.
};

/** @return Whole responses whose heads differ in order and framing. */
std::vector<std::string>
wholeResponses()
{
  const std::string id = "X-Attempt-Id: a1\r\nX-Origin-Signature: s1\r\n";
  const std::string length = "Content-Length: 2\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  return { ok + id + length + "\r\nhi",
           ok + length + id + "\r\nhi",
           ok + "Content-Length: 0\r\n" + id + "\r\n",
           ok + id + "Content-Length: 0\r\n\r\n",
           ok + chunked + id + "\r\n2\r\nhi\r\n0\r\n\r\n",
           ok + id + chunked + "\r\n2\r\nhi\r\n0\r\n\r\n",
           ok + id + "Connection: close\r\n\r\n",
           "HTTP/1.1 204 None\r\n" + id + "\r\n",
           "HTTP/1.1 100 Continue\r\n\r\n" + ok + length + id + "\r\nhi",
           "HTTP/1.1 103 Hints\r\nLink: a\r\n" + length + "\r\n" + ok +
             chunked + id + "\r\n2\r\nhi\r\n0\r\n\r\n" };
}

/** @return Size of the heads at the start of a response, with interim ones. */
std::size_t
headSize(const std::string& aResponse)
{
  const std::size_t first = aResponse.find(kHeadEnd) + 4;
  const bool isInterim = aResponse.compare(9, 1, "1") == 0;
  return isInterim ? first + headSize(aResponse.substr(first)) : first;
}

/** Responds with the start of a response and ends the connection; requests for
 * kWarmPath get a whole response before. */
class CuttingServer
{
public:
  /** @param aEnding How the connections end. */
  explicit CuttingServer(Ending aEnding)
    : ending_(aEnding)
    , server_([this](Socket& aSocket, int) { serve(aSocket); })
  {
  }
  /** @param aStart What the next requests get. */
  void setStart(std::string aStart)
  {
    const std::lock_guard lock(mutex_);
    start_ = std::move(aStart);
  }
  /** @return Where it listens. */
  state::Endpoint endpoint() const { return server_.endpoint(); }

private:
  void serve(Socket& aSocket)
  {
    aSocket.set_option(boost::asio::ip::tcp::no_delay(true));
    std::string request = Server::readUntil(aSocket, kHeadEnd);
    while (request.find(kWarmPath) != std::string::npos) {
      Server::write(aSocket, kWarmAnswer);
      request = Server::readUntil(aSocket, kHeadEnd);
    }
    // Two writes, so that the head arrives in parts.
    const std::string start = this->start();
    Server::write(aSocket, start.substr(0, start.size() / 2));
    Server::write(aSocket, start.substr(start.size() / 2));
    if (ending_ == Ending::kReset) {
      Server::reset(aSocket);
    }
  }

  std::string start()
  {
    const std::lock_guard lock(mutex_);
    return start_;
  }

  const Ending ending_; ///< How the connections end.
  std::mutex mutex_;    ///< Guards the following member.
  std::string start_;   ///< What a request gets.
  Server server_;       ///< Listener.
};

} // namespace

class HttpCutHeadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpCutHeadTest);
  CPPUNIT_TEST(cutResponseIsNoResponse);
  CPPUNIT_TEST(cutResponseOnKeptConnectionIsNoResponse);
  CPPUNIT_TEST(resetResponseIsNoResponse);
  CPPUNIT_TEST(resetResponseOnKeptConnectionIsNoResponse);
  CPPUNIT_TEST(wholeResponseIsRead);
  CPPUNIT_TEST(cutResponseIsNoAnswerOfAService);
  CPPUNIT_TEST(cutRequestIsNotHandled);
  CPPUNIT_TEST_SUITE_END();

public:
  void cutResponseIsNoResponse() { expectNoWhole(Ending::kClose, false); }

  void cutResponseOnKeptConnectionIsNoResponse()
  {
    expectNoWhole(Ending::kClose, true);
  }

  void resetResponseIsNoResponse() { expectNoWhole(Ending::kReset, false); }

  void resetResponseOnKeptConnectionIsNoResponse()
  {
    expectNoWhole(Ending::kReset, true);
  }

  // Shows that the servers and readers of the other tests can succeed. A client
  // of its own for each response, since the server closes after it.
  void wholeResponseIsRead()
  {
    CuttingServer server(Ending::kClose);
    for (const std::string& whole : wholeResponses()) {
      server.setStart(whole);
      for (const Reading reading : { Reading::kWaiting, Reading::kPolling }) {
        run([&](transport::HttpClient& aClient, const Yield& aYield) {
          transport::HttpCall call =
            respond(aClient, server.endpoint(), reading, aYield);
          CPPUNIT_ASSERT_MESSAGE(whole, call.hasResponse());
          const bool framed = whole.find("close") == std::string::npos;
          CPPUNIT_ASSERT_MESSAGE(whole,
                                 bodyEnd(call, reading, aYield) ==
                                   (framed ? HttpReadStatus::kEnd
                                           : HttpReadStatus::kEndOfConnection));
        });
      }
    }
  }

  void cutResponseIsNoAnswerOfAService()
  {
    for (const Ending ending : { Ending::kClose, Ending::kReset }) {
      CuttingServer server(ending);
      for (const std::string& whole : wholeResponses()) {
        for (std::size_t size = 0; size < whole.size(); ++size) {
          server.setStart(whole.substr(0, size));
          run([&](transport::HttpClient& aClient, const Yield& aYield) {
            transport::ServiceCaller caller(context_, aClient);
            const transport::ServiceAnswer answer =
              caller.call(server.endpoint(),
                          { { "GET", "/cut", {}, {} }, fakes::kLoopbackLimit },
                          aYield);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
              whole.substr(0, size), 0U, answer.status_);
            CPPUNIT_ASSERT(answer.mayHaveRun_);
          });
        }
      }
    }
  }

  void cutRequestIsNotHandled()
  {
    for (const std::string& framing :
         { std::string("Content-Length: 2\r\n\r\nhi"),
           std::string("Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
                       "\r\n"),
           std::string("\r\n") }) {
      const std::string whole =
        "POST /a HTTP/1.1\r\nHost: h\r\nX-Mark: m\r\n" + framing;
      fakes::ServerWorld world;
      for (std::size_t size = 0; size < whole.size(); ++size) {
        Socket socket = world.connect();
        boost::system::error_code error;
        boost::asio::write(
          socket, boost::asio::buffer(whole.substr(0, size)), error);
        socket.shutdown(Socket::shutdown_send, error);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        CPPUNIT_ASSERT_MESSAGE(whole.substr(0, size) + "->" + answer,
                               answer.find("/a?") == std::string::npos);
      }
    }
  }

private:
  /** Checks each start of each response: a head that was broken off is no
   * response, and a body that was broken off is not whole. */
  void expectNoWhole(Ending aEnding, bool aKept)
  {
    CuttingServer server(aEnding);
    for (const std::string& whole : wholeResponses()) {
      for (std::size_t size = 0; size < whole.size(); ++size) {
        server.setStart(whole.substr(0, size));
        for (const Reading reading : { Reading::kWaiting, Reading::kPolling }) {
          run([&](transport::HttpClient& aClient, const Yield& aYield) {
            if (aKept) {
              aClient
                .open(
                  server.endpoint(), { "GET", kWarmPath, {}, {} }, {}, aYield)
                .readAll(10, aYield);
              CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, aClient.idleConnections());
            }
            expectNoWholeResponse(
              respond(aClient, server.endpoint(), reading, aYield),
              reading,
              whole.substr(0, size),
              size < headSize(whole),
              aEnding,
              aYield);
          });
        }
      }
    }
  }

  static void expectNoWholeResponse(transport::HttpCall aCall,
                                    Reading aReading,
                                    const std::string& aStart,
                                    bool aCutHead,
                                    Ending aEnding,
                                    const Yield& aYield)
  {
    if (aCutHead) {
      CPPUNIT_ASSERT_MESSAGE(aStart, !aCall.hasResponse());
      CPPUNIT_ASSERT_EQUAL(0U, aCall.status());
      CPPUNIT_ASSERT(aCall.failure().kind_ == HttpFailureKind::kClosed);
      CPPUNIT_ASSERT(aCall.failure().bytesMayHaveArrived_);
    } else if (aCall.hasResponse()) {
      // Only a reset tells that a body without length is not whole.
      const bool unframed = aStart.find("close") != std::string::npos;
      CPPUNIT_ASSERT_MESSAGE(aStart,
                             bodyEnd(aCall, aReading, aYield) ==
                               (unframed && aEnding == Ending::kClose
                                  ? HttpReadStatus::kEndOfConnection
                                  : HttpReadStatus::kCutShort));
    }
  }

  /** Runs a test body as a coroutine with a client. */
  void run(std::function<void(transport::HttpClient&, const Yield&)> aBody)
  {
    transport::HttpClient client(context_);
    fakes::runCoroutine(context_,
                        [&](const Yield& aYield) { aBody(client, aYield); });
  }

  boost::asio::io_context context_; ///< Event loop of the client.
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCutHeadTest);
