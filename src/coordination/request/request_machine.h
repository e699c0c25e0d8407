// Life cycle of one request as a state machine without I/O.
#pragma once

#include "coordination/request/claim_type.h"
#include "coordination/request/request_type.h"
#include "coordination/request/retry_budget.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace auburnhaven::coordination {

/** Result of one attempt. */
enum class AttemptResult : std::uint8_t
{
  kWhole,    ///< The complete answer was received.
  kCutShort, ///< The connection ended before the answer was complete.
  kRefused,  ///< The target reported that it did not run the request.
  kNotSent,  ///< The attempt ended before beginSending() permitted it to send.
  kNoTarget, ///< No target could be chosen.
  kTimedOut, ///< The target did not answer in time.
};

/** What the owner of a request machine must do next. */
enum class ActionKind : std::uint8_t
{
  kNone,         ///< Wait for the next event.
  kClaim,        ///< Claim the idempotency key, then call claimEnded().
  kDispatch,     ///< Choose a target and start the attempt.
  kDeliverToken, ///< Send the token to the caller.
  kFinish,       ///< Report the outcome to the caller and end the claim with
                 ///< `claimEnd_`.
};

/**
 * One action for the owner of a request machine; `cancel_` comes before the
 * rest.
 */
struct Action
{
  ActionKind kind_ = ActionKind::kNone;    ///< What to do.
  std::optional<state::AttemptId> cancel_; ///< Attempt to cancel first.
  state::AttemptId attempt_;               ///< Attempt to start, for kDispatch.
  std::uint64_t resumeOffset_ = 0; ///< First token to request, for kDispatch.
  ClaimEnd claimEnd_ = ClaimEnd::kNone; ///< How to end the claim, for kFinish.
  Outcome outcome_; ///< Outcome of the request, for kFinish.
  bool operator==(const Action&) const = default;
};

/** Limits on the attempts of a request. */
struct RequestMachineSettings
{
  std::uint32_t maxAttempts_ = 3; ///< Maximum number of attempts of a request.
  state::Duration minRemainingTime_ =
    std::chrono::milliseconds(50); ///< No retry starts with this or less time
                                   ///< left before the deadline.
  state::Duration retryAfter_ =
    std::chrono::seconds(1); ///< Advised retry delay unless a better value is
                             ///< known.
  bool operator==(const RequestMachineSettings&) const = default;
};

/**
 * State machine for the life cycle of one request. Each event returns the next
 * action for the owner. After the action kFinish every event returns kNone, so
 * that a request has exactly one outcome. Events of an attempt other than the
 * current one also return kNone. Not thread-safe: one coroutine owns it.
 */
class RequestMachine
{
public:
  /**
   * @param aInfo The request.
   * @param aBudget Retry budget; must outlive the machine.
   * @param aSettings Limits.
   */
  RequestMachine(RequestInfo aInfo,
                 RetryBudget& aBudget,
                 RequestMachineSettings aSettings = {});

