// Admission of requests by account, priority and deadline.

#include "coordination/request/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr unsigned kPoolShift = 48;  ///< Bits of a ticket below its pool.
constexpr double kRateSeconds = 2;   ///< Memory of the rate of releases.
constexpr double kCostWeight = 0.05; ///< Weight of one request in the mean.
constexpr std::int64_t kMinutesPerDay = 1440; ///< Minutes of a day.
constexpr std::int64_t kEpochWeekday = 3;     ///< 1970-01-01 was a Thursday.
constexpr std::int64_t kDaysPerWeek = 7;      ///< Days of a week.
constexpr state::Duration kLeastRetryAfter =
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
    double charged_ = 0;            ///< Cost charged in advance.
    bool firstTokenSeen_ = false;   ///< Whether its first token came.
  };

  mutable std::mutex mutex_;  ///< Guards the following members.
  std::uint64_t number_ = 0;  ///< Number of the pool.
  std::uint64_t tickets_ = 0; ///< Tickets given.
  bool sized_ = false;        ///< Whether the limit was set.
  bool stopping_ = false;     ///< Whether nothing is admitted any more.
  double limit_ = 0;          ///< Most requests under way.
  double maximum_ = 0;        ///< Greatest limit.
  state::Duration lateAfter_ = state::Duration::max(); ///< Limit for the first
                                                       ///< token of a target.
  state::Duration maxWait_{};                          ///< Longest wait.
  state::TimePoint lastShrink_{};      ///< When the limit last shrank.
  double rate_ = 0;                    ///< Requests that end a second.
  state::TimePoint rateAt_{};          ///< Time of the rate.
  double meanCost_ = 1;                ///< Mean tokens of a request.
  std::vector<state::WorkKind> kinds_; ///< Kinds of work.
  FairQueue queue_;                    ///< Requests that wait.
  std::unordered_map<std::uint64_t, ReleaseHandler>
    handlers_; ///< Handlers of the requests that wait.
  std::unordered_map<std::uint64_t, Running>
    running_; ///< Requests under way by ticket.

  /** @return A new ticket. */
  TicketId newTicket()
  {
    return TicketId((number_ << kPoolShift) | ++tickets_);
  }
  /** @return Whether one more may be under way. */
  bool hasRoom() const
  {
    return static_cast<double>(running_.size()) + 1 <= limit_;
  }
  /** @return Requests that end a second now. */
  double rateAt(state::TimePoint aNow) const
  {
    const double age = std::chrono::duration<double>(aNow - rateAt_).count();
    return rate_ * std::exp(-std::max(0.0, age) / kRateSeconds);
  }
  /** Counts a request that ended. */
  void countRelease(state::TimePoint aNow)
  {
    rate_ = rateAt(aNow) + 1 / kRateSeconds;
    rateAt_ = std::max(rateAt_, aNow);
  }
  /** @return Time until so many requests ended; zero when not known. */
  state::Duration timeFor(std::size_t aRequests, state::TimePoint aNow) const
  {
    const double rate = rateAt(aNow);
    return rate <= 1 / kRateSeconds
             ? state::Duration::zero()
             : seconds(static_cast<double>(aRequests) / rate);
  }
  /** Notes that a request is under way. */
  void run(TicketId aTicket,
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
  ReleaseHandler takeHandler(TicketId aTicket)
  {
    const auto found = handlers_.find(aTicket.value());
    assert(found != handlers_.end());
    ReleaseHandler handler = std::move(found->second);
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
    const std::shared_ptr<Pool> pool = makePool("service/" + id.value());
    const std::lock_guard lock(pool->mutex_);
    pool->limit_ = pool->maximum_ = settings_.serviceLimit_;
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
  const std::shared_ptr<Pool> pool = makePool("group/" + aGroup.id_.value());
  const std::lock_guard lock(pool->mutex_);
  pool->kinds_ = aGroup.kinds_;
  pool->lateAfter_ =
    seconds(settings_.firstTokenPart_ *
            std::chrono::duration<double>(aGroup.promise_.firstToken_).count());
  pool->maxWait_ =
    seconds(settings_.waitPart_ *
            std::chrono::duration<double>(aGroup.promise_.firstToken_).count());
  for (const auto& [account, value] : aView.configuration_->accounts_) {
    pool->queue_.setWeight(account, value.weight_);
  }
  const double maximum = std::max(settings_.minimumLimit_, slots * 2);
  if (!pool->sized_) {
    pool->limit_ = slots / static_cast<double>(aDaemons);
    pool->sized_ = slots > 0;
  } else {
    pool->limit_ *= maximum / pool->maximum_;
  }
  pool->maximum_ = maximum;
  pool->limit_ = std::clamp(pool->limit_, settings_.minimumLimit_, maximum);
}

AdmissionResult
Admission::admit(const RequestInfo& aInfo,
                 state::TimePoint aNow,
                 state::WallTime aWallNow,
                 ReleaseHandler aHandler)
{
  const std::shared_ptr<Pool> pool = poolOf(poolName(aInfo));
  if (!pool) {
    return {
      AdmissionStatus::kRefused, {}, RefusalReason::kNoTarget, kLeastRetryAfter
    };
  }
  const LimitVerdict verdict = limiter_.tryRequest(aInfo.account_, aNow);
  if (!verdict.allowed_) {
    return { AdmissionStatus::kRefused,
             {},
             RefusalReason::kAccountLimit,
             std::max(kLeastRetryAfter, verdict.retryAfter_) };
  }
  Calls calls;
  AdmissionResult result;
  {
    const std::lock_guard lock(pool->mutex_);
    if (pool->stopping_) {
      result = { AdmissionStatus::kRefused,
                 {},
                 RefusalReason::kStopping,
                 kLeastRetryAfter };
    } else if (pool->queue_.size() == 0 && pool->hasRoom()) {
      result.status_ = AdmissionStatus::kAdmitted;
      result.ticket_ = pool->newTicket();
      pool->run(result.ticket_, aInfo.account_, aNow);
      pool->queue_.charge(aInfo.account_, pool->meanCost_);
    } else {
      const std::int32_t priority = pool->priority(aInfo.kind_, aWallNow);
      result =
        enqueue(*pool, aInfo, aNow, priority, std::move(aHandler), calls);
    }
  }
  for (auto& [handler, released] : calls) {
    handler(released);
  }
  return result;
}

void
Admission::firstToken(TicketId aTicket, state::TimePoint aNow)
{
  const std::shared_ptr<Pool> pool = poolOf(aTicket);
  if (!pool) {
    return;
  }
  Calls calls;
  {
    const std::lock_guard lock(pool->mutex_);
    const auto found = pool->running_.find(aTicket.value());
    if (found == pool->running_.end() || found->second.firstTokenSeen_) {
      return;
    }
    found->second.firstTokenSeen_ = true;
    const bool late = aNow - found->second.admittedAt_ > pool->lateAfter_;
    // A request admitted before the last reduction says nothing about it.
    if (late && found->second.admittedAt_ > pool->lastShrink_ &&
        aNow - pool->lastShrink_ >= settings_.shrinkPause_) {
      pool->limit_ =
        std::max(settings_.minimumLimit_, pool->limit_ * settings_.shrink_);
      pool->lastShrink_ = aNow;
    } else if (!late && pool->queue_.size() > 0) {
      pool->limit_ = std::min(pool->maximum_, pool->limit_ + settings_.growth_);
      release(*pool, aNow, calls);
    }
  }
  for (auto& [handler, released] : calls) {
    handler(released);
  }
}

void
Admission::finish(TicketId aTicket,
                  std::uint64_t aTokens,
                  state::TimePoint aNow)
{
  const std::shared_ptr<Pool> pool = poolOf(aTicket);
  if (!pool) {
    return;
  }
  Calls calls;
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
    pool->queue_.charge(account, cost - found->second.charged_);
    pool->meanCost_ += kCostWeight * (cost - pool->meanCost_);
    pool->running_.erase(found);
    pool->countRelease(aNow);
    release(*pool, aNow, calls);
  }
  limiter_.charge(account, aTokens, aNow);
  for (auto& [handler, released] : calls) {
    handler(released);
  }
}

