// Budget that limits retries to a share of the requests.

#include "coordination/request/retry_budget.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr double kPermille = 1000; ///< Thousandths per retry.

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings aSettings)
  : settings_(aSettings)
  , availablePermille_(aSettings.initialRetries_ * kPermille)
{
}

void
RetryBudget::requestStarted()
{
  const std::lock_guard lock(mutex_);
  availablePermille_ = std::min(availablePermille_ + settings_.ratioPermille_,
                                settings_.maxRetries_ * kPermille);
}

void
RetryBudget::addRetries(double aRetries)
{
  const std::lock_guard lock(mutex_);
  availablePermille_ = std::min(availablePermille_ + aRetries * kPermille,
                                settings_.maxRetries_ * kPermille);
}

void
RetryBudget::setMaximum(std::uint32_t aMaximum)
{
  const std::lock_guard lock(mutex_);
  if (aMaximum > settings_.maxRetries_) {
    availablePermille_ += (aMaximum - settings_.maxRetries_) * kPermille;
  }
  settings_.maxRetries_ = aMaximum;
  availablePermille_ = std::min(availablePermille_, aMaximum * kPermille);
}

bool
RetryBudget::tryAcquireRetry()
{
  const std::lock_guard lock(mutex_);
  if (availablePermille_ < kPermille) {
    return false;
  }
  availablePermille_ -= kPermille;
  return true;
}

std::uint32_t
RetryBudget::available() const
{
  const std::lock_guard lock(mutex_);
  return static_cast<std::uint32_t>(availablePermille_ / kPermille);
}

} // namespace auburnhaven::coordination
