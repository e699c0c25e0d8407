// Admission of requests by account, priority and deadline.
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

/** Whether a request may go on. */
enum class AdmissionStatus : std::uint8_t
{
  kAdmitted, ///< It goes on now.
  kQueued,   ///< It waits; the handler tells how that ends.
  kRefused,  ///< It is not run.
};

/** Decision on a request. */
struct AdmissionResult
{
  AdmissionStatus status_ = AdmissionStatus::kRefused; ///< Decision.
  TicketId ticket_; ///< Ticket, unless refused at once.
  RefusalReason reason_ = RefusalReason::kNone; ///< Why it was refused.
  state::Duration retryAfter_{}; ///< When to come back, when refused.
  bool operator==(const AdmissionResult&) const = default;
};

/** Limits of admission. */
struct AdmissionSettings
{
  std::size_t maxQueueLength_ = 256;    ///< Most requests that wait in a pool.
  double minConcurrencyLimit_ = 2;      ///< Least requests under way in a pool.
  double serviceConcurrencyLimit_ = 64; ///< Most calls under way for a service.
  double limitIncrease_ = 0.2; ///< Growth of the limit for each request
                               ///< whose first token was early.
  double limitDecreaseFactor_ =
    0.85; ///< Factor on the limit when one was late.
  state::Duration minDecreaseInterval_ =
    std::chrono::milliseconds(500);    ///< Least time between two reductions.
  double maxFirstTokenFraction_ = 0.5; ///< Part of the promised time for the
                                       ///< first token that a target may take.
  double maxWaitFraction_ = 0.4; ///< Part of it that a request may wait.
  state::Duration maxServiceWait_ =
    std::chrono::milliseconds(500); ///< Longest wait of a call to a service.
  state::Duration maxRetryAfter_ =
    std::chrono::seconds(30); ///< Longest advice.
  bool operator==(const AdmissionSettings&) const = default;
};

/** State of one pool, for status and metrics. */
struct PoolStats
{
  std::size_t running_ = 0;   ///< Requests under way.
  std::size_t waiting_ = 0;   ///< Requests that wait.
  double limit_ = 0;          ///< Most requests under way.
  double completionRate_ = 0; ///< Requests that end a second.
  bool operator==(const PoolStats&) const = default;
};

/**
 * Admits requests to serving groups and plain services. Each has a pool with
 * a limit on the requests under way at this daemon, which follows the observed
 * time to the first token, and a bounded queue. A request that would wait
 * longer than it may is refused at once. Thread-safe. Handlers are called on
 * the thread of the call that caused them, without a lock held.
 */
class Admission
{
public:
  /** Takes the end of a wait: kAdmitted or kRefused. */
  using DecisionHandler = std::function<void(const AdmissionResult&)>;

  /**
   * @param aLimiter Limits of the accounts; outlives this object.
   * @param aSettings Limits.
   */
  explicit Admission(AccountLimiter& aLimiter,
                     const AdmissionSettings& aSettings = {});
  ~Admission();
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  /**
   * Takes kinds of work, weights, promises and the number of slots.
   * @param aView Newest snapshot.
   * @param aDaemons Daemons that share the targets, at least 1.
   */
  void setView(const state::ServingView& aView, std::size_t aDaemons);
  /**
   * Decides on a request.
   * @param aInfo The request.
   * @param aNow Present time.
   * @param aWallNow Wall time, for the windows of kinds of work.
   * @param aHandler For kQueued: called exactly once, perhaps on another thread
   * and before this call returns, unless finish() took the ticket out.
   * @return The decision.
   */
  AdmissionResult admit(const RequestInfo& aInfo,
                        state::TimePoint aNow,
                        state::WallTime aWallNow,
                        DecisionHandler aHandler);
  /**
   * Notes the first token, or the answer, of an admitted request.
   * @param aTicket Its ticket.
   * @param aNow Present time.
   */
  void recordFirstToken(TicketId aTicket, state::TimePoint aNow);
  /**
   * Ends an admitted request, or takes a waiting one out without calling its
   * handler. Call exactly once for each ticket that was not refused.
   * @param aTicket The ticket.
   * @param aTokens Tokens generated.
   * @param aNow Present time.
   */
  void finish(TicketId aTicket, std::uint64_t aTokens, state::TimePoint aNow);
  /**
   * Refuses waiting requests that have waited too long or will.
   * @param aNow Present time.
   */
  void tick(state::TimePoint aNow);
  /**
   * Refuses all waiting and all further requests, since the daemon stops.
   * @param aNow Present time.
   */
  void stop(state::TimePoint aNow);
  /**
   * @param aInfo A request.
   * @return State of its pool.
   */
  PoolStats poolStats(const RequestInfo& aInfo) const;

private:
  struct Pool;
  /** PendingCallbacks to make when no lock is held. */
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
  std::vector<std::shared_ptr<Pool>> poolsByIndex_;    ///< Pools by number.
  bool stopping_ = false; ///< Whether the daemon stops.
};

/**
 * @param aKind A kind of work.
 * @param aNow Wall time.
 * @return Its priority at that time.
 */
std::int32_t
priorityAt(const state::WorkKind& aKind, state::WallTime aNow);

} // namespace auburnhaven::coordination
