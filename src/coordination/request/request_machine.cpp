// Life cycle of one request as a state machine without I/O.

#include "coordination/request/request_machine.h"

#include <array>
#include <cassert>
#include <utility>

namespace auburnhaven::coordination {

namespace {

/** Maps the status of a claim that was not granted to the request's outcome. */
struct ClaimRefusal
{
  ClaimStatus status_;   ///< Status of the claim.
  OutcomeKind kind_;     ///< Outcome reported to the caller.
  RefusalReason reason_; ///< Reason reported to the caller.
};

// A duplicate is never reported as kNotRun, because the original request with
// the same key may have run.
constexpr std::array kClaimRefusals{
  ClaimRefusal{ ClaimStatus::kInProgress,
                OutcomeKind::kUnknown,
                RefusalReason::kDuplicateInProgress },
  ClaimRefusal{ ClaimStatus::kHolderLost,
                OutcomeKind::kUnknown,
                RefusalReason::kHolderLost },
  ClaimRefusal{ ClaimStatus::kUnknown,
                OutcomeKind::kUnknown,
                RefusalReason::kTargetLost },
  ClaimRefusal{ ClaimStatus::kKeyReused,
                OutcomeKind::kNotRun,
                RefusalReason::kKeyReused },
  ClaimRefusal{ ClaimStatus::kTooOld,
                OutcomeKind::kUnknown,
                RefusalReason::kKeyTooOld },
  ClaimRefusal{ ClaimStatus::kInvalid,
                OutcomeKind::kNotRun,
                RefusalReason::kKeyInvalid },
  ClaimRefusal{ ClaimStatus::kUnavailable,
                OutcomeKind::kNotRun,
                RefusalReason::kStoreUnavailable },
};

/** Names of refusal reasons, in the order of RefusalReason. */
constexpr std::array kRefusalNames{
  "none",
  "account-limit",
  "queue-full",
  "deadline-too-near",
  "waited-too-long",
  "no-target",
  "target-refused",
  "target-lost",
  "target-timeout",
  "retries-exhausted",
  "deadline-exceeded",
  "caller-gone",
  "stopping",
  "duplicate-in-progress",
  "holder-lost",
  "key-reused",
  "key-too-old",
  "key-invalid",
  "store-unavailable",
  "claim-expired",
  "answer-not-kept",
};

/** @return Refusal reason for the result of the last attempt. */
RefusalReason
reasonOf(AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::kRefused:
      return RefusalReason::kTargetRefused;
    case AttemptResult::kNoTarget:
      return RefusalReason::kNoTarget;
    case AttemptResult::kTimedOut:
      return RefusalReason::kTargetTimeout;
    default:
      return RefusalReason::kTargetLost;
  }
}

} // namespace

const char*
refusalName(RefusalReason aReason)
{
  static_assert(kRefusalNames.size() ==
                static_cast<std::size_t>(RefusalReason::kAnswerNotKept) + 1);
  return kRefusalNames.at(static_cast<std::size_t>(aReason));
}

RequestMachine::RequestMachine(RequestInfo aInfo,
                               RetryBudget& aBudget,
                               RequestMachineSettings aSettings)
  : info_(std::move(aInfo))
  , budget_(aBudget)
  , settings_(aSettings)
{
}

Action
RequestMachine::admitted(state::TimePoint aNow)
{
  if (done()) {
    return {};
  }
  assert(phase_ == Phase::kNew);
  if (aNow >= info_.deadline_) {
    return deadlinePassed();
  }
  if (info_.idempotent_ || info_.idempotencyKey_.empty()) {
    return dispatch();
  }
  phase_ = Phase::kClaiming;
  mustEndClaim_ = true;
  Action action;
  action.kind_ = ActionKind::kClaim;
  return action;
}

Action
RequestMachine::refused(RefusalReason aReason, state::Duration aRetryAfter)
{
  if (done()) {
    return {};
  }
  assert(phase_ == Phase::kNew);
  return finish({ OutcomeKind::kNotRun, aReason, aRetryAfter, false, {} });
}

Action
RequestMachine::claimEnded(const ClaimResult& aResult, state::TimePoint aNow)
{
  if (phase_ != Phase::kClaiming) {
    return {};
  }
  if (aResult.status_ == ClaimStatus::kGranted) {
    sendDeadline_ = aResult.dispatchUntil_;
    return aNow < info_.deadline_ ? dispatch() : deadlinePassed();
  }
  mustEndClaim_ = false;
  if (aResult.status_ == ClaimStatus::kFinished) {
    const bool stored = aResult.answer_ != nullptr;
    return finish(
      { OutcomeKind::kAnswered,
        stored ? RefusalReason::kNone : RefusalReason::kAnswerNotKept,
        {},
        false,
        aResult.answer_ });
  }
  for (const ClaimRefusal& refusal : kClaimRefusals) {
    if (refusal.status_ == aResult.status_) {
      return finish(
        { refusal.kind_, refusal.reason_, aResult.retryAfter_, false, {} });
    }
  }
  assert(false);
  return {};
}

void
RequestMachine::targetChosen(state::AttemptId aAttempt,
                             const state::VmId& aTarget)
{
  if (isCurrentAttempt(aAttempt)) {
    triedTargets_.push_back(aTarget);
  }
}

bool
RequestMachine::beginSending(state::AttemptId aAttempt, state::TimePoint aNow)
{
  if (!isCurrentAttempt(aAttempt) || sending_) {
    return false;
  }
  if (aNow >= info_.deadline_ || aNow >= sendDeadline_) {
    return false;
  }
  if (!info_.idempotent_ && startedSends_ > 0) {
    return false;
  }
  sending_ = true;
  ++startedSends_;
  ++possibleExecutions_;
  assert(info_.idempotent_ || startedSends_ == 1);
  return true;
}

