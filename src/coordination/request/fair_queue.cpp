// Queue of one admission pool, ordered by priority and weighted fair shares.

#include "coordination/request/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhaven::coordination {

void
FairQueue::setWeight(const state::AccountId& aAccount, std::uint32_t aWeight)
{
  weights_[aAccount] = std::max(1U, aWeight);
}

void
FairQueue::push(QueuedRequest aRequest)
{
  // An account does not accumulate credit while it is idle.
  double& normalizedCost = normalizedCosts_[aRequest.account_];
  AccountQueue& accountQueue = classes_[aRequest.priority_][aRequest.account_];
  if (accountQueue.empty()) {
    normalizedCost = std::max(normalizedCost, virtualTime_);
  }
  accountQueue.push_back(std::move(aRequest));
  ++size_;
}

std::optional<QueuedRequest>
FairQueue::pop(double aCost)
{
  if (classes_.empty()) {
    return std::nullopt;
  }
  const auto highestClass = std::prev(classes_.end());
  AccountQueues& accountQueues = highestClass->second;
  const auto next = std::min_element(
    accountQueues.begin(),
    accountQueues.end(),
    [this](const auto& aLeft, const auto& aRight) {
      return normalizedCosts_[aLeft.first] < normalizedCosts_[aRight.first];
    });
  QueuedRequest request = std::move(next->second.front());
  next->second.pop_front();
  --size_;
  virtualTime_ = std::max(virtualTime_, normalizedCosts_[request.account_]);
  charge(request.account_, aCost);
  if (next->second.empty()) {
    accountQueues.erase(next);
  }
  if (accountQueues.empty()) {
    classes_.erase(highestClass);
  }
  return request;
}

void
FairQueue::charge(const state::AccountId& aAccount, double aCost)
{
  normalizedCosts_[aAccount] += aCost / weightOf(aAccount);
}

bool
FairQueue::remove(TicketId aTicket)
{
  const auto hasTicket = [aTicket](const QueuedRequest& aRequest, std::size_t) {
    return aRequest.ticket_ == aTicket;
  };
  return !removeIf(hasTicket).empty();
}

std::vector<QueuedRequest>
FairQueue::removeIf(
  const std::function<bool(const QueuedRequest&, std::size_t)>& aPredicate)
{
  std::vector<QueuedRequest> removed;
  std::size_t higherPriority = 0;
  for (auto priorityClass = classes_.rbegin(); priorityClass != classes_.rend();
       ++priorityClass) {
    AccountQueues& accountQueues = priorityClass->second;
    std::size_t kept = 0;
    for (auto& [account, accountQueue] : accountQueues) {
      AccountQueue rest;
      for (QueuedRequest& request : accountQueue) {
        const std::size_t before =
          higherPriority +
          countAheadInClass(accountQueues, account, rest.size());
        if (aPredicate(request, before)) {
          removed.push_back(std::move(request));
        } else {
          rest.push_back(std::move(request));
        }
      }
      kept += rest.size();
      accountQueue = std::move(rest);
    }
    std::erase_if(accountQueues,
                  [](const auto& aItem) { return aItem.second.empty(); });
    higherPriority += kept;
  }
  std::erase_if(classes_,
                [](const auto& aItem) { return aItem.second.empty(); });
  size_ -= removed.size();
  return removed;
}

std::optional<QueuedRequest>
FairQueue::evictFor(const state::AccountId& aAccount, std::int32_t aPriority)
{
  if (classes_.empty() || classes_.begin()->first > aPriority) {
    return std::nullopt;
  }
  const auto lowestClass = classes_.begin();
  AccountQueues& accountQueues = lowestClass->second;
  const auto longest = std::max_element(
    accountQueues.begin(),
    accountQueues.end(),
    [this](const auto& aLeft, const auto& aRight) {
      return static_cast<double>(aLeft.second.size()) / weightOf(aLeft.first) <
             static_cast<double>(aRight.second.size()) / weightOf(aRight.first);
    });
  if (lowestClass->first == aPriority) {
    const auto own = accountQueues.find(aAccount);
    const double ownLength =
      own == accountQueues.end() ? 0 : static_cast<double>(own->second.size());
    const double longestShare =
      static_cast<double>(longest->second.size()) / weightOf(longest->first);
    if ((ownLength + 1) / weightOf(aAccount) >= longestShare) {
      return std::nullopt;
    }
  }
  return removeLast(lowestClass, longest);
}

std::size_t
FairQueue::countAhead(const state::AccountId& aAccount,
                      std::int32_t aPriority) const
{
  std::size_t before = 0;
  for (const auto& [priority, accountQueues] : classes_) {
    if (priority > aPriority) {
      for (const auto& [account, accountQueue] : accountQueues) {
        before += accountQueue.size();
      }
    } else if (priority == aPriority) {
      const auto own = accountQueues.find(aAccount);
      before +=
        countAheadInClass(accountQueues,
                          aAccount,
                          own == accountQueues.end() ? 0 : own->second.size());
    }
  }
  return before;
}

double
FairQueue::weightOf(const state::AccountId& aAccount) const
{
  const auto found = weights_.find(aAccount);
  return found == weights_.end() ? 1.0 : found->second;
}

std::size_t
FairQueue::countAheadInClass(const AccountQueues& aQueues,
                             const state::AccountId& aAccount,
                             std::size_t aOwnAhead) const
{
  const double rounds = static_cast<double>(aOwnAhead) / weightOf(aAccount);
  double before = static_cast<double>(aOwnAhead);
  for (const auto& [account, accountQueue] : aQueues) {
    if (account != aAccount) {
      before += std::min(static_cast<double>(accountQueue.size()),
                         std::ceil(rounds * weightOf(account)));
    }
  }
  return static_cast<std::size_t>(before);
}

QueuedRequest
FairQueue::removeLast(std::map<std::int32_t, AccountQueues>::iterator aClass,
                      AccountQueues::iterator aQueue)
{
  QueuedRequest last = std::move(aQueue->second.back());
  aQueue->second.pop_back();
  --size_;
  if (aQueue->second.empty()) {
    aClass->second.erase(aQueue);
  }
  if (aClass->second.empty()) {
    classes_.erase(aClass);
  }
  return last;
}

} // namespace auburnhaven::coordination
