// Life cycle of one request as a state machine without I/O.
#pragma once

#include "coordination/request/claim_type.h"
#include "coordination/request/request_type.h"
#include "coordination/request/retry_budget.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace auburnhaven::coordination {

/** How one attempt ended. */
enum class AttemptResult : std::uint8_t
{
  kWhole,    ///< The whole answer was received.
  kCutShort, ///< The connection ended before the answer was whole.
  kRefused,  ///< The target said that it did not run the request.
  kNotSent,  ///< Ended before beginSending() allowed the first byte.
  kNoTarget, ///< No target could be chosen.
  kTimedOut, ///< The target did not answer in time.
};

/** What the owner of a machine has to do next. */
enum class ActionKind : std::uint8_t
{
  kNone,         ///< Wait for the next event.
  kClaim,        ///< Claim the idempotency key, then call claimEnded().
  kDispatch,     ///< Choose a target and start the attempt.
  kDeliverToken, ///< Pass the token on to the caller.
  kFinish,       ///< Give the caller the outcome and end the claim as told.
};

/** One action of the owner; `cancel_` is done before the rest. */
struct Action
{
  ActionKind kind_ = ActionKind::kNone;    ///< What to do.
  std::optional<state::AttemptId> cancel_; ///< Attempt to cancel first.
  state::AttemptId attempt_;       ///< Attempt to start, when dispatching.
  std::uint64_t resumeOffset_ = 0; ///< First token wanted, when dispatching.
  ClaimEnd claimEnd_ =
    ClaimEnd::kNone; ///< What to tell the claim service, when finishing.
  Outcome outcome_;  ///< The outcome, when finishing.
  bool operator==(const Action&) const = default;
};

/** Limits of the life cycle. */
struct RequestMachineSettings
{
  std::uint32_t maxAttempts_ = 3; ///< Attempts of an idempotent request.
  state::Duration minRemainingTime_ =
    std::chrono::milliseconds(50); ///< Time before the deadline below which no
                                   ///< further attempt starts.
  state::Duration retryAfter_ =
    std::chrono::seconds(1); ///< Advice when no better one is known.
  bool operator==(const RequestMachineSettings&) const = default;
};

/**
 * Life cycle of one request. Events go in, one action comes out; after the
 * action kFinish every event yields kNone, so that a request has exactly one
 * outcome. Events of an attempt that is not the present one yield kNone. Not
 * thread-safe: one coroutine owns it.
 */
class RequestMachine
{
public:
  /**
   * @param aInfo The request.
   * @param aBudget Budget for retries; outlives the machine.
   * @param aSettings Limits.
   */
  RequestMachine(RequestInfo aInfo,
                 RetryBudget& aBudget,
                 RequestMachineSettings aSettings = {});

  /**
   * The request was admitted. Precondition: first event of the machine.
   * @param aNow Present time.
   * @return kClaim for a non-idempotent request with a key, else kDispatch.
   */
  Action admitted(state::TimePoint aNow);
  /**
   * The request was refused before any claim or attempt.
   * @param aReason Why.
   * @param aRetryAfter When to come back.
   * @return kFinish with kNotRun.
   */
  Action refused(RefusalReason aReason, state::Duration aRetryAfter);
  /**
   * The claim that kClaim asked for ended.
   * @param aResult How.
   * @param aNow Present time.
   * @return kDispatch when granted, else kFinish.
   */
  Action claimEnded(const ClaimResult& aResult, state::TimePoint aNow);
  /**
   * A target was chosen for the present attempt; it is not chosen again.
   * @param aAttempt The attempt.
   * @param aTarget The target.
   */
  void targetChosen(state::AttemptId aAttempt, const state::VmId& aTarget);
  /**
   * Asks for leave to send. Call directly before the first byte of the attempt
   * is handed to a connection; from then on the request may have run.
   * @param aAttempt The attempt.
   * @param aNow Present time, read after the last wait.
   * @return Whether to send. When not, send nothing and report kNotSent.
   */
  [[nodiscard]] bool beginSending(state::AttemptId aAttempt,
                                  state::TimePoint aNow);
  /**
   * A token or other unit of a streamed answer arrived.
   * @param aAttempt The attempt.
   * @param aOffset Offset of the token in the whole answer, from 0.
   * @param aNow Present time.
   * @return kDeliverToken for the next token, kNone for a doubled one; a gap
   * ends the attempt as cut short.
   */
  Action tokenArrived(state::AttemptId aAttempt,
                      std::uint64_t aOffset,
                      state::TimePoint aNow);
  /**
   * An attempt ended.
   * @param aAttempt The attempt.
   * @param aEnd How. kNotSent and kNoTarget only when beginSending() did not
   * allow this attempt to send.
   * @param aNow Present time.
   * @param aTokens Whole length of a streamed answer; another length than the
   * tokens passed on makes a whole answer one cut short.
   * @return kDispatch for a retry, kFinish, or kNone.
   */
  Action attemptEnded(state::AttemptId aAttempt,
                      AttemptResult aEnd,
                      state::TimePoint aNow,
                      std::uint64_t aTokens = 0);
  /**
   * The caller closed its connection. A non-idempotent attempt that may have
   * reached its target goes on, so that its claim learns the end.
   * @return kFinish, or kNone when the attempt goes on.
   */
  Action callerGone();
  /**
   * The deadline passed.
   * @return kFinish at once, with the present attempt cancelled.
   */
  Action deadlinePassed();

  /** @return The request. */
  const RequestInfo& info() const { return info_; }
  /** @return Targets of all attempts so far. */
  const std::vector<state::VmId>& triedTargets() const { return tried_; }
  /** @return Tokens passed on. */
  std::uint64_t tokensDelivered() const { return passed_; }
  /** @return Whether the outcome was given. */
  bool done() const { return phase_ == Phase::kDone; }
  /** @return Whether the caller is still there. */
  bool callerPresent() const { return callerPresent_; }

private:
  /** Phase of the request. */
  enum class Phase : std::uint8_t
  {
    kNew,        ///< Not yet admitted.
    kClaiming,   ///< Waits for the claim.
    kAttempting, ///< An attempt is under way.
    kDone,       ///< The outcome was given.
  };

  bool isPresent(state::AttemptId aAttempt) const;
  bool mayRetry(AttemptResult aEnd, state::TimePoint aNow);
  Action dispatch();
  Action retryOrFinish(AttemptResult aEnd, state::TimePoint aNow);
  Action finish(Outcome aOutcome);
  Action giveUp(RefusalReason aReason, bool aCancel);

  const RequestInfo info_;                ///< The request.
  RetryBudget& budget_;                   ///< Budget for retries.
  const RequestMachineSettings settings_; ///< Limits.
  Phase phase_ = Phase::kNew;             ///< Phase.
  state::AttemptId attempt_;              ///< Present or last attempt.
  bool sending_ = false;                  ///< Whether it was allowed to send.
  bool callerPresent_ = true; ///< Whether the caller is still there.
  bool claimOpen_ = false;    ///< Whether a claim must be ended.
  state::TimePoint sendUntil_ =
    state::TimePoint::max();       ///< Last moment to begin sending.
  std::uint32_t dispatches_ = 0;   ///< Attempts that were allowed to send.
  std::uint32_t possibleRuns_ = 0; ///< Attempts that may have run.
  std::uint64_t passed_ = 0;       ///< Tokens passed on.
  std::vector<state::VmId> tried_; ///< Targets so far.
};

/**
 * @param aReason Why a request was not answered.
 * @return Its name in answers, logs and metrics, such as "queue-full".
 */
const char*
refusalName(RefusalReason aReason);

} // namespace auburnhaven::coordination
