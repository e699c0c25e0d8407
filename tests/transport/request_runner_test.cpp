// Tests that each caller gets its own complete answer or a correct outcome.

#include "transport/gateway/request_runner.h"

#include "state/digest_func.h"
#include "transport/system_clock.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace auburnhaven;
using transport::TargetEvent;
using transport::TargetEventKind;

namespace {

constexpr std::uint32_t kTokens = 40;  ///< Tokens of each answer.
constexpr std::uint32_t kCopies = 8;   ///< Copies of the group.
constexpr std::size_t kCallers = 1000; ///< Concurrent callers.
constexpr std::uint32_t kRareFailuresPermille =
  2; ///< Chance per token that an attempt fails.
constexpr std::uint32_t kFrequentFailuresPermille =
  15; ///< Chance per token that an attempt fails.

/** @return Token at an offset of the answer to a prompt. */
std::string
tokenOf(const std::string& aPrompt, std::uint64_t aOffset)
{
  return std::to_string(state::stableHash(aPrompt, aOffset) % 65535) + " ";
}

/** @return Complete answer to a prompt. */
std::string
answerOf(const std::string& aPrompt)
{
  std::string text;
  for (std::uint64_t offset = 0; offset < kTokens; ++offset) {
    text += tokenOf(aPrompt, offset);
  }
  return text;
}

/** Failures that the fake targets inject, and a count of the calls they ran. */
struct FakeTargetState
{
  std::mt19937_64 random_{ 7 };       ///< Source of failures and target choice.
  std::uint32_t failurePermille_ = 0; ///< Chance of a failure at a token.
  TargetEventKind lastEvent_ =
    TargetEventKind::kWhole; ///< Last event of attempts.
  std::map<std::string, std::uint32_t>
    runs_; ///< Number of runs of service calls, by request body.
};

/** Attempt at a fake target that repeats tokens and fails at random. */
class FakeStream : public transport::TargetStream
{
public:
  FakeStream(FakeTargetState& aTargets, transport::TargetCall aCall)
    : targets_(aTargets)
    , call_(std::move(aCall))
    , offset_(call_.resumeOffset_)
  {
  }

  TargetEvent next(const boost::asio::yield_context& aYield) override
  {
    boost::asio::post(aYield.get_executor(), aYield);
    TargetEvent event;
    if (aborted_) {
      return event;
    }
    if (!call_.info_.service_.empty()) {
      return serviceEvent();
    }
    if (targets_.random_() % 1000 < targets_.failurePermille_) {
      return event;
    }
    if (offset_ == kTokens) {
      event.kind_ = targets_.lastEvent_;
      event.offset_ = kTokens;
      return event;
    }
    const bool repeat = offset_ > 0 && targets_.random_() % 10 == 0;
    event.kind_ = TargetEventKind::kToken;
    event.offset_ = repeat ? offset_ - 1 : offset_++;
    event.text_ = tokenOf(call_.payload_, event.offset_);
    return event;
  }

  void abort() override { aborted_ = true; }

private:
  /** Runs a service call.
   * @return Last event of the attempt. */
  TargetEvent serviceEvent()
  {
    TargetEvent event;
    event.kind_ = targets_.lastEvent_;
    if (targets_.lastEvent_ != TargetEventKind::kRefused) {
      ++targets_.runs_[call_.payload_];
    }
    if (targets_.lastEvent_ == TargetEventKind::kWhole) {
      event.answer_ = std::make_shared<const coordination::StoredAnswer>(
        coordination::StoredAnswer{ 200, "text/plain", "done" });
    }
    return event;
  }

