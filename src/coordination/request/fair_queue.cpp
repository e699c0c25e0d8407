// Waiting requests of one pool in the order in which they go on.

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
FairQueue::push(Waiter aWaiter)
{
  // An account that was idle does not save up its share.
  double& received = received_[aWaiter.account_];
  Line& line = classes_[aWaiter.priority_][aWaiter.account_];
  if (line.empty()) {
    received = std::max(received, floor_);
  }
  line.push_back(std::move(aWaiter));
  ++size_;
}

std::optional<Waiter>
FairQueue::pop(double aCost)
{
  if (classes_.empty()) {
    return std::nullopt;
  }
  const auto greatest = std::prev(classes_.end());
  Lines& lines = greatest->second;
  const auto next = std::min_element(
    lines.begin(), lines.end(), [this](const auto& aLeft, const auto& aRight) {
      return received_[aLeft.first] < received_[aRight.first];
    });
  Waiter waiter = std::move(next->second.front());
  next->second.pop_front();
  --size_;
  floor_ = std::max(floor_, received_[waiter.account_]);
  charge(waiter.account_, aCost);
  if (next->second.empty()) {
    lines.erase(next);
  }
  if (lines.empty()) {
    classes_.erase(greatest);
  }
  return waiter;
}

void
FairQueue::charge(const state::AccountId& aAccount, double aCost)
{
  received_[aAccount] += aCost / weightOf(aAccount);
}

bool
FairQueue::remove(TicketId aTicket)
{
  const auto isIt = [aTicket](const Waiter& aWaiter, std::size_t) {
    return aWaiter.ticket_ == aTicket;
  };
  return !removeIf(isIt).empty();
}

std::vector<Waiter>
FairQueue::removeIf(
  const std::function<bool(const Waiter&, std::size_t)>& aExpired)
{
  std::vector<Waiter> removed;
  std::size_t greater = 0;
  for (auto waitingClass = classes_.rbegin(); waitingClass != classes_.rend();
       ++waitingClass) {
    Lines& lines = waitingClass->second;
    std::size_t kept = 0;
    for (auto& [account, line] : lines) {
      Line rest;
      for (Waiter& waiter : line) {
        const std::size_t before =
          greater + aheadInClass(lines, account, rest.size());
        if (aExpired(waiter, before)) {
          removed.push_back(std::move(waiter));
        } else {
          rest.push_back(std::move(waiter));
        }
      }
      kept += rest.size();
      line = std::move(rest);
    }
    std::erase_if(lines,
                  [](const auto& aItem) { return aItem.second.empty(); });
    greater += kept;
  }
  std::erase_if(classes_,
                [](const auto& aItem) { return aItem.second.empty(); });
  size_ -= removed.size();
  return removed;
}

std::optional<Waiter>
FairQueue::evictFor(const state::AccountId& aAccount, std::int32_t aPriority)
{
  if (classes_.empty() || classes_.begin()->first > aPriority) {
    return std::nullopt;
  }
  const auto least = classes_.begin();
  Lines& lines = least->second;
  const auto longest = std::max_element(
    lines.begin(), lines.end(), [this](const auto& aLeft, const auto& aRight) {
      return static_cast<double>(aLeft.second.size()) / weightOf(aLeft.first) <
             static_cast<double>(aRight.second.size()) / weightOf(aRight.first);
    });
  if (least->first == aPriority) {
    const auto own = lines.find(aAccount);
    const double ownLength =
      own == lines.end() ? 0 : static_cast<double>(own->second.size());
    const double longestShare =
      static_cast<double>(longest->second.size()) / weightOf(longest->first);
    if ((ownLength + 1) / weightOf(aAccount) >= longestShare) {
      return std::nullopt;
    }
  }
  return takeLast(least, longest);
}

std::size_t
FairQueue::ahead(const state::AccountId& aAccount, std::int32_t aPriority) const
{
  std::size_t before = 0;
  for (const auto& [priority, lines] : classes_) {
    if (priority > aPriority) {
      for (const auto& [account, line] : lines) {
        before += line.size();
      }
    } else if (priority == aPriority) {
      const auto own = lines.find(aAccount);
      before += aheadInClass(
        lines, aAccount, own == lines.end() ? 0 : own->second.size());
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
FairQueue::aheadInClass(const Lines& aLines,
                        const state::AccountId& aAccount,
                        std::size_t aOwnAhead) const
{
  const double rounds = static_cast<double>(aOwnAhead) / weightOf(aAccount);
  double before = static_cast<double>(aOwnAhead);
  for (const auto& [account, line] : aLines) {
    if (account != aAccount) {
      before += std::min(static_cast<double>(line.size()),
                         std::ceil(rounds * weightOf(account)));
    }
  }
  return static_cast<std::size_t>(before);
}

Waiter
FairQueue::takeLast(std::map<std::int32_t, Lines>::iterator aClass,
                    Lines::iterator aLine)
{
  Waiter last = std::move(aLine->second.back());
  aLine->second.pop_back();
  --size_;
  if (aLine->second.empty()) {
    aClass->second.erase(aLine);
  }
  if (aClass->second.empty()) {
    classes_.erase(aClass);
  }
  return last;
}

} // namespace auburnhaven::coordination
