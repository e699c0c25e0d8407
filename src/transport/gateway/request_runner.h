// Runs one request from admission to its outcome.
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

/** Receives the answer of a request. Used on the request's thread only. */
class AnswerSink
{
public:
  virtual ~AnswerSink() = default;
  /**
   * Passes a token to the caller.
   * @param aText Text of the token.
   * @param aYield Coroutine of the request; may be suspended.
   * @return Whether the caller is still connected.
   */
  virtual bool passToken(std::string_view aText,
                         const boost::asio::yield_context& aYield) = 0;
  /**
   * Sets the handler that is called when the caller disconnects.
   * @param aHandler Replaces the earlier handler; empty for none.
   */
  virtual void onCallerGone(std::function<void()> aHandler) = 0;
  /**
   * Asks whether the caller is still connected, also if its end has arrived and
   * was not noticed yet.
   * @param aYield Coroutine of the request; may be suspended for a moment.
   * @return Whether it is.
   */
  virtual bool confirmCaller(const boost::asio::yield_context& aYield) = 0;
};

/** Opens attempts at targets, directly or through a daemon of another zone. */
class StreamOpener
{
public:
  virtual ~StreamOpener() = default;
  /**
   * @param aThread Index of the traffic thread.
   * @param aChoice Target of the attempt.
   * @param aCall Request to send.
   * @return The attempt; nothing is sent before its first next().
   */
  virtual std::unique_ptr<TargetStream> open(
    std::size_t aThread,
    const coordination::Choice& aChoice,
    const TargetCall& aCall) = 0;
};

/** Objects shared by all requests of a daemon; each is thread-safe. */
struct RunnerDependencies
{
  const state::Clock& clock_;            ///< Monotonic and wall clock.
  coordination::TargetChooser& chooser_; ///< Chooses targets.
  coordination::Admission& admission_;   ///< Admission queue.
  coordination::RetryBudget& budget_;    ///< Limits retries.
  ClaimDispatcher& claims_;              ///< Claims idempotency keys.
  StreamOpener& opener_;                 ///< Opens attempts at targets.
};

/** Timestamps and token statistics of a request that has ended. */
struct RequestTimes
{
  state::TimePoint startedAt_{};    ///< Start of the request.
  state::TimePoint admittedAt_{};   ///< Admission; zero if not admitted.
  state::TimePoint firstTokenAt_{}; ///< First token; zero if there was none.
  state::Duration longestGap_{};    ///< Longest time between
                                    ///< consecutive tokens.
  state::Duration meanGap_{};       ///< Mean time between
                                    ///< consecutive tokens.
  std::uint64_t tokens_ = 0;        ///< Tokens passed to the caller.
};

/** Result of a request. */
struct RequestResult
{
  coordination::Outcome outcome_; ///< Outcome of the request.
  std::shared_ptr<const coordination::StoredAnswer>
    answer_;           ///< Answer of a plain service; null if there was none.
  RequestTimes times_; ///< Timestamps and token statistics.
};

/**
 * Drives the state machine of one request through admission, claim and attempts
 * to its outcome. Not thread-safe: one coroutine on one traffic thread owns it.
 */
class RequestRunner
{
public:
  /**
   * @param aDependencies Objects shared by all requests; outlive the runner.
   * @param aThread Index of the traffic thread.
   * @param aCall Request to send; its attempt ID, resume offset and timeout are
   * set for each attempt.
   * @param aSink Receives the tokens; outlives the runner.
   */
  RequestRunner(const RunnerDependencies& aDependencies,
                std::size_t aThread,
                TargetCall aCall,
                AnswerSink& aSink);

  /**
   * Runs the request to its outcome. Call only once.
   * @param aYield Coroutine that owns the runner; is suspended while waiting.
   * @return Result of the request.
   */
  RequestResult run(const boost::asio::yield_context& aYield);

private:
  /** Results delivered by other threads. Their handlers share ownership, since
   * they may be called after the runner is destroyed. */
  struct Mailbox
  {
    explicit Mailbox(const boost::asio::any_io_executor& aExecutor);
    boost::asio::steady_timer wake_; ///< Cancelled to wake the runner.
    std::optional<coordination::AdmissionResult> admission_; ///< Result for a
    ///< queued request.
    std::optional<coordination::ClaimResult> claim_; ///< Claim result.
  };

  coordination::Action admit(const boost::asio::yield_context& aYield);
  coordination::Action perform(const coordination::Action& aAction,
                               const boost::asio::yield_context& aYield);
  coordination::Action claim(const boost::asio::yield_context& aYield);
  coordination::Action attempt(const coordination::Action& aAction,
                               const boost::asio::yield_context& aYield);
  coordination::Action readAttempt(state::AttemptId aAttempt,
                                   coordination::OutstandingWork& aWork,
                                   const boost::asio::yield_context& aYield);
  coordination::Action deliverToken(state::AttemptId aAttempt,
                                    const TargetEvent& aEvent,
                                    coordination::OutstandingWork& aWork,
                                    const boost::asio::yield_context& aYield);
  coordination::Action recordAttemptEnd(state::AttemptId aAttempt,
                                        const TargetEvent& aEvent,
                                        coordination::OutstandingWork& aWork);
  void recordToken(coordination::OutstandingWork& aWork);
  void interrupt(const coordination::Action& aAction);
  void watchDeadline(boost::asio::steady_timer& aTimer);
  void release(const coordination::Action& aAction);
  state::TimePoint now() const { return dependencies_.clock_.now(); }

  RunnerDependencies dependencies_;      ///< Shared by all requests.
  std::size_t thread_;                   ///< Index of the traffic thread.
  TargetCall call_;                      ///< Request to send.
  AnswerSink& sink_;                     ///< Receives the tokens.
  coordination::RequestMachine machine_; ///< State machine.
  std::shared_ptr<Mailbox> mailbox_;     ///< Results from other threads.
  std::optional<coordination::TicketId> ticket_; ///< Admission ticket,
                                                 ///< if queued or
                                                 ///< admitted.
  ClaimTicketPtr claim_;                         ///< Claim, if one was made.
  std::unique_ptr<TargetStream> stream_;         ///< Current attempt, if any.
  std::optional<coordination::Action> finish_;   ///< Set by interrupt().
  RequestResult result_;           ///< Result, filled during run().
  state::TimePoint lastTokenAt_{}; ///< Arrival of the last token.
};

} // namespace auburnhaven::transport
