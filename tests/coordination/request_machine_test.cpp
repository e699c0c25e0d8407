// Tests of the life cycle of a request when targets, callers or claims fail.

#include "coordination/request/request_machine.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

namespace {

constexpr state::TimePoint kStart{ 1h }; ///< Time at which requests arrive.

/** @return A streamed, idempotent request with a deadline after 10 s. */
RequestInfo
streamInfo()
{
  RequestInfo info;
  info.group_ = state::GroupId("drafts");
  info.stream_ = true;
  info.idempotent_ = true;
  info.deadline_ = kStart + 10s;
  return info;
}

/** @return A non-idempotent call; `aKey` is its idempotency key or empty. */
RequestInfo
callInfo(const std::string& aKey)
{
  RequestInfo info;
  info.service_ = state::ServiceId("orders");
  info.operation_ = "confirm";
  info.idempotencyKey_ = aKey;
  info.deadline_ = kStart + 10s;
  return info;
}

/** @return Result of a claim that permits sending for 5 s. */
ClaimResult
claimResult(ClaimStatus aStatus)
{
  return { aStatus, ClaimToken(1), kStart + 5s, {}, {} };
}

} // namespace

class RequestMachineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestMachineTest);
  CPPUNIT_TEST(targetDiesBeforeAnswer);
  CPPUNIT_TEST(targetDiesDuringStream);
  CPPUNIT_TEST(targetDiesAfterAnswer);
  CPPUNIT_TEST(truncatedStreamIsRetried);
  CPPUNIT_TEST(tokenAfterGapIsNotDelivered);
  CPPUNIT_TEST(cancelledAttemptDeliversNothing);
  CPPUNIT_TEST(exhaustedBudgetStopsRetries);
  CPPUNIT_TEST(deadlineStopsRetries);
  CPPUNIT_TEST(unsentRequestIsNotRun);
  CPPUNIT_TEST(requestRefusedByTargetIsNotRun);
  CPPUNIT_TEST(timedOutCallIsUnknownAndNotRetried);
  CPPUNIT_TEST(expiredClaimPreventsSending);
  CPPUNIT_TEST(duplicateIsNeverReportedAsNotRun);
  CPPUNIT_TEST(disconnectOfCallerCancelsStream);
  CPPUNIT_TEST(disconnectOfCallerKeepsCallRunning);
  CPPUNIT_TEST(slowCallerIsEndedAtDeadline);
  CPPUNIT_TEST(deadlineWhileClaimingIsNotRun);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    budget_ = std::make_unique<RetryBudget>();
    machine_ = std::make_unique<RequestMachine>(streamInfo(), *budget_);
  }

  void targetDiesBeforeAnswer()
  {
    const state::AttemptId first = send(machine_->admitted(kStart));
    const Action retry =
      machine_->attemptEnded(first, AttemptResult::kCutShort, kStart + 1s);
    CPPUNIT_ASSERT(retry.kind_ == ActionKind::kDispatch);
    CPPUNIT_ASSERT(machine_->triedTargets().size() == 1);
    send(retry);
    deliver(retry.attempt_, 0, 3);
    const Action end = machine_->attemptEnded(
      retry.attempt_, AttemptResult::kWhole, kStart + 2s, 3);
    CPPUNIT_ASSERT(end.outcome_.kind_ == OutcomeKind::kAnswered);
  }

  void targetDiesDuringStream()
  {
    const state::AttemptId first = send(machine_->admitted(kStart));
    deliver(first, 0, 2);
    const Action retry =
      machine_->attemptEnded(first, AttemptResult::kCutShort, kStart + 1s);
    CPPUNIT_ASSERT(retry.kind_ == ActionKind::kDispatch);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), retry.resumeOffset_);
    send(retry);
    deliver(retry.attempt_, 2, 5);
    const Action end = machine_->attemptEnded(
      retry.attempt_, AttemptResult::kWhole, kStart + 2s, 5);
    CPPUNIT_ASSERT(end.outcome_.kind_ == OutcomeKind::kAnswered);
  }

  void targetDiesAfterAnswer()
  {
    const state::AttemptId first = send(machine_->admitted(kStart));
    deliver(first, 0, 2);
    const Action end =
      machine_->attemptEnded(first, AttemptResult::kWhole, kStart + 1s, 2);
    CPPUNIT_ASSERT(end.outcome_.kind_ == OutcomeKind::kAnswered);
    CPPUNIT_ASSERT(machine_->attemptEnded(
                     first, AttemptResult::kCutShort, kStart + 1s) == Action{});
    CPPUNIT_ASSERT(machine_->deadlinePassed() == Action{});
  }

  void truncatedStreamIsRetried()
  {
    const state::AttemptId first = send(machine_->admitted(kStart));
    deliver(first, 0, 2);
    const Action action =
      machine_->attemptEnded(first, AttemptResult::kWhole, kStart + 1s, 3);
    CPPUNIT_ASSERT(action.kind_ == ActionKind::kDispatch);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), action.resumeOffset_);
  }

  void tokenAfterGapIsNotDelivered()
  {
    const state::AttemptId first = send(machine_->admitted(kStart));
    deliver(first, 0, 1);
    CPPUNIT_ASSERT(machine_->tokenArrived(first, 0, kStart) == Action{});
    const Action action = machine_->tokenArrived(first, 2, kStart);
    CPPUNIT_ASSERT(action.kind_ == ActionKind::kDispatch);
    CPPUNIT_ASSERT(action.cancel_ == first);
  }

  void cancelledAttemptDeliversNothing()
  {
    const state::AttemptId first = send(machine_->admitted(kStart));
    const Action retry =
      machine_->attemptEnded(first, AttemptResult::kTimedOut, kStart + 1s);
    CPPUNIT_ASSERT(retry.cancel_ == first);
    send(retry);
    CPPUNIT_ASSERT(machine_->tokenArrived(first, 0, kStart + 1s) == Action{});
    CPPUNIT_ASSERT(machine_->attemptEnded(
                     first, AttemptResult::kWhole, kStart + 1s) == Action{});
    CPPUNIT_ASSERT(!machine_->beginSending(first, kStart + 1s));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), machine_->tokensDelivered());
  }

  void exhaustedBudgetStopsRetries()
  {
    while (budget_->tryAcquireRetry()) {
    }
    const state::AttemptId first = send(machine_->admitted(kStart));
    const Action action =
      machine_->attemptEnded(first, AttemptResult::kCutShort, kStart + 1s);
    CPPUNIT_ASSERT(action.outcome_.reason_ == RefusalReason::kRetriesExhausted);
    CPPUNIT_ASSERT(action.outcome_.kind_ == OutcomeKind::kUnknown);
  }

  void deadlineStopsRetries()
  {
    const state::AttemptId first = send(machine_->admitted(kStart));
    const Action action =
      machine_->attemptEnded(first, AttemptResult::kCutShort, kStart + 9990ms);
    CPPUNIT_ASSERT(action.kind_ == ActionKind::kFinish);
  }

  void unsentRequestIsNotRun()
  {
    makeCall("");
    const Action dispatch = machine_->admitted(kStart);
    const Action again = machine_->attemptEnded(
      dispatch.attempt_, AttemptResult::kNotSent, kStart + 1s);
    CPPUNIT_ASSERT(again.kind_ == ActionKind::kDispatch);
    const Action end = machine_->attemptEnded(
      again.attempt_, AttemptResult::kNoTarget, kStart + 1s);
    CPPUNIT_ASSERT(end.outcome_.kind_ == OutcomeKind::kNotRun);
    CPPUNIT_ASSERT(end.outcome_.reason_ == RefusalReason::kNoTarget);
  }

  void requestRefusedByTargetIsNotRun()
  {
    makeCall("k");
    machine_->admitted(kStart);
    const state::AttemptId first =
      send(machine_->claimEnded(claimResult(ClaimStatus::kGranted), kStart));
    const Action end =
      machine_->attemptEnded(first, AttemptResult::kRefused, kStart + 1s);
    CPPUNIT_ASSERT(end.outcome_.kind_ == OutcomeKind::kNotRun);
    CPPUNIT_ASSERT(end.claimEnd_ == ClaimEnd::kNotRun);
  }

  void timedOutCallIsUnknownAndNotRetried()
  {
    makeCall("k");
    machine_->admitted(kStart);
    const state::AttemptId first =
      send(machine_->claimEnded(claimResult(ClaimStatus::kGranted), kStart));
    const Action end =
      machine_->attemptEnded(first, AttemptResult::kTimedOut, kStart + 1s);
    CPPUNIT_ASSERT(end.outcome_.kind_ == OutcomeKind::kUnknown);
    CPPUNIT_ASSERT(end.claimEnd_ == ClaimEnd::kUnknown);
  }

  void expiredClaimPreventsSending()
  {
    makeCall("k");
    machine_->admitted(kStart);
    const Action dispatch =
      machine_->claimEnded(claimResult(ClaimStatus::kGranted), kStart);
    CPPUNIT_ASSERT(!machine_->beginSending(dispatch.attempt_, kStart + 6s));
    const Action end = machine_->attemptEnded(
      dispatch.attempt_, AttemptResult::kNotSent, kStart + 6s);
    CPPUNIT_ASSERT(end.outcome_.reason_ == RefusalReason::kClaimExpired);
    CPPUNIT_ASSERT(end.outcome_.kind_ == OutcomeKind::kNotRun);
    CPPUNIT_ASSERT(end.claimEnd_ == ClaimEnd::kNotRun);
  }

  void duplicateIsNeverReportedAsNotRun()
  {
    for (const ClaimStatus status : { ClaimStatus::kInProgress,
                                      ClaimStatus::kHolderLost,
                                      ClaimStatus::kUnknown,
                                      ClaimStatus::kTooOld }) {
      makeCall("k");
      machine_->admitted(kStart);
      const Action end = machine_->claimEnded(claimResult(status), kStart);
      CPPUNIT_ASSERT(end.outcome_.kind_ == OutcomeKind::kUnknown);
      CPPUNIT_ASSERT(end.claimEnd_ == ClaimEnd::kNone);
    }
  }

  void disconnectOfCallerCancelsStream()
  {
    const state::AttemptId first = send(machine_->admitted(kStart));
    deliver(first, 0, 2);
    const Action action = machine_->callerGone();
    CPPUNIT_ASSERT(action.cancel_ == first);
    CPPUNIT_ASSERT(action.outcome_.reason_ == RefusalReason::kCallerGone);
  }

  void disconnectOfCallerKeepsCallRunning()
  {
    makeCall("k");
    machine_->admitted(kStart);
    const state::AttemptId first =
      send(machine_->claimEnded(claimResult(ClaimStatus::kGranted), kStart));
    CPPUNIT_ASSERT(machine_->callerGone() == Action{});
    const Action end =
      machine_->attemptEnded(first, AttemptResult::kWhole, kStart + 1s);
    CPPUNIT_ASSERT(end.claimEnd_ == ClaimEnd::kFinished);
  }

  void slowCallerIsEndedAtDeadline()
  {
    const state::AttemptId first = send(machine_->admitted(kStart));
    deliver(first, 0, 2);
    const Action action = machine_->deadlinePassed();
    CPPUNIT_ASSERT(action.cancel_ == first);
    CPPUNIT_ASSERT(action.outcome_.kind_ == OutcomeKind::kUnknown);
    CPPUNIT_ASSERT(action.outcome_.partiallyDelivered_);
  }

  void deadlineWhileClaimingIsNotRun()
  {
    makeCall("k");
    machine_->admitted(kStart);
    const Action end = machine_->deadlinePassed();
    CPPUNIT_ASSERT(end.outcome_.kind_ == OutcomeKind::kNotRun);
    CPPUNIT_ASSERT(end.claimEnd_ == ClaimEnd::kNotRun);
    CPPUNIT_ASSERT(machine_->claimEnded(claimResult(ClaimStatus::kGranted),
                                        kStart) == Action{});
  }

private:
  void makeCall(const std::string& aKey)
  {
    machine_ = std::make_unique<RequestMachine>(callInfo(aKey), *budget_);
  }

  /** Starts the attempt that an action requests and permits it to send. */
  state::AttemptId send(const Action& aAction)
  {
    CPPUNIT_ASSERT(aAction.kind_ == ActionKind::kDispatch);
    machine_->targetChosen(aAction.attempt_, state::VmId("vm"));
    CPPUNIT_ASSERT(machine_->beginSending(aAction.attempt_, kStart));
    return aAction.attempt_;
  }

  /** Receives tokens and checks that each one is delivered to the caller. */
  void deliver(state::AttemptId aAttempt,
               std::uint64_t aFrom,
               std::uint64_t aTo)
  {
    for (std::uint64_t token = aFrom; token < aTo; ++token) {
      CPPUNIT_ASSERT(machine_->tokenArrived(aAttempt, token, kStart).kind_ ==
                     ActionKind::kDeliverToken);
    }
  }

  std::unique_ptr<RetryBudget> budget_;     ///< Retry budget.
  std::unique_ptr<RequestMachine> machine_; ///< Machine under test.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestMachineTest);
