// Tests of responses whose heads nobody can interpret.

#include "transport/http_client.h"
#include "transport/loopback.h"
#include "transport/odd_heads.h"
#include "transport/response_reading.h"
#include "transport/service_caller.h"

#include <mutex>

using namespace auburnhaven;
using fakes::Reading;
using transport::HttpFailureKind;
using transport::HttpReadStatus;

namespace {

using Socket = boost::asio::ip::tcp::socket;
using Server = fakes::RawServer;
using Yield = boost::asio::yield_context;

constexpr char kNote[] = "X-Mark: m\r\n"; ///< A sound line of the heads.

/** Answers each request with a given response and closes the connection. */
class ScriptedServer
{
public:
  /** @param aResponse What the next requests get. */
  void setResponse(std::string aResponse)
  {
    const std::lock_guard lock(mutex_);
    response_ = std::move(aResponse);
  }
  /** @param aBytewise Whether each byte is sent by itself. */
  void setBytewise(bool aBytewise)
  {
    const std::lock_guard lock(mutex_);
    bytewise_ = aBytewise;
  }
  /** @return Where it listens. */
  state::Endpoint endpoint() const { return server_.endpoint(); }

private:
  void serve(Socket& aSocket)
  {
    aSocket.set_option(boost::asio::ip::tcp::no_delay(true));
    Server::readUntil(aSocket, "\r\n\r\n");
    const std::lock_guard lock(mutex_);
    const std::size_t step = bytewise_ ? 1 : response_.size();
    for (std::size_t at = 0; at < response_.size(); at += step) {
      Server::write(aSocket, response_.substr(at, step));
    }
  }

  std::mutex mutex_;      ///< Guards the following members.
  std::string response_;  ///< What a request gets.
  bool bytewise_ = false; ///< Whether each byte is sent by itself.
  Server server_{ [this](Socket& aSocket, int) { serve(aSocket); } };
};

} // namespace

class HttpOddHeadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpOddHeadTest);
  CPPUNIT_TEST(undefinedStatusIsNoResponse);
  CPPUNIT_TEST(spoiledNameIsNoResponse);
  CPPUNIT_TEST(unknownCodingIsNoResponse);
  CPPUNIT_TEST(endlessInterimHeadsAreNoResponse);
  CPPUNIT_TEST(definedStatusIsAResponse);
  CPPUNIT_TEST(codingOfChunksIsAResponse);
  CPPUNIT_TEST(unusualNameIsAResponse);
  CPPUNIT_TEST(oddHeadIsNoAnswerOfAService);
  CPPUNIT_TEST(oddHeadOfAServiceIsNotRepeated);
  CPPUNIT_TEST_SUITE_END();

