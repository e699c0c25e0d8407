// Allocates the copies of serving groups to fabric domains.

#include "coordination/group/allocation_func.h"

#include "state/digest_func.h"

#include <algorithm>
#include <sstream>
#include <tuple>

namespace auburnhaven::coordination {

namespace {

using state::CopyId;
using state::ServingGroup;

/** Free VMs of a domain at the current step of the allocation. */
struct FreeCapacity
{
  state::ZoneId zone_;    ///< Availability zone.
  std::int64_t free_ = 0; ///< Unallocated VMs; negative when overcommitted.
};

/** Domain that a copy is allocated to, and the priority of its group. */
struct Placement
{
  state::DomainId domain_;    ///< The domain.
  std::uint32_t vms_ = 0;     ///< Number of ranks.
  std::int32_t priority_ = 0; ///< Priority of the group.
};

bool
isPreferredHost(const HostedCopy& aLeft, const HostedCopy& aRight)
{
  const auto rank = [](const HostedCopy& aCopy) {
    return std::make_tuple(
      aCopy.zoneUnreachable_, !aCopy.open_, !aCopy.complete_, aCopy.domain_);
  };
  return rank(aLeft) < rank(aRight);
}

/** @return The preferred host of each copy; several domains may host the same
 * copy. */
std::map<CopyId, HostedCopy>
chooseHosts(const std::vector<HostedCopy>& aHosted)
{
  std::map<CopyId, HostedCopy> hosts;
  for (const HostedCopy& copy : aHosted) {
    const auto [place, added] = hosts.emplace(copy.id_, copy);
    if (!added && isPreferredHost(copy, place->second)) {
      place->second = copy;
    }
  }
  return hosts;
}

/** Allocates copies to domains in several passes. */
class Allocator
{
public:
  Allocator(const state::Configuration& aConfiguration,
            const AllocationFacts& aFacts)
    : configuration_(aConfiguration)
    , hosts_(chooseHosts(aFacts.hosted_))
  {
    for (const DomainCapacity& domain : aFacts.domains_) {
      capacity_[domain.domain_] = { domain.zone_, domain.usable_ };
    }
  }

  Allocation run()
  {
    const auto groups = groupsByPriority(configuration_);
    for (const ServingGroup* group : groups) {
      keepCurrentHosts(*group);
    }
    for (const ServingGroup* group : groups) {
      placeMissing(*group);
    }
    for (const ServingGroup* group : groups) {
      placeSurge(*group);
    }
    Allocation allocation;
    for (const auto& [copy, placed] : placements_) {
      allocation.wanted_[placed.domain_].insert(copy);
    }
    for (const ServingGroup* group : groups) {
      chooseUpdates(*group, allocation.mayUpdate_);
    }
    return allocation;
  }

private:
  const HostedCopy* hostOf(const CopyId& aCopy) const
  {
    const auto found = hosts_.find(aCopy);
    return found == hosts_.end() ? nullptr : &found->second;
  }

  static bool allowsZone(const ServingGroup& aGroup, const state::ZoneId& aZone)
  {
    return aGroup.zones_.empty() ||
           std::find(aGroup.zones_.begin(), aGroup.zones_.end(), aZone) !=
             aGroup.zones_.end();
  }

  void place(const ServingGroup& aGroup,
             const CopyId& aCopy,
             const state::DomainId& aDomain,
             std::uint32_t aVms)
  {
    capacity_[aDomain].free_ -= aVms;
    placements_[aCopy] = { aDomain, aVms, aGroup.priority_ };
  }

  /** Keeps each hosted copy in its domain if it serves or fits into the free
   * capacity; the other copies are left to the next pass. */
  void keepCurrentHosts(const ServingGroup& aGroup)
  {
    for (std::uint32_t index = 0; index <= aGroup.copies_; ++index) {
      const CopyId id{ aGroup.id_, index };
      const HostedCopy* host = hostOf(id);
      const bool wanted =
        index < aGroup.copies_ || (host != nullptr && needsSurge(aGroup));
      if (host == nullptr || !wanted || !allowsZone(aGroup, host->zone_)) {
        continue;
      }
      const bool fits = capacity_[host->domain_].free_ >= host->vms_;
      if (host->open_ || fits) {
        place(aGroup, id, host->domain_, host->vms_);
      }
    }
  }

