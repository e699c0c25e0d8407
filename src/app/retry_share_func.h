// A daemon's share of the limit of repeated sends.
#pragma once

#include "app/relay_settings_type.h"
#include "coordination/request/retry_budget.h"

#include <cstddef>
#include <cstdint>

namespace auburnhaven::app {

/** What one daemon may send again. */
struct RetryShare
{
  std::uint32_t ratioPermille_; ///< Repeated sends for 1,000 requests.
  std::uint32_t maximum_;       ///< Most that it may save up.
  double perSecond_;            ///< Repeated sends that a second earns.
  bool operator==(const RetryShare&) const = default;
};

/**
 * Divides the limit so that all daemons together stay below it. Thread-safe.
 * @param aLimits The limit; where it grants nothing, neither does the share.
 * @param aDaemons Number of daemons; 0 counts as 1.
 * @return The share.
 */
RetryShare
shareOfRetries(const RelayRetryLimits& aLimits, std::size_t aDaemons);

/**
 * @param aLimits The limit.
 * @return Budget of a daemon that does not know the others yet. Thread-safe.
 */
coordination::RetryBudgetSettings
firstRetryBudget(const RelayRetryLimits& aLimits);

} // namespace auburnhaven::app