public:
  void undefinedStatusIsNoResponse()
  {
    for (const std::string& response : fakes::undefinedStatuses(kNote)) {
      expectNoResponse(response);
    }
  }

  void spoiledNameIsNoResponse()
  {
    for (const std::string& response : fakes::spoiledNames(kNote)) {
      expectNoResponse(response);
    }
  }

  void unknownCodingIsNoResponse()
  {
    for (const std::string& response : fakes::unknownCodings(kNote)) {
      expectNoResponse(response);
    }
  }

  void endlessInterimHeadsAreNoResponse()
  {
    std::string response;
    for (int count = 0; count < 20; ++count) {
      response += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    expectNoResponse(response);
  }

  // Shows that the server and the readers of the other tests can succeed.
  void definedStatusIsAResponse()
  {
    for (const char* status :
         { "200", "207", "299", "302", "404", "499", "500", "599" }) {
      expectResponse("HTTP/1.1 " + std::string(status) + " Any\r\n" + kNote +
                     fakes::kOddLength + "\r\n" + fakes::kOddBody);
    }
  }

  void codingOfChunksIsAResponse()
  {
    for (const char* line :
         { "Transfer-Encoding: chunked", "transfer-encoding:  Chunked\t" }) {
      expectResponse("HTTP/1.1 200 OK\r\n" + std::string(kNote) + line +
                     "\r\n\r\n" + fakes::kOddChunks);
    }
  }

  void unusualNameIsAResponse()
  {
    for (const char* line :
         { "!#$%&'*+-.^_`|~9: a", "X-Note:a", "X-Note:  a b\t", "x:" }) {
      expectResponse("HTTP/1.1 200 OK\r\n" + std::string(kNote) + line +
                     "\r\n" + fakes::kOddLength + "\r\n" + fakes::kOddBody);
    }
  }

  void oddHeadIsNoAnswerOfAService()
  {
    for (const std::string& response : fakes::oddResponses(kNote)) {
      server_.setResponse(response);
      run([&](transport::HttpClient& aClient, const Yield& aYield) {
        transport::ServiceCaller caller(context_, aClient);
        transport::ServiceCall call{ { "GET", "/odd", {}, {} },
                                     fakes::kLoopbackLimit };
        call.wantedHeader_ = "X-Mark";
        const transport::ServiceAnswer answer =
          caller.call(server_.endpoint(), call, aYield);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 0U, answer.status_);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::string(), answer.header_);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::string(), answer.body_);
        CPPUNIT_ASSERT_MESSAGE(response, answer.mayHaveRun_);
      });
    }
  }

  // What got such an answer may have been done.
  void oddHeadOfAServiceIsNotRepeated()
  {
    ScriptedServer sound;
    sound.setResponse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    for (const std::string& response : fakes::oddResponses(kNote)) {
      server_.setResponse(response);
      for (const bool repeatable : { false, true }) {
        run([&](transport::HttpClient& aClient, const Yield& aYield) {
          transport::ServiceCaller caller(context_, aClient);
          const transport::ServiceCall call{ { "GET", "/odd", {}, {} },
                                             fakes::kLoopbackLimit,
                                             repeatable };
          std::size_t preferred = 0;
          const transport::ServiceAnswer answer = caller.callAny(
            { server_.endpoint(), sound.endpoint() }, preferred, call, aYield);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(
            response, repeatable ? 200U : 0U, answer.status_);
        });
      }
    }
  }

private:
  /** Checks that a response is none, however it is sent and read, and that
   * nothing further is read of its connection. */
  void expectNoResponse(const std::string& aResponse)
  {
    server_.setResponse(aResponse);
    for (const bool bytewise : { false, true }) {
      server_.setBytewise(bytewise);
      for (const Reading reading : { Reading::kWaiting, Reading::kPolling }) {
        run([&](transport::HttpClient& aClient, const Yield& aYield) {
          const transport::HttpCall call =
            respond(aClient, server_.endpoint(), reading, aYield);
          CPPUNIT_ASSERT_MESSAGE(aResponse, !call.hasResponse());
          CPPUNIT_ASSERT_EQUAL_MESSAGE(aResponse, 0U, call.status());
          CPPUNIT_ASSERT_MESSAGE(
            aResponse, call.failure().kind_ == HttpFailureKind::kMalformed);
          CPPUNIT_ASSERT(call.failure().bytesMayHaveArrived_);
          CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, aClient.idleConnections());
        });
      }
    }
    server_.setBytewise(false);
  }

  void expectResponse(const std::string& aResponse)
  {
    server_.setResponse(aResponse);
    for (const Reading reading : { Reading::kWaiting, Reading::kPolling }) {
      run([&](transport::HttpClient& aClient, const Yield& aYield) {
        transport::HttpCall call =
          respond(aClient, server_.endpoint(), reading, aYield);
        CPPUNIT_ASSERT_MESSAGE(aResponse, call.hasResponse());
        CPPUNIT_ASSERT_EQUAL(aResponse.substr(9, 3),
                             std::to_string(call.status()));
        CPPUNIT_ASSERT_MESSAGE(
          aResponse, bodyEnd(call, reading, aYield) == HttpReadStatus::kEnd);
      });
    }
  }

  /** Runs a test body as a coroutine with a client of its own. */
  void run(std::function<void(transport::HttpClient&, const Yield&)> aBody)
  {
    transport::HttpClient client(context_);
    fakes::runCoroutine(context_,
                        [&](const Yield& aYield) { aBody(client, aYield); });
  }

  boost::asio::io_context context_; ///< Event loop of the client.
  ScriptedServer server_;           ///< Sends the responses.
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpOddHeadTest);
