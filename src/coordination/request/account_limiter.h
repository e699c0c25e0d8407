// Rate limits of the client accounts, as enforced by this daemon.
#pragma once

#include "state/config_type.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace auburnhaven::coordination {

/** Requests and tokens of one account over an interval. */
struct AccountUsage
{
  double requests_ = 0; ///< Requests, including refused ones.
  double tokens_ = 0;   ///< Tokens generated.
  bool operator==(const AccountUsage&) const = default;
};

/** Usage by account. */
using UsageMap = std::map<state::AccountId, AccountUsage>;

/** Fractions (0 to 1) of an account's limits that this daemon may use. */
struct RateLimitShare
{
  double requests_ = 1; ///< Fraction of the request limit.
  double tokens_ = 1;   ///< Fraction of the token limit.
  bool operator==(const RateLimitShare&) const = default;
};

/** Result of checking a request against the limits of its account. */
struct RateLimitDecision
{
  bool allowed_ = true;          ///< Whether the request is within the limits.
  state::Duration retryAfter_{}; ///< Delay until a request can be allowed.
  bool operator==(const RateLimitDecision&) const = default;
};

/**
 * Rate limiter with one token bucket for requests and one for generated tokens
 * per limited account. Generated tokens are charged after the fact, when their
 * number is known, so that the bucket may become negative; further requests are
 * refused until it has recovered. Accounts without limits are always allowed.
 * Thread-safe.
 */
class AccountLimiter
{
public:
  /**
   * Applies the limits of a configuration. Accounts that keep a limit also
   * keep the state of their buckets.
   * @param aConfiguration The active configuration.
   */
  void configure(const state::Configuration& aConfiguration);
  /**
   * Sets the fraction of an account's limits that this daemon may use. Has no
   * effect on accounts without limits.
   * @param aAccount The account.
   * @param aShare Fractions of both limits.
   */
  void setShare(const state::AccountId& aAccount, RateLimitShare aShare);
  /**
   * Consumes one request of the account's limit if both buckets allow it.
   * @param aAccount Account that sends the request.
   * @param aNow Current time.
   * @return Whether the request is allowed, and if not, when to retry.
   */
  RateLimitDecision tryRequest(const state::AccountId& aAccount,
                               state::TimePoint aNow);
  /**
   * Charges generated tokens to the account's token bucket.
   * @param aAccount Account that sent the request.
   * @param aTokens Number of tokens generated.
   * @param aNow Current time.
   */
  void charge(const state::AccountId& aAccount,
              std::uint64_t aTokens,
              state::TimePoint aNow);
  /** @return Usage of each limited account since the previous call. */
  UsageMap takeUsage();

private:
  /** Token bucket with a capacity of one second of its rate, but at least 1. */
  struct Bucket
  {
    double rate_ = 0;  ///< Limit per second over all daemons; 0 means no limit.
    double share_ = 1; ///< Fraction of the rate for this daemon.
    double level_ = 0; ///< Remaining amount; negative if overdrawn.
    state::TimePoint refilledAt_{}; ///< Time of the last refill.

    /** Adds what has accrued since the last refill; the first one fills it. */
    void refill(state::TimePoint aNow);
    /** @return Time until the level is reached, 30 s at most. */
    state::Duration timeUntil(double aLevel) const;
  };
  /** Buckets and usage of one account. */
  struct Account
  {
    Bucket requests_;    ///< Requests.
    Bucket tokens_;      ///< Tokens.
    AccountUsage usage_; ///< Usage since the last takeUsage().
  };

  std::mutex mutex_;                             ///< Guards accounts_.
  std::map<state::AccountId, Account> accounts_; ///< Accounts with limits.
};

} // namespace auburnhaven::coordination
