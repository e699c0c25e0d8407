// Tests of relayed responses that end in the middle of their head.

#include "platform/kv_store.h"
#include "platform/relay_world.h"
#include "platform/scripted_target.h"

#include <array>

using namespace auburnhaven;
using namespace std::chrono_literals;
using coordination::StoreStatus;
using fakes::chunk;
using fakes::Ending;
using fakes::kLivePath;
using fakes::RawServer;
using fakes::RelayWorld;
using fakes::ScriptedTarget;
using fakes::statusOf;
using Socket = boost::asio::ip::tcp::socket;

namespace {

constexpr char kCut[] = "cut";             ///< Identifier of cut requests.
constexpr char kLastChunk[] = "0\r\n\r\n"; ///< End of a chunked body.
constexpr std::array kPaths = { "/safe/",
                                "/unsafe/",
                                "/stream/",
                                kLivePath }; ///< All routes.

/** @return Whole responses to a cut request whose heads differ in order and
 * framing. */
std::vector<std::string>
wholeResponses()
{
  const std::string id = "X-Attempt-Id: cut\r\nX-Origin-Signature: s1\r\n";
  const std::string type = "Content-Type: text/event-stream\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string event = "id: 1\ndata: a\n\n";
  const std::string length =
    "Content-Length: " + std::to_string(event.size()) + "\r\n";
  const std::string body = chunk(event) + kLastChunk;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  return { ok + id + length + "\r\n" + event,
           ok + "Content-Length: 0\r\n" + id + "\r\n",
           ok + id + type + chunked + "\r\n" + body,
           ok + chunked + type + id + "\r\n" + body,
           "HTTP/1.1 103 Hints\r\n" + chunked + "\r\n" + ok + chunked + id +
             "\r\n" + body };
}

} // namespace

class RelayCutHeadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayCutHeadTest);
  CPPUNIT_TEST(cutResponseIsNeverASuccess);
  CPPUNIT_TEST(cutResponseOnKeptConnectionIsNeverASuccess);
  CPPUNIT_TEST(resetResponseIsNeverASuccess);
  CPPUNIT_TEST(resetResponseOnKeptConnectionIsNeverASuccess);
  CPPUNIT_TEST(wholeResponseIsASuccess);
  CPPUNIT_TEST(cutResponseOfTheStoreIsNeverASuccess);
  CPPUNIT_TEST_SUITE_END();

public:
  void cutResponseIsNeverASuccess() { expectNoSuccess(Ending::kClose, false); }

  void cutResponseOnKeptConnectionIsNeverASuccess()
  {
    expectNoSuccess(Ending::kClose, true);
  }

  void resetResponseIsNeverASuccess()
  {
    expectNoSuccess(Ending::kReset, false);
  }

  void resetResponseOnKeptConnectionIsNeverASuccess()
  {
    expectNoSuccess(Ending::kReset, true);
  }

  // Shows that the target and the requests of the other tests can succeed.
  void wholeResponseIsASuccess()
  {
    for (const char* path : kPaths) {
      for (const std::string& whole : wholeResponses()) {
        ScriptedTarget target(kCut, Ending::kClose);
        RelayWorld world;
        world.startWith({ target.endpoint() });
        target.setResponse(whole);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          path + whole, std::string("200"), statusOf(askCut(world, path)));
        CPPUNIT_ASSERT_EQUAL(1, target.requests());
      }
    }
  }

  void cutResponseOfTheStoreIsNeverASuccess()
  {
    const std::string body = R"({"entries":[],"has_more":false,"at":9})";
    const std::string whole =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\nContent-Type: application/json\r\n\r\n" + body;
    for (const Ending ending : { Ending::kClose, Ending::kReset }) {
      for (std::size_t size = 0; size < whole.size(); ++size) {
        CPPUNIT_ASSERT_MESSAGE(whole.substr(0, size),
                               !succeedsAtStore(whole.substr(0, size), ending));
      }
    }
    CPPUNIT_ASSERT(succeedsAtStore(whole, Ending::kClose));
  }

private:
  /** @return The relay's response to a cut request. */
  static std::string askCut(RelayWorld& aWorld, const char* aPath)
  {
    return aWorld.ask(RelayWorld::request("POST", aPath, "x", kCut));
  }

  /** Checks that no start of a response that ends before its first event is a
   * success. */
  static void expectNoSuccess(Ending aEnding, bool aKept)
  {
    for (const char* path : kPaths) {
      for (const std::string& whole : wholeResponses()) {
        ScriptedTarget target(kCut, aEnding);
        RelayWorld world;
        world.startWith({ target.endpoint() });
        // No event is complete, so no stream waits for another target.
        const std::size_t end = std::min(whole.find("data:"), whole.size());
        for (std::size_t size = 0; size < end; ++size) {
          target.setResponse(whole.substr(0, size));
          if (aKept) {
            world.ask(RelayWorld::request("POST", "/safe/", "x"));
          }
          expectError(world, target, path, whole.substr(0, size));
        }
        const bool reuses = std::string_view(path) == "/safe/" ||
                            std::string_view(path) == "/stream/";
        CPPUNIT_ASSERT_EQUAL(aKept && reuses, target.onKeptConnection() > 0);
      }
    }
  }

  static void expectError(RelayWorld& aWorld,
                          const ScriptedTarget& aTarget,
                          const char* aPath,
                          const std::string& aStart)
  {
    const int before = aTarget.requests();
    const std::string response = askCut(aWorld, aPath);
    const std::string text = aPath + aStart + "->" + response;
    CPPUNIT_ASSERT_MESSAGE(text, aTarget.requests() > before);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("502"), statusOf(response));
  }

  /** @return Whether a list of the store succeeds when its response is given.
   */
  static bool succeedsAtStore(const std::string& aResponse, Ending aEnding)
  {
    const RawServer server([&](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      RawServer::write(aSocket, aResponse);
      if (aEnding == Ending::kReset) {
        RawServer::reset(aSocket);
      }
    });
    boost::asio::io_context context;
    transport::HttpClient client(context);
    transport::ServiceCaller caller(context, client);
    fakes::FakeEventLog log;
    platform::KvStore store(caller, log, { server.endpoint(), 5s, 200ms });
    std::optional<StoreStatus> status;
    store.list(
      "",
      coordination::ListConsistency::kLinearizable,
      [&](const coordination::ListReply& aReply) { status = aReply.status_; });
    fakes::runUntil(context, [&] { return status.has_value(); });
    return status == StoreStatus::kOk;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayCutHeadTest);
