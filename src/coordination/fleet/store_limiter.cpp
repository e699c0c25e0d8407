// Limits the rate of calls that all daemons together make to the store.

#include "coordination/fleet/store_limiter.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr double kEvenFraction =
  0.3; ///< Fraction of the rate that is divided evenly.
constexpr double kDemandWindowSeconds =
  2;                               ///< Time constant of the averaged demand.
constexpr double kBurstCalls = 20; ///< Least capacity of the token bucket.
constexpr state::Duration kMaxWait =
  std::chrono::seconds(5); ///< Longest time in the queue before a call fails.
constexpr std::size_t kMaxQueuedCalls = 1000; ///< Queued calls of one priority.

} // namespace

StoreLimiter::StoreLimiter(const FleetSettings& aSettings,
                           const state::Clock& aClock,
                           Store& aStore)
  : settings_(aSettings)
  , clock_(aClock)
  , store_(aStore)
  , tokens_(kBurstCalls)
  , refilledAt_(aClock.now())
{
}

void
StoreLimiter::get(const std::string& aKey,
                  StorePriority aPriority,
                  ReplyHandler aHandler)
{
  call(
    aPriority,
    [this, aKey, aPriority, aHandler] {
      store_.get(aKey, aPriority, aHandler);
    },
    [aHandler] { aHandler(StoreReply{}); });
}

void
StoreLimiter::compareAndSwap(const std::string& aKey,
                             state::Revision aExpected,
                             std::string aValue,
                             StorePriority aPriority,
                             ReplyHandler aHandler)
{
  call(
    aPriority,
    [this, aKey, aExpected, value = std::move(aValue), aPriority, aHandler] {
      store_.compareAndSwap(aKey, aExpected, value, aPriority, aHandler);
    },
    [aHandler] { aHandler(StoreReply{}); });
}

void
StoreLimiter::watch(const std::string& aKey,
                    state::Revision aAfter,
                    state::Duration aTimeout,
                    ReplyHandler aHandler)
{
  call(
    StorePriority::kConfiguration,
    [this, aKey, aAfter, aTimeout, aHandler] {
      store_.watch(aKey, aAfter, aTimeout, aHandler);
    },
    [aHandler] { aHandler(StoreReply{}); });
}

void
StoreLimiter::acquireLease(const std::string& aName,
                           const std::string& aHolder,
                           state::Duration aTimeToLive,
                           LeaseHandler aHandler)
{
  ++requested_;
  --tokens_;
  ++counts_.front().sent_;
  store_.acquireLease(aName, aHolder, aTimeToLive, std::move(aHandler));
}

void
StoreLimiter::releaseLease(const std::string& aName,
                           const std::string& aHolder,
                           LeaseHandler aHandler)
{
  ++requested_;
  --tokens_;
  ++counts_.front().sent_;
  store_.releaseLease(aName, aHolder, std::move(aHandler));
}

void
StoreLimiter::call(StorePriority aPriority,
                   std::function<void()> aSend,
                   std::function<void()> aFail)
{
  ++requested_;
  const auto priority = static_cast<std::size_t>(aPriority);
  const bool nothingQueuedAhead = std::all_of(
    queues_.begin(),
    queues_.begin() + static_cast<std::ptrdiff_t>(priority) + 1,
    [](const std::deque<QueuedCall>& aQueue) { return aQueue.empty(); });
  if (nothingQueuedAhead && tokens_ >= 1) {
    --tokens_;
    ++counts_[priority].sent_;
    aSend();
    return;
  }
  ++counts_[priority].held_;
  QueuedCall queued{ clock_.now() + kMaxWait,
                     std::move(aSend),
                     std::move(aFail) };
  if (queues_[priority].size() >= kMaxQueuedCalls) {
    // Fails at the next tick, because handlers must not run before the call
    // returns.
    queued.deadline_ = clock_.now();
  }
  queues_[priority].push_back(std::move(queued));
}

double
StoreLimiter::evenShare(std::size_t aDaemons) const
{
  const double daemons =
    static_cast<double>(std::max<std::size_t>(aDaemons, 1)) * settings_.zones_;
  return kEvenFraction * settings_.storeCallsPerSecond_ / daemons;
}

void
StoreLimiter::tick(const StoreDemand& aDemand)
{
  const double remainder = (1 - kEvenFraction) *
                           settings_.storeCallsPerSecond_ /
                           std::max(1U, settings_.zones_);
  const double fraction =
    aDemand.own_ / std::max({ aDemand.declared_, aDemand.own_, 1.0 });
  share_ = evenShare(aDemand.daemons_) + remainder * fraction;
  const state::TimePoint now = clock_.now();
  const double seconds =
    std::chrono::duration<double>(now - refilledAt_).count();
  refilledAt_ = now;
  tokens_ = std::min(tokens_ + share_ * seconds, std::max(kBurstCalls, share_));
  const double weight = std::min(1.0, seconds / kDemandWindowSeconds);
  if (seconds > 0) {
    demand_ += weight * (requested_ / seconds - demand_);
    requested_ = 0;
  }
  failExpired();
  sendQueued();
}

void
StoreLimiter::sendQueued()
{
  for (std::size_t priority = 0; priority < kPriorities; ++priority) {
    while (!queues_[priority].empty() && tokens_ >= 1) {
      --tokens_;
      ++counts_[priority].sent_;
      const QueuedCall next = std::move(queues_[priority].front());
      queues_[priority].pop_front();
      next.send_();
    }
  }
}

void
StoreLimiter::failExpired()
{
  for (std::size_t priority = 0; priority < kPriorities; ++priority) {
    std::vector<std::function<void()>> expired;
    std::erase_if(queues_[priority], [&](const QueuedCall& aQueued) {
      const bool isExpired = aQueued.deadline_ <= clock_.now();
      if (isExpired) {
        expired.push_back(aQueued.fail_);
      }
      return isExpired;
    });
    counts_[priority].failed_ += expired.size();
    for (const std::function<void()>& fail : expired) {
      fail();
    }
  }
}

} // namespace auburnhaven::coordination
