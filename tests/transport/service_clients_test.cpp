// Tests of the adapters to store, engines and VM list over loopback sockets.

#include "fakes/fake_clock.h"
#include "transport/engine_client.h"
#include "transport/loopback.h"
#include "transport/store_client.h"
#include "transport/vm_list_client.h"

#include <optional>

using namespace auburnhaven;
using coordination::OrderStatus;
using coordination::StoreReply;
using coordination::StoreStatus;

namespace {

using Socket = boost::asio::ip::tcp::socket;
using Server = fakes::RawServer;

/** @return An HTTP answer. */
std::string
answer(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/** @return A script that gives one answer to each connection. */
Server::Script
answering(const std::string& aAnswer)
{
  return [aAnswer](Socket& aSocket, int) {
    Server::readRequest(aSocket);
    Server::write(aSocket, aAnswer);
  };
}

} // namespace

class ServiceClientsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServiceClientsTest);
  CPPUNIT_TEST(storeAnswersAreTold);
  CPPUNIT_TEST(lostWriteIsUnknown);
  CPPUNIT_TEST(unreachableWriteIsUnavailable);
  CPPUNIT_TEST(storeFailsOver);
  CPPUNIT_TEST(silentOrderIsUnknown);
  CPPUNIT_TEST(orderAnswersAreTold);
  CPPUNIT_TEST(reportIsDatedByTheQuestion);
  CPPUNIT_TEST(brokenListIsNothing);
  CPPUNIT_TEST(valueThatKeepsComingIsReadToItsEnd);
  CPPUNIT_TEST(listThatKeepsComingIsReadToItsEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void storeAnswersAreTold()
  {
    expectSwap(answer("200 OK", R"({"revision":5})"), StoreStatus::kOk, 5);
    expectSwap(
      answer("409 Conflict", R"({"revision":6})"), StoreStatus::kConflict, 6);
    expectSwap(answer("503 Busy", ""), StoreStatus::kUnavailable, 0);
    expectSwap(answer("500 Broken", ""), StoreStatus::kUnknown, 0);
    expectSwap(answer("200 OK", "{"), StoreStatus::kUnknown, 0);
  }

  void lostWriteIsUnknown()
  {
    expectSwap("", StoreStatus::kUnknown, 0);
    expectSwap("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revi",
               StoreStatus::kUnknown,
               0);
  }

  void unreachableWriteIsUnavailable()
  {
    const StoreReply reply = swapAt({ closedEndpoint() });
    CPPUNIT_ASSERT(reply.status_ == StoreStatus::kUnavailable);
  }

  void storeFailsOver()
  {
    const Server server(answering(answer("200 OK", R"({"revision":5})")));
    const StoreReply reply = swapAt({ closedEndpoint(), server.endpoint() });
    CPPUNIT_ASSERT(reply.status_ == StoreStatus::kOk);
  }

  void silentOrderIsUnknown()
  {
    const Server server(
      [](Socket& aSocket, int) { Server::readUntil(aSocket, "never"); });
    CPPUNIT_ASSERT(orderAt(server.endpoint(), std::chrono::milliseconds(40)) ==
                   OrderStatus::kUnknown);
  }

  void orderAnswersAreTold()
  {
    expectOrder(answer("202 Accepted", ""), OrderStatus::kAccepted);
    expectOrder(answer("409 Conflict", ""), OrderStatus::kFenced);
    expectOrder(answer("500 Broken", ""), OrderStatus::kFailed);
    expectOrder("", OrderStatus::kUnknown);
    CPPUNIT_ASSERT(orderAt(closedEndpoint(), std::chrono::seconds(5)) ==
                   OrderStatus::kFailed);
  }

  void reportIsDatedByTheQuestion()
  {
    const Server server([&](Socket& aSocket, int) {
      Server::readRequest(aSocket);
      Server::write(
        aSocket,
        answer("200 OK",
               R"({"vm":"v","incarnation":1,"count":1,"phase":"idle",)"
               R"("role":null,"load":{"running":0,"queued":0,"slots":0,)"
               R"("tokens_per_second":0}})"));
    });
    const state::TimePoint askedAt = clock_.now();
    std::optional<state::VmReport> report;
    bool ended = false;
    state::VmInfo vm;
    vm.endpoint_ = server.endpoint();
    transport::HttpEngineClient engine(caller_, clock_);
    engine.fetchReport(vm,
                       std::chrono::seconds(5),
                       [&](const std::optional<state::VmReport>& aReport) {
                         report = aReport;
                         ended = true;
                       });
    context_.poll();
    clock_.advance(std::chrono::seconds(1));
    fakes::runUntil(context_, [&] { return ended; });
    CPPUNIT_ASSERT(report && report->vm_ == state::VmId("v"));
    CPPUNIT_ASSERT(report->observedAt_ == askedAt);
  }

  void brokenListIsNothing()
  {
    const Server server(answering(answer("200 OK", R"({"vms":[{}]})")));
    transport::HttpVmList list(caller_, { { server.endpoint() } });
    int calls = 0;
    list.fetch(state::ZoneId("z one"),
               [&](const std::optional<std::vector<state::VmInfo>>& aList) {
                 CPPUNIT_ASSERT(!aList);
                 ++calls;
               });
    fakes::runUntil(context_, [&] { return calls == 1; });
  }

  void valueThatKeepsComingIsReadToItsEnd()
  {
    const Server server(
      trickling(answer("200 OK", R"({"revision":5,"value":"abc"})")));
    transport::StoreClient store(caller_,
                                 { { server.endpoint() }, kShortWait });
    std::optional<StoreReply> reply;
    store.get("k",
              coordination::StorePriority::kOther,
              [&](const auto& aReply) { reply = aReply; });
    fakes::runUntil(context_, [&] { return reply.has_value(); });
    CPPUNIT_ASSERT(reply->status_ == StoreStatus::kOk);
  }

  void listThatKeepsComingIsReadToItsEnd()
  {
    const Server server(trickling(answer("200 OK", R"({"vms":[]})")));
    transport::HttpVmList list(caller_, { { server.endpoint() }, kShortWait });
    std::optional<bool> whole;
    list.fetch(state::ZoneId("z"),
               [&](const auto& aList) { whole = aList.has_value(); });
    fakes::runUntil(context_, [&] { return whole.has_value(); });
    CPPUNIT_ASSERT(*whole);
  }

private:
  static constexpr std::chrono::milliseconds kShortWait{
    200
  }; ///< For the beginning of an answer, and for each piece.

  /** @return A script that writes the end of an answer byte by byte. */
  static Server::Script trickling(const std::string& aAnswer)
  {
    return [aAnswer](Socket& aSocket, int) {
      constexpr std::size_t kSlowBytes = 8;
      Server::readRequest(aSocket);
      const std::size_t fast = aAnswer.size() - kSlowBytes;
      Server::write(aSocket, aAnswer.substr(0, fast));
      for (std::size_t at = fast; at < aAnswer.size(); ++at) {
        std::this_thread::sleep_for(kShortWait / 4);
        Server::write(aSocket, aAnswer.substr(at, 1));
      }
    };
  }

  /** @return An endpoint where nobody listens. */
  static state::Endpoint closedEndpoint()
  {
    const Server server([](Socket&, int) {});
    return server.endpoint();
  }

  /** Swaps a key at a store with the given addresses. */
  StoreReply swapAt(std::vector<state::Endpoint> aEndpoints)
  {
    transport::StoreClient store(caller_, { std::move(aEndpoints) });
    std::optional<StoreReply> result;
    store.compareAndSwap("k",
                         state::Revision(4),
                         std::string("\0v", 2),
                         coordination::StorePriority::kOther,
                         [&](const StoreReply& aReply) {
                           CPPUNIT_ASSERT(!result);
                           result = aReply;
                         });
    CPPUNIT_ASSERT(!result);
    fakes::runUntil(context_, [&] { return result.has_value(); });
    return *result;
  }

  /** Checks the outcome of a swap that gets a certain answer. */
  void expectSwap(const std::string& aAnswer,
                  StoreStatus aStatus,
                  std::uint64_t aRevision)
  {
    const Server server(answering(aAnswer));
    const StoreReply reply = swapAt({ server.endpoint() });
    CPPUNIT_ASSERT(reply.status_ == aStatus);
    CPPUNIT_ASSERT_EQUAL(aRevision, reply.revision_.value());
  }

  /** Sends an order to an engine. */
  OrderStatus orderAt(const state::Endpoint& aEndpoint,
                      state::Duration aTimeout)
  {
    transport::HttpEngineClient engine(caller_, clock_);
    state::VmInfo vm;
    vm.endpoint_ = aEndpoint;
    std::optional<OrderStatus> result;
    engine.sendOrder(
      vm, {}, aTimeout, [&](OrderStatus aStatus) { result = aStatus; });
    fakes::runUntil(context_, [&] { return result.has_value(); });
    return *result;
  }

  /** Checks the outcome of an order that gets a certain answer. */
  void expectOrder(const std::string& aAnswer, OrderStatus aStatus)
  {
    const Server server(answering(aAnswer));
    CPPUNIT_ASSERT(orderAt(server.endpoint(), std::chrono::seconds(5)) ==
                   aStatus);
  }

  fakes::FakeClock clock_;                               ///< Dates reports.
  boost::asio::io_context context_;                      ///< Event loop.
  transport::HttpClient client_{ context_ };             ///< Makes calls.
  transport::ServiceCaller caller_{ context_, client_ }; ///< Makes calls.
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceClientsTest);
