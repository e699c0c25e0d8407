// Rate limits of the client accounts, as enforced by this daemon.

#include "coordination/request/account_limiter.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kMaxRetryAfter =
  std::chrono::seconds(30); ///< Longest retry delay that is suggested.

} // namespace

void
AccountLimiter::Bucket::refill(state::TimePoint aNow)
{
  const double capacity = std::max(1.0, rate_ * share_);
  if (refilledAt_ == state::TimePoint()) {
    level_ = capacity;
  } else if (aNow > refilledAt_) {
    const double seconds =
      std::chrono::duration<double>(aNow - refilledAt_).count();
    level_ = std::min(capacity, level_ + seconds * rate_ * share_);
  }
  refilledAt_ = std::max(refilledAt_, aNow);
}

state::Duration
AccountLimiter::Bucket::timeUntil(double aLevel) const
{
  if (level_ >= aLevel) {
    return {};
  }
  const double rate = rate_ * share_;
  const double limit = std::chrono::duration<double>(kMaxRetryAfter).count();
  const double seconds =
    rate <= 0 ? limit : std::min(limit, (aLevel - level_) / rate);
  return std::chrono::duration_cast<state::Duration>(
    std::chrono::duration<double>(seconds));
}

void
AccountLimiter::configure(const state::Configuration& aConfiguration)
{
  const std::lock_guard lock(mutex_);
  std::erase_if(accounts_, [&](const auto& aItem) {
    return !aConfiguration.accounts_.contains(aItem.first);
  });
  for (const auto& [id, account] : aConfiguration.accounts_) {
    if (account.requestsPerSecond_ == 0 && account.tokensPerSecond_ == 0) {
      accounts_.erase(id);
      continue;
    }
    Account& limits = accounts_[id];
    limits.requests_.rate_ = account.requestsPerSecond_;
    limits.tokens_.rate_ = account.tokensPerSecond_;
  }
}

void
AccountLimiter::setShare(const state::AccountId& aAccount,
                         RateLimitShare aShare)
{
  const std::lock_guard lock(mutex_);
  const auto found = accounts_.find(aAccount);
  if (found != accounts_.end()) {
    found->second.requests_.share_ = aShare.requests_;
    found->second.tokens_.share_ = aShare.tokens_;
  }
}

RateLimitDecision
AccountLimiter::tryRequest(const state::AccountId& aAccount,
                           state::TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  const auto found = accounts_.find(aAccount);
  if (found == accounts_.end()) {
    return {};
  }
  Account& account = found->second;
  account.usage_.requests_ += 1;
  RateLimitDecision decision;
  if (account.tokens_.rate_ > 0) {
    account.tokens_.refill(aNow);
    decision.retryAfter_ = account.tokens_.timeUntil(0);
  }
  if (account.requests_.rate_ > 0) {
    account.requests_.refill(aNow);
    decision.retryAfter_ =
      std::max(decision.retryAfter_, account.requests_.timeUntil(1));
  }
  decision.allowed_ = decision.retryAfter_ == state::Duration::zero();
  if (decision.allowed_ && account.requests_.rate_ > 0) {
    account.requests_.level_ -= 1;
  }
  return decision;
}

void
AccountLimiter::charge(const state::AccountId& aAccount,
                       std::uint64_t aTokens,
                       state::TimePoint aNow)
{
  const std::lock_guard lock(mutex_);
  const auto found = accounts_.find(aAccount);
  if (found == accounts_.end()) {
    return;
  }
  Account& account = found->second;
  account.usage_.tokens_ += static_cast<double>(aTokens);
  if (account.tokens_.rate_ > 0) {
    account.tokens_.refill(aNow);
    account.tokens_.level_ -= static_cast<double>(aTokens);
  }
}

UsageMap
AccountLimiter::takeUsage()
{
  const std::lock_guard lock(mutex_);
  UsageMap usage;
  for (auto& [id, account] : accounts_) {
    usage[id] = account.usage_;
    account.usage_ = {};
  }
  return usage;
}

} // namespace auburnhaven::coordination
