// Tests of relayed responses that have no length and end with their connection.

#include "platform/relay_world.h"

#include <atomic>

using namespace auburnhaven;
using fakes::contains;
using fakes::kLivePath;
using fakes::RawServer;
using fakes::RelayWorld;
using fakes::statusOf;
using Socket = boost::asio::ip::tcp::socket;

namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                          "X-Origin-Signature: s1\r\n"
                          "Content-Type: text/event-stream\r\n\r\n";
const std::string kEvent = "id: 1\ndata: a\n\n"; ///< A whole event.

/** How a target ends a connection. */
enum class Ending : std::uint8_t
{
  kClose, ///< Closes it.
  kReset, ///< Resets it.
  kEnd,   ///< Ends its process, which closes it too.
};

/** A target whose responses have no length. */
class UnframedTarget
{
public:
  /** @param aBody Body of each response. @param aEnding How it ends. */
  UnframedTarget(std::string aBody, Ending aEnding)
    : body_(std::move(aBody))
    , ending_(aEnding)
    , server_([this](Socket& aSocket, int) { serve(aSocket); })
  {
  }
  /** @return Endpoint of the target. */
  state::Endpoint endpoint() const { return endpoint_; }
  /** @return Requests received. */
  int requests() const { return requests_; }

private:
  void serve(Socket& aSocket)
  {
    if (RawServer::readRequest(aSocket).empty()) {
      return; // The relay checks whether the target listens.
    }
    ++requests_;
    RawServer::write(aSocket, kHead + body_);
    if (ending_ == Ending::kEnd) {
      server_.stopListening();
    } else if (ending_ == Ending::kReset) {
      // The start of the response must arrive before the reset.
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
      RawServer::reset(aSocket);
    }
  }

  const std::string body_;                        ///< Body of each response.
  const Ending ending_;                           ///< How it ends.
  std::atomic<int> requests_{ 0 };                ///< Requests received.
  RawServer server_;                              ///< Listener.
  state::Endpoint endpoint_ = server_.endpoint(); ///< Its endpoint.
};

/** Sends a request to a relay with one target. @return The relay's response. */
std::string
askOnce(UnframedTarget& aTarget, const std::string& aPath)
{
  RelayWorld world;
  world.startWith({ aTarget.endpoint() });
  std::string response = world.ask(RelayWorld::request("POST", aPath, "x"));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aPath, 1, aTarget.requests());
  return response;
}

} // namespace

class RelayUnframedTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayUnframedTest);
  CPPUNIT_TEST(cleanlyClosedAnswerIsWhole);
  CPPUNIT_TEST(cleanlyClosedStreamIsWhole);
  CPPUNIT_TEST(streamThatEndsInsideAnEventIsBrokenOff);
  CPPUNIT_TEST(resetAnswerIsNotWhole);
  CPPUNIT_TEST(answerOfAnEndedTargetIsNotWhole);
  CPPUNIT_TEST_SUITE_END();

public:
  void cleanlyClosedAnswerIsWhole()
  {
    for (const char* path : { "/safe/", "/unsafe/" }) {
      UnframedTarget target("a whole answer", Ending::kClose);
      const std::string response = askOnce(target, path);
      CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(response));
      CPPUNIT_ASSERT(response.ends_with("\r\n\r\na whole answer"));
    }
  }

  void cleanlyClosedStreamIsWhole()
  {
    for (const char* path : { "/stream/", kLivePath }) {
      UnframedTarget target(kEvent, Ending::kClose);
      const std::string response = askOnce(target, path);
      CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(response));
      CPPUNIT_ASSERT(contains(response, kEvent));
      CPPUNIT_ASSERT(response.ends_with("0\r\n\r\n"));
    }
  }

  void streamThatEndsInsideAnEventIsBrokenOff()
  {
    UnframedTarget target(kEvent + "id: 2\ndata: b", Ending::kClose);
    CPPUNIT_ASSERT(!askOnce(target, kLivePath).ends_with("0\r\n\r\n"));
  }

  void resetAnswerIsNotWhole()
  {
    UnframedTarget plain("a whole ans", Ending::kReset);
    CPPUNIT_ASSERT_EQUAL(std::string("502"),
                         statusOf(askOnce(plain, "/unsafe/")));
    UnframedTarget stream(kEvent, Ending::kReset);
    CPPUNIT_ASSERT(!askOnce(stream, kLivePath).ends_with("0\r\n\r\n"));
  }

  void answerOfAnEndedTargetIsNotWhole()
  {
    UnframedTarget plain("a whole ans", Ending::kEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("502"),
                         statusOf(askOnce(plain, "/unsafe/")));
    UnframedTarget stream(kEvent, Ending::kEnd);
    CPPUNIT_ASSERT(!askOnce(stream, kLivePath).ends_with("0\r\n\r\n"));
    UnframedTarget empty("", Ending::kEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("502"),
                         statusOf(askOnce(empty, kLivePath)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayUnframedTest);
