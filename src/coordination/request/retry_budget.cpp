// Budget that keeps retries a bounded share of the requests.

#include "coordination/request/retry_budget.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr double kPermille = 1000; ///< Thousandths in one retry.

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings aSettings)
  : settings_(aSettings)
  , permille_(aSettings.initialRetries_ * kPermille)
{
}

void
RetryBudget::requestStarted()
{
  const std::lock_guard lock(mutex_);
  permille_ = std::min(permille_ + settings_.ratioPermille_,
                       settings_.maxRetries_ * kPermille);
}

void
RetryBudget::addRetries(double aRetries)
{
  const std::lock_guard lock(mutex_);
  permille_ = std::min(permille_ + aRetries * kPermille,
                       settings_.maxRetries_ * kPermille);
}

void
RetryBudget::setMaximum(std::uint32_t aMaximum)
{
  const std::lock_guard lock(mutex_);
  if (aMaximum > settings_.maxRetries_) {
    permille_ += (aMaximum - settings_.maxRetries_) * kPermille;
  }
  settings_.maxRetries_ = aMaximum;
  permille_ = std::min(permille_, aMaximum * kPermille);
}

bool
RetryBudget::tryAcquireRetry()
{
  const std::lock_guard lock(mutex_);
  if (permille_ < kPermille) {
    return false;
  }
  permille_ -= kPermille;
  return true;
}

std::uint32_t
RetryBudget::available() const
{
  const std::lock_guard lock(mutex_);
  return static_cast<std::uint32_t>(permille_ / kPermille);
}

} // namespace auburnhaven::coordination
