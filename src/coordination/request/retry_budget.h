// Budget that limits retries to a share of the requests.
#pragma once

#include <cstdint>
#include <mutex>

namespace auburnhaven::coordination {

/** Limits of a retry budget. */
struct RetryBudgetSettings
{
  std::uint32_t ratioPermille_ = 100;   ///< Retries added per 1,000 requests.
  std::uint32_t initialRetries_ = 1000; ///< Retries available at the start.
  std::uint32_t maxRetries_ = 1000;     ///< Maximum of available retries.
  bool operator==(const RetryBudgetSettings&) const = default;
};

/**
 * Token bucket of retries: new requests and elapsed time fill it, retries drain
 * it. Thread-safe.
 */
class RetryBudget
{
public:
  /** @param aSettings Limits; `initialRetries_` are available at once. */
  explicit RetryBudget(RetryBudgetSettings aSettings = {});
  /** Adds the fraction of a retry that each new request contributes. */
  void requestStarted();
  /**
   * Takes one retry from the budget.
   * @return Whether a retry was available; when false, do not retry.
   */
  bool tryAcquireRetry();
  /**
   * Adds retries for elapsed time, up to the maximum.
   * @param aRetries Number of retries; may be a fraction.
   */
  void addRetries(double aRetries);
  /**
   * Sets the maximum of available retries. Raising it adds the difference to
   * the available retries at once; lowering it discards the excess.
   * @param aMaximum Maximum number of retries.
   */
  void setMaximum(std::uint32_t aMaximum);
  /** @return Number of retries available now, rounded down. */
  std::uint32_t available() const;

private:
  mutable std::mutex mutex_;     ///< Guards the following members.
  RetryBudgetSettings settings_; ///< Limits.
  double availablePermille_;     ///< Available retries, in thousandths.
};

} // namespace auburnhaven::coordination