void
Admission::tick(state::TimePoint aNow)
{
  std::vector<std::shared_ptr<Pool>> pools;
  {
    const std::lock_guard lock(mutex_);
    pools = order_;
  }
  Calls calls;
  for (const std::shared_ptr<Pool>& pool : pools) {
    const std::lock_guard lock(pool->mutex_);
    shed(*pool, aNow, calls);
    release(*pool, aNow, calls);
  }
  for (auto& [handler, released] : calls) {
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
    pools = order_;
  }
  Calls calls;
  for (const std::shared_ptr<Pool>& pool : pools) {
    const std::lock_guard lock(pool->mutex_);
    pool->stopping_ = true;
    const auto all = [](const Waiter&, std::size_t) { return true; };
    for (const Waiter& waiter : pool->queue_.removeIf(all)) {
      calls.emplace_back(pool->takeHandler(waiter.ticket_),
                         AdmissionResult{ AdmissionStatus::kRefused,
                                          waiter.ticket_,
                                          RefusalReason::kStopping,
                                          kLeastRetryAfter });
    }
    pool->rateAt_ = std::max(pool->rateAt_, aNow);
  }
  for (auto& [handler, released] : calls) {
    handler(released);
  }
}

PoolCounts
Admission::counts(const RequestInfo& aInfo) const
{
  const std::shared_ptr<Pool> pool = poolOf(poolName(aInfo));
  if (!pool) {
    return {};
  }
  const std::lock_guard lock(pool->mutex_);
  return {
    pool->running_.size(), pool->queue_.size(), pool->limit_, pool->rate_
  };
}

