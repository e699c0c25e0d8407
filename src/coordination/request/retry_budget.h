// Budget that keeps retries a bounded share of the requests.
#pragma once

#include <cstdint>
#include <mutex>

namespace auburnhaven::coordination {

/** Limits of a retry budget. */
struct RetryBudgetSettings
{
  std::uint32_t ratioPermille_ = 100;   ///< Retries earned by 1,000 requests.
  std::uint32_t initialRetries_ = 1000; ///< Retries at hand at the start.
  std::uint32_t maxRetries_ = 1000;     ///< Most retries that can be saved up.
  bool operator==(const RetryBudgetSettings&) const = default;
};

/** Token bucket that requests and time fill and retries drain. Thread-safe. */
class RetryBudget
{
public:
  /** @param aSettings Limits. */
  explicit RetryBudget(RetryBudgetSettings aSettings = {});
  /** Adds the share that one new request earns. */
  void requestStarted();
  /**
   * Takes one retry out.
   * @return Whether the retry may be made.
   */
  bool tryAcquireRetry();
  /** @param aRetries Retries, or a part of one, that time has earned. */
  void addRetries(double aRetries);
  /**
   * Sets how many retries can be saved up from now on. What the maximum grows
   * by is at hand at once.
   * @param aMaximum Most retries.
   */
  void setMaximum(std::uint32_t aMaximum);
  /** @return Whole retries at hand. */
  std::uint32_t available() const;

private:
  mutable std::mutex mutex_;     ///< Guards the following members.
  RetryBudgetSettings settings_; ///< Limits.
  double permille_;              ///< Thousandths of a retry at hand.
};

} // namespace auburnhaven::coordination
