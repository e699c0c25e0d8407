// Tests of callers that close one or both sides while they are answered.

#include "transport/loopback.h"
#include "transport/server_world.h"

#include <chrono>
#include <string>
#include <thread>

using namespace auburnhaven;
using boost::asio::ip::tcp;
using fakes::contains;
using fakes::ServerWorld;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kNoticeLimit(
  500); ///< Longest time until a caller that left is noticed.

/** @return A request without a body. */
std::string
get(const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

/** Sends bytes. */
void
send(tcp::socket& aSocket, const std::string& aBytes)
{
  boost::asio::write(aSocket, boost::asio::buffer(aBytes));
}

/** @return What comes until a text has come. */
std::string
readUntil(tcp::socket& aSocket, const std::string& aText)
{
  std::string got;
  boost::system::error_code error;
  boost::asio::read_until(
    aSocket, boost::asio::dynamic_buffer(got), aText, error);
  return got;
}

/** Reads what has come, since a close with unread bytes is a reset. */
void
readReceived(tcp::socket& aSocket)
{
  std::string bytes(aSocket.available(), '\0');
  boost::asio::read(aSocket, boost::asio::buffer(bytes));
}

/** @return What comes until the server closes. */
std::string
readAll(tcp::socket& aSocket)
{
  std::string got;
  boost::system::error_code error;
  boost::asio::read(aSocket, boost::asio::dynamic_buffer(got), error);
  return got;
}

/** @return Body of a response in chunks; fails unless it is whole. */
std::string
bodyOfChunks(const std::string& aResponse)
{
  std::size_t at = aResponse.find("\r\n\r\n");
  CPPUNIT_ASSERT_MESSAGE(aResponse, at != std::string::npos);
  at += 4;
  std::string body;
  for (;;) {
    const std::size_t end = aResponse.find("\r\n", at);
    CPPUNIT_ASSERT_MESSAGE(aResponse, end != std::string::npos);
    const std::size_t size =
      std::stoul(aResponse.substr(at, end - at), nullptr, 16);
    body += aResponse.substr(end + 2, size);
    at = end + 2 + size;
    CPPUNIT_ASSERT_EQUAL(std::string("\r\n"), aResponse.substr(at, 2));
    at += 2;
    if (size == 0) {
      CPPUNIT_ASSERT_EQUAL(aResponse.size(), at);
      return body;
    }
  }
}

/** Fails unless the server notices soon that its caller has left. */
void
assertNoticed(ServerWorld& aWorld)
{
  CPPUNIT_ASSERT(aWorld.handler_.gone_.get_future().wait_for(kNoticeLimit) ==
                 std::future_status::ready);
}

/** Lets the server read and begin what was sent. */
void
letBegin()
{
  std::this_thread::sleep_for(milliseconds(50));
}

} // namespace

class CallerEndTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerEndTest);
  CPPUNIT_TEST(halfClosedCallerGetsItsWholeAnswer);
  CPPUNIT_TEST(halfClosedCallerGetsItsWholeStream);
  CPPUNIT_TEST(callerThatHalfClosesMidwayGetsItsWholeStream);
  CPPUNIT_TEST(halfClosedCallerGetsPipelinedAnswers);
  CPPUNIT_TEST(cutStreamOfHalfClosedCallerNeverLooksWhole);
  CPPUNIT_TEST(closeIsNoticedBeforeTheHead);
  CPPUNIT_TEST(closeIsNoticedInSilentStream);
  CPPUNIT_TEST(closeIsNoticedBetweenEvents);
  CPPUNIT_TEST(closeAfterHalfCloseIsNoticed);
  CPPUNIT_TEST(resetIsNoticed);
  CPPUNIT_TEST(pipelinedRequestHidesNoClose);
  CPPUNIT_TEST_SUITE_END();