Action
RequestMachine::tokenArrived(state::AttemptId aAttempt,
                             std::uint64_t aOffset,
                             state::TimePoint aNow)
{
  if (!isCurrentAttempt(aAttempt) || !sending_ || aOffset < deliveredTokens_) {
    return {};
  }
  if (aOffset > deliveredTokens_) {
    Action action = retryOrFinish(AttemptResult::kCutShort, aNow);
    action.cancel_ = aAttempt;
    return action;
  }
  ++deliveredTokens_;
  Action action;
  action.kind_ = callerPresent_ ? ActionKind::kDeliverToken : ActionKind::kNone;
  return action;
}

Action
RequestMachine::attemptEnded(state::AttemptId aAttempt,
                             AttemptResult aResult,
                             state::TimePoint aNow,
                             std::uint64_t aTotalTokens)
{
  if (!isCurrentAttempt(aAttempt)) {
    return {};
  }
  const bool notSent =
    aResult == AttemptResult::kNotSent || aResult == AttemptResult::kNoTarget;
  assert(!notSent || !sending_);
  if (aResult == AttemptResult::kWhole && sending_) {
    if (!info_.stream_ || aTotalTokens == deliveredTokens_) {
      return finish({ OutcomeKind::kAnswered, {}, {}, false, {} });
    }
    return retryOrFinish(AttemptResult::kCutShort, aNow);
  }
  if (aResult == AttemptResult::kRefused && sending_ && deliveredTokens_ == 0) {
    --possibleExecutions_;
  }
  Action action = retryOrFinish(aResult, aNow);
  if (aResult == AttemptResult::kTimedOut) {
    action.cancel_ = aAttempt;
  }
  return action;
}

Action
RequestMachine::callerGone()
{
  if (done()) {
    return {};
  }
  callerPresent_ = false;
  if (!info_.idempotent_ && sending_) {
    return {};
  }
  return giveUp(RefusalReason::kCallerGone, true);
}

Action
RequestMachine::deadlinePassed()
{
  if (done()) {
    return {};
  }
  return giveUp(RefusalReason::kDeadlineExceeded, true);
}

bool
RequestMachine::isCurrentAttempt(state::AttemptId aAttempt) const
{
  return phase_ == Phase::kAttempting && aAttempt == attempt_;
}

bool
RequestMachine::mayRetry(AttemptResult aResult, state::TimePoint aNow)
{
  const bool alreadySent = !info_.idempotent_ && startedSends_ > 0;
  if (aResult == AttemptResult::kNoTarget || alreadySent || !callerPresent_) {
    return false;
  }
  if (attempt_.value() >= settings_.maxAttempts_) {
    return false;
  }
  if (aNow + settings_.minRemainingTime_ >= info_.deadline_ ||
      aNow >= sendDeadline_) {
    return false;
  }
  // Retries after an attempt that sent nothing or was refused are not charged
  // to the budget, because that attempt put no load on its target.
  return !sending_ || aResult == AttemptResult::kRefused ||
         budget_.tryAcquireRetry();
}

Action
RequestMachine::dispatch()
{
  if (phase_ != Phase::kAttempting) {
    budget_.requestStarted();
  }
  phase_ = Phase::kAttempting;
  attempt_ = attempt_.next();
  sending_ = false;
  Action action;
  action.kind_ = ActionKind::kDispatch;
  action.attempt_ = attempt_;
  action.resumeOffset_ = deliveredTokens_;
  return action;
}

Action
RequestMachine::retryOrFinish(AttemptResult aResult, state::TimePoint aNow)
{
  if (mayRetry(aResult, aNow)) {
    return dispatch();
  }
  if (aNow >= info_.deadline_) {
    return giveUp(RefusalReason::kDeadlineExceeded, false);
  }
  if (aNow >= sendDeadline_ && startedSends_ == 0) {
    return giveUp(RefusalReason::kClaimExpired, false);
  }
  const bool retryable =
    info_.idempotent_ && aResult != AttemptResult::kNoTarget && callerPresent_;
  return giveUp(
    retryable ? RefusalReason::kRetriesExhausted : reasonOf(aResult), false);
}

Action
RequestMachine::giveUp(RefusalReason aReason, bool aCancel)
{
  const bool attempting = phase_ == Phase::kAttempting;
  Action action = finish(
    { possibleExecutions_ == 0 ? OutcomeKind::kNotRun : OutcomeKind::kUnknown,
      aReason,
      settings_.retryAfter_,
      deliveredTokens_ > 0,
      {} });
  if (aCancel && attempting) {
    action.cancel_ = attempt_;
  }
  return action;
}

Action
RequestMachine::finish(Outcome aOutcome)
{
  assert(!done());
  assert(aOutcome.kind_ != OutcomeKind::kNotRun || possibleExecutions_ == 0);
  phase_ = Phase::kDone;
  Action action;
  action.kind_ = ActionKind::kFinish;
  if (mustEndClaim_) {
    action.claimEnd_ =
      aOutcome.kind_ == OutcomeKind::kAnswered ? ClaimEnd::kFinished
      : aOutcome.kind_ == OutcomeKind::kNotRun ? ClaimEnd::kNotRun
                                               : ClaimEnd::kUnknown;
  }
  action.outcome_ = std::move(aOutcome);
  return action;
}

} // namespace auburnhaven::coordination
