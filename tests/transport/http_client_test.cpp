// Tests of the HTTP client over loopback sockets.

#include "transport/http_client.h"

#include "fakes/text_func.h"
#include "transport/http_connection.h"
#include "transport/loopback.h"
#include "transport/system_clock.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <utility>

using namespace auburnhaven;
using fakes::repeat;
using transport::HttpFailureKind;
using transport::HttpReadStatus;

namespace {

using Socket = boost::asio::ip::tcp::socket;
using Server = fakes::RawServer;
using Yield = boost::asio::yield_context;

constexpr char kSmallAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                "X-Kind: plain\r\n\r\nok";
constexpr char kChunkedHead[] =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

class HttpClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(connectionIsKept);
  CPPUNIT_TEST(freshConnectionsDoNotPileUp);
  CPPUNIT_TEST(staleConnectionIsReplaced);
  CPPUNIT_TEST(refusedConnectionIsCertainlyNotRun);
  CPPUNIT_TEST(closeAfterRequestMayHaveRun);
  CPPUNIT_TEST(silentTargetTimesOut);
  CPPUNIT_TEST(chunkedLinesArriveWhole);
  CPPUNIT_TEST(cutBodyNeverLooksWhole);
  CPPUNIT_TEST(unframedBodyEndsWithItsConnection);
  CPPUNIT_TEST(slowBodyTimesOut);
  CPPUNIT_TEST(trickledLineTimesOut);
  CPPUNIT_TEST(trickledBodyEndsAtItsLimit);
  CPPUNIT_TEST(nothingIsSentAfterTheRightToSend);
  CPPUNIT_TEST(malformedResponseIsTold);
  CPPUNIT_TEST(abortEndsWait);
  CPPUNIT_TEST(longBodyAndLineAreRefused);
  CPPUNIT_TEST(restOfAnAbandonedRequestNeverArrives);
  CPPUNIT_TEST(bytesBeforeARequestEndTheConnection);
  CPPUNIT_TEST(bytesAfterAResponseEndTheConnection);
  CPPUNIT_TEST(shortLinesLetOthersRun);
  CPPUNIT_TEST(shortChunksLetOthersRun);
  CPPUNIT_TEST_SUITE_END();

public:
  // A target that sent short lines without end kept its reader's thread for as
  // long as a read of 64 KiB has lines.
  void shortLinesLetOthersRun()
  {
    expectShortTurns("fffe\r\n" + repeat("x\n", 0x7fff) + "\r\n0\r\n\r\n",
                     &transport::HttpCall::readLine);
  }

  void shortChunksLetOthersRun()
  {
    expectShortTurns(repeat("1\r\nx\r\n", 0x7fff) + "0\r\n\r\n",
                     &transport::HttpCall::readChunk);
  }

