// Admission control by account limit, priority and deadline.

#include "coordination/request/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr unsigned kPoolIndexShift = 48; ///< Bit of the pool index in a ticket.
constexpr double kRateTimeConstantSeconds = 2; ///< Decay time constant of the
                                               ///< completion rate.
constexpr double kCostSmoothing = 0.05; ///< Weight of one request in meanCost_.
constexpr std::int64_t kMinutesPerDay = 1440;
/** Weekday of 1970-01-01, a Thursday, counted from Monday as 0. */
constexpr std::int64_t kEpochWeekday = 3;
constexpr std::int64_t kDaysPerWeek = 7;
constexpr state::Duration kMinRetryAfter =
  std::chrono::seconds(1); ///< Shortest retry delay that is suggested.

/** @return Seconds as a duration. */
state::Duration
seconds(double aSeconds)
{
  return std::chrono::duration_cast<state::Duration>(
    std::chrono::duration<double>(aSeconds));
}

/** @return Name of the pool that serves a request. */
std::string
poolName(const RequestInfo& aInfo)
{
  return aInfo.group_.empty() ? "service/" + aInfo.service_.value()
                              : "group/" + aInfo.group_.value();
}

} // namespace

std::int32_t
priorityAt(const state::WorkKind& aKind, state::WallTime aNow)
{
  const auto minutes =
    std::chrono::floor<std::chrono::minutes>(aNow.time_since_epoch()).count();
  for (const state::PriorityWindow& window : aKind.windows_) {
    const std::int64_t local = minutes + window.utcOffsetMinutes_;
    const std::int64_t minute =
      ((local % kMinutesPerDay) + kMinutesPerDay) % kMinutesPerDay;
    const std::int64_t day = (local - minute) / kMinutesPerDay;
    const std::int64_t weekday =
      (((day + kEpochWeekday) % kDaysPerWeek) + kDaysPerWeek) % kDaysPerWeek;
    const bool onDay = ((window.weekdays_ >> weekday) & 1) != 0;
    if (onDay && minute >= window.fromMinute_ && minute < window.toMinute_) {
      return window.priority_;
    }
  }
  return aKind.priority_;
}

/** In-flight and queued requests of one serving group or plain service. */
struct Admission::Pool
{
  /** An in-flight request. */
  struct Running
  {
    state::AccountId account_;      ///< Client account.
    state::TimePoint admittedAt_{}; ///< Time of admission.
    double chargedCost_ = 0;        ///< Estimated cost, charged at admission.
    bool firstTokenSeen_ = false;   ///< Whether the first token was recorded.
  };

  mutable std::mutex mutex_;      ///< Guards the following members.
  std::uint64_t index_ = 0;       ///< Index in poolsByIndex_, and in tickets.
  std::uint64_t ticketCount_ = 0; ///< Number of tickets issued.
  /** Whether limit_ was set from a known number of slots. */
  bool limitInitialized_ = false;
  bool stopping_ = false; ///< Whether all requests are refused.
  double limit_ = 0;      ///< Concurrency limit.
  double maximum_ = 0;    ///< Upper bound of the concurrency limit.
  /** Time after admission from which a first token counts as late. */
  state::Duration maxFirstToken_ = state::Duration::max();
  state::Duration maxWait_{};            ///< Maximum queueing time.
  state::TimePoint lastLimitDecrease_{}; ///< Time of the last limit decrease.
  double completionRate_ = 0;            ///< Completed requests per second.
  state::TimePoint rateUpdatedAt_{};   ///< Time of the last update of the rate.
  double meanCost_ = 1;                ///< Mean number of tokens per request.
  std::vector<state::WorkKind> kinds_; ///< Kinds of work.
  FairQueue queue_;                    ///< Queued requests.
  std::unordered_map<std::uint64_t, DecisionHandler>
    handlers_; ///< Handlers of the queued requests by ticket.
  std::unordered_map<std::uint64_t, Running>
    running_; ///< In-flight requests by ticket.

