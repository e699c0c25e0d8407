// Tests of attempts at targets that misbehave, over loopback sockets.

#include "transport/gateway/target_stream.h"
#include "transport/loopback.h"

using namespace auburnhaven;
using Socket = boost::asio::ip::tcp::socket;
using Server = fakes::RawServer;
using transport::TargetEvent;
using transport::TargetEventKind;
using Yield = boost::asio::yield_context;

class TargetStreamTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetStreamTest);
  CPPUNIT_TEST(lateCopyOfAnAnswerReachesNobody);
  CPPUNIT_TEST(trickledAnswerEnds);
  CPPUNIT_TEST(answerBrokenOffIsNotWhole);
  CPPUNIT_TEST_SUITE_END();

public:
  void lateCopyOfAnAnswerReachesNobody()
  {
    const Server server([](Socket& aSocket, int aIndex) {
      Server::readRequest(aSocket);
      const std::string mine = aIndex == 0 ? "first" : "other";
      Server::write(aSocket, answer(mine));
      if (!Server::readRequest(aSocket).empty()) {
        Server::write(aSocket, answer(mine));
      }
    });
    CPPUNIT_ASSERT_EQUAL(std::string("first"), bodyOf(call(server)));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), bodyOf(call(server)));
  }

  void trickledAnswerEnds()
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
    const auto from = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(call(server).kind_ == TargetEventKind::kTimedOut);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - from <
                   kTimeout + std::chrono::milliseconds(500));
  }

  void answerBrokenOffIsNotWhole()
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

private:
  static constexpr std::chrono::milliseconds kTimeout{
    400
  }; ///< Longest wait for an answer.

  static std::string answer(const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  static std::string bodyOf(const TargetEvent& aEvent)
  {
    return aEvent.answer_ ? aEvent.answer_->body_ : std::string();
  }

  /** Calls a plain service. @return How the call ended. */
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

  boost::asio::io_context context_;          ///< Event loop of the client.
  transport::HttpClient client_{ context_ }; ///< The client.
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetStreamTest);