  /** Places copies without a host, and those that no longer fit on theirs. */
  void placeMissing(const ServingGroup& aGroup)
  {
    for (std::uint32_t index = 0; index < aGroup.copies_; ++index) {
      const CopyId id{ aGroup.id_, index };
      if (placements_.contains(id)) {
        continue;
      }
      const HostedCopy* host = hostOf(id);
      const bool mayPreempt = configuration_.policy_.allowPreemption_ &&
                              (host == nullptr || !host->zoneUnreachable_);
      if (placeInFreeCapacity(aGroup, id) ||
          (mayPreempt && placeByPreemption(aGroup, id))) {
        continue;
      }
      if (host != nullptr && allowsZone(aGroup, host->zone_)) {
        place(aGroup, id, host->domain_, host->vms_);
      }
    }
  }

  bool placeInFreeCapacity(const ServingGroup& aGroup, const CopyId& aCopy)
  {
    const bool first = countPlaced(aGroup.id_) == 0;
    const std::int64_t spares =
      first ? 0 : configuration_.policy_.sparesPerDomain_;
    const state::DomainId domain =
      bestDomain(aGroup,
                 aCopy,
                 [&](const state::DomainId&, const FreeCapacity& aCapacity) {
                   return aCapacity.free_ >= aGroup.vmsPerCopy_ + spares;
                 });
    if (domain.empty()) {
      return false;
    }
    place(aGroup, aCopy, domain, aGroup.vmsPerCopy_);
    return true;
  }

  bool placeByPreemption(const ServingGroup& aGroup, const CopyId& aCopy)
  {
    const state::DomainId domain = bestDomain(
      aGroup,
      aCopy,
      [&](const state::DomainId& aDomain, const FreeCapacity& aCapacity) {
        const std::int64_t reclaimable =
          countLowerPriorityVms(aDomain, aGroup.priority_);
        return reclaimable > 0 &&
               aCapacity.free_ + reclaimable >= aGroup.vmsPerCopy_;
      });
    if (domain.empty()) {
      return false;
    }
    place(aGroup, aCopy, domain, aGroup.vmsPerCopy_);
    return true;
  }

  /** @return Number of VMs of lower-priority copies in a domain. */
  std::int64_t countLowerPriorityVms(const state::DomainId& aDomain,
                                     std::int32_t aPriority) const
  {
    std::int64_t vms = 0;
    for (const auto& [copy, placed] : placements_) {
      if (placed.domain_ == aDomain && placed.priority_ < aPriority) {
        vms += placed.vms_;
      }
    }
    return vms;
  }

  std::size_t countPlaced(const state::GroupId& aGroup) const
  {
    return static_cast<std::size_t>(std::count_if(
      placements_.begin(), placements_.end(), [&](const auto& aEntry) {
        return aEntry.first.group_ == aGroup;
      }));
  }

  /** @return Number of placed copies of a group in a zone, and in a domain. */
  std::pair<std::size_t, std::size_t> countInZoneAndDomain(
    const state::GroupId& aGroup,
    const state::ZoneId& aZone,
    const state::DomainId& aDomain) const
  {
    std::size_t inZone = 0;
    std::size_t inDomain = 0;
    const CopyId first{ aGroup, 0 };
    for (auto entry = placements_.lower_bound(first);
         entry != placements_.end() && entry->first.group_ == aGroup;
         ++entry) {
      const auto capacity = capacity_.find(entry->second.domain_);
      inZone +=
        capacity != capacity_.end() && capacity->second.zone_ == aZone ? 1 : 0;
      inDomain += entry->second.domain_ == aDomain ? 1 : 0;
    }
    return { inZone, inDomain };
  }

  /** @return The best domain that satisfies the predicate, or an empty
   * identifier. Spreads a group over zones and domains, then prefers the domain
   * with the least free capacity so that large free blocks stay intact. */
  template<class Predicate>
  state::DomainId bestDomain(const ServingGroup& aGroup,
                             const CopyId& aCopy,
                             const Predicate& aPredicate) const
  {
    using Score =
      std::tuple<std::size_t, std::size_t, std::int64_t, std::uint64_t>;
    state::DomainId best;
    Score bestScore;
    for (const auto& [domain, capacity] : capacity_) {
      if (!allowsZone(aGroup, capacity.zone_) ||
          !aPredicate(domain, capacity)) {
        continue;
      }
      const auto [inZone, inDomain] =
        countInZoneAndDomain(aGroup.id_, capacity.zone_, domain);
      std::ostringstream name;
      name << aCopy << '@' << domain;
      const Score score{
        inZone, inDomain, capacity.free_, state::stableHash(name.str())
      };
      if (best.empty() || score < bestScore) {
        best = domain;
        bestScore = score;
      }
    }
    return best;
  }