  /** @return A new ticket. */
  TicketId newTicket()
  {
    return TicketId((index_ << kPoolIndexShift) | ++ticketCount_);
  }
  /** @return Whether the limit allows another in-flight request. */
  bool hasCapacity() const
  {
    return static_cast<double>(running_.size()) + 1 <= limit_;
  }
  /** @return Completion rate, decayed since its last update. */
  double completionRateAt(state::TimePoint aNow) const
  {
    const double age =
      std::chrono::duration<double>(aNow - rateUpdatedAt_).count();
    return completionRate_ *
           std::exp(-std::max(0.0, age) / kRateTimeConstantSeconds);
  }
  /** Adds a completed request to the completion rate. */
  void recordCompletion(state::TimePoint aNow)
  {
    completionRate_ = completionRateAt(aNow) + 1 / kRateTimeConstantSeconds;
    rateUpdatedAt_ = std::max(rateUpdatedAt_, aNow);
  }
  /**
   * @return Expected time for a number of completions; zero if the rate is too
   * low for an estimate.
   */
  state::Duration expectedWait(std::size_t aRequests,
                               state::TimePoint aNow) const
  {
    const double rate = completionRateAt(aNow);
    return rate <= 1 / kRateTimeConstantSeconds
             ? state::Duration::zero()
             : seconds(static_cast<double>(aRequests) / rate);
  }
  /** Adds an in-flight request. */
  void addRunning(TicketId aTicket,
                  const state::AccountId& aAccount,
                  state::TimePoint aNow)
  {
    running_[aTicket.value()] = { aAccount, aNow, meanCost_, false };
  }
  /**
   * @return Priority of a kind of work; an unknown kind counts as the first.
   */
  std::int32_t priority(const state::WorkKindId& aKind,
                        state::WallTime aNow) const
  {
    for (const state::WorkKind& kind : kinds_) {
      if (kind.id_ == aKind) {
        return priorityAt(kind, aNow);
      }
    }
    return kinds_.empty() ? 0 : priorityAt(kinds_.front(), aNow);
  }
  /** Removes and returns the handler of a queued request. */
  DecisionHandler takeHandler(TicketId aTicket)
  {
    const auto found = handlers_.find(aTicket.value());
    assert(found != handlers_.end());
    DecisionHandler handler = std::move(found->second);
    handlers_.erase(found);
    return handler;
  }
};

Admission::Admission(AccountLimiter& aLimiter,
                     const AdmissionSettings& aSettings)
  : limiter_(aLimiter)
  , settings_(aSettings)
{
}

Admission::~Admission() = default;

void
Admission::setView(const state::ServingView& aView, std::size_t aDaemons)
{
  if (!aView.configuration_) {
    return;
  }
  for (const auto& [id, group] : aView.configuration_->groups_) {
    setGroup(group, aView, aDaemons);
  }
  for (const auto& [id, service] : aView.configuration_->services_) {
    const std::shared_ptr<Pool> pool = getOrCreatePool("service/" + id.value());
    const std::lock_guard lock(pool->mutex_);
    pool->limit_ = pool->maximum_ = settings_.serviceConcurrencyLimit_;
    pool->maxWait_ = settings_.maxServiceWait_;
    for (const auto& [account, value] : aView.configuration_->accounts_) {
      pool->queue_.setWeight(account, value.weight_);
    }
  }
}

