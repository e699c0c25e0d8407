// Tests of targets, engines and stores whose responses have heads that nobody
// can interpret.

#include "platform/engine_client.h"
#include "platform/kv_store.h"
#include "platform/ordered_targets.h"
#include "platform/relay_world.h"
#include "platform/scripted_target.h"
#include "transport/odd_heads.h"

#include <array>

using namespace auburnhaven;
using namespace std::chrono_literals;
using coordination::ReplicaOrderStatus;
using coordination::StoreStatus;
using fakes::contains;
using fakes::Ending;
using fakes::kLivePath;
using fakes::RawServer;
using fakes::RelayWorld;
using fakes::ScriptedTarget;
using Socket = boost::asio::ip::tcp::socket;

namespace {

constexpr char kOdd[] = "bad-1"; ///< Identifier of requests with odd answers.
constexpr int kMaxAsks = 50;     ///< Until one of two targets was chosen.
constexpr char kEraNews[] =
  "store: era of the store is known";           ///< Log event of a first era.
constexpr char kSound[] = "id: 1\ndata: a\n\n"; ///< Body of the sound target.
constexpr char kSoundHead[] =
  "X-Attempt-Id: bad-1\r\nX-Origin-Signature: s2\r\n"; ///< Its lines.
constexpr char kHead[] =
  "X-Attempt-Id: bad-1\r\nX-Origin-Signature: s1\r\n"; ///< Lines of a target.
constexpr std::array kPaths = { "/safe/",
                                "/unsafe/",
                                "/stream/",
                                kLivePath }; ///< All routes.

/** @return Whether requests of a route may be repeated. */
bool
mayRepeat(std::string_view aPath)
{
  return aPath == "/safe/" || aPath == "/stream/";
}

/** @return Responses with a body in whose heads the status, the start of a line
 * or a name is odd. */
std::vector<std::string>
oddAnswers(const std::string& aBody)
{
  const std::string rest =
    "Store-Era: 9\r\nContent-Length: " + std::to_string(aBody.size()) +
    "\r\n\r\n" + aBody;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  return { "HTTP/1.1 000 Odd\r\n" + rest,
           "HTTP/1.1 999 Odd\r\n" + rest,
           ok + "X-Mark: m\r\n X-Note: a\r\n" + rest,
           ok + "X-Mark:\r\n\t\r\n" + rest,
           ok + "X Note: a\r\n" + rest,
           ok + "X-Note\x01: a\r\n" + rest };
}

/** @return Whether the responses of a route are streams. */
bool
isStream(std::string_view aPath)
{
  return aPath == "/stream/" || aPath == kLivePath;
}

/** @return A sound response to an odd request. */
std::string
soundResponse()
{
  return std::string("HTTP/1.1 200 OK\r\n") + kSoundHead +
         "Content-Length: " + std::to_string(std::string(kSound).size()) +
         "\r\n\r\n" + kSound;
}

/** @return Every byte that a caller gets when there is no answer for it. */
std::string
expectedError()
{
  const std::string body = R"({"error":"no whole answer"})";
  return "HTTP/1.1 502 Bad Gateway\r\nServer: auburnhaven\r\n"
         "Content-Type: application/json\r\n"
         "Connection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** @return Every byte that a caller gets of the sound target. */
std::string
expectedAnswer(std::string_view aPath)
{
  const std::string head =
    std::string("HTTP/1.1 200 OK\r\nServer: auburnhaven\r\n") + kSoundHead +
    "Connection: close\r\n";
  const std::string body(kSound);
  return isStream(aPath)
           ? head + "Transfer-Encoding: chunked\r\n\r\n" + fakes::chunk(body) +
               "0\r\n\r\n"
           : head + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
}

} // namespace

class RelayOddHeadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayOddHeadTest);
  CPPUNIT_TEST(undefinedStatusReachesNoCaller);
  CPPUNIT_TEST(spoiledNameReachesNoCaller);
  CPPUNIT_TEST(unknownCodingReachesNoCaller);
  CPPUNIT_TEST(oddHeadInSingleBytesReachesNoCaller);
  CPPUNIT_TEST(oddHeadOnKeptConnectionReachesNoCaller);
  CPPUNIT_TEST(soundTargetAnswersWhatMayBeRepeated);
  CPPUNIT_TEST(oddHeadDoesNotContinueAStream);
  CPPUNIT_TEST(oddHeadIsNoPromise);
  CPPUNIT_TEST(oddHeadOfTheStoreIsNoReply);
  CPPUNIT_TEST(oddHeadOfTheStoreKeepsTheEra);
  CPPUNIT_TEST(oddHeadOfAnOrderTellsNothing);
  CPPUNIT_TEST(oddHeadOfAReportTellsNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void undefinedStatusReachesNoCaller()
  {
    expectErrors(fakes::undefinedStatuses(kHead), false, false);
  }

  void spoiledNameReachesNoCaller()
  {
    expectErrors(fakes::spoiledNames(kHead), false, false);
  }

  void unknownCodingReachesNoCaller()
  {
    expectErrors(fakes::unknownCodings(kHead), false, false);
  }

  void oddHeadInSingleBytesReachesNoCaller()
  {
    expectErrors(someOf(fakes::oddResponses(kHead)), true, false);
  }

  void oddHeadOnKeptConnectionReachesNoCaller()
  {
    expectErrors(someOf(fakes::oddResponses(kHead)), false, true);
  }

  void soundTargetAnswersWhatMayBeRepeated()
  {
    for (const char* path : kPaths) {
      for (const std::string& response : someOf(fakes::oddResponses(kHead))) {
        ScriptedTarget odd(kOdd, Ending::kClose);
        ScriptedTarget sound(kOdd, Ending::kClose);
        odd.setResponse(response);
        sound.setResponse(soundResponse());
        RelayWorld world;
        world.startWith({ odd.endpoint(), sound.endpoint() });
        // The sound target may be chosen first.
        for (int ask = 0; ask < kMaxAsks && odd.requests() == 0; ++ask) {
          const int before = sound.requests();
          const std::string got = askOdd(world, path);
          const bool isFailure = odd.requests() > 0 && !mayRepeat(path);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(path + response,
                                       isFailure ? expectedError()
                                                 : expectedAnswer(path),
                                       got);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(
            path + response, isFailure ? 0 : 1, sound.requests() - before);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(path + response, 1, odd.requests());
      }
    }
  }

  // The caller has the start of a stream; another target shall go on with it.
  void oddHeadDoesNotContinueAStream()
  {
    const std::string head(fakes::kStreamHead);
    const std::size_t type = head.find("Content-Type");
    const std::string first = head + fakes::chunk("id: 1\ndata: a\n\n");
    for (const std::string& odd :
         { "HTTP/1.1 000 Odd" + head.substr(head.find("\r\n")),
           std::string(head).insert(type, " X-Note: a\r\n"),
           std::string(head).insert(type, "\tContent-Length: 3\r\n") }) {
      const std::string second =
        odd + fakes::chunk("id: 2\ndata: odd\n\n") + "0\r\n\r\n";
      fakes::OrderedTargets targets(
        { fakes::respondWith(first), fakes::respondWith(second) });
      RelayWorld world;
      world.startWith(targets.endpoints(), 700ms);
      const std::string got =
        world.ask(RelayWorld::request("POST", "/stream/", "x"));
      CPPUNIT_ASSERT_MESSAGE(second + got, contains(got, "data: a"));
      CPPUNIT_ASSERT_MESSAGE(second + got, !contains(got, "odd"));
      CPPUNIT_ASSERT_MESSAGE(second + got, !contains(got, "\r\n0\r\n\r\n"));
      CPPUNIT_ASSERT(targets.connections() >= 2);
    }
  }

  // A spoiled rejection may belong to a request that has run.
  void oddHeadIsNoPromise()
  {
    const std::string rejection =
      std::string(kHead) + "X-Not-Executed: 1\r\nRetry-After: 3\r\n";
    for (const std::string& response :
         { "HTTP/1.1 503 Full\r\n" + rejection + " X-Note: a\r\n" +
             fakes::kOddLength + "\r\n" + fakes::kOddBody,
           "HTTP/1.1 421 Other\r\n" + rejection + "X Note: a\r\n" +
             fakes::kOddLength + "\r\n" + fakes::kOddBody,
           "HTTP/1.1 000 Full\r\n" + rejection + fakes::kOddLength + "\r\n" +
             fakes::kOddBody }) {
      expectErrors({ response }, false, false);
    }
  }

  void oddHeadOfTheStoreIsNoReply()
  {
    for (const std::string& response :
         oddAnswers(R"({"entries":[],"has_more":false,"at":9})")) {
      StoreOf store(response);
      CPPUNIT_ASSERT_MESSAGE(response, store.list() != StoreStatus::kOk);
    }
    // The change may have been made.
    for (const std::string& response : oddAnswers(R"({"mod_revision":9})")) {
      StoreOf store(response);
      CPPUNIT_ASSERT_MESSAGE(response, store.create() == StoreStatus::kUnknown);
    }
  }

  void oddHeadOfTheStoreKeepsTheEra()
  {
    for (const std::string& response : oddAnswers(R"({"mod_revision":9})")) {
      StoreOf store(response);
      store.create();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        response, std::size_t{ 0 }, store.log_.count(kEraNews));
    }
    StoreOf sound("HTTP/1.1 200 OK\r\nStore-Era: 9\r\n"
                  "Content-Length: 18\r\n\r\n{\"mod_revision\":9}");
    sound.create();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, sound.log_.count(kEraNews));
  }

  void oddHeadOfAnOrderTellsNothing()
  {
    for (const std::string& response : oddAnswers("{}")) {
      std::optional<ReplicaOrderStatus> status;
      withEngine(response, [&](auto& aEngines, const auto& aWorker) {
        aEngines.sendOrder(aWorker, {}, 5s, [&](ReplicaOrderStatus aStatus) {
          status = aStatus;
        });
        return [&] { return status.has_value(); };
      });
      CPPUNIT_ASSERT_MESSAGE(response, status == ReplicaOrderStatus::kUnknown);
    }
  }

  void oddHeadOfAReportTellsNothing()
  {
    const std::string body =
      R"({"phase":"colocated","model_list":[],"sequence":1,"queued":0,"active":0})";
    for (const std::string& response : oddAnswers(body)) {
      CPPUNIT_ASSERT_MESSAGE(response, !reportOf(response));
    }
    CPPUNIT_ASSERT(reportOf("HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body));
  }

private:
  /** A store whose responses are given. */
  struct StoreOf
  {
    explicit StoreOf(const std::string& aResponse)
      : server_(fakes::respondWith(aResponse))
    {
    }
    /** @return How a list ended. */
    StoreStatus list()
    {
      std::optional<StoreStatus> status;
      store_.list("",
                  coordination::ListConsistency::kLinearizable,
                  [&](const coordination::ListReply& aReply) {
                    status = aReply.status_;
                  });
      fakes::runUntil(context_, [&] { return status.has_value(); });
      return *status;
    }
    /** @return How the creation of a key ended. */
    StoreStatus create()
    {
      std::optional<StoreStatus> status;
      store_.compareAndSwap("k",
                            state::Revision(),
                            "v",
                            coordination::StorePriority{},
                            [&](const coordination::StoreReply& aReply) {
                              status = aReply.status_;
                            });
      fakes::runUntil(context_, [&] { return status.has_value(); });
      return *status;
    }

    RawServer server_;                ///< The store.
    boost::asio::io_context context_; ///< Event loop of its client.
    transport::HttpClient client_{ context_ };
    transport::ServiceCaller caller_{ context_, client_ };
    fakes::FakeEventLog log_; ///< Log of its client.
    platform::KvStore store_{ caller_,
                              log_,
                              { server_.endpoint(), 5s, 200ms } };
  };

  /** Makes a call to a worker that answers it with a response.
   * @param aStart Starts the call. @return Tells whether it has ended. */
  template<class Start>
  static void withEngine(const std::string& aResponse, const Start& aStart)
  {
    const RawServer server(fakes::respondWith(aResponse));
    boost::asio::io_context context;
    transport::HttpClient client(context);
    transport::ServiceCaller caller(context, client);
    const transport::SystemClock clock;
    platform::PlatformEngineClient engines(caller, clock);
    state::Instance worker;
    worker.id_ = state::VmId("w-1");
    worker.endpoint_ = server.endpoint();
    fakes::runUntil(context, aStart(engines, worker));
  }

  /** @return The report that a worker's response holds. */
  static std::optional<state::EngineReport> reportOf(
    const std::string& aResponse)
  {
    bool ended = false;
    std::optional<state::EngineReport> report;
    withEngine(aResponse, [&](auto& aEngines, const auto& aWorker) {
      aEngines.fetchReport(aWorker, 5s, [&](const auto& aReport) {
        report = aReport;
        ended = true;
      });
      return [&] { return ended; };
    });
    return report;
  }

  /** @return A few responses of a long list. */
  static std::vector<std::string> someOf(std::vector<std::string> aResponses)
  {
    constexpr std::size_t kStep = 7;
    std::vector<std::string> some;
    for (std::size_t at = 0; at < aResponses.size(); at += kStep) {
      some.push_back(std::move(aResponses[at]));
    }
    return some;
  }

  /** @return The relay's response to an odd request. */
  static std::string askOdd(RelayWorld& aWorld, const char* aPath)
  {
    return aWorld.ask(RelayWorld::request("POST", aPath, "x", kOdd));
  }

  /** Checks every byte that callers get when the only target sends odd
   * responses, and that it gets each request once. */
  static void expectErrors(const std::vector<std::string>& aResponses,
                           bool aBytewise,
                           bool aKept)
  {
    for (const char* path : kPaths) {
      ScriptedTarget target(kOdd, Ending::kClose);
      target.setBytewise(aBytewise);
      RelayWorld world;
      world.startWith({ target.endpoint() });
      for (const std::string& response : aResponses) {
        target.setResponse(response);
        if (aKept) {
          world.ask(RelayWorld::request("POST", "/safe/", "x"));
        }
        const int before = target.requests();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          path + response, expectedError(), askOdd(world, path));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          path + response, before + 1, target.requests());
      }
      CPPUNIT_ASSERT_EQUAL(aKept && mayRepeat(path),
                           target.onKeptConnection() > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayOddHeadTest);
