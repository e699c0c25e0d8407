// Holds the calls to the store of all daemons together under its rates.

#include "coordination/fleet/store_limiter.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr double kEvenPart = 0.3;    ///< Part of the rate shared out evenly.
constexpr double kDemandSeconds = 2; ///< Time over which demand is averaged.
constexpr double kBurstCalls = 20;   ///< Calls that may be saved up.
constexpr state::Duration kMaxWait =
  std::chrono::seconds(5);                ///< Longest wait before a call fails.
constexpr std::size_t kMaxWaiting = 1000; ///< Waiting calls of one importance.

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
  ++wanted_;
  --tokens_;
  ++counts_.front().sent_;
  store_.acquireLease(aName, aHolder, aTimeToLive, std::move(aHandler));
}

void
StoreLimiter::releaseLease(const std::string& aName,
                           const std::string& aHolder,
                           LeaseHandler aHandler)
{
  ++wanted_;
  --tokens_;
  ++counts_.front().sent_;
  store_.releaseLease(aName, aHolder, std::move(aHandler));
}

void
StoreLimiter::call(StorePriority aPriority,
                   std::function<void()> aSend,
                   std::function<void()> aFail)
{
  ++wanted_;
  const auto order = static_cast<std::size_t>(aPriority);
  const bool overtakes = std::all_of(
    waiting_.begin(),
    waiting_.begin() + static_cast<std::ptrdiff_t>(order) + 1,
    [](const std::deque<Waiting>& aQueue) { return aQueue.empty(); });
  if (overtakes && tokens_ >= 1) {
    --tokens_;
    ++counts_[order].sent_;
    aSend();
    return;
  }
  ++counts_[order].held_;
  Waiting waiting{ clock_.now() + kMaxWait,
                   std::move(aSend),
                   std::move(aFail) };
  if (waiting_[order].size() >= kMaxWaiting) {
    // Fails at the next tick, as handlers must not run inside the call.
    waiting.until_ = clock_.now();
  }
  waiting_[order].push_back(std::move(waiting));
}

double
StoreLimiter::evenShare(std::size_t aDaemons) const
{
  const double daemons =
    static_cast<double>(std::max<std::size_t>(aDaemons, 1)) * settings_.zones_;
  return kEvenPart * settings_.storeCallsPerSecond_ / daemons;
}

void
StoreLimiter::tick(const StoreDemand& aDemand)
{
  const double rest = (1 - kEvenPart) * settings_.storeCallsPerSecond_ /
                      std::max(1U, settings_.zones_);
  const double part =
    aDemand.own_ / std::max({ aDemand.declared_, aDemand.own_, 1.0 });
  share_ = evenShare(aDemand.daemons_) + rest * part;
  const state::TimePoint now = clock_.now();
  const double seconds =
    std::chrono::duration<double>(now - refilledAt_).count();
  refilledAt_ = now;
  tokens_ = std::min(tokens_ + share_ * seconds, std::max(kBurstCalls, share_));
  const double weight = std::min(1.0, seconds / kDemandSeconds);
  if (seconds > 0) {
    demand_ += weight * (wanted_ / seconds - demand_);
    wanted_ = 0;
  }
  failOverdue();
  sendWaiting();
}

void
StoreLimiter::sendWaiting()
{
  for (std::size_t order = 0; order < kPriorities; ++order) {
    while (!waiting_[order].empty() && tokens_ >= 1) {
      --tokens_;
      ++counts_[order].sent_;
      const Waiting next = std::move(waiting_[order].front());
      waiting_[order].pop_front();
      next.send_();
    }
  }
}

void
StoreLimiter::failOverdue()
{
  for (std::size_t order = 0; order < kPriorities; ++order) {
    std::vector<std::function<void()>> overdue;
    std::erase_if(waiting_[order], [&](const Waiting& aWaiting) {
      const bool late = aWaiting.until_ <= clock_.now();
      if (late) {
        overdue.push_back(aWaiting.fail_);
      }
      return late;
    });
    counts_[order].failed_ += overdue.size();
    for (const std::function<void()>& fail : overdue) {
      fail();
    }
  }
}

} // namespace auburnhaven::coordination