public:
  void halfClosedCallerGetsItsWholeAnswer()
  {
    ServerWorld world;
    tcp::socket socket = world.connect();
    send(socket, get("/late"));
    socket.shutdown(tcp::socket::shutdown_send);
    const std::string answer = readAll(socket);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      answer, std::size_t{ 0 }, answer.find("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "\r\n\r\n/late?"));
    CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "Connection: close"));
  }

  void halfClosedCallerGetsItsWholeStream()
  {
    ServerWorld world;
    tcp::socket socket = world.connect();
    send(socket, get("/slow-stream"));
    socket.shutdown(tcp::socket::shutdown_send);
    CPPUNIT_ASSERT_EQUAL(std::string("one two"), bodyOfChunks(readAll(socket)));
  }

  void callerThatHalfClosesMidwayGetsItsWholeStream()
  {
    for (const char* mark : { "\r\n\r\n", "one", "two" }) {
      ServerWorld world;
      tcp::socket socket = world.connect();
      send(socket, get("/slow-stream"));
      const std::string first = readUntil(socket, mark);
      socket.shutdown(tcp::socket::shutdown_send);
      CPPUNIT_ASSERT_EQUAL(std::string("one two"),
                           bodyOfChunks(first + readAll(socket)));
    }
  }

  void halfClosedCallerGetsPipelinedAnswers()
  {
    ServerWorld world;
    tcp::socket socket = world.connect();
    send(socket, get("/late") + get("/b") + get("/late"));
    socket.shutdown(tcp::socket::shutdown_send);
    const std::string answer = readAll(socket);
    const std::size_t second = answer.find("/b?");
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find("/late?") < second);
    CPPUNIT_ASSERT_MESSAGE(answer,
                           answer.find("/late?", second) != std::string::npos);
  }

  // Some clients take "0" and the end of the connection for the last chunk.
  void cutStreamOfHalfClosedCallerNeverLooksWhole()
  {
    ServerWorld world;
    tcp::socket socket = world.connect();
    send(socket, get("/slow-cut"));
    socket.shutdown(tcp::socket::shutdown_send);
    const std::string answer = readAll(socket);
    const std::size_t last = answer.find("two\r\n");
    CPPUNIT_ASSERT_MESSAGE(answer, last != std::string::npos);
    const std::string rest = answer.substr(last + 5);
    CPPUNIT_ASSERT_MESSAGE(
      answer,
      rest.find_first_not_of("0\r\n") != std::string::npos || rest.empty());
  }

  void closeIsNoticedBeforeTheHead()
  {
    ServerWorld world;
    {
      tcp::socket socket = world.connect();
      send(socket, get("/stall"));
      letBegin();
    }
    assertNoticed(world);
  }

  void closeIsNoticedInSilentStream()
  {
    ServerWorld world;
    {
      tcp::socket socket = world.connect();
      send(socket, get("/silent"));
      readUntil(socket, "one \r\n");
    }
    assertNoticed(world);
  }

  void closeIsNoticedBetweenEvents()
  {
    ServerWorld world;
    {
      tcp::socket socket = world.connect();
      send(socket, get("/slow-stream"));
      readUntil(socket, "two\r\n");
    }
    assertNoticed(world);
  }

  void closeAfterHalfCloseIsNoticed()
  {
    for (const char* path : { "/stall", "/silent" }) {
      ServerWorld world;
      const std::future<void> gone = world.handler_.gone_.get_future();
      {
        tcp::socket socket = world.connect();
        send(socket, get(path));
        socket.shutdown(tcp::socket::shutdown_send);
        CPPUNIT_ASSERT(gone.wait_for(milliseconds(250)) ==
                       std::future_status::timeout);
        readReceived(socket);
      }
      CPPUNIT_ASSERT(gone.wait_for(kNoticeLimit) == std::future_status::ready);
    }
  }

  void resetIsNoticed()
  {
    for (const char* path : { "/stall", "/silent" }) {
      ServerWorld world;
      {
        tcp::socket socket = world.connect();
        send(socket, get(path));
        letBegin();
        fakes::RawServer::reset(socket);
      }
      assertNoticed(world);
    }
  }

  void pipelinedRequestHidesNoClose()
  {
    for (const char* path : { "/stall", "/silent" }) {
      ServerWorld world;
      {
        tcp::socket socket = world.connect();
        send(socket, get(path) + get("/b"));
        letBegin();
        send(socket, get("/c"));
        letBegin();
        readReceived(socket);
      }
      assertNoticed(world);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerEndTest);
