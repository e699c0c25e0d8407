// Tests of chunked bodies that arrive in parts.

#include "transport/http_client.h"
#include "transport/loopback.h"
#include "transport/server_world.h"

using namespace auburnhaven;
using namespace std::chrono_literals;
using transport::HttpReadStatus;
using Socket = boost::asio::ip::tcp::socket;
using Server = fakes::RawServer;
using Yield = boost::asio::yield_context;

namespace {

constexpr auto kPause =
  20ms; ///< Between two parts, so that they arrive one by one.
constexpr char kHead[] =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; ///< Comes first.

/** @return All ways to send a text in two parts, and the way byte by byte. */
std::vector<std::vector<std::string>>
partsOf(const std::string& aText)
{
  std::vector<std::vector<std::string>> ways(1);
  for (std::size_t at = 0; at < aText.size(); ++at) {
    ways.front().push_back(aText.substr(at, 1));
    ways.push_back({ aText.substr(0, at), aText.substr(at) });
  }
  return ways;
}

/** @return A target's script: sends a head, then the parts of a body. */
Server::Script
sendParts(const std::vector<std::string>& aParts)
{
  return [=](Socket& aSocket, int) {
    Server::readRequest(aSocket);
    Server::write(aSocket, kHead);
    for (const std::string& part : aParts) {
      std::this_thread::sleep_for(kPause);
      Server::write(aSocket, part);
    }
    Server::readUntil(aSocket, "never sent");
  };
}

} // namespace

class HttpLastChunkTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpLastChunkTest);
  CPPUNIT_TEST(lastChunkInPartsEndsABodyThatIsAwaited);
  CPPUNIT_TEST(lastChunkInPartsEndsABodyThatIsPolled);
  CPPUNIT_TEST(partOfTheLastChunkIsNoEnd);
  CPPUNIT_TEST(lastChunkInPartsEndsARequest);
  CPPUNIT_TEST_SUITE_END();

public:
  void lastChunkInPartsEndsABodyThatIsAwaited()
  {
    expectBodies([](transport::HttpCall& aCall, const Yield& aYield) {
      const transport::HttpBody body = aCall.readAll(100, aYield);
      return body.status_ == HttpReadStatus::kEnd ? body.data_ : "no end";
    });
  }

  // Polls far more often than bytes arrive.
  void lastChunkInPartsEndsABodyThatIsPolled()
  {
    expectBodies([](transport::HttpCall& aCall, const Yield& aYield) {
      return pollAll(aCall, aYield);
    });
  }

  void partOfTheLastChunkIsNoEnd()
  {
    const std::string last = "0\r\n\r\n";
    for (std::size_t size = 0; size < last.size(); ++size) {
      const Server server([&](Socket& aSocket, int) {
        Server::readRequest(aSocket);
        Server::write(aSocket, kHead);
        std::this_thread::sleep_for(kPause);
        Server::write(aSocket, last.substr(0, size));
        std::this_thread::sleep_for(kPause);
      });
      for (const bool polled : { false, true }) {
        std::string got;
        run(server, [&](transport::HttpCall& aCall, const Yield& aYield) {
          got =
            polled
              ? pollAll(aCall, aYield)
              : (aCall.readAll(100, aYield).status_ == HttpReadStatus::kCutShort
                   ? "cut short"
                   : "other");
        });
        CPPUNIT_ASSERT_EQUAL(std::string("cut short"), got);
      }
    }
  }

  void lastChunkInPartsEndsARequest()
  {
    fakes::ServerWorld world;
    for (const auto& parts : partsOf("0\r\n\r\n")) {
      Socket socket = world.connect();
      Server::write(socket,
                    "POST /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
      for (const std::string& part : parts) {
        std::this_thread::sleep_for(kPause);
        Server::write(socket, part);
      }
      const std::string answer = Server::readUntil(socket, "never sent");
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 OK"));
    }
  }

private:
  using Use = std::function<void(transport::HttpCall&, const Yield&)>;

  /** Polls a body to its end. @return It, or how it ended. */
  static std::string pollAll(transport::HttpCall& aCall, const Yield& aYield)
  {
    std::string data;
    for (;;) {
      const transport::HttpPiece piece = aCall.poll();
      if (piece.status_ == HttpReadStatus::kPending) {
        boost::asio::steady_timer pause(aYield.get_executor(), 1ms);
        pause.async_wait(aYield);
      } else if (piece.status_ == HttpReadStatus::kData) {
        data += piece.data_;
      } else {
        return piece.status_ == HttpReadStatus::kEnd ? data : "cut short";
      }
    }
  }

  /** Sends a request and uses its call. */
  void run(const Server& aServer, const Use& aUse)
  {
    fakes::runCoroutine(context_, [&](const Yield& aYield) {
      transport::HttpClient client(context_);
      auto call = client.open(aServer.endpoint(),
                              { "GET", "/", {}, "", true },
                              { 1s, 2s, 2s },
                              aYield);
      CPPUNIT_ASSERT(call.hasResponse());
      aUse(call, aYield);
    });
  }

  /** Checks what is read of bodies that come in all parts. */
  void expectBodies(
    const std::function<std::string(transport::HttpCall&, const Yield&)>& aRead)
  {
    for (const auto& [sent, body] :
         { std::pair(std::string("0\r\n\r\n"), std::string()),
           std::pair(std::string("0\r\nX: y\r\n\r\n"), std::string()),
           std::pair(std::string("1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"),
                     std::string("abc")) }) {
      for (const auto& parts : partsOf(sent)) {
        const Server server(sendParts(parts));
        std::string got;
        run(server, [&](transport::HttpCall& aCall, const Yield& aYield) {
          got = aRead(aCall, aYield);
        });
        CPPUNIT_ASSERT_EQUAL(body, got);
      }
    }
  }

  boost::asio::io_context context_; ///< Event loop of the client.
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpLastChunkTest);