  FakeTargetState& targets_;   ///< Injected failures.
  transport::TargetCall call_; ///< Request that was sent.
  std::uint64_t offset_;       ///< Offset of the next token.
  bool aborted_ = false;       ///< Whether abort() was called.
};

/** Opens attempts at fake targets. */
class FakeOpener : public transport::StreamOpener
{
public:
  explicit FakeOpener(FakeTargetState& aTargets)
    : targets_(aTargets)
  {
  }
  std::unique_ptr<transport::TargetStream> open(
    std::size_t /*aThread*/,
    const coordination::Choice& /*aChoice*/,
    const transport::TargetCall& aCall) override
  {
    return std::make_unique<FakeStream>(targets_, aCall);
  }

private:
  FakeTargetState& targets_; ///< Injected failures.
};

/** Store that cannot be reached: every operation fails at once. */
class UnreachableStore : public coordination::Store
{
public:
  void get(const std::string& /*aKey*/,
           coordination::StorePriority /*aPriority*/,
           ReplyHandler aHandler) override
  {
    aHandler({});
  }
  void compareAndSwap(const std::string& /*aKey*/,
                      state::Revision /*aExpected*/,
                      std::string /*aValue*/,
                      coordination::StorePriority /*aPriority*/,
                      ReplyHandler aHandler) override
  {
    aHandler({});
  }
  void watch(const std::string& /*aKey*/,
             state::Revision /*aAfter*/,
             state::Duration /*aTimeout*/,
             ReplyHandler aHandler) override
  {
    aHandler({});
  }
  void acquireLease(const std::string& /*aName*/,
                    const std::string& /*aHolder*/,
                    state::Duration /*aTimeToLive*/,
                    LeaseHandler aHandler) override
  {
    aHandler({});
  }
  void releaseLease(const std::string& /*aName*/,
                    const std::string& /*aHolder*/,
                    LeaseHandler aHandler) override
  {
    aHandler({});
  }
};

/** Collects the answer of one caller. */
class TextSink : public transport::AnswerSink
{
public:
  bool passToken(std::string_view aText,
                 const boost::asio::yield_context& /*aYield*/) override
  {
    text_ += aText;
    return !disconnected_;
  }
  void onCallerGone(std::function<void()> aHandler) override
  {
    handler_ = std::move(aHandler);
  }
  bool confirmCaller(const boost::asio::yield_context& /*aYield*/) override
  {
    return !left_;
  }
  /** Simulates that the caller closes its connection. */
  void disconnect()
  {
    disconnected_ = true;
    if (handler_) {
      handler_();
    }
  }

  std::string text_;              ///< Text received so far.
  bool disconnected_ = false;     ///< Whether the caller has disconnected.
  bool left_ = false;             ///< Whether it did so before the request was
                                  ///< sent, and only confirmCaller() tells.
  std::function<void()> handler_; ///< Called on a disconnect.
};

/** @return A serving view with kCopies open copies and a plain service. */
state::ServingViewPtr
makeView(state::TimePoint aNow)
{
  state::Configuration configuration;
  state::ServingGroup group;
  group.id_ = state::GroupId("drafts");
  group.kinds_.push_back({ state::WorkKindId("draft"), 1, {} });
  configuration.groups_[group.id_] = group;
  state::PlainService service;
  service.id_ = state::ServiceId("orders");
  service.targets_.push_back(
    { state::VmId("order-vm"), state::ZoneId("a"), { "127.0.0.1", 1 } });
  configuration.services_[service.id_] = service;
  state::ServingView view;
  view.configuration_ =
    std::make_shared<const state::Configuration>(configuration);
  for (std::uint32_t index = 0; index < kCopies; ++index) {
    state::ServingCopy copy;
    copy.id_ = { group.id_, index };
    copy.zone_ = state::ZoneId("a");
    copy.head_ = state::VmId("vm-" + std::to_string(index));
    copy.open_ = true;
    copy.load_.slots_ = 200;
    copy.loadObservedAt_ = aNow;
    copy.evidenceUntil_ = aNow + std::chrono::hours(1);
    view.copies_[group.id_].push_back(copy);
  }
  return std::make_shared<const state::ServingView>(view);
}

/** The objects of a daemon that run requests, on one event loop. */
class TestDaemon
{
public:
  TestDaemon()
    : chooser_(state::ZoneId("a"), [this] { return targets_.random_(); })
    , admission_(limiter_, admissionSettings())
    , budget_({ 1000, 100000, 100000 })
    , claimService_(store_, clock_, state::DaemonId("d"), state::Incarnation(1))
    , claims_(control_, claimService_)
    , opener_(targets_)
  {
    const state::ServingViewPtr view = makeView(clock_.now());
    chooser_.setView(view);
    admission_.setView(*view, 1);
  }

