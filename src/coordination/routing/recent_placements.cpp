// Places at copies that a dispatcher has given away of late.

#include "coordination/routing/recent_placements.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::seconds kMemory(
  3); ///< Age from which reports show a place.
constexpr std::chrono::seconds kSweepPeriod(1); ///< Between two sweeps.

} // namespace

void
RecentPlacements::note(const state::VmId& aVm,
                       state::TimePoint aNow,
                       state::Duration aReading)
{
  forgetOld(aNow);
  Places& places = copies_[aVm];
  places.given_.push_back(aNow);
  places.readsUntil_ = std::max(places.readsUntil_, aNow) + aReading;
}

std::uint32_t
RecentPlacements::countSince(const state::VmId& aVm,
                             state::TimePoint aSince) const
{
  const auto found = copies_.find(aVm);
  if (found == copies_.end()) {
    return 0;
  }
  const auto& given = found->second.given_;
  const auto first = std::upper_bound(given.begin(), given.end(), aSince);
  return static_cast<std::uint32_t>(given.end() - first);
}

state::Duration
RecentPlacements::backlog(const state::VmId& aVm, state::TimePoint aNow) const
{
  const auto found = copies_.find(aVm);
  return found == copies_.end()
           ? state::Duration{}
           : std::max(state::Duration{}, found->second.readsUntil_ - aNow);
}

void
RecentPlacements::forgetOld(state::TimePoint aNow)
{
  if (aNow - sweptAt_ < kSweepPeriod) {
    return;
  }
  sweptAt_ = aNow;
  for (auto& [vm, places] : copies_) {
    auto& given = places.given_;
    while (!given.empty() && aNow - given.front() > kMemory) {
      given.pop_front();
    }
  }
  std::erase_if(
    copies_, [](const auto& aEntry) { return aEntry.second.given_.empty(); });
}

} // namespace auburnhaven::coordination
