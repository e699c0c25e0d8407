// Runs one request through its life cycle.
#pragma once

#include "coordination/request/admission.h"
#include "coordination/request/request_machine.h"
#include "coordination/request/target_chooser.h"
#include "transport/gateway/claim_dispatcher.h"
#include "transport/gateway/target_stream.h"

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnhaven::transport {

/** Takes the answer of a request. Used on the request's thread. */
class AnswerSink
{
public:
  virtual ~AnswerSink() = default;
  /**
   * Passes a token on to the caller.
   * @param aText Its text.
   * @param aYield The coroutine.
   * @return Whether the caller is still there.
   */
  virtual bool passToken(std::string_view aText,
                         const boost::asio::yield_context& aYield) = 0;
  /**
   * Sets who is told when the caller goes away.
   * @param aHandler The handler; empty for none.
   */
  virtual void onCallerGone(std::function<void()> aHandler) = 0;
};

/** Opens attempts; chooses between the ways to a target. */
class StreamOpener
{
public:
  virtual ~StreamOpener() = default;
  /**
   * @param aThread Index of the traffic thread.
   * @param aChoice The target.
   * @param aCall What to send.
   * @return The attempt, not yet sent.
   */
  virtual std::unique_ptr<TargetStream> open(
    std::size_t aThread,
    const coordination::Choice& aChoice,
    const TargetCall& aCall) = 0;
};

/** What all requests of a daemon share; each part is thread-safe. */
struct RunnerDependencies
{
  const state::Clock& clock_;            ///< Clock.
  coordination::TargetChooser& chooser_; ///< Choice of targets.
  coordination::Admission& admission_;   ///< Admission.
  coordination::RetryBudget& budget_;    ///< Budget for retries.
  ClaimDispatcher& claims_;              ///< Claims of idempotency keys.
  StreamOpener& opener_;                 ///< Ways to targets.
};

/** Times and sizes of a request that has ended. */
struct RequestTimes
{
  state::TimePoint startedAt_{};    ///< When it arrived.
  state::TimePoint admittedAt_{};   ///< When it was admitted, or zero.
  state::TimePoint firstTokenAt_{}; ///< When its first token came, or zero.
  state::Duration longestGap_{};    ///< Longest time between two tokens.
  state::Duration meanGap_{};       ///< Mean time between two tokens.
  std::uint64_t tokens_ = 0;        ///< Tokens passed on.
};

/** Result of a request. */
struct RequestResult
{
  coordination::Outcome outcome_; ///< The one outcome.
  std::shared_ptr<const coordination::StoredAnswer>
    answer_;           ///< Answer of a plain service, when answered.
  RequestTimes times_; ///< Times and sizes.
};

/**
 * Drives the state machine of one request: admission, claim, attempts, outcome.
 * Belongs to one coroutine on one traffic thread.
 */
class RequestRunner
{
public:
  /**
   * @param aParts Shared parts; outlive the runner.
   * @param aThread Index of the traffic thread.
   * @param aCall What to send; its attempt and offset are set for each attempt.
   * @param aSink Takes the tokens.
   */
  RequestRunner(const RunnerDependencies& aParts,
                std::size_t aThread,
                TargetCall aCall,
                AnswerSink& aSink);

  /**
   * Runs the request to its outcome. Call once.
   * @param aYield The coroutine.
   * @return The result.
   */
  RequestResult run(const boost::asio::yield_context& aYield);

private:
  /** Results that other threads bring; kept alive by their handlers. */
  struct Mailbox
  {
    explicit Mailbox(const boost::asio::any_io_executor& aExecutor);
    boost::asio::steady_timer wake_; ///< Cancelled when something arrives.
    std::optional<coordination::AdmissionResult> admission_; ///< End of wait.
    std::optional<coordination::ClaimResult> claim_; ///< End of the claim.
  };

  coordination::Action admit(const boost::asio::yield_context& aYield);
  coordination::Action perform(const coordination::Action& aAction,
                               const boost::asio::yield_context& aYield);
  coordination::Action claim(const boost::asio::yield_context& aYield);
  coordination::Action attempt(const coordination::Action& aAction,
                               const boost::asio::yield_context& aYield);
  coordination::Action follow(state::AttemptId aAttempt,
                              coordination::OutstandingWork& aWork,
                              const boost::asio::yield_context& aYield);
  coordination::Action passOn(state::AttemptId aAttempt,
                              const TargetEvent& aEvent,
                              coordination::OutstandingWork& aWork,
                              const boost::asio::yield_context& aYield);
  coordination::Action ended(state::AttemptId aAttempt,
                             const TargetEvent& aEvent,
                             coordination::OutstandingWork& aWork);
  void noteToken(coordination::OutstandingWork& aWork);
  void interrupt(const coordination::Action& aAction);
  void watchDeadline(boost::asio::steady_timer& aTimer);
  void settle(const coordination::Action& aAction);
  state::TimePoint now() const { return parts_.clock_.now(); }

  RunnerDependencies parts_;             ///< Shared parts.
  std::size_t thread_;                   ///< Index of the traffic thread.
  TargetCall call_;                      ///< What to send.
  AnswerSink& sink_;                     ///< Takes the tokens.
  coordination::RequestMachine machine_; ///< Life cycle.
  std::shared_ptr<Mailbox> mailbox_;     ///< Results of other threads.
  std::optional<coordination::TicketId> ticket_; ///< Admission, when given.
  ClaimTicketPtr claim_;                         ///< Claim, when made.
  std::unique_ptr<TargetStream> stream_;         ///< Present attempt.
  std::optional<coordination::Action> finish_;   ///< Final action by interrupt.
  RequestResult result_;                         ///< Result in the making.
  state::TimePoint lastTokenAt_{};               ///< When the last token came.
};

} // namespace auburnhaven::transport
