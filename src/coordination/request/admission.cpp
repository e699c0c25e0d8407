// Admission of requests by account, priority and deadline.

#include "coordination/request/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr unsigned kPoolIndexShift = 48; ///< Bits of a ticket below its pool.
constexpr double kRateTimeConstantSeconds =
  2;                                    ///< Memory of the rate of releases.
constexpr double kCostSmoothing = 0.05; ///< Weight of one request in the mean.
constexpr std::int64_t kMinutesPerDay = 1440; ///< Minutes of a day.
constexpr std::int64_t kEpochWeekday = 3;     ///< 1970-01-01 was a Thursday.
constexpr std::int64_t kDaysPerWeek = 7;      ///< Days of a week.
constexpr state::Duration kMinRetryAfter =
  std::chrono::seconds(1); ///< Shortest advice.

/** @return Seconds as a duration. */
state::Duration
seconds(double aSeconds)
{
  return std::chrono::duration_cast<state::Duration>(
    std::chrono::duration<double>(aSeconds));
}

/** @return Name of the pool of a request. */
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

/** Requests under way and waiting for one group or service. */
struct Admission::Pool
{
  /** A request under way. */
  struct Running
  {
    state::AccountId account_;      ///< Client account.
    state::TimePoint admittedAt_{}; ///< When it was admitted.
    double chargedCost_ = 0;        ///< Cost charged in advance.
    bool firstTokenSeen_ = false;   ///< Whether its first token came.
  };

  mutable std::mutex mutex_;      ///< Guards the following members.
  std::uint64_t index_ = 0;       ///< Number of the pool.
  std::uint64_t ticketCount_ = 0; ///< Tickets given.
  bool limitInitialized_ = false; ///< Whether the limit was set.
  bool stopping_ = false;         ///< Whether nothing is admitted any more.
  double limit_ = 0;              ///< Most requests under way.
  double maximum_ = 0;            ///< Greatest limit.
  state::Duration maxFirstToken_ =
    state::Duration::max();              ///< Limit for the first
                                         ///< token of a target.
  state::Duration maxWait_{};            ///< Longest wait.
  state::TimePoint lastLimitDecrease_{}; ///< When the limit last shrank.
  double completionRate_ = 0;            ///< Requests that end a second.
  state::TimePoint rateUpdatedAt_{};     ///< Time of the rate.
  double meanCost_ = 1;                  ///< Mean tokens of a request.
  std::vector<state::WorkKind> kinds_;   ///< Kinds of work.
  FairQueue queue_;                      ///< Requests that wait.
  std::unordered_map<std::uint64_t, DecisionHandler>
    handlers_; ///< Handlers of the requests that wait.
  std::unordered_map<std::uint64_t, Running>
    running_; ///< Requests under way by ticket.

  /** @return A new ticket. */
  TicketId newTicket()
  {
    return TicketId((index_ << kPoolIndexShift) | ++ticketCount_);
  }
  /** @return Whether one more may be under way. */
  bool hasCapacity() const
  {
    return static_cast<double>(running_.size()) + 1 <= limit_;
  }
  /** @return Requests that end a second now. */
  double completionRateAt(state::TimePoint aNow) const
  {
    const double age =
      std::chrono::duration<double>(aNow - rateUpdatedAt_).count();
    return completionRate_ *
           std::exp(-std::max(0.0, age) / kRateTimeConstantSeconds);
  }
  /** Counts a request that ended. */
  void recordCompletion(state::TimePoint aNow)
  {
    completionRate_ = completionRateAt(aNow) + 1 / kRateTimeConstantSeconds;
    rateUpdatedAt_ = std::max(rateUpdatedAt_, aNow);
  }
  /** @return Time until so many requests ended; zero when not known. */
  state::Duration expectedWait(std::size_t aRequests,
                               state::TimePoint aNow) const
  {
    const double rate = completionRateAt(aNow);
    return rate <= 1 / kRateTimeConstantSeconds
             ? state::Duration::zero()
             : seconds(static_cast<double>(aRequests) / rate);
  }
  /** Notes that a request is under way. */
  void addRunning(TicketId aTicket,
                  const state::AccountId& aAccount,
                  state::TimePoint aNow)
  {
    running_[aTicket.value()] = { aAccount, aNow, meanCost_, false };
  }
  /** @return Priority of a kind of work, of the first kind when unknown. */
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
  /** @return Handler of a request that waited; it is forgotten. */
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
  const RateLimitDecision verdict = limiter_.tryRequest(aInfo.account_, aNow);
  if (!verdict.allowed_) {
    return { AdmissionStatus::kRefused,
             {},
             RefusalReason::kAccountLimit,
             std::max(kMinRetryAfter, verdict.retryAfter_) };
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
  for (auto& [handler, released] : callbacks) {
    handler(released);
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
    // A request admitted before the last reduction says nothing about it.
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
  for (auto& [handler, released] : callbacks) {
    handler(released);
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
  for (auto& [handler, released] : callbacks) {
    handler(released);
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
  for (auto& [handler, released] : callbacks) {
    handler(released);
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
    for (const QueuedRequest& waiter : pool->queue_.removeIf(all)) {
      callbacks.emplace_back(pool->takeHandler(waiter.ticket_),
                             AdmissionResult{ AdmissionStatus::kRefused,
                                              waiter.ticket_,
                                              RefusalReason::kStopping,
                                              kMinRetryAfter });
    }
    pool->rateUpdatedAt_ = std::max(pool->rateUpdatedAt_, aNow);
  }
  for (auto& [handler, released] : callbacks) {
    handler(released);
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
    AdmissionResult lost =
      makeRefusal(aPool, RefusalReason::kQueueFull, aPool.queue_.size());
    lost.ticket_ = evicted->ticket_;
    aCallbacks.emplace_back(aPool.takeHandler(evicted->ticket_), lost);
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
  const auto cannotBeAdmittedInTime = [&](const QueuedRequest& aWaiter,
                                          std::size_t aAhead) {
    const bool room = aAhead == 0 && aPool.hasCapacity();
    return aWaiter.waitUntil_ <= aNow ||
           (!room &&
            aNow + aPool.expectedWait(aAhead, aNow) > aWaiter.waitUntil_);
  };
  for (const QueuedRequest& waiter :
       aPool.queue_.removeIf(cannotBeAdmittedInTime)) {
    AdmissionResult result = makeRefusal(
      aPool, RefusalReason::kWaitedTooLong, aPool.queue_.size() + 1);
    result.ticket_ = waiter.ticket_;
    aCallbacks.emplace_back(aPool.takeHandler(waiter.ticket_), result);
  }
}

} // namespace auburnhaven::coordination
