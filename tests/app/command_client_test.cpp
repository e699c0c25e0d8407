// Tests of what commands take for an answer of a daemon.

#include "app/command_client.h"
#include "transport/loopback.h"
#include "transport/odd_heads.h"

using namespace auburnhaven;
using fakes::RawServer;

class CommandClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CommandClientTest);
  CPPUNIT_TEST(answerIsRead);
  CPPUNIT_TEST(oddHeadIsNoAnswer);
  CPPUNIT_TEST(cutAnswerIsNoAnswer);
  CPPUNIT_TEST_SUITE_END();

public:
  void answerIsRead()
  {
    std::string request;
    const RawServer server([&](boost::asio::ip::tcp::socket& aSocket, int) {
      request = RawServer::readRequest(aSocket);
      RawServer::write(aSocket,
                       "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}");
    });
    const app::OperatorReply reply =
      app::OperatorClient(server.endpoint(), "k").post("/a?b=c", "[1]");
    CPPUNIT_ASSERT_EQUAL(409U, reply.status_);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), reply.body_);
    for (const char* part : { "POST /a?b=c HTTP/1.1\r\n",
                              "Host: operator\r\n",
                              "Connection: close\r\n",
                              "Authorization: Bearer k\r\n",
                              "Content-Type: application/json\r\n",
                              "Content-Length: 3\r\n",
                              "\r\n\r\n[1]" }) {
      CPPUNIT_ASSERT_MESSAGE(request, request.find(part) != std::string::npos);
    }
  }

  void oddHeadIsNoAnswer()
  {
    for (const std::string& response : fakes::oddResponses("X-A: a\r\n")) {
      expectNoAnswer(response);
    }
  }

  void cutAnswerIsNoAnswer()
  {
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd";
    for (std::size_t size = 0; size < whole.size(); ++size) {
      expectNoAnswer(whole.substr(0, size));
    }
  }

private:
  /** Checks that a response is no answer, and that none of its body is told. */
  static void expectNoAnswer(const std::string& aResponse)
  {
    const RawServer server([&](boost::asio::ip::tcp::socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      RawServer::write(aSocket, aResponse);
    });
    const app::OperatorReply reply =
      app::OperatorClient(server.endpoint(), "k").get("/a");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aResponse, 0U, reply.status_);
    CPPUNIT_ASSERT_MESSAGE(aResponse,
                           reply.body_.find("odd") == std::string::npos);
    CPPUNIT_ASSERT(!reply.body_.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandClientTest);