void
Admission::setGroup(const state::ServingGroup& aGroup,
                    const state::ServingView& aView,
                    std::size_t aDaemons)
{
  double slots = 0;
  const auto copies = aView.copies_.find(aGroup.id_);
  if (copies != aView.copies_.end()) {
    for (const state::ServingCopy& copy : copies->second) {
      slots += copy.open_ ? copy.load_.slots_ : 0;
    }
  }
  const std::shared_ptr<Pool> pool =
    getOrCreatePool("group/" + aGroup.id_.value());
  const std::lock_guard lock(pool->mutex_);
  pool->kinds_ = aGroup.kinds_;
  pool->maxFirstToken_ =
    seconds(settings_.maxFirstTokenFraction_ *
            std::chrono::duration<double>(aGroup.promise_.firstToken_).count());
  pool->maxWait_ =
    seconds(settings_.maxWaitFraction_ *
            std::chrono::duration<double>(aGroup.promise_.firstToken_).count());
  for (const auto& [account, value] : aView.configuration_->accounts_) {
    pool->queue_.setWeight(account, value.weight_);
  }
  const double maximum = std::max(settings_.minConcurrencyLimit_, slots * 2);
  if (!pool->limitInitialized_) {
    pool->limit_ = slots / static_cast<double>(aDaemons);
    pool->limitInitialized_ = slots > 0;
  } else {
    pool->limit_ *= maximum / pool->maximum_;
  }
  pool->maximum_ = maximum;
  pool->limit_ =
    std::clamp(pool->limit_, settings_.minConcurrencyLimit_, maximum);
}

AdmissionResult
Admission::admit(const RequestInfo& aInfo,
                 state::TimePoint aNow,
                 state::WallTime aWallNow,
                 DecisionHandler aHandler)
{
  const std::shared_ptr<Pool> pool = findPool(poolName(aInfo));
  if (!pool) {
    return {
      AdmissionStatus::kRefused, {}, RefusalReason::kNoTarget, kMinRetryAfter
    };
  }
  const RateLimitDecision rateLimit = limiter_.tryRequest(aInfo.account_, aNow);
  if (!rateLimit.allowed_) {
    return { AdmissionStatus::kRefused,
             {},
             RefusalReason::kAccountLimit,
             std::max(kMinRetryAfter, rateLimit.retryAfter_) };
  }
  PendingCallbacks callbacks;
  AdmissionResult result;
  {
    const std::lock_guard lock(pool->mutex_);
    if (pool->stopping_) {
      result = {
        AdmissionStatus::kRefused, {}, RefusalReason::kStopping, kMinRetryAfter
      };
    } else if (pool->queue_.size() == 0 && pool->hasCapacity()) {
      result.status_ = AdmissionStatus::kAdmitted;
      result.ticket_ = pool->newTicket();
      pool->addRunning(result.ticket_, aInfo.account_, aNow);
      pool->queue_.charge(aInfo.account_, pool->meanCost_);
    } else {
      const std::int32_t priority = pool->priority(aInfo.kind_, aWallNow);
      result =
        enqueue(*pool, aInfo, aNow, priority, std::move(aHandler), callbacks);
    }
  }
  for (auto& [handler, decision] : callbacks) {
    handler(decision);
  }
  return result;
}

void
Admission::recordFirstToken(TicketId aTicket, state::TimePoint aNow)
{
  const std::shared_ptr<Pool> pool = findPool(aTicket);
  if (!pool) {
    return;
  }
  PendingCallbacks callbacks;
  {
    const std::lock_guard lock(pool->mutex_);
    const auto found = pool->running_.find(aTicket.value());
    if (found == pool->running_.end() || found->second.firstTokenSeen_) {
      return;
    }
    found->second.firstTokenSeen_ = true;
    const bool late = aNow - found->second.admittedAt_ > pool->maxFirstToken_;
    // A request admitted before the last decrease does not reflect its effect.
    if (late && found->second.admittedAt_ > pool->lastLimitDecrease_ &&
        aNow - pool->lastLimitDecrease_ >= settings_.minDecreaseInterval_) {
      pool->limit_ = std::max(settings_.minConcurrencyLimit_,
                              pool->limit_ * settings_.limitDecreaseFactor_);
      pool->lastLimitDecrease_ = aNow;
    } else if (!late && pool->queue_.size() > 0) {
      pool->limit_ =
        std::min(pool->maximum_, pool->limit_ + settings_.limitIncrease_);
      releaseQueued(*pool, aNow, callbacks);
    }
  }
  for (auto& [handler, decision] : callbacks) {
    handler(decision);
  }
}

