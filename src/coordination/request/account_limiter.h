// Limits of client accounts at this daemon.
#pragma once

#include "state/config_type.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace auburnhaven::coordination {

/** What an account asked for or used in some span of time. */
struct AccountUsage
{
  double requests_ = 0; ///< Requests, refused ones included.
  double tokens_ = 0;   ///< Tokens generated.
  bool operator==(const AccountUsage&) const = default;
};

/** Usage by account. */
using UsageMap = std::map<state::AccountId, AccountUsage>;

/** Shares of the limits that this daemon may use, in parts of 1. */
struct RateLimitShare
{
  double requests_ = 1; ///< Share of the limit of requests.
  double tokens_ = 1;   ///< Share of the limit of tokens.
  bool operator==(const RateLimitShare&) const = default;
};

/** Answer to a request of an account. */
struct RateLimitDecision
{
  bool allowed_ = true;          ///< Whether the request is within the limits.
  state::Duration retryAfter_{}; ///< When the next one will be.
  bool operator==(const RateLimitDecision&) const = default;
};

/**
 * Token buckets for the requests and tokens of each account that has limits.
 * Tokens are charged when known, so that an account pays off what it overdrew
 * before its next request. Thread-safe.
 */
class AccountLimiter
{
public:
  /**
   * Takes the limits of a configuration.
   * @param aConfiguration Configuration in force.
   */
  void configure(const state::Configuration& aConfiguration);
  /**
   * Sets which part of an account's limits this daemon may use.
   * @param aAccount The account.
   * @param aShare The share.
   */
  void setShare(const state::AccountId& aAccount, RateLimitShare aShare);
  /**
   * Takes one request out of the account's limit.
   * @param aAccount The account.
   * @param aNow Present time.
   * @return Whether it is allowed.
   */
  RateLimitDecision tryRequest(const state::AccountId& aAccount,
                               state::TimePoint aNow);
  /**
   * Charges tokens.
   * @param aAccount The account.
   * @param aTokens Tokens generated.
   * @param aNow Present time.
   */
  void charge(const state::AccountId& aAccount,
              std::uint64_t aTokens,
              state::TimePoint aNow);
  /** @return Usage of the limited accounts since the last call. */
  UsageMap takeUsage();

private:
  /** Token bucket that holds at most one second of its rate. */
  struct Bucket
  {
    double rate_ = 0;  ///< Limit a second over all daemons, 0 for none.
    double share_ = 1; ///< Share of this daemon.
    double level_ = 0; ///< What is left; below zero when overdrawn.
    state::TimePoint refilledAt_{}; ///< When it was last filled.

    void refill(state::TimePoint aNow);
    state::Duration timeUntil(double aLevel) const;
  };
  /** Buckets and usage of one account. */
  struct Account
  {
    Bucket requests_;    ///< Requests.
    Bucket tokens_;      ///< Tokens.
    AccountUsage usage_; ///< Usage since the last call of takeUsage().
  };

  std::mutex mutex_;                             ///< Guards the accounts.
  std::map<state::AccountId, Account> accounts_; ///< Accounts with limits.
};

} // namespace auburnhaven::coordination