  // Bytes that the system still holds, as across a cut, came to the target
  // seconds after the caller had left.
  void restOfAnAbandonedRequestNeverArrives()
  {
    std::promise<void> abandoned;
    std::promise<boost::system::error_code> end;
    Server server([&](Socket& aSocket, int) {
      abandoned.get_future().wait();
      boost::system::error_code error;
      std::array<char, 4096> bytes{};
      while (!error) {
        aSocket.read_some(boost::asio::buffer(bytes), error);
      }
      end.set_value(error);
    });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      constexpr auto kWait = std::chrono::milliseconds(100);
      const std::string body(std::size_t{ 32 } * 1024 * 1024, 'x');
      const transport::HttpCall call = aClient.open(server.endpoint(),
                                                    { "POST", "/", {}, body },
                                                    { kWait, kWait, kWait },
                                                    aYield);
      CPPUNIT_ASSERT(!call.hasResponse());
    });
    abandoned.set_value();
    CPPUNIT_ASSERT(end.get_future().get() ==
                   boost::asio::error::connection_reset);
  }

  void freshConnectionsDoNotPileUp()
  {
    Server server([&](Socket& aSocket, int) {
      while (!Server::readUntil(aSocket, "\r\n\r\n").empty()) {
        Server::write(aSocket, kSmallAnswer);
      }
    });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      transport::HttpClientRequest request{ "POST", "/", {}, {} };
      request.freshConnection_ = true;
      for (int round = 0; round < 4; ++round) {
        aClient.open(server.endpoint(), request, {}, aYield)
          .readAll(10, aYield);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, aClient.idleConnections());
      }
      // A service that allows few connections gets none that is unused.
      request.keptConnections_ = 0;
      aClient.open(server.endpoint(), request, {}, aYield).readAll(10, aYield);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, aClient.idleConnections());
    });
  }

  void connectionIsKept()
  {
    std::atomic<int> connections = 0;
    Server server([&](Socket& aSocket, int) {
      ++connections;
      while (!Server::readUntil(aSocket, "\r\n\r\n").empty()) {
        Server::write(aSocket, kSmallAnswer);
      }
    });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      for (int round = 0; round < 3; ++round) {
        transport::HttpCall call =
          aClient.open(server.endpoint(), { "GET", "/", {}, {} }, {}, aYield);
        CPPUNIT_ASSERT_EQUAL(200U, call.status());
        CPPUNIT_ASSERT(call.header("x-kind") == "plain");
        const transport::HttpBody body = call.readAll(10, aYield);
        CPPUNIT_ASSERT(body.status_ == HttpReadStatus::kEnd);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), body.data_);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, aClient.idleConnections());
    });
    CPPUNIT_ASSERT_EQUAL(1, connections.load());
  }

  void staleConnectionIsReplaced()
  {
    Server server([&](Socket& aSocket, int) {
      Server::readUntil(aSocket, "\r\n\r\n");
      Server::write(aSocket, kSmallAnswer);
    });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      for (int round = 0; round < 3; ++round) {
        transport::HttpCall call =
          aClient.open(server.endpoint(), { "GET", "/", {}, {} }, {}, aYield);
        // A close that overtakes the next request may not be hidden.
        CPPUNIT_ASSERT(call.hasResponse() ||
                       call.failure().bytesMayHaveArrived_);
        if (call.hasResponse()) {
          CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                               call.readAll(10, aYield).data_);
        }
      }
    });
  }

  void refusedConnectionIsCertainlyNotRun()
  {
    state::Endpoint closed;
    {
      const Server server([](Socket&, int) {});
      closed = server.endpoint();
    }
    const transport::HttpFailure failure = failureAt(closed, {});
    CPPUNIT_ASSERT(failure.kind_ == HttpFailureKind::kConnect);
    CPPUNIT_ASSERT(!failure.bytesMayHaveArrived_);
  }

  void closeAfterRequestMayHaveRun()
  {
    const Server server(
      [](Socket& aSocket, int) { Server::readUntil(aSocket, "\r\n\r\n"); });
    const transport::HttpFailure failure = failureAt(server.endpoint(), {});
    CPPUNIT_ASSERT(failure.kind_ == HttpFailureKind::kClosed);
    CPPUNIT_ASSERT(failure.bytesMayHaveArrived_);
  }

  void silentTargetTimesOut()
  {
    const Server server(
      [](Socket& aSocket, int) { Server::readUntil(aSocket, "never"); });
    const transport::HttpFailure failure =
      failureAt(server.endpoint(),
                { std::chrono::seconds(5), std::chrono::milliseconds(30), {} });
    CPPUNIT_ASSERT(failure.kind_ == HttpFailureKind::kTimeout);
    CPPUNIT_ASSERT(failure.bytesMayHaveArrived_);
  }

  void chunkedLinesArriveWhole()
  {
    expectBody(std::string(kChunkedHead) + "5\r\none\nt\r\n6\r\nwo\n\nla\r\n"
                                           "2\r\nst\r\n0\r\n\r\n",
               { "one", "two", "", "last" },
               HttpReadStatus::kEnd);
  }

  void cutBodyNeverLooksWhole()
  {
    expectBody(std::string(kChunkedHead) + "4\r\none\n\r\n",
               { "one" },
               HttpReadStatus::kCutShort);
    expectBody("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none\n",
               { "one" },
               HttpReadStatus::kCutShort);
  }

  void unframedBodyEndsWithItsConnection()
  {
    expectBody("HTTP/1.1 200 OK\r\n\r\none\n",
               { "one" },
               HttpReadStatus::kEndOfConnection);
  }

  void slowBodyTimesOut()
  {
    const Server server([](Socket& aSocket, int) {
      Server::write(aSocket, std::string(kChunkedHead) + "4\r\none\n\r\n");
      Server::readUntil(aSocket, "never");
    });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      transport::HttpCall call = aClient.open(server.endpoint(),
                                              { "GET", "/", {}, {} },
                                              { std::chrono::seconds(5),
                                                std::chrono::seconds(5),
                                                std::chrono::milliseconds(30) },
                                              aYield);
      CPPUNIT_ASSERT(call.readLine(aYield).data_ == "one");
      CPPUNIT_ASSERT(call.readLine(aYield).status_ == HttpReadStatus::kTimeout);
    });
  }

  void malformedResponseIsTold()
  {
    const Server server([](Socket& aSocket, int) {
      Server::readUntil(aSocket, "\r\n\r\n");
      Server::write(aSocket, "SSH-2.0-none\r\n\r\n");
    });
    const transport::HttpFailure failure = failureAt(server.endpoint(), {});
    CPPUNIT_ASSERT(failure.kind_ == HttpFailureKind::kMalformed);
    CPPUNIT_ASSERT(failure.bytesMayHaveArrived_);
  }

  void abortEndsWait()
  {
    const Server server(
      [](Socket& aSocket, int) { Server::readUntil(aSocket, "never"); });
    transport::HttpAborter aborter;
    boost::asio::steady_timer timer(context_, std::chrono::milliseconds(20));
    timer.async_wait(
      [&](const boost::system::error_code&) { aborter.abort(); });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      const transport::HttpCall call = aClient.open(
        server.endpoint(), { "GET", "/", {}, {} }, {}, aYield, &aborter);
      CPPUNIT_ASSERT(call.failure().kind_ == HttpFailureKind::kAborted);
      CPPUNIT_ASSERT(call.failure().bytesMayHaveArrived_);
    });
  }

  void longBodyAndLineAreRefused()
  {
    const Server server([](Socket& aSocket, int) {
      Server::readUntil(aSocket, "\r\n\r\n");
      Server::write(aSocket,
                    "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" +
                      std::string(99, 'x'));
    });
    limits_.maxLineBytes_ = 50;
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      transport::HttpCall call =
        aClient.open(server.endpoint(), { "GET", "/", {}, {} }, {}, aYield);
      CPPUNIT_ASSERT(call.readAll(98, aYield).status_ ==
                     HttpReadStatus::kTooLong);
      transport::HttpCall other =
        aClient.open(server.endpoint(), { "GET", "/", {}, {} }, {}, aYield);
      CPPUNIT_ASSERT(other.readLine(aYield).status_ ==
                     HttpReadStatus::kTooLong);
      CPPUNIT_ASSERT(other.readLine(aYield).status_ ==
                     HttpReadStatus::kTooLong);
    });
  }

  // Bytes that come now and then are no line of a stream.
  void trickledLineTimesOut()
  {
    const Server server([](Socket& aSocket, int) { trickle(aSocket); });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      transport::HttpCall call =
        aClient.open(server.endpoint(), { "GET", "/", {}, {} }, {}, aYield);
      call.setIdleTimeout(std::chrono::milliseconds(200));
      const auto from = std::chrono::steady_clock::now();
      CPPUNIT_ASSERT(call.readLine(aYield).status_ == HttpReadStatus::kTimeout);
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - from <
                     std::chrono::milliseconds(600));
    });
  }

  void trickledBodyEndsAtItsLimit()
  {
    const Server server([](Socket& aSocket, int) { trickle(aSocket); });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      transport::HttpTimeouts timeouts;
      timeouts.whole_ = std::chrono::milliseconds(300);
      const auto from = std::chrono::steady_clock::now();
      transport::HttpCall call = aClient.open(
        server.endpoint(), { "GET", "/", {}, {} }, timeouts, aYield);
      CPPUNIT_ASSERT(call.readAll(1000000, aYield).status_ ==
                     HttpReadStatus::kTimeout);
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - from <
                     std::chrono::milliseconds(700));
    });
  }

  // A process that was suspended while it connected.
  void nothingIsSentAfterTheRightToSend()
  {
    std::atomic<int> requests{ 0 };
    const Server server([&](Socket& aSocket, int) {
      requests += Server::readUntil(aSocket, "\r\n\r\n").empty() ? 0 : 1;
    });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      transport::HttpClientRequest request{ "POST", "/v1/order", {}, "x" };
      request.sendBefore_ = transport::SystemClock().now();
      const transport::HttpCall call =
        aClient.open(server.endpoint(), request, {}, aYield);
      CPPUNIT_ASSERT(!call.hasResponse());
      CPPUNIT_ASSERT(!call.failure().bytesMayHaveArrived_);
    });
    CPPUNIT_ASSERT_EQUAL(0, requests.load());
  }

  // Bytes that arrived between the check of a kept connection and the send were
  // taken for the response.
  void bytesBeforeARequestEndTheConnection()
  {
    const Server server([](Socket& aSocket, int) {
      Server::write(aSocket, kSmallAnswer);
      Server::readUntil(aSocket, "\r\n\r\n");
    });
    fakes::runCoroutine(context_, [&](const Yield& aYield) {
      transport::HttpConnection connection(
        context_, server.endpoint(), transport::HttpClientLimits());
      CPPUNIT_ASSERT(connection.connect(fakes::kLoopbackLimit, aYield).kind_ ==
                     HttpFailureKind::kNone);
      constexpr int kMaxRounds = 1000; // ends the wait of a test that fails
      for (int round = 0; round < kMaxRounds && connection.usable(); ++round) {
        boost::asio::steady_timer timer(context_, std::chrono::milliseconds(1));
        timer.async_wait(aYield);
      }
      const transport::HttpFailure failure =
        connection.send({ "GET", "/", {}, {} }, {}, aYield);
      CPPUNIT_ASSERT(failure.kind_ == HttpFailureKind::kClosed);
      CPPUNIT_ASSERT(!failure.bytesMayHaveArrived_);
    });
  }

  void bytesAfterAResponseEndTheConnection()
  {
    std::promise<std::string> rest;
    Server server([&](Socket& aSocket, int) {
      Server::readUntil(aSocket, "\r\n\r\n");
      Server::write(aSocket, std::string(kSmallAnswer) + "H");
      rest.set_value(Server::readUntil(aSocket, "\r\n\r\n"));
    });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      aClient.open(server.endpoint(), { "GET", "/", {}, {} }, {}, aYield)
        .readAll(10, aYield);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, aClient.idleConnections());
      std::future<std::string> end = rest.get_future();
      CPPUNIT_ASSERT(end.wait_for(fakes::kLoopbackLimit) ==
                     std::future_status::ready);
      CPPUNIT_ASSERT_EQUAL(std::string(), end.get());
    });
  }

