// Requests that a dispatcher has recently placed on replicas.

#include "coordination/routing/recent_placements.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::seconds kRetention(
  3); ///< Age at which load reports include a placed request.
constexpr std::chrono::seconds kPruneInterval(1); ///< Between two prunings.

} // namespace

void
RecentPlacements::record(const state::VmId& aVm,
                         state::TimePoint aNow,
                         state::Duration aPrefill)
{
  pruneExpired(aNow);
  Placements& placements = copies_[aVm];
  placements.placedAt_.push_back(aNow);
  placements.prefillEndsAt_ =
    std::max(placements.prefillEndsAt_, aNow) + aPrefill;
}

std::uint32_t
RecentPlacements::countSince(const state::VmId& aVm,
                             state::TimePoint aSince) const
{
  const auto found = copies_.find(aVm);
  if (found == copies_.end()) {
    return 0;
  }
  const auto& placedAt = found->second.placedAt_;
  const auto first = std::upper_bound(placedAt.begin(), placedAt.end(), aSince);
  return static_cast<std::uint32_t>(placedAt.end() - first);
}

state::Duration
RecentPlacements::backlog(const state::VmId& aVm, state::TimePoint aNow) const
{
  const auto found = copies_.find(aVm);
  return found == copies_.end()
           ? state::Duration{}
           : std::max(state::Duration{}, found->second.prefillEndsAt_ - aNow);
}

void
RecentPlacements::pruneExpired(state::TimePoint aNow)
{
  if (aNow - prunedAt_ < kPruneInterval) {
    return;
  }
  prunedAt_ = aNow;
  for (auto& [vm, placements] : copies_) {
    auto& placedAt = placements.placedAt_;
    while (!placedAt.empty() && aNow - placedAt.front() > kRetention) {
      placedAt.pop_front();
    }
  }
  std::erase_if(copies_, [](const auto& aEntry) {
    return aEntry.second.placedAt_.empty();
  });
}

} // namespace auburnhaven::coordination