std::shared_ptr<Admission::Pool>
Admission::poolOf(const std::string& aName) const
{
  const std::lock_guard lock(mutex_);
  const auto found = pools_.find(aName);
  return found == pools_.end() ? nullptr : found->second;
}

std::shared_ptr<Admission::Pool>
Admission::poolOf(TicketId aTicket) const
{
  const std::uint64_t number = aTicket.value() >> kPoolShift;
  const std::lock_guard lock(mutex_);
  return number < order_.size() ? order_[number] : nullptr;
}

std::shared_ptr<Admission::Pool>
Admission::makePool(const std::string& aName)
{
  const std::lock_guard lock(mutex_);
  std::shared_ptr<Pool>& pool = pools_[aName];
  if (!pool) {
    pool = std::make_shared<Pool>();
    pool->number_ = order_.size();
    pool->stopping_ = stopping_;
    order_.push_back(pool);
  }
  return pool;
}

AdmissionResult
Admission::enqueue(Pool& aPool,
                   const RequestInfo& aInfo,
                   state::TimePoint aNow,
                   std::int32_t aPriority,
                   ReleaseHandler aHandler,
                   Calls& aCalls)
{
  const std::size_t ahead = aPool.queue_.ahead(aInfo.account_, aPriority);
  const state::Duration wait = aPool.timeFor(ahead + 1, aNow);
  const state::Duration left = aInfo.deadline_ - aNow;
  if (wait > std::min(left, aPool.maxWait_)) {
    return refusal(aPool, RefusalReason::kDeadlineTooNear, ahead + 1);
  }
  if (aPool.queue_.size() >= settings_.maxWaiting_) {
    const std::optional<Waiter> evicted =
      aPool.queue_.evictFor(aInfo.account_, aPriority);
    if (!evicted) {
      return refusal(aPool, RefusalReason::kQueueFull, ahead + 1);
    }
    AdmissionResult lost =
      refusal(aPool, RefusalReason::kQueueFull, aPool.queue_.size());
    lost.ticket_ = evicted->ticket_;
    aCalls.emplace_back(aPool.takeHandler(evicted->ticket_), lost);
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
Admission::refusal(const Pool& aPool,
                   RefusalReason aReason,
                   std::size_t aAhead) const
{
  const state::Duration wait = aPool.timeFor(aAhead, aPool.rateAt_);
  return { AdmissionStatus::kRefused,
           {},
           aReason,
           std::clamp(wait, kLeastRetryAfter, settings_.maxRetryAfter_) };
}

void
Admission::release(Pool& aPool, state::TimePoint aNow, Calls& aCalls)
{
  while (aPool.queue_.size() > 0 && aPool.hasRoom()) {
    const std::optional<Waiter> next = aPool.queue_.pop(aPool.meanCost_);
    ReleaseHandler handler = aPool.takeHandler(next->ticket_);
    AdmissionResult result;
    result.ticket_ = next->ticket_;
    if (next->waitUntil_ <= aNow) {
      aPool.queue_.charge(next->account_, -aPool.meanCost_);
      result = refusal(aPool, RefusalReason::kWaitedTooLong, 1);
      result.ticket_ = next->ticket_;
    } else {
      result.status_ = AdmissionStatus::kAdmitted;
      aPool.run(next->ticket_, next->account_, aNow);
    }
    aCalls.emplace_back(std::move(handler), result);
  }
}

void
Admission::shed(Pool& aPool, state::TimePoint aNow, Calls& aCalls)
{
  const auto hopeless = [&](const Waiter& aWaiter, std::size_t aAhead) {
    const bool room = aAhead == 0 && aPool.hasRoom();
    return aWaiter.waitUntil_ <= aNow ||
           (!room && aNow + aPool.timeFor(aAhead, aNow) > aWaiter.waitUntil_);
  };
  for (const Waiter& waiter : aPool.queue_.removeIf(hopeless)) {
    AdmissionResult result =
      refusal(aPool, RefusalReason::kWaitedTooLong, aPool.queue_.size() + 1);
    result.ticket_ = waiter.ticket_;
    aCalls.emplace_back(aPool.takeHandler(waiter.ticket_), result);
  }
}

} // namespace auburnhaven::coordination
