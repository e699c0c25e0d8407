// Sets of prompt parts whose requests are not sent to targets.

#include "coordination/quarantine/prompt_quarantine.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kMaxSets = 64; ///< Sets that are kept.

} // namespace

PromptQuarantine::PromptQuarantine(const state::Clock& aClock)
  : clock_(aClock)
{
}

void
PromptQuarantine::eraseEnded()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(ends_,
                [&](const auto& aEntry) { return aEntry.second <= now; });
}

bool
PromptQuarantine::add(const QuarantinedParts& aSet)
{
  const std::lock_guard lock(mutex_);
  eraseEnded();
  if (ends_.size() >= kMaxSets && !ends_.contains(aSet.parts_)) {
    ends_.erase(std::min_element(
      ends_.begin(), ends_.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      }));
  }
  const state::Duration remaining =
    std::min<state::Duration>(aSet.remaining_, kDuration);
  const bool added =
    ends_.emplace(aSet.parts_, clock_.now() + remaining).second;
  empty_ = false;
  return added;
}

bool
PromptQuarantine::lift(const state::PromptParts& aParts)
{
  const std::lock_guard lock(mutex_);
  const bool known = ends_.erase(aParts) > 0;
  empty_ = ends_.empty();
  return known;
}

bool
PromptQuarantine::blocks(const state::PromptParts& aPrompt) const
{
  if (empty_ || aPrompt.empty()) {
    return false;
  }
  state::PromptParts prompt = aPrompt;
  std::sort(prompt.begin(), prompt.end());
  const std::lock_guard lock(mutex_);
  const state::TimePoint now = clock_.now();
  return std::any_of(ends_.begin(), ends_.end(), [&](const auto& aEntry) {
    return aEntry.second > now && std::includes(prompt.begin(),
                                                prompt.end(),
                                                aEntry.first.begin(),
                                                aEntry.first.end());
  });
}

std::vector<QuarantinedParts>
PromptQuarantine::sets() const
{
  const std::lock_guard lock(mutex_);
  const state::TimePoint now = clock_.now();
  std::vector<QuarantinedParts> sets;
  for (const auto& [parts, end] : ends_) {
    if (end > now) {
      sets.push_back({ parts, end - now });
    }
  }
  return sets;
}

} // namespace auburnhaven::coordination