  /**
   * Handles admission of the request. Precondition: first event of the machine.
   * @param aNow Current time.
   * @return kClaim for a non-idempotent request with a key, else kDispatch.
   */
  Action admitted(state::TimePoint aNow);
  /**
   * Handles refusal of the request before any claim or attempt. Precondition:
   * first event of the machine.
   * @param aReason Why the request was refused.
   * @param aRetryAfter Advised delay before the caller retries; zero for none.
   * @return kFinish with kNotRun.
   */
  Action refused(RefusalReason aReason, state::Duration aRetryAfter);
  /**
   * Handles the result of the claim that kClaim requested.
   * @param aResult Whether the claim was granted, and why not.
   * @param aNow Current time.
   * @return kDispatch when granted before the deadline, else kFinish.
   */
  Action claimEnded(const ClaimResult& aResult, state::TimePoint aNow);
  /**
   * Records the target of the current attempt, so that later attempts avoid it.
   * @param aAttempt Attempt for which the target was chosen.
   * @param aTarget VM of the target.
   */
  void targetChosen(state::AttemptId aAttempt, const state::VmId& aTarget);
  /**
   * Requests permission to send an attempt. Call directly before the first byte
   * is written to a connection; after permission the request may have run.
   * @param aAttempt Attempt to send.
   * @param aNow Current time, read after the last suspension of the coroutine.
   * @return Whether to send. When false, send nothing and report kNotSent.
   */
  [[nodiscard]] bool beginSending(state::AttemptId aAttempt,
                                  state::TimePoint aNow);
  /**
   * Handles a token or other unit of a streamed answer.
   * @param aAttempt Attempt that received the token.
   * @param aOffset Offset of the token in the complete answer, from 0.
   * @param aNow Current time.
   * @return kDeliverToken for the next token, kNone for a duplicate or when the
   * caller is gone; a gap cancels the attempt and ends it as kCutShort.
   */
  Action tokenArrived(state::AttemptId aAttempt,
                      std::uint64_t aOffset,
                      state::TimePoint aNow);
  /**
   * Handles the end of an attempt.
   * @param aAttempt Attempt that ended.
   * @param aResult How it ended. kNotSent and kNoTarget require that
   * beginSending() did not permit this attempt to send.
   * @param aNow Current time.
   * @param aTotalTokens Length of the complete streamed answer in tokens. When
   * it differs from the number of delivered tokens, kWhole is handled as
   * kCutShort.
   * @return kDispatch for a retry, kFinish, or kNone.
   */
  Action attemptEnded(state::AttemptId aAttempt,
                      AttemptResult aResult,
                      state::TimePoint aNow,
                      std::uint64_t aTotalTokens = 0);
  /**
   * Handles the loss of the caller's connection. A non-idempotent attempt that
   * may have reached its target continues, so that its claim records the
   * result.
   * @return kFinish, or kNone when the attempt continues.
   */
  Action callerGone();
  /**
   * Handles expiry of the deadline.
   * @return kFinish, which also cancels the current attempt.
   */
  Action deadlinePassed();

  /** @return The request. */
  const RequestInfo& info() const { return info_; }
  /** @return VMs of the targets of all attempts so far. */
  const std::vector<state::VmId>& triedTargets() const { return triedTargets_; }
  /** @return Number of tokens delivered to the caller. */
  std::uint64_t tokensDelivered() const { return deliveredTokens_; }
  /** @return Whether the request has its outcome. */
  bool done() const { return phase_ == Phase::kDone; }
  /** @return Whether the caller is still connected. */
  bool callerPresent() const { return callerPresent_; }

private:
  /** Phase in the life cycle of the request. */
  enum class Phase : std::uint8_t
  {
    kNew,        ///< Not yet admitted.
    kClaiming,   ///< Waiting for the claim.
    kAttempting, ///< An attempt is in progress.
    kDone,       ///< The request has its outcome.
  };

  bool isCurrentAttempt(state::AttemptId aAttempt) const;
  /** @return Whether to retry; charges the retry to the budget if required. */
  bool mayRetry(AttemptResult aResult, state::TimePoint aNow);
  Action dispatch();
  Action retryOrFinish(AttemptResult aResult, state::TimePoint aNow);
  Action finish(Outcome aOutcome);
  Action giveUp(RefusalReason aReason, bool aCancel);

  const RequestInfo info_;                ///< The request.
  RetryBudget& budget_;                   ///< Retry budget.
  const RequestMachineSettings settings_; ///< Limits.
  Phase phase_ = Phase::kNew;             ///< Current phase.
  state::AttemptId attempt_;              ///< Current or last attempt.
  bool sending_ = false;      ///< Whether `attempt_` was permitted to send.
  bool callerPresent_ = true; ///< Whether the caller is still connected.
  bool mustEndClaim_ = false; ///< Whether the outcome must end a claim.
  state::TimePoint sendDeadline_ =
    state::TimePoint::max(); ///< No attempt may begin sending at or after this
                             ///< time.
  std::uint32_t startedSends_ = 0; ///< Attempts that were permitted to send.
  std::uint32_t possibleExecutions_ = 0;  ///< Attempts that may have run.
  std::uint64_t deliveredTokens_ = 0;     ///< Tokens delivered to the caller.
  std::vector<state::VmId> triedTargets_; ///< Target VMs of all attempts.
};

/**
 * @param aReason Reason to name.
 * @return Name used in responses, logs and metrics, such as "queue-full".
 */
const char*
refusalName(RefusalReason aReason);

} // namespace auburnhaven::coordination