  /** Starts a request; aSink and aResult must outlive run(). */
  void start(transport::TargetCall aCall,
             TextSink& aSink,
             transport::RequestResult& aResult)
  {
    boost::asio::spawn(
      loop_,
      [this, call = std::move(aCall), &aSink, &aResult](
        const boost::asio::yield_context& aYield) {
        const transport::RunnerDependencies parts{ clock_,     chooser_,
                                                   admission_, budget_,
                                                   claims_,    opener_ };
        transport::RequestRunner runner(parts, 0, call, aSink);
        aResult = runner.run(aYield);
      },
      [](const std::exception_ptr& aError) {
        if (aError) {
          std::rethrow_exception(aError);
        }
      });
  }

  /** Runs until all requests have ended. */
  void run() { loop_.run(); }

  /** Runs a single request. @return Its result. */
  transport::RequestResult run(transport::TargetCall aCall, TextSink& aSink)
  {
    transport::RequestResult result;
    start(std::move(aCall), aSink, result);
    run();
    return result;
  }

  /** @return A chat request; the prompt serves as its request ID too. */
  transport::TargetCall chatCall(const std::string& aPrompt) const
  {
    transport::TargetCall call;
    call.info_.id_ = state::RequestId(aPrompt);
    call.info_.account_ = state::AccountId("shop");
    call.info_.group_ = state::GroupId("drafts");
    call.info_.kind_ = state::WorkKindId("draft");
    call.info_.stream_ = true;
    call.info_.idempotent_ = true;
    call.info_.maxTokens_ = kTokens;
    call.info_.deadline_ = clock_.now() + std::chrono::minutes(5);
    call.payload_ = aPrompt;
    return call;
  }

  /** @return A non-idempotent service call; without a claim if the key is
   * empty. */
  transport::TargetCall serviceCall(const std::string& aKey) const
  {
    transport::TargetCall call;
    call.info_.id_ = state::RequestId("r");
    call.info_.account_ = state::AccountId("shop");
    call.info_.service_ = state::ServiceId("orders");
    call.info_.operation_ = "confirm";
    call.info_.idempotencyKey_ = aKey;
    call.info_.deadline_ = clock_.now() + std::chrono::minutes(5);
    call.payload_ = "order 1";
    return call;
  }

  FakeTargetState targets_; ///< State of the fake targets.

private:
  /** @return Limits high enough that no request of these tests is refused. */
  static coordination::AdmissionSettings admissionSettings()
  {
    coordination::AdmissionSettings settings;
    settings.maxQueueLength_ = 4000;
    settings.minConcurrencyLimit_ = 4000;
    return settings;
  }

  boost::asio::io_context loop_;            ///< Event loop.
  transport::SystemClock clock_;            ///< Clock.
  transport::ControlLoop control_;          ///< Control loop; never run.
  UnreachableStore store_;                  ///< Store of the claims.
  coordination::AccountLimiter limiter_;    ///< Account limits.
  coordination::TargetChooser chooser_;     ///< Chooses targets.
  coordination::Admission admission_;       ///< Admission.
  coordination::RetryBudget budget_;        ///< Limits retries.
  coordination::ClaimService claimService_; ///< Claim service.
  transport::ClaimDispatcher claims_;       ///< Forwards claims.
  FakeOpener opener_;                       ///< Opens attempts.
};

} // namespace

class RequestRunnerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestRunnerTest);
  CPPUNIT_TEST(concurrentCallersGetTheirOwnAnswers);
  CPPUNIT_TEST(frequentFailuresDoNotMixAnswers);
  CPPUNIT_TEST(persistentFailureIsNotReportedAsAnswered);
  CPPUNIT_TEST(callerDisconnectEndsTheRequest);
  CPPUNIT_TEST(callOfACallerThatLeftWhileItWaitedIsNotRun);
  CPPUNIT_TEST(callWithoutKeyRunsOnceAndIsUnknownAfterConnectionLoss);
  CPPUNIT_TEST(refusedCallIsNotRun);
  CPPUNIT_TEST_SUITE_END();