void
Admission::finish(TicketId aTicket,
                  std::uint64_t aTokens,
                  state::TimePoint aNow)
{
  const std::shared_ptr<Pool> pool = findPool(aTicket);
  if (!pool) {
    return;
  }
  PendingCallbacks callbacks;
  state::AccountId account;
  {
    const std::lock_guard lock(pool->mutex_);
    if (pool->handlers_.erase(aTicket.value()) > 0) {
      pool->queue_.remove(aTicket);
      return;
    }
    const auto found = pool->running_.find(aTicket.value());
    if (found == pool->running_.end()) {
      return;
    }
    account = found->second.account_;
    const double cost = std::max(1.0, static_cast<double>(aTokens));
    pool->queue_.charge(account, cost - found->second.chargedCost_);
    pool->meanCost_ += kCostSmoothing * (cost - pool->meanCost_);
    pool->running_.erase(found);
    pool->recordCompletion(aNow);
    releaseQueued(*pool, aNow, callbacks);
  }
  limiter_.charge(account, aTokens, aNow);
  for (auto& [handler, decision] : callbacks) {
    handler(decision);
  }
}

void
Admission::tick(state::TimePoint aNow)
{
  std::vector<std::shared_ptr<Pool>> pools;
  {
    const std::lock_guard lock(mutex_);
    pools = poolsByIndex_;
  }
  PendingCallbacks callbacks;
  for (const std::shared_ptr<Pool>& pool : pools) {
    const std::lock_guard lock(pool->mutex_);
    shedExpired(*pool, aNow, callbacks);
    releaseQueued(*pool, aNow, callbacks);
  }
  for (auto& [handler, decision] : callbacks) {
    handler(decision);
  }
}

void
Admission::stop(state::TimePoint aNow)
{
  std::vector<std::shared_ptr<Pool>> pools;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    pools = poolsByIndex_;
  }
  PendingCallbacks callbacks;
  for (const std::shared_ptr<Pool>& pool : pools) {
    const std::lock_guard lock(pool->mutex_);
    pool->stopping_ = true;
    const auto all = [](const QueuedRequest&, std::size_t) { return true; };
    for (const QueuedRequest& request : pool->queue_.removeIf(all)) {
      callbacks.emplace_back(pool->takeHandler(request.ticket_),
                             AdmissionResult{ AdmissionStatus::kRefused,
                                              request.ticket_,
                                              RefusalReason::kStopping,
                                              kMinRetryAfter });
    }
    pool->rateUpdatedAt_ = std::max(pool->rateUpdatedAt_, aNow);
  }
  for (auto& [handler, decision] : callbacks) {
    handler(decision);
  }
}

PoolStats
Admission::poolStats(const RequestInfo& aInfo) const
{
  const std::shared_ptr<Pool> pool = findPool(poolName(aInfo));
  if (!pool) {
    return {};
  }
  const std::lock_guard lock(pool->mutex_);
  return { pool->running_.size(),
           pool->queue_.size(),
           pool->limit_,
           pool->completionRate_ };
}

std::shared_ptr<Admission::Pool>
Admission::findPool(const std::string& aName) const
{
  const std::lock_guard lock(mutex_);
  const auto found = pools_.find(aName);
  return found == pools_.end() ? nullptr : found->second;
}

std::shared_ptr<Admission::Pool>
Admission::findPool(TicketId aTicket) const
{
  const std::uint64_t number = aTicket.value() >> kPoolIndexShift;
  const std::lock_guard lock(mutex_);
  return number < poolsByIndex_.size() ? poolsByIndex_[number] : nullptr;
}

std::shared_ptr<Admission::Pool>
Admission::getOrCreatePool(const std::string& aName)
{
  const std::lock_guard lock(mutex_);
  std::shared_ptr<Pool>& pool = pools_[aName];
  if (!pool) {
    pool = std::make_shared<Pool>();
    pool->index_ = poolsByIndex_.size();
    pool->stopping_ = stopping_;
    poolsByIndex_.push_back(pool);
  }
  return pool;
}