  std::vector<const HostedCopy*> hostedCopiesOf(
    const ServingGroup& aGroup) const
  {
    std::vector<const HostedCopy*> hosts;
    const CopyId first{ aGroup.id_, 0 };
    for (auto entry = hosts_.lower_bound(first);
         entry != hosts_.end() && entry->first.group_ == aGroup.id_;
         ++entry) {
      hosts.push_back(&entry->second);
    }
    return hosts;
  }

  bool isOutdated(const ServingGroup& aGroup) const
  {
    const auto hosts = hostedCopiesOf(aGroup);
    return std::any_of(
      hosts.begin(), hosts.end(), [&](const HostedCopy* aCopy) {
        return aCopy->outdated_ && aCopy->id_.index_ < aGroup.copies_;
      });
  }

  /** @return Whether an existing surge copy is still needed: another copy of
   * the group is outdated, or complete but not yet serving. */
  bool needsSurge(const ServingGroup& aGroup) const
  {
    const auto hosts = hostedCopiesOf(aGroup);
    return std::any_of(
      hosts.begin(), hosts.end(), [&](const HostedCopy* aCopy) {
        return aCopy->id_.index_ < aGroup.copies_ &&
               (aCopy->outdated_ || (aCopy->complete_ && !aCopy->open_));
      });
  }

  /** Places one surge copy during a version update if capacity is free. */
  void placeSurge(const ServingGroup& aGroup)
  {
    const CopyId id{ aGroup.id_, aGroup.copies_ };
    if (!placements_.contains(id) && isOutdated(aGroup)) {
      placeInFreeCapacity(aGroup, id);
    }
  }

  /** Selects the copies of a group that may update their version now: all
   * outdated copies that do not serve, and one serving copy while all complete
   * copies serve and no surge copy is pending. */
  void chooseUpdates(const ServingGroup& aGroup,
                     std::set<CopyId>& aMayUpdate) const
  {
    std::uint32_t open = 0;
    std::uint32_t complete = 0;
    const HostedCopy* next = nullptr;
    for (const HostedCopy* copy : hostedCopiesOf(aGroup)) {
      open += copy->open_ ? 1 : 0;
      complete += copy->complete_ ? 1 : 0;
      if (copy->outdated_ && !copy->open_) {
        aMayUpdate.insert(copy->id_);
      } else if (copy->outdated_ && next == nullptr) {
        next = copy;
      }
    }
    const bool allOpen = open >= complete;
    if (next != nullptr && allOpen && !isSurgePending(aGroup)) {
      aMayUpdate.insert(next->id_);
    }
  }

  /** @return Whether a surge copy is placed but not complete yet. */
  bool isSurgePending(const ServingGroup& aGroup) const
  {
    const CopyId surge{ aGroup.id_, aGroup.copies_ };
    const HostedCopy* host = hostOf(surge);
    return placements_.contains(surge) && (host == nullptr || !host->complete_);
  }

  const state::Configuration& configuration_; ///< Configuration in force.
  std::map<CopyId, HostedCopy> hosts_;        ///< Preferred host of each copy.
  std::map<state::DomainId, FreeCapacity>
    capacity_;                             ///< Free VMs of each domain.
  std::map<CopyId, Placement> placements_; ///< Allocated copies.
};

} // namespace

std::vector<const ServingGroup*>
groupsByPriority(const state::Configuration& aConfiguration)
{
  std::vector<const ServingGroup*> groups;
  groups.reserve(aConfiguration.groups_.size());
  for (const auto& [id, group] : aConfiguration.groups_) {
    groups.push_back(&group);
  }
  std::stable_sort(groups.begin(),
                   groups.end(),
                   [](const ServingGroup* aLeft, const ServingGroup* aRight) {
                     return aLeft->priority_ > aRight->priority_;
                   });
  return groups;
}

Allocation
allocateCopies(const state::Configuration& aConfiguration,
               const AllocationFacts& aFacts)
{
  return Allocator(aConfiguration, aFacts).run();
}

} // namespace auburnhaven::coordination
