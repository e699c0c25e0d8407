// Life cycle of one request as a state machine without I/O.

#include "coordination/request/request_machine.h"

#include <array>
#include <cassert>
#include <utility>

namespace auburnhaven::coordination {

namespace {

/** Outcome of a request whose claim was not granted. */
struct ClaimRefusal
{
  ClaimStatus status_;   ///< How the claim ended.
  OutcomeKind kind_;     ///< Outcome for the caller.
  RefusalReason reason_; ///< Reason for the caller.
};

// A duplicate is never "not run": the call that it repeats may have run.
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

/** Names by the order of RefusalReason. */
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

/** @return Reason that stands for the end of the last attempt. */
RefusalReason
reasonOf(AttemptResult aEnd)
{
  switch (aEnd) {
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
  claimOpen_ = true;
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
    sendUntil_ = aResult.dispatchUntil_;
    return aNow < info_.deadline_ ? dispatch() : deadlinePassed();
  }
  claimOpen_ = false;
  if (aResult.status_ == ClaimStatus::kFinished) {
    const bool kept = aResult.answer_ != nullptr;
    return finish({ OutcomeKind::kAnswered,
                    kept ? RefusalReason::kNone : RefusalReason::kAnswerNotKept,
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
  if (isPresent(aAttempt)) {
    tried_.push_back(aTarget);
  }
}

bool
RequestMachine::beginSending(state::AttemptId aAttempt, state::TimePoint aNow)
{
  if (!isPresent(aAttempt) || sending_) {
    return false;
  }
  if (aNow >= info_.deadline_ || aNow >= sendUntil_) {
    return false;
  }
  if (!info_.idempotent_ && dispatches_ > 0) {
    return false;
  }
  sending_ = true;
  ++dispatches_;
  ++possibleRuns_;
  assert(info_.idempotent_ || dispatches_ == 1);
  return true;
}

Action
RequestMachine::tokenArrived(state::AttemptId aAttempt,
                             std::uint64_t aOffset,
                             state::TimePoint aNow)
{
  if (!isPresent(aAttempt) || !sending_ || aOffset < passed_) {
    return {};
  }
  if (aOffset > passed_) {
    Action action = retryOrFinish(AttemptResult::kCutShort, aNow);
    action.cancel_ = aAttempt;
    return action;
  }
  ++passed_;
  Action action;
  action.kind_ = callerPresent_ ? ActionKind::kDeliverToken : ActionKind::kNone;
  return action;
}

Action
RequestMachine::attemptEnded(state::AttemptId aAttempt,
                             AttemptResult aEnd,
                             state::TimePoint aNow,
                             std::uint64_t aTokens)
{
  if (!isPresent(aAttempt)) {
    return {};
  }
  const bool unsent =
    aEnd == AttemptResult::kNotSent || aEnd == AttemptResult::kNoTarget;
  assert(!unsent || !sending_);
  if (aEnd == AttemptResult::kWhole && sending_) {
    if (!info_.stream_ || aTokens == passed_) {
      return finish({ OutcomeKind::kAnswered, {}, {}, false, {} });
    }
    return retryOrFinish(AttemptResult::kCutShort, aNow);
  }
  if (aEnd == AttemptResult::kRefused && sending_ && passed_ == 0) {
    --possibleRuns_;
  }
  Action action = retryOrFinish(aEnd, aNow);
  if (aEnd == AttemptResult::kTimedOut) {
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
RequestMachine::isPresent(state::AttemptId aAttempt) const
{
  return phase_ == Phase::kAttempting && aAttempt == attempt_;
}

bool
RequestMachine::mayRetry(AttemptResult aEnd, state::TimePoint aNow)
{
  const bool dispatchedOnce = !info_.idempotent_ && dispatches_ > 0;
  if (aEnd == AttemptResult::kNoTarget || dispatchedOnce || !callerPresent_) {
    return false;
  }
  if (attempt_.value() >= settings_.maxAttempts_) {
    return false;
  }
  if (aNow + settings_.minRemainingTime_ >= info_.deadline_ ||
      aNow >= sendUntil_) {
    return false;
  }
  // An attempt that sent nothing or was refused has put no load on its target.
  return !sending_ || aEnd == AttemptResult::kRefused ||
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
  action.resumeOffset_ = passed_;
  return action;
}

Action
RequestMachine::retryOrFinish(AttemptResult aEnd, state::TimePoint aNow)
{
  if (mayRetry(aEnd, aNow)) {
    return dispatch();
  }
  if (aNow >= info_.deadline_) {
    return giveUp(RefusalReason::kDeadlineExceeded, false);
  }
  if (aNow >= sendUntil_ && dispatches_ == 0) {
    return giveUp(RefusalReason::kClaimExpired, false);
  }
  const bool retryable =
    info_.idempotent_ && aEnd != AttemptResult::kNoTarget && callerPresent_;
  return giveUp(retryable ? RefusalReason::kRetriesExhausted : reasonOf(aEnd),
                false);
}

Action
RequestMachine::giveUp(RefusalReason aReason, bool aCancel)
{
  const bool attempting = phase_ == Phase::kAttempting;
  Action action =
    finish({ possibleRuns_ == 0 ? OutcomeKind::kNotRun : OutcomeKind::kUnknown,
             aReason,
             settings_.retryAfter_,
             passed_ > 0,
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
  assert(aOutcome.kind_ != OutcomeKind::kNotRun || possibleRuns_ == 0);
  phase_ = Phase::kDone;
  Action action;
  action.kind_ = ActionKind::kFinish;
  if (claimOpen_) {
    action.claimEnd_ =
      aOutcome.kind_ == OutcomeKind::kAnswered ? ClaimEnd::kFinished
      : aOutcome.kind_ == OutcomeKind::kNotRun ? ClaimEnd::kNotRun
                                               : ClaimEnd::kUnknown;
  }
  action.outcome_ = std::move(aOutcome);
  return action;
}

} // namespace auburnhaven::coordination
