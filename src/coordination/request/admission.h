// Admission control by account limit, priority and deadline.
#pragma once

#include "coordination/request/account_limiter.h"
#include "coordination/request/fair_queue.h"
#include "coordination/request/request_type.h"
#include "state/serving_view_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnhaven::coordination {

/** Admission decision. */
enum class AdmissionStatus : std::uint8_t
{
  kAdmitted, ///< The request may be dispatched now.
  kQueued,   ///< The request is queued; the handler gets the final decision.
  kRefused,  ///< The request is not run.
};

/** Admission decision with its ticket or its reason. */
struct AdmissionResult
{
  AdmissionStatus status_ = AdmissionStatus::kRefused; ///< Decision.
  TicketId ticket_; ///< Ticket; empty if refused without queueing.
  RefusalReason reason_ = RefusalReason::kNone; ///< Reason for a refusal.
  state::Duration retryAfter_{}; ///< Suggested retry delay for a refusal.
  bool operator==(const AdmissionResult&) const = default;
};

/** Settings of admission control. */
struct AdmissionSettings
{
  /** Maximum number of queued requests per pool. */
  std::size_t maxQueueLength_ = 256;
  /** Lower bound of the concurrency limit of a serving group. */
  double minConcurrencyLimit_ = 2;
  /** Concurrency limit of a plain service. */
  double serviceConcurrencyLimit_ = 64;
  /**
   * Additive increase of the limit for each first token that arrives in time
   * while other requests are queued.
   */
  double limitIncrease_ = 0.2;
  /** Multiplicative decrease of the limit after a late first token. */
  double limitDecreaseFactor_ = 0.85;
  /** Minimum time between two decreases. */
  state::Duration minDecreaseInterval_ = std::chrono::milliseconds(500);
  /**
   * Fraction of the promised time to first token after which a first token
   * counts as late, measured from admission.
   */
  double maxFirstTokenFraction_ = 0.5;
  /** Fraction of the promised time to first token that a request may wait. */
  double maxWaitFraction_ = 0.4;
  /** Maximum queueing time of a call to a plain service. */
  state::Duration maxServiceWait_ = std::chrono::milliseconds(500);
  /** Longest retry delay that is suggested. */
  state::Duration maxRetryAfter_ = std::chrono::seconds(30);
  bool operator==(const AdmissionSettings&) const = default;
};

/** Statistics of one pool, for status and metrics. */
struct PoolStats
{
  std::size_t running_ = 0;   ///< Number of in-flight requests.
  std::size_t waiting_ = 0;   ///< Number of queued requests.
  double limit_ = 0;          ///< Concurrency limit.
  double completionRate_ = 0; ///< Completed requests per second.
  bool operator==(const PoolStats&) const = default;
};

/**
 * Admission control for serving groups and plain services. Each of them has a
 * pool with a concurrency limit for the in-flight requests of this daemon and a
 * bounded queue. The limit of a group adapts to the observed time to first
 * token: additive increase, multiplicative decrease. A request whose expected
 * wait exceeds its deadline or the maximum wait is refused at once.
 * Thread-safe. Handlers run on the thread whose call led to the decision, with
 * no lock held.
 */
class Admission
{
public:
  /** Receives the final decision on a queued request: kAdmitted or kRefused. */
  using DecisionHandler = std::function<void(const AdmissionResult&)>;

  /**
   * @param aLimiter Rate limits of the accounts; must outlive this object.
   * @param aSettings Settings of all pools.
   */
  explicit Admission(AccountLimiter& aLimiter,
                     const AdmissionSettings& aSettings = {});
  ~Admission();
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  /**
   * Updates the pools from the configuration (kinds of work, account weights,
   * promised times) and from the number of slots of the open targets. Does
   * nothing if the view has no configuration.
   * @param aView The latest serving view.
   * @param aDaemons Number of daemons that share the targets, at least 1.
   */
  void setView(const state::ServingView& aView, std::size_t aDaemons);
  /**
   * Admits, queues or refuses a request.
   * @param aInfo The request.
   * @param aNow Current time.
   * @param aWallNow Wall clock time, which selects the priority windows.
   * @param aHandler Called exactly once if the result is kQueued, possibly on
   * another thread and before this call returns, unless finish() removes the
   * request from the queue first. Not called for other results.
   * @return The decision.
   */
  AdmissionResult admit(const RequestInfo& aInfo,
                        state::TimePoint aNow,
                        state::WallTime aWallNow,
                        DecisionHandler aHandler);
  /**
   * Records the first token (or the whole answer, if not streamed) of an
   * admitted request and adapts the concurrency limit. Repeated calls for the
   * same ticket have no effect.
   * @param aTicket Ticket of the request.
   * @param aNow Current time.
   */
  void recordFirstToken(TicketId aTicket, state::TimePoint aNow);
  /**
   * Completes an admitted request, or removes a queued one without calling its
   * handler. Must be called exactly once for each ticket that is not refused.
   * @param aTicket Ticket of the request.
   * @param aTokens Number of tokens generated.
   * @param aNow Current time.
   */
  void finish(TicketId aTicket, std::uint64_t aTokens, state::TimePoint aNow);
  /**
   * Refuses queued requests that have exceeded their wait or are expected to,
   * then admits others as far as the limits allow. Call periodically.
   * @param aNow Current time.
   */
  void tick(state::TimePoint aNow);
  /**
   * Refuses all queued and all later requests, because the daemon shuts down.
   * In-flight requests are not affected.
   * @param aNow Current time.
   */
  void stop(state::TimePoint aNow);
  /**
   * @param aInfo A request.
   * @return Statistics of its pool; all zero if there is no such pool.
   */
  PoolStats poolStats(const RequestInfo& aInfo) const;

private:
  struct Pool;
  /** Handler calls to make after the locks are released. */
  using PendingCallbacks =
    std::vector<std::pair<DecisionHandler, AdmissionResult>>;

  std::shared_ptr<Pool> findPool(const std::string& aName) const;
  std::shared_ptr<Pool> findPool(TicketId aTicket) const;
  std::shared_ptr<Pool> getOrCreatePool(const std::string& aName);
  void setGroup(const state::ServingGroup& aGroup,
                const state::ServingView& aView,
                std::size_t aDaemons);
  AdmissionResult enqueue(Pool& aPool,
                          const RequestInfo& aInfo,
                          state::TimePoint aNow,
                          std::int32_t aPriority,
                          DecisionHandler aHandler,
                          PendingCallbacks& aCallbacks);
  AdmissionResult makeRefusal(const Pool& aPool,
                              RefusalReason aReason,
                              std::size_t aAhead) const;
  void releaseQueued(Pool& aPool,
                     state::TimePoint aNow,
                     PendingCallbacks& aCallbacks);
  void shedExpired(Pool& aPool,
                   state::TimePoint aNow,
                   PendingCallbacks& aCallbacks);

  AccountLimiter& limiter_;          ///< Limits of the accounts.
  const AdmissionSettings settings_; ///< Limits.
  mutable std::mutex mutex_;         ///< Guards the following members.
  std::map<std::string, std::shared_ptr<Pool>> pools_; ///< Pools by name.
  std::vector<std::shared_ptr<Pool>> poolsByIndex_;    ///< Pools by index.
  bool stopping_ = false; ///< Whether the daemon is shutting down.
};

/**
 * @param aKind A kind of work.
 * @param aNow Wall clock time.
 * @return Priority of the first matching window, or else the default priority.
 */
std::int32_t
priorityAt(const state::WorkKind& aKind, state::WallTime aNow);

} // namespace auburnhaven::coordination
