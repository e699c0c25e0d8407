// Tests attempts at misbehaving targets over loopback sockets.

#include "transport/gateway/target_stream.h"
#include "transport/loopback.h"
#include "transport/odd_heads.h"

using namespace auburnhaven;
using Socket = boost::asio::ip::tcp::socket;
using Server = fakes::RawServer;
using transport::TargetEvent;
using transport::TargetEventKind;
using Yield = boost::asio::yield_context;

class TargetStreamTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetStreamTest);
  CPPUNIT_TEST(duplicateAnswerIsNotDelivered);
  CPPUNIT_TEST(slowlySentAnswerTimesOut);
  CPPUNIT_TEST(truncatedAnswerIsNotComplete);
  CPPUNIT_TEST(errorOfAnEngineIsNoToken);
  CPPUNIT_TEST(headInTheMiddleOfAStreamIsNoToken);
  CPPUNIT_TEST(oddHeadIsNoAnswer);
  CPPUNIT_TEST(oddHeadOfAnEngineIsNoToken);
  CPPUNIT_TEST_SUITE_END();

public:
  // The target answers a second request on the same connection with a duplicate
  // of its first answer. Each call must use a connection of its own, so that
  // the duplicate is not taken for the answer to the next request.
  void duplicateAnswerIsNotDelivered()
  {
    const Server server([](Socket& aSocket, int aIndex) {
      Server::readRequest(aSocket);
      const std::string body = aIndex == 0 ? "first" : "other";
      Server::write(aSocket, answer(body));
      if (!Server::readRequest(aSocket).empty()) {
        Server::write(aSocket, answer(body));
      }
    });
    CPPUNIT_ASSERT_EQUAL(std::string("first"), bodyOf(call(server)));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), bodyOf(call(server)));
  }

  // The timeout covers the whole answer, so a target that keeps sending single
  // bytes cannot extend the call.
  void slowlySentAnswerTimesOut()
  {
    const Server server([](Socket& aSocket, int) {
      Server::readRequest(aSocket);
      Server::write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n");
      boost::system::error_code error;
      while (!error) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        boost::asio::write(aSocket, boost::asio::buffer("x", 1), error);
      }
    });
    const auto start = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(call(server).kind_ == TargetEventKind::kTimedOut);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start <
                   kTimeout + std::chrono::milliseconds(500));
  }

  void truncatedAnswerIsNotComplete()
  {
    const std::string whole = answer("a whole answer");
    for (std::size_t size = 0; size < whole.size(); size += 5) {
      const Server server([&](Socket& aSocket, int) {
        Server::readRequest(aSocket);
        Server::write(aSocket, whole.substr(0, size));
      });
      CPPUNIT_ASSERT(call(server).kind_ != TargetEventKind::kWhole);
    }
  }

  void errorOfAnEngineIsNoToken()
  {
    const std::string token = "{\"offset\":0,\"text\":\"a\"}\n";
    const std::string done = "{\"done\":true,\"tokens\":0}\n";
    for (const std::string& body :
         { std::string(), std::string("Server Error\n"), token, done }) {
      for (const char* status : { "500 Oops", "404 Not Found", "503 Full" }) {
        const TargetEvent event =
          generate("HTTP/1.1 " + std::string(status) + "\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body)
            .front();
        CPPUNIT_ASSERT(event.kind_ != TargetEventKind::kToken);
        CPPUNIT_ASSERT(event.kind_ != TargetEventKind::kWhole);
      }
    }
    for (const char* text : { "", "Server Error", "{}", "{\"error\":1}" }) {
      const auto events = generate(answer(text));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, events.size());
      CPPUNIT_ASSERT(events.front().kind_ == TargetEventKind::kCutShort);
    }
  }

  void headInTheMiddleOfAStreamIsNoToken()
  {
    const std::string token = "{\"offset\":0,\"text\":\"a\"}\n";
    const std::string error = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
    const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1c\r\n";
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0x1c }, token.size() + 4);
    for (const std::string& part :
         { error, std::string("{\"do\r\n").append(error) }) {
      expectOneToken(answer(token + part));
      expectOneToken(std::string(head).append(token).append(part));
    }
  }

  // A whole answer would be kept under the idempotency key and given again.
  void oddHeadIsNoAnswer()
  {
    for (const std::string& response :
         fakes::oddResponses("Content-Type: a\r\n")) {
      const Server server([&](Socket& aSocket, int) {
        Server::readRequest(aSocket);
        Server::write(aSocket, response);
      });
      const TargetEvent event = call(server);
      CPPUNIT_ASSERT_MESSAGE(response,
                             event.kind_ == TargetEventKind::kCutShort);
      CPPUNIT_ASSERT_MESSAGE(response, !event.answer_);
    }
  }

  // A spoiled refusal does not tell that nothing ran.
  void oddHeadOfAnEngineIsNoToken()
  {
    const std::string line = "{\"done\":true,\"tokens\":0}\n";
    const std::string rest =
      "X-A: a\r\n X-B: b\r\nContent-Length: " + std::to_string(line.size()) +
      "\r\n\r\n" + line;
    std::vector<std::string> responses = fakes::oddResponses("X-A: a\r\n");
    for (const char* status : { "200 OK", "409 Conflict", "503 Full" }) {
      responses.push_back("HTTP/1.1 " + std::string(status) + "\r\n" + rest);
    }
    for (const std::string& response : responses) {
      CPPUNIT_ASSERT_MESSAGE(response,
                             generate(response).front().kind_ ==
                               TargetEventKind::kCutShort);
    }
  }

private:
  /** Checks that an engine's response counts as one token and no more. */
  void expectOneToken(const std::string& aResponse)
  {
    const auto events = generate(aResponse);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), events.front().text_);
    CPPUNIT_ASSERT(events.back().kind_ == TargetEventKind::kCutShort);
  }

  static constexpr std::chrono::milliseconds kTimeout{
    400
  }; ///< Timeout of a call.

  static std::string answer(const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  static std::string bodyOf(const TargetEvent& aEvent)
  {
    return aEvent.answer_ ? aEvent.answer_->body_ : std::string();
  }

  /** Calls a plain service.
   * @return Last event of the attempt. */
  TargetEvent call(const Server& aServer)
  {
    coordination::Choice choice;
    choice.endpoint_ = aServer.endpoint();
    transport::TargetCall call;
    call.info_.service_ = state::ServiceId("orders");
    call.timeout_ = kTimeout;
    TargetEvent event;
    fakes::runCoroutine(context_, [&](const Yield& aYield) {
      event = transport::openLocalStream(client_, choice, call)->next(aYield);
    });
    return event;
  }

  /** Calls an engine that sends a response and closes the connection.
   * @return Events of the attempt. */
  std::vector<TargetEvent> generate(const std::string& aResponse)
  {
    const Server server([&](Socket& aSocket, int) {
      Server::readRequest(aSocket);
      Server::write(aSocket, aResponse);
    });
    coordination::Choice choice;
    choice.endpoint_ = server.endpoint();
    transport::TargetCall call;
    call.timeout_ = kTimeout;
    std::vector<TargetEvent> events;
    fakes::runCoroutine(context_, [&](const Yield& aYield) {
      const auto stream = transport::openLocalStream(client_, choice, call);
      do {
        events.push_back(stream->next(aYield));
      } while (events.back().kind_ == TargetEventKind::kToken);
    });
    return events;
  }

  boost::asio::io_context context_;          ///< Event loop of the client.
  transport::HttpClient client_{ context_ }; ///< HTTP client.
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetStreamTest);
