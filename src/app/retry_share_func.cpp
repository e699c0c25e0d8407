// A daemon's share of the limit of repeated sends.

#include "app/retry_share_func.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace auburnhaven::app {

namespace {

constexpr double kUsedBudget = 0.8; ///< Part of the limit of repeated sends.
constexpr double kBudgetSlack =
  1.3; ///< How much more than its even part of the extra sends a daemon may
       ///< save, since they are not needed evenly.
constexpr double kSavedBudget =
  0.6; ///< Part of its extra sends of a window that a daemon may save up; the
       ///< rest comes with time.
constexpr double kPermille = 1000; ///< Thousandths.

} // namespace

RetryShare
shareOfRetries(const RelayRetryLimits& aLimits, std::size_t aDaemons)
{
  const double daemons = std::max(1.0, static_cast<double>(aDaemons));
  const double extra = aLimits.extra_ * kUsedBudget * kBudgetSlack / daemons;
  RetryShare share{};
  share.ratioPermille_ =
    static_cast<std::uint32_t>(aLimits.ratio_ * kUsedBudget * kPermille);
  // Below 1 nothing could be sent again, however much is earned.
  const bool grantsAny = share.ratioPermille_ > 0 || aLimits.extra_ > 0;
  share.maximum_ =
    std::max(grantsAny ? 1U : 0U,
             static_cast<std::uint32_t>(std::lround(extra * kSavedBudget)));
  share.perSecond_ = extra * (1 - kSavedBudget) /
                     std::chrono::duration<double>(aLimits.window_).count();
  return share;
}

coordination::RetryBudgetSettings
firstRetryBudget(const RelayRetryLimits& aLimits)
{
  const RetryShare share = shareOfRetries(aLimits, 1);
  const std::uint32_t first = std::min(1U, share.maximum_);
  return { share.ratioPermille_, first, first };
}

} // namespace auburnhaven::app
