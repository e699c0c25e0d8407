// Tests of requests relayed from callers to targets over loopback.

#include "platform/relay_world.h"

#include <atomic>

using namespace auburnhaven;
using fakes::chunk;
using fakes::closedEndpoint;
using fakes::contains;
using fakes::kStreamHead;
using fakes::RawServer;
using fakes::RelayWorld;
using fakes::respondWith;
using fakes::statusOf;
using Socket = boost::asio::ip::tcp::socket;

class RelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(requestIsForwardedUnchanged);
  CPPUNIT_TEST(responseIsForwardedUnchanged);
  CPPUNIT_TEST(requestWithoutConfigurationIsRefused);
  CPPUNIT_TEST(unknownRouteAndKeyAreRefused);
  CPPUNIT_TEST(rejectedRequestIsRetriedElsewhere);
  CPPUNIT_TEST(nonIdempotentIsSentOnce);
  CPPUNIT_TEST(nonIdempotentIsRetriedIfNotRun);
  CPPUNIT_TEST(idempotentIsRetriedAfterFailure);
  CPPUNIT_TEST(unreachedTargetCostsNoRetryBudget);
  CPPUNIT_TEST(staleConnectionIsNotATargetFailure);
  CPPUNIT_TEST(responseToAnotherRequestIsDiscarded);
  CPPUNIT_TEST(unsignedSuccessIsDiscarded);
  CPPUNIT_TEST(truncatedResponseIsNotForwarded);
  CPPUNIT_TEST(targetErrorIsForwarded);
  CPPUNIT_TEST(brokenStreamResumesElsewhere);
  CPPUNIT_TEST(streamThatCannotResumeIsCut);
  CPPUNIT_TEST(silentTargetEndsAtTimeout);
  CPPUNIT_TEST(stoppingDaemonRefusesRequests);
  CPPUNIT_TEST(requestThatOutlastsTheStopIsAnswered);
  CPPUNIT_TEST(outdatedDaemonRefusesUntilUpdated);
  CPPUNIT_TEST(requestWithoutTargetIsRefusedAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void requestIsForwardedUnchanged()
  {
    std::string seen;
    RawServer target([&](Socket& aSocket, int) {
      seen = RawServer::readRequest(aSocket);
      RawServer::write(aSocket, RelayWorld::response("200 OK", "fine"));
    });
    RelayWorld world;
    world.startWith({ target.endpoint() });
    const std::string response =
      world.ask(RelayWorld::request("POST", "/unsafe/x?y=1", "body!"));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(response));
    CPPUNIT_ASSERT(contains(seen, "POST /unsafe/x?y=1 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(contains(seen, "Host: shop.example\r\n"));
    CPPUNIT_ASSERT(contains(seen, "X-Attempt-Id: a1\r\n"));
    CPPUNIT_ASSERT(contains(seen, "X-Custom: kept\r\n"));
    CPPUNIT_ASSERT(contains(seen, "X-Tenant-Id: one\r\n"));
    CPPUNIT_ASSERT(contains(seen, "X-Target-Instance: i-1\r\n"));
    CPPUNIT_ASSERT(!contains(seen, "forged"));
    CPPUNIT_ASSERT(!contains(seen, "key-1"));
    CPPUNIT_ASSERT(seen.ends_with("\r\n\r\nbody!"));
    const std::size_t at = seen.find("X-Deadline-Ms: ") + 15;
    const int left = std::stoi(seen.substr(at));
    CPPUNIT_ASSERT(left > 1000 && left <= 2500);
  }

  void responseIsForwardedUnchanged()
  {
    RawServer target(respondWith(
      RelayWorld::response("201 Made", "b\r\n\r\ny", "X-More: 1\r\n")));
    RelayWorld world;
    world.startWith({ target.endpoint() });
    const std::string response =
      world.ask(RelayWorld::request("GET", "/safe/"));
    CPPUNIT_ASSERT_EQUAL(std::string("201"), statusOf(response));
    CPPUNIT_ASSERT(contains(response, "X-Origin-Signature: s1\r\n"));
    CPPUNIT_ASSERT(contains(response, "X-More: 1\r\n"));
    CPPUNIT_ASSERT(contains(response, "Content-Type: text/plain\r\n"));
    CPPUNIT_ASSERT(response.ends_with("\r\n\r\nb\r\n\r\ny"));
  }

  void requestWithoutConfigurationIsRefused()
  {
    RelayWorld world;
    const std::string response =
      world.ask(RelayWorld::request("GET", "/safe/"));
    CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(response));
    CPPUNIT_ASSERT(contains(response, "Retry-After: 0.500\r\n"));
  }

  void unknownRouteAndKeyAreRefused()
  {
    RelayWorld world;
    world.start();
    CPPUNIT_ASSERT_EQUAL(
      std::string("404"),
      statusOf(world.ask(RelayWorld::request("GET", "/none/"))));
    std::string request = RelayWorld::request("GET", "/safe/");
    request.replace(request.find("key-1"), 5, "key-2");
    CPPUNIT_ASSERT_EQUAL(std::string("401"), statusOf(world.ask(request)));
  }

  void rejectedRequestIsRetriedElsewhere()
  {
    RawServer full(respondWith(
      RelayWorld::response("503 Full", "", "X-Not-Executed: 1\r\n")));
    RawServer good(respondWith(RelayWorld::response("200 OK", "fine")));
    for (const char* path : { "/safe/", "/unsafe/" }) {
      RelayWorld world;
      world.startWith({ full.endpoint(), good.endpoint() });
      for (int round = 0; round < 4; ++round) {
        CPPUNIT_ASSERT_EQUAL(
          std::string("200"),
          statusOf(world.ask(RelayWorld::request("POST", path, "x"))));
      }
    }
  }

  void nonIdempotentIsSentOnce()
  {
    std::atomic<int> sends = 0;
    const auto script = [&](Socket& aSocket, int) {
      sends += RawServer::readRequest(aSocket).empty() ? 0 : 1;
    };
    RawServer one(script);
    RawServer two(script);
    RelayWorld world;
    world.startWith({ one.endpoint(), two.endpoint() });
    const std::string response =
      world.ask(RelayWorld::request("POST", "/unsafe/", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string("502"), statusOf(response));
    CPPUNIT_ASSERT_EQUAL(1, sends.load());
  }

  void nonIdempotentIsRetriedIfNotRun()
  {
    RawServer good(respondWith(RelayWorld::response("200 OK", "fine")));
    RelayWorld world;
    world.startWith({ closedEndpoint(), good.endpoint() });
    for (int round = 0; round < 4; ++round) {
      CPPUNIT_ASSERT_EQUAL(
        std::string("200"),
        statusOf(world.ask(RelayWorld::request("POST", "/unsafe/", "x"))));
    }
  }

  void idempotentIsRetriedAfterFailure()
  {
    RawServer bad(
      [&](Socket& aSocket, int) { RawServer::readRequest(aSocket); });
    RawServer good(respondWith(RelayWorld::response("200 OK", "fine")));
    RelayWorld world;
    world.startWith({ bad.endpoint(), good.endpoint() });
    for (int round = 0; round < 4; ++round) {
      CPPUNIT_ASSERT_EQUAL(
        std::string("200"),
        statusOf(world.ask(RelayWorld::request("GET", "/safe/"))));
    }
  }

  // A send after a refused connection is no retry, so it succeeds even though
  // the retry budget is exhausted.
  void unreachedTargetCostsNoRetryBudget()
  {
    RawServer target(respondWith(RelayWorld::response("200 OK", "fine")));
    RelayWorld world;
    world.startWith({ closedEndpoint(), target.endpoint() });
    while (world.budget_.tryAcquireRetry()) {
    }
    // Requests succeed whichever target is chosen first.
    for (int request = 0; request < 8; ++request) {
      const std::string response =
        world.ask(RelayWorld::request("POST", "/unsafe/"));
      CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(response));
      while (world.budget_.tryAcquireRetry()) {
      }
    }
  }

  void staleConnectionIsNotATargetFailure()
  {
    // Responds to one request per connection and closes it without announcing
    // that. From the second request on, it closes the connection only after the
    // next request has arrived.
    std::atomic<int> requests = 0;
    RawServer target([&](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      ++requests;
      RawServer::write(aSocket, RelayWorld::response("200 OK", "fine"));
      if (requests > 1) {
        RawServer::readRequest(aSocket);
      }
    });
    RelayWorld world;
    world.startWith({ target.endpoint() });
    for (int round = 0; round < 6; ++round) {
      CPPUNIT_ASSERT_EQUAL(
        std::string("200"),
        statusOf(world.ask(RelayWorld::request("GET", "/safe/"))));
    }
  }

  void responseToAnotherRequestIsDiscarded()
  {
    std::string foreign = RelayWorld::response("200 OK", "secret");
    foreign.replace(foreign.find("a1"), 2, "b2");
    RawServer target(respondWith(foreign));
    RelayWorld world;
    world.startWith({ target.endpoint() });
    const std::string response =
      world.ask(RelayWorld::request("POST", "/unsafe/", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string("502"), statusOf(response));
    CPPUNIT_ASSERT(!contains(response, "secret"));
  }

  void unsignedSuccessIsDiscarded()
  {
    std::string plain = RelayWorld::response("200 OK", "forged");
    plain.replace(plain.find("X-Origin-Signature"), 18, "X-Other-Header-Abc");
    RawServer target(respondWith(plain));
    RelayWorld world;
    world.startWith({ target.endpoint() });
    const std::string response =
      world.ask(RelayWorld::request("POST", "/unsafe/", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string("502"), statusOf(response));
    CPPUNIT_ASSERT(!contains(response, "forged"));
  }

  void truncatedResponseIsNotForwarded()
  {
    const std::string whole = RelayWorld::response("200 OK", "a whole answer");
    RawServer target(respondWith(whole.substr(0, whole.size() - 3)));
    RelayWorld world;
    world.startWith({ target.endpoint() });
    CPPUNIT_ASSERT_EQUAL(
      std::string("502"),
      statusOf(world.ask(RelayWorld::request("POST", "/unsafe/", "x"))));
  }

  void targetErrorIsForwarded()
  {
    RawServer target(respondWith(RelayWorld::response("500 Oops", "broken")));
    RelayWorld world;
    world.startWith({ target.endpoint() });
    const std::string response =
      world.ask(RelayWorld::request("POST", "/unsafe/", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string("500"), statusOf(response));
    CPPUNIT_ASSERT(contains(response, "X-Origin-Signature: s1\r\n"));
    CPPUNIT_ASSERT(response.ends_with("broken"));
  }

  void brokenStreamResumesElsewhere()
  {
    std::string resumed;
    const auto script = [&](Socket& aSocket, int) {
      const std::string request = RawServer::readRequest(aSocket);
      if (!contains(request, "Last-Event-Id: ")) {
        RawServer::write(aSocket,
                         kStreamHead + chunk("id: 1\ndata: a\n\n") +
                           chunk("id: 2\ndata: b\n\nid: 3\nda"));
        return;
      }
      resumed = request;
      RawServer::write(aSocket,
                       kStreamHead + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
    };
    RawServer one(script);
    RawServer two(script);
    RelayWorld world;
    world.startWith({ one.endpoint(), two.endpoint() });
    const std::string response =
      world.ask(RelayWorld::request("POST", "/stream/", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(response));
    CPPUNIT_ASSERT(contains(resumed, "Last-Event-Id: 2\r\n"));
    CPPUNIT_ASSERT(contains(response, "id: 1\ndata: a\n\n"));
    CPPUNIT_ASSERT(contains(response, "id: 2\ndata: b\n\n"));
    CPPUNIT_ASSERT(contains(response, "id: 3\ndata: c\n\n"));
    CPPUNIT_ASSERT(!contains(response, "id: 3\nda\r\n"));
    CPPUNIT_ASSERT(response.ends_with("0\r\n\r\n"));
  }

  void streamThatCannotResumeIsCut()
  {
    RawServer target(respondWith(kStreamHead + chunk("id: 1\ndata: a\n\n")));
    RelayWorld world;
    world.startWith({ target.endpoint() }, std::chrono::milliseconds(600));
    const std::string response =
      world.ask(RelayWorld::request("POST", "/stream/", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(response));
    CPPUNIT_ASSERT(contains(response, "id: 1\ndata: a\n\n"));
    CPPUNIT_ASSERT(!response.ends_with("0\r\n\r\n"));
  }

  void silentTargetEndsAtTimeout()
  {
    std::promise<void> over;
    std::shared_future<void> wait = over.get_future().share();
    RawServer target([wait](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      wait.wait();
    });
    {
      RelayWorld world;
      world.startWith({ target.endpoint() }, std::chrono::milliseconds(300));
      CPPUNIT_ASSERT_EQUAL(
        std::string("504"),
        statusOf(world.ask(RelayWorld::request("POST", "/unsafe/", "x"))));
    }
    over.set_value();
  }

  void stoppingDaemonRefusesRequests()
  {
    RelayWorld world;
    world.start();
    world.relay_.refuseAll();
    const std::string response =
      world.ask(RelayWorld::request("POST", "/unsafe/", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(response));
    CPPUNIT_ASSERT(contains(response, "Retry-After: 0.000\r\n"));
  }

  void requestThatOutlastsTheStopIsAnswered()
  {
    const RawServer silent([](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      RawServer::readUntil(aSocket, "never");
    });
    for (const char* path : { "/unsafe/", "/safe/", "/stream/" }) {
      RelayWorld world;
      world.startWith({ silent.endpoint() });
      boost::asio::steady_timer stop(world.pool_.context(0),
                                     std::chrono::milliseconds(150));
      stop.async_wait([&](const boost::system::error_code& /*aError*/) {
        world.relay_.refuseAll();
        world.relay_.giveUpOpenRequests(0);
      });
      const auto from = std::chrono::steady_clock::now();
      const std::string response =
        world.ask(RelayWorld::request("POST", path, "x"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        path, std::string("502"), statusOf(response));
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - from <
                     std::chrono::seconds(1));
    }
  }

  void outdatedDaemonRefusesUntilUpdated()
  {
    RelayWorld world;
    world.start();
    world.relay_.setOutdated(true);
    const std::string response =
      world.ask(RelayWorld::request("POST", "/unsafe/", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(response));
    CPPUNIT_ASSERT(contains(response, "Retry-After: 0.300\r\n"));
    CPPUNIT_ASSERT(contains(response, "lacking"));
    world.relay_.setOutdated(false);
    CPPUNIT_ASSERT(!contains(
      world.ask(RelayWorld::request("POST", "/unsafe/", "x")), "lacking"));
  }

  void requestWithoutTargetIsRefusedAtOnce()
  {
    RelayWorld world;
    world.start();
    const auto before = std::chrono::steady_clock::now();
    const std::string response =
      world.ask(RelayWorld::request("GET", "/safe/"));
    CPPUNIT_ASSERT_EQUAL(std::string("503"), statusOf(response));
    CPPUNIT_ASSERT(contains(response, "Retry-After: "));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - before <
                   std::chrono::milliseconds(1500));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);