AdmissionResult
Admission::enqueue(Pool& aPool,
                   const RequestInfo& aInfo,
                   state::TimePoint aNow,
                   std::int32_t aPriority,
                   DecisionHandler aHandler,
                   PendingCallbacks& aCallbacks)
{
  const std::size_t requestsAhead =
    aPool.queue_.countAhead(aInfo.account_, aPriority);
  const state::Duration wait = aPool.expectedWait(requestsAhead + 1, aNow);
  const state::Duration left = aInfo.deadline_ - aNow;
  if (wait > std::min(left, aPool.maxWait_)) {
    return makeRefusal(
      aPool, RefusalReason::kDeadlineTooNear, requestsAhead + 1);
  }
  if (aPool.queue_.size() >= settings_.maxQueueLength_) {
    const std::optional<QueuedRequest> evicted =
      aPool.queue_.evictFor(aInfo.account_, aPriority);
    if (!evicted) {
      return makeRefusal(aPool, RefusalReason::kQueueFull, requestsAhead + 1);
    }
    AdmissionResult evictedResult =
      makeRefusal(aPool, RefusalReason::kQueueFull, aPool.queue_.size());
    evictedResult.ticket_ = evicted->ticket_;
    aCallbacks.emplace_back(aPool.takeHandler(evicted->ticket_), evictedResult);
  }
  AdmissionResult result;
  result.status_ = AdmissionStatus::kQueued;
  result.ticket_ = aPool.newTicket();
  aPool.handlers_[result.ticket_.value()] = std::move(aHandler);
  aPool.queue_.push({ result.ticket_,
                      aInfo.account_,
                      aPriority,
                      aNow + std::min(left, aPool.maxWait_) });
  return result;
}

AdmissionResult
Admission::makeRefusal(const Pool& aPool,
                       RefusalReason aReason,
                       std::size_t aAhead) const
{
  const state::Duration wait = aPool.expectedWait(aAhead, aPool.rateUpdatedAt_);
  return { AdmissionStatus::kRefused,
           {},
           aReason,
           std::clamp(wait, kMinRetryAfter, settings_.maxRetryAfter_) };
}

void
Admission::releaseQueued(Pool& aPool,
                         state::TimePoint aNow,
                         PendingCallbacks& aCallbacks)
{
  while (aPool.queue_.size() > 0 && aPool.hasCapacity()) {
    const std::optional<QueuedRequest> next = aPool.queue_.pop(aPool.meanCost_);
    DecisionHandler handler = aPool.takeHandler(next->ticket_);
    AdmissionResult result;
    result.ticket_ = next->ticket_;
    if (next->waitUntil_ <= aNow) {
      aPool.queue_.charge(next->account_, -aPool.meanCost_);
      result = makeRefusal(aPool, RefusalReason::kWaitedTooLong, 1);
      result.ticket_ = next->ticket_;
    } else {
      result.status_ = AdmissionStatus::kAdmitted;
      aPool.addRunning(next->ticket_, next->account_, aNow);
    }
    aCallbacks.emplace_back(std::move(handler), result);
  }
}

void
Admission::shedExpired(Pool& aPool,
                       state::TimePoint aNow,
                       PendingCallbacks& aCallbacks)
{
  const auto cannotBeAdmittedInTime = [&](const QueuedRequest& aRequest,
                                          std::size_t aAhead) {
    const bool room = aAhead == 0 && aPool.hasCapacity();
    return aRequest.waitUntil_ <= aNow ||
           (!room &&
            aNow + aPool.expectedWait(aAhead, aNow) > aRequest.waitUntil_);
  };
  for (const QueuedRequest& request :
       aPool.queue_.removeIf(cannotBeAdmittedInTime)) {
    AdmissionResult result = makeRefusal(
      aPool, RefusalReason::kWaitedTooLong, aPool.queue_.size() + 1);
    result.ticket_ = request.ticket_;
    aCallbacks.emplace_back(aPool.takeHandler(request.ticket_), result);
  }
}

} // namespace auburnhaven::coordination