private:
  using ReadPiece = transport::HttpPiece (transport::HttpCall::*)(
    const Yield&); ///< Reads a piece of a body.

  /** Reads a body, and fails unless others run after few pieces of it. */
  void expectShortTurns(const std::string& aBody, ReadPiece aRead)
  {
    constexpr int kMaxPieces = 64;
    Server server([&](Socket& aSocket, int) {
      Server::readUntil(aSocket, "\r\n\r\n");
      Server::write(aSocket, kChunkedHead + aBody);
    });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      transport::HttpCall call =
        aClient.open(server.endpoint(), { "GET", "/", {}, {} }, {}, aYield);
      bool othersRan = false;
      bool isRead = false;
      std::function<void()> other = [&] {
        othersRan = true;
        if (!isRead) {
          boost::asio::post(aYield.get_executor(), other);
        }
      };
      other();
      int pieces = 0;
      int most = 0;
      while ((call.*aRead)(aYield).status_ == HttpReadStatus::kData) {
        pieces = std::exchange(othersRan, false) ? 1 : pieces + 1;
        most = std::max(most, pieces);
      }
      isRead = true;
      // The posted handler refers to variables of this function.
      boost::asio::post(aYield);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= kMaxPieces);
    });
  }

  /** Sends a body byte by byte until the client closes. */
  static void trickle(Socket& aSocket)
  {
    Server::readUntil(aSocket, "\r\n\r\n");
    Server::write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n");
    boost::system::error_code error;
    while (!error) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      boost::asio::write(aSocket, boost::asio::buffer("x", 1), error);
    }
  }

  /** Runs a test body as a coroutine with a client. */
  void run(std::function<void(transport::HttpClient&, const Yield&)> aBody)
  {
    transport::HttpClient client(context_, limits_);
    fakes::runCoroutine(context_,
                        [&](const Yield& aYield) { aBody(client, aYield); });
  }

  /** @return How a call without a response failed. */
  transport::HttpFailure failureAt(const state::Endpoint& aEndpoint,
                                   const transport::HttpTimeouts& aTimeouts)
  {
    transport::HttpFailure failure;
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      const transport::HttpCall call =
        aClient.open(aEndpoint, { "GET", "/", {}, {} }, aTimeouts, aYield);
      CPPUNIT_ASSERT(!call.hasResponse());
      failure = call.failure();
    });
    return failure;
  }

  /** Checks the lines of an answer and how its body ends. */
  void expectBody(const std::string& aAnswer,
                  const std::vector<std::string>& aLines,
                  HttpReadStatus aEnd)
  {
    const Server server([&](Socket& aSocket, int) {
      Server::readUntil(aSocket, "\r\n\r\n");
      Server::write(aSocket, aAnswer);
    });
    run([&](transport::HttpClient& aClient, const Yield& aYield) {
      transport::HttpCall call =
        aClient.open(server.endpoint(), { "GET", "/", {}, {} }, {}, aYield);
      for (const std::string& line : aLines) {
        const transport::HttpPiece piece = call.readLine(aYield);
        CPPUNIT_ASSERT(piece.status_ == HttpReadStatus::kData);
        CPPUNIT_ASSERT_EQUAL(line, std::string(piece.data_));
      }
      CPPUNIT_ASSERT(call.readLine(aYield).status_ == aEnd);
    });
  }

  boost::asio::io_context context_;    ///< Event loop of the client.
  transport::HttpClientLimits limits_; ///< Limits of the client.
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
