// Tests of forwarded requests over loopback sockets.

#include "transport/forward_client.h"
#include "transport/forward_codec.h"
#include "transport/forward_server.h"
#include "transport/loopback.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace auburnhaven;
using transport::TargetEvent;
using transport::TargetEventKind;

namespace {

using Yield = boost::asio::yield_context;

constexpr char kKey[] = "a key that both have";
constexpr std::uint64_t kEndless = 1000000; ///< Tokens of an endless answer.

/** Gives a number of tokens and then a last event. */
class ScriptedStream : public transport::TargetStream
{
public:
  ScriptedStream(std::uint64_t aTokens,
                 std::size_t aTokenBytes,
                 std::uint64_t aStallAt,
                 TargetEvent aLast,
                 std::atomic<int>& aAborts)
    : tokens_(aTokens)
    , text_(aTokenBytes, 't')
    , stallAt_(aStallAt)
    , last_(std::move(aLast))
    , aborts_(&aAborts)
  {
  }
  TargetEvent next(const Yield& aYield) override
  {
    boost::system::error_code ignored;
    boost::asio::post(aYield[ignored]);
    while (next_ == stallAt_ && !aborted_) {
      boost::asio::steady_timer timer(aYield.get_executor(),
                                      std::chrono::milliseconds(1));
      timer.async_wait(aYield[ignored]);
    }
    if (aborted_ || next_ == tokens_) {
      return last_;
    }
    return { TargetEventKind::kToken, next_++, text_, nullptr };
  }
  void abort() override
  {
    aborted_ = true;
    ++*aborts_;
  }

private:
  std::uint64_t tokens_;     ///< Tokens to give.
  std::uint64_t next_ = 0;   ///< Offset of the next token.
  std::string text_;         ///< Text of each token.
  std::uint64_t stallAt_;    ///< Offset of the token that never comes.
  TargetEvent last_;         ///< Last event.
  std::atomic<int>* aborts_; ///< Counts aborts.
  bool aborted_ = false;     ///< Whether it was aborted.
};

/** Makes scripted attempts and notes what was asked for. */
class ScriptedHandler : public transport::ForwardHandler
{
public:
  std::unique_ptr<transport::TargetStream> open(
    std::size_t /*aThread*/,
    const transport::ForwardedRequest& aRequest) override
  {
    payload_ = aRequest.call_.payload_;
    fencing_ = aRequest.fencing_;
    key_ = aRequest.call_.info_.idempotencyKey_;
    ++opened_;
    if (refuse_) {
      return nullptr;
    }
    return std::make_unique<ScriptedStream>(
      tokens_, tokenBytes_, stallAt_, last_, aborts_);
  }

  std::uint64_t tokens_ = 3;         ///< Tokens of each answer.
  std::uint64_t stallAt_ = kEndless; ///< Offset of the token that never comes.
  std::size_t tokenBytes_ = 5;       ///< Size of each token.
  TargetEvent last_{ TargetEventKind::kWhole, 3, {}, nullptr }; ///< Last event.
  bool refuse_ = false;          ///< Whether to make no attempt.
  std::string payload_;          ///< Latest payload.
  std::string key_;              ///< Latest idempotency key.
  state::FencingNumber fencing_; ///< Latest fencing number.
  std::atomic<int> opened_ = 0;  ///< Attempts asked for.
  std::atomic<int> aborts_ = 0;  ///< Aborts of attempts.
};

/** @return A request for a model. */
transport::ForwardedRequest
request()
{
  transport::ForwardedRequest result;
  result.call_.info_.id_ = state::RequestId("r 1");
  result.call_.info_.group_ = state::GroupId("g");
  result.call_.info_.idempotencyKey_ = "k%\n\xc3";
  result.call_.payload_ = std::string(300000, 'p');
  result.call_.timeout_ = std::chrono::seconds(15);
  result.copy_ = { state::GroupId("g"), 2 };
  result.fencing_ = state::FencingNumber(7);
  return result;
}

} // namespace

class ForwardTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwardTest);
  CPPUNIT_TEST(wholeAnswerPasses);
  CPPUNIT_TEST(refusalPasses);
  CPPUNIT_TEST(cutAnswerIsNotWhole);
  CPPUNIT_TEST(largeAnswersPassWithinWindows);
  CPPUNIT_TEST(serviceAnswerPasses);
  CPPUNIT_TEST(undefinedStatusOfAPeerIsNotWhole);
  CPPUNIT_TEST(serviceEndWithoutAnAnswerIsNotWhole);
  CPPUNIT_TEST(cancelReachesTarget);
  CPPUNIT_TEST(lostDaemonCutsShort);
  CPPUNIT_TEST(slowTargetTimesOut);
  CPPUNIT_TEST(silentDaemonIsNotReached);
  CPPUNIT_TEST(unreachableDaemonIsNotReached);
  CPPUNIT_TEST(wrongKeyIsNotReached);
  CPPUNIT_TEST(drainingDaemonIsNotReached);
  CPPUNIT_TEST(answerIsInFlightUntilItIsSent);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    handler_ = std::make_unique<ScriptedHandler>();
    pool_ = std::make_unique<transport::TrafficPool>(2);
    server_ = std::make_unique<transport::ForwardServer>(
      *pool_, settings(kKey), *handler_);
    CPPUNIT_ASSERT_EQUAL(std::string(), server_->start());
    endpoint_ = { "127.0.0.1", server_->port() };
    pool_->start();
  }
  void tearDown() override { stopServer(); }

  void wholeAnswerPasses()
  {
    for (int round = 0; round < 3; ++round) {
      expectEnd(TargetEventKind::kWhole, 3);
    }
    CPPUNIT_ASSERT(handler_->payload_ == request().call_.payload_);
    CPPUNIT_ASSERT_EQUAL(std::string("k%\n\xc3"), handler_->key_);
    CPPUNIT_ASSERT(handler_->fencing_ == state::FencingNumber(7));
  }

  void refusalPasses()
  {
    handler_->refuse_ = true;
    expectEnd(TargetEventKind::kRefused, 0);
  }

  void cutAnswerIsNotWhole()
  {
    handler_->last_ = {};
    expectEnd(TargetEventKind::kCutShort, 3);
  }

  void largeAnswersPassWithinWindows()
  {
    handler_->tokens_ = 300;
    handler_->tokenBytes_ = 20000;
    expectEnd(TargetEventKind::kWhole, 300);
  }

  void serviceAnswerPasses()
  {
    coordination::StoredAnswer answer;
    answer.status_ = 201;
    answer.contentType_ = "text/plain";
    answer.body_ = std::string(1000000, 'b');
    handler_->tokens_ = 0;
    handler_->last_.answer_ =
      std::make_shared<const coordination::StoredAnswer>(answer);
    transport::ForwardedRequest call = request();
    call.call_.info_.service_ = state::ServiceId("orders");
    run([&](transport::ForwardClient& aClient, const Yield& aYield) {
      const auto stream = aClient.open(endpoint_, call);
      const TargetEvent event = stream->next(aYield);
      CPPUNIT_ASSERT(event.kind_ == TargetEventKind::kWhole);
      CPPUNIT_ASSERT(event.answer_ && *event.answer_ == answer);
    });
  }

  void cancelReachesTarget()
  {
    handler_->tokens_ = kEndless;
    run([&](transport::ForwardClient& aClient, const Yield& aYield) {
      {
        const auto stream = aClient.open(endpoint_, request());
        CPPUNIT_ASSERT(stream->next(aYield).kind_ == TargetEventKind::kToken);
      }
      waitFor(aYield, [&] { return handler_->aborts_ > 0; });
      waitFor(aYield, [&] { return server_->inFlight() == 0; });
    });
  }

  void lostDaemonCutsShort()
  {
    handler_->tokens_ = kEndless;
    run([&](transport::ForwardClient& aClient, const Yield& aYield) {
      const auto stream = aClient.open(endpoint_, request());
      CPPUNIT_ASSERT(stream->next(aYield).kind_ == TargetEventKind::kToken);
      stopServer();
      TargetEvent event = stream->next(aYield);
      while (event.kind_ == TargetEventKind::kToken) {
        event = stream->next(aYield);
      }
      CPPUNIT_ASSERT(event.kind_ == TargetEventKind::kCutShort);
    });
  }

  void slowTargetTimesOut()
  {
    handler_->tokens_ = kEndless;
    handler_->stallAt_ = 2;
    run([&](transport::ForwardClient& aClient, const Yield& aYield) {
      transport::ForwardedRequest call = request();
      call.call_.timeout_ = std::chrono::milliseconds(300);
      const auto stream = aClient.open(endpoint_, call);
      TargetEvent event = stream->next(aYield);
      while (event.kind_ == TargetEventKind::kToken) {
        event = stream->next(aYield);
      }
      CPPUNIT_ASSERT(event.kind_ == TargetEventKind::kTimedOut);
      waitFor(aYield, [&] { return handler_->aborts_ > 0; });
    });
  }

  void undefinedStatusOfAPeerIsNotWhole()
  {
    for (const char* status : { "0",
                                "000",
                                "99",
                                "100",
                                "199",
                                "600",
                                "999",
                                "70000",
                                "65736",
                                "4294967496",
                                "-200",
                                "2OO",
                                "" }) {
      const TargetEvent event = transport::decodeEnd(
        { { "x-end", "whole" }, { "x-offset", "0" }, { "x-status", status } },
        "body");
      const bool isWhole =
        event.kind_ == TargetEventKind::kWhole && event.answer_;
      CPPUNIT_ASSERT_MESSAGE(status, !isWhole);
      CPPUNIT_ASSERT_MESSAGE(status, !event.answer_);
    }
    for (const char* status : { "200", "404", "599" }) {
      const TargetEvent event = transport::decodeEnd(
        { { "x-end", "whole" }, { "x-offset", "0" }, { "x-status", status } },
        "body");
      CPPUNIT_ASSERT(event.kind_ == TargetEventKind::kWhole);
      CPPUNIT_ASSERT_EQUAL(std::string(status),
                           std::to_string(event.answer_->status_));
    }
  }

  // The caller would have no answer to pass on.
  void serviceEndWithoutAnAnswerIsNotWhole()
  {
    handler_->tokens_ = 0;
    handler_->last_ = { TargetEventKind::kWhole, 0, {}, nullptr };
    transport::ForwardedRequest call = request();
    call.call_.info_.service_ = state::ServiceId("orders");
    run([&](transport::ForwardClient& aClient, const Yield& aYield) {
      const TargetEvent event = aClient.open(endpoint_, call)->next(aYield);
      CPPUNIT_ASSERT(event.kind_ == TargetEventKind::kCutShort);
    });
  }

  void silentDaemonIsNotReached()
  {
    const fakes::RawServer silent(
      [](boost::asio::ip::tcp::socket& aSocket, int) {
        fakes::RawServer::readUntil(aSocket, "never");
      });
    transport::ForwardedRequest call = request();
    call.call_.timeout_ = std::chrono::milliseconds(30);
    run([&](transport::ForwardClient& aClient, const Yield& aYield) {
      const auto stream = aClient.open(silent.endpoint(), call);
      CPPUNIT_ASSERT(stream->next(aYield).kind_ ==
                     TargetEventKind::kNotReached);
    });
  }

  void unreachableDaemonIsNotReached()
  {
    stopServer();
    expectEnd(TargetEventKind::kNotReached, 0);
  }

  void wrongKeyIsNotReached()
  {
    key_ = "another key";
    expectEnd(TargetEventKind::kNotReached, 0);
    CPPUNIT_ASSERT_EQUAL(0, handler_->opened_.load());
  }

  void drainingDaemonIsNotReached()
  {
    run([&](transport::ForwardClient& aClient, const Yield& aYield) {
      CPPUNIT_ASSERT(endOf(aClient, aYield).kind_ == TargetEventKind::kWhole);
      server_->drain();
      TargetEvent event = endOf(aClient, aYield);
      while (event.kind_ == TargetEventKind::kWhole) {
        event = endOf(aClient, aYield);
      }
      CPPUNIT_ASSERT(event.kind_ == TargetEventKind::kNotReached);
    });
  }

  // The server's threads stop once nothing is in flight, as in a planned stop.
  void answerIsInFlightUntilItIsSent()
  {
    coordination::StoredAnswer answer;
    answer.status_ = 200;
    answer.body_ = std::string(1000000, 'b');
    handler_->tokens_ = 0;
    handler_->last_.answer_ =
      std::make_shared<const coordination::StoredAnswer>(answer);
    transport::ForwardedRequest call = request();
    call.call_.info_.service_ = state::ServiceId("orders");
    call.call_.timeout_ = std::chrono::seconds(3);
    std::thread stop([this] {
      const auto until =
        std::chrono::steady_clock::now() + fakes::kLoopbackLimit;
      while ((handler_->opened_ == 0 || server_->inFlight() > 0) &&
             std::chrono::steady_clock::now() < until) {
        std::this_thread::yield();
      }
      pool_->stop();
    });
    TargetEvent event;
    run([&](transport::ForwardClient& aClient, const Yield& aYield) {
      event = aClient.open(endpoint_, call)->next(aYield);
    });
    stop.join();
    CPPUNIT_ASSERT(event.kind_ == TargetEventKind::kWhole);
    CPPUNIT_ASSERT(event.answer_ && *event.answer_ == answer);
  }