public:
  void concurrentCallersGetTheirOwnAnswers()
  {
    CPPUNIT_ASSERT_EQUAL(kCallers, countAnswered(kRareFailuresPermille));
  }

  void frequentFailuresDoNotMixAnswers()
  {
    // About 45 % of the attempts fail, so some callers use up their attempts.
    const std::size_t answered = countAnswered(kFrequentFailuresPermille);
    CPPUNIT_ASSERT(answered > kCallers * 9 / 10);
    CPPUNIT_ASSERT(answered < kCallers);
  }

  // Every attempt delivers all tokens but fails before the end of the answer.
  void persistentFailureIsNotReportedAsAnswered()
  {
    TestDaemon daemon;
    daemon.targets_.lastEvent_ = TargetEventKind::kCutShort;
    TextSink sink;
    const transport::RequestResult result =
      daemon.run(daemon.chatCall("p"), sink);
    CPPUNIT_ASSERT(result.outcome_.kind_ ==
                   coordination::OutcomeKind::kUnknown);
    CPPUNIT_ASSERT(result.outcome_.partiallyDelivered_);
    CPPUNIT_ASSERT_EQUAL(answerOf("p"), sink.text_);
  }

  void callerDisconnectEndsTheRequest()
  {
    TestDaemon daemon;
    TextSink sink;
    sink.disconnected_ = true;
    const transport::RequestResult result =
      daemon.run(daemon.chatCall("p"), sink);
    CPPUNIT_ASSERT(result.outcome_.reason_ ==
                   coordination::RefusalReason::kCallerGone);
    CPPUNIT_ASSERT_EQUAL(tokenOf("p", 0), sink.text_);
  }

  // A daemon that had stood still sent the calls of callers that had left
  // meanwhile.
  void callOfACallerThatLeftWhileItWaitedIsNotRun()
  {
    TestDaemon daemon;
    TextSink sink;
    sink.left_ = true;
    const transport::RequestResult result =
      daemon.run(daemon.serviceCall(""), sink);
    CPPUNIT_ASSERT(result.outcome_.reason_ ==
                   coordination::RefusalReason::kCallerGone);
    CPPUNIT_ASSERT(daemon.targets_.runs_.empty());
  }

  void callWithoutKeyRunsOnceAndIsUnknownAfterConnectionLoss()
  {
    TestDaemon daemon;
    daemon.targets_.lastEvent_ = TargetEventKind::kCutShort;
    TextSink sink;
    const transport::RequestResult result =
      daemon.run(daemon.serviceCall(""), sink);
    CPPUNIT_ASSERT(result.outcome_.kind_ ==
                   coordination::OutcomeKind::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), daemon.targets_.runs_["order 1"]);
  }

  void refusedCallIsNotRun()
  {
    TestDaemon daemon;
    daemon.targets_.lastEvent_ = TargetEventKind::kRefused;
    TextSink sink;
    const transport::RequestResult result =
      daemon.run(daemon.serviceCall(""), sink);
    CPPUNIT_ASSERT(result.outcome_.kind_ == coordination::OutcomeKind::kNotRun);
    CPPUNIT_ASSERT(daemon.targets_.runs_.empty());
  }

private:
  /**
   * Runs all callers concurrently. Asserts that each receives only a prefix of
   * its own answer, and the complete answer if it is reported as answered.
   * @param aFailurePermille Chance that an attempt fails at a token, per mille.
   * @return Number of callers that got their complete answer.
   */
  std::size_t countAnswered(std::uint32_t aFailurePermille)
  {
    TestDaemon daemon;
    daemon.targets_.failurePermille_ = aFailurePermille;
    std::vector<TextSink> sinks(kCallers);
    std::vector<transport::RequestResult> results(kCallers);
    for (std::size_t index = 0; index < kCallers; ++index) {
      daemon.start(daemon.chatCall("prompt " + std::to_string(index)),
                   sinks[index],
                   results[index]);
    }
    daemon.run();
    std::size_t answered = 0;
    for (std::size_t index = 0; index < kCallers; ++index) {
      const std::string whole = answerOf("prompt " + std::to_string(index));
      CPPUNIT_ASSERT(whole.starts_with(sinks[index].text_));
      if (results[index].outcome_.kind_ ==
          coordination::OutcomeKind::kAnswered) {
        CPPUNIT_ASSERT_EQUAL(whole, sinks[index].text_);
        ++answered;
      }
    }
    return answered;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRunnerTest);