private:
  /** @return Settings of a daemon. */
  static transport::ForwardSettings settings(const std::string& aKey)
  {
    transport::ForwardSettings result;
    result.listen_ = { "127.0.0.1", 0 };
    result.key_ = aKey;
    result.maxQueuedBytes_ = 30000;
    return result;
  }

  /** Joins the threads of the server and closes all that it had. */
  void stopServer()
  {
    pool_->stop();
    server_ = nullptr;
    pool_ = std::make_unique<transport::TrafficPool>(1);
  }

  /** Runs a test body as a coroutine with a client. */
  void run(
    const std::function<void(transport::ForwardClient&, const Yield&)>& aBody)
  {
    transport::ForwardSettings own = settings(key_);
    own.listen_.port_ = 1;
    transport::ForwardClient client(context_, own);
    fakes::runCoroutine(context_,
                        [&](const Yield& aYield) { aBody(client, aYield); });
  }

  /** @return Last event of an attempt, its offset the tokens that came. */
  TargetEvent endOf(transport::ForwardClient& aClient, const Yield& aYield)
  {
    const auto stream = aClient.open(endpoint_, request());
    std::uint64_t tokens = 0;
    TargetEvent event = stream->next(aYield);
    while (event.kind_ == TargetEventKind::kToken) {
      CPPUNIT_ASSERT_EQUAL(tokens, event.offset_);
      CPPUNIT_ASSERT_EQUAL(handler_->tokenBytes_, event.text_.size());
      ++tokens;
      event = stream->next(aYield);
    }
    event.offset_ = tokens;
    return event;
  }

  /** Checks the last event of an attempt and how many tokens came. */
  void expectEnd(TargetEventKind aKind, std::uint64_t aTokens)
  {
    run([&](transport::ForwardClient& aClient, const Yield& aYield) {
      const TargetEvent event = endOf(aClient, aYield);
      CPPUNIT_ASSERT(event.kind_ == aKind);
      CPPUNIT_ASSERT_EQUAL(aTokens, event.offset_);
    });
  }

  /** Waits until a condition on the server's threads holds. */
  static void waitFor(const Yield& aYield, const std::function<bool()>& aHolds)
  {
    const auto until = std::chrono::steady_clock::now() + fakes::kLoopbackLimit;
    while (!aHolds()) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < until);
      boost::asio::steady_timer timer(aYield.get_executor(),
                                      std::chrono::milliseconds(1));
      boost::system::error_code ignored;
      timer.async_wait(aYield[ignored]);
    }
  }

  std::string key_ = kKey;                           ///< Key of the client.
  state::Endpoint endpoint_;                         ///< Where the server is.
  std::unique_ptr<ScriptedHandler> handler_;         ///< Makes the attempts.
  std::unique_ptr<transport::TrafficPool> pool_;     ///< Server's threads.
  std::unique_ptr<transport::ForwardServer> server_; ///< The server.
  boost::asio::io_context context_;                  ///< Client's event loop.
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTest);
