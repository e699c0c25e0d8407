// Which fabric domain hosts which copies.

#include "coordination/group/allocation_func.h"

#include "state/digest_func.h"

#include <algorithm>
#include <sstream>
#include <tuple>

namespace auburnhaven::coordination {

namespace {

using state::CopyId;
using state::ServingGroup;

/** Room of a domain while copies are allotted. */
struct Room
{
  state::ZoneId zone_;    ///< Availability zone.
  std::int64_t free_ = 0; ///< VMs not yet allotted.
};

/** Where a copy is wanted, and its group's priority. */
struct Placed
{
  state::DomainId domain_;    ///< The domain.
  std::uint32_t vms_ = 0;     ///< Number of ranks.
  std::int32_t priority_ = 0; ///< Priority of the group.
};

bool
isBetterHost(const HostedCopy& aLeft, const HostedCopy& aRight)
{
  const auto rank = [](const HostedCopy& aCopy) {
    return std::make_tuple(
      aCopy.silent_, !aCopy.open_, !aCopy.complete_, aCopy.domain_);
  };
  return rank(aLeft) < rank(aRight);
}

/** @return The one host of each copy that counts when there are several. */
std::map<CopyId, HostedCopy>
chooseHosts(const std::vector<HostedCopy>& aHosted)
{
  std::map<CopyId, HostedCopy> hosts;
  for (const HostedCopy& copy : aHosted) {
    const auto [place, added] = hosts.emplace(copy.id_, copy);
    if (!added && isBetterHost(copy, place->second)) {
      place->second = copy;
    }
  }
  return hosts;
}

/** Allots copies to domains step by step. */
class Allocator
{
public:
  Allocator(const state::Configuration& aConfiguration,
            const AllocationFacts& aFacts)
    : configuration_(aConfiguration)
    , hosts_(chooseHosts(aFacts.hosted_))
  {
    for (const DomainCapacity& domain : aFacts.domains_) {
      rooms_[domain.domain_] = { domain.zone_, domain.usable_ };
    }
  }

  Allocation run()
  {
    const auto groups = groupsByPriority(configuration_);
    for (const ServingGroup* group : groups) {
      keepHosted(*group);
    }
    for (const ServingGroup* group : groups) {
      placeMissing(*group);
    }
    for (const ServingGroup* group : groups) {
      placeSurge(*group);
    }
    Allocation allocation;
    for (const auto& [copy, placed] : placed_) {
      allocation.wanted_[placed.domain_].insert(copy);
    }
    for (const ServingGroup* group : groups) {
      chooseChanges(*group, allocation.mayUpdate_);
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
    rooms_[aDomain].free_ -= aVms;
    placed_[aCopy] = { aDomain, aVms, aGroup.priority_ };
  }

  /** Keeps hosted copies that serve or have room; the rest is left over. */
  void keepHosted(const ServingGroup& aGroup)
  {
    for (std::uint32_t index = 0; index <= aGroup.copies_; ++index) {
      const CopyId id{ aGroup.id_, index };
      const HostedCopy* host = hostOf(id);
      const bool wanted =
        index < aGroup.copies_ || (host != nullptr && keepsSurge(aGroup));
      if (host == nullptr || !wanted || !allowsZone(aGroup, host->zone_)) {
        continue;
      }
      const bool hasRoom = rooms_[host->domain_].free_ >= host->vms_;
      if (host->open_ || hasRoom) {
        place(aGroup, id, host->domain_, host->vms_);
      }
    }
  }

  /** Places copies that have no host, or one without room. */
  void placeMissing(const ServingGroup& aGroup)
  {
    for (std::uint32_t index = 0; index < aGroup.copies_; ++index) {
      const CopyId id{ aGroup.id_, index };
      if (placed_.contains(id)) {
        continue;
      }
      const HostedCopy* host = hostOf(id);
      const bool mayPreempt = configuration_.policy_.allowPreemption_ &&
                              (host == nullptr || !host->silent_);
      if (placeInRoom(aGroup, id) ||
          (mayPreempt && placeByPreemption(aGroup, id))) {
        continue;
      }
      if (host != nullptr && allowsZone(aGroup, host->zone_)) {
        place(aGroup, id, host->domain_, host->vms_);
      }
    }
  }

  bool placeInRoom(const ServingGroup& aGroup, const CopyId& aCopy)
  {
    const bool first = countPlaced(aGroup.id_) == 0;
    const std::int64_t kept =
      first ? 0 : configuration_.policy_.sparesPerDomain_;
    const state::DomainId domain =
      bestDomain(aGroup, aCopy, [&](const state::DomainId&, const Room& aRoom) {
        return aRoom.free_ >= aGroup.vmsPerCopy_ + kept;
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
      aGroup, aCopy, [&](const state::DomainId& aDomain, const Room& aRoom) {
        const std::int64_t lesser = lesserVms(aDomain, aGroup.priority_);
        return lesser > 0 && aRoom.free_ + lesser >= aGroup.vmsPerCopy_;
      });
    if (domain.empty()) {
      return false;
    }
    place(aGroup, aCopy, domain, aGroup.vmsPerCopy_);
    return true;
  }

  /** @return VMs of copies of lesser priority in a domain. */
  std::int64_t lesserVms(const state::DomainId& aDomain,
                         std::int32_t aPriority) const
  {
    std::int64_t vms = 0;
    for (const auto& [copy, placed] : placed_) {
      if (placed.domain_ == aDomain && placed.priority_ < aPriority) {
        vms += placed.vms_;
      }
    }
    return vms;
  }

  std::size_t countPlaced(const state::GroupId& aGroup) const
  {
    return static_cast<std::size_t>(
      std::count_if(placed_.begin(), placed_.end(), [&](const auto& aEntry) {
        return aEntry.first.group_ == aGroup;
      }));
  }

  /** @return Copies of a group in a zone and in a domain of it. */
  std::pair<std::size_t, std::size_t> countNear(
    const state::GroupId& aGroup,
    const state::ZoneId& aZone,
    const state::DomainId& aDomain) const
  {
    std::size_t inZone = 0;
    std::size_t inDomain = 0;
    const CopyId first{ aGroup, 0 };
    for (auto entry = placed_.lower_bound(first);
         entry != placed_.end() && entry->first.group_ == aGroup;
         ++entry) {
      const auto room = rooms_.find(entry->second.domain_);
      inZone += room != rooms_.end() && room->second.zone_ == aZone ? 1 : 0;
      inDomain += entry->second.domain_ == aDomain ? 1 : 0;
    }
    return { inZone, inDomain };
  }

  /** @return The domain that fits best, or none. Spreads a group over zones and
   * domains, then leaves the largest rooms whole. */
  template<class Fits>
  state::DomainId bestDomain(const ServingGroup& aGroup,
                             const CopyId& aCopy,
                             const Fits& aFits) const
  {
    using Score =
      std::tuple<std::size_t, std::size_t, std::int64_t, std::uint64_t>;
    state::DomainId best;
    Score bestScore;
    for (const auto& [domain, room] : rooms_) {
      if (!allowsZone(aGroup, room.zone_) || !aFits(domain, room)) {
        continue;
      }
      const auto [inZone, inDomain] = countNear(aGroup.id_, room.zone_, domain);
      std::ostringstream name;
      name << aCopy << '@' << domain;
      const Score score{
        inZone, inDomain, room.free_, state::stableHash(name.str())
      };
      if (best.empty() || score < bestScore) {
        best = domain;
        bestScore = score;
      }
    }
    return best;
  }

  std::vector<const HostedCopy*> hostsOf(const ServingGroup& aGroup) const
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
    const auto hosts = hostsOf(aGroup);
    return std::any_of(
      hosts.begin(), hosts.end(), [&](const HostedCopy* aCopy) {
        return aCopy->outdated_ && aCopy->id_.index_ < aGroup.copies_;
      });
  }

  /** @return Whether an extra copy that exists is still needed. */
  bool keepsSurge(const ServingGroup& aGroup) const
  {
    const auto hosts = hostsOf(aGroup);
    return std::any_of(
      hosts.begin(), hosts.end(), [&](const HostedCopy* aCopy) {
        return aCopy->id_.index_ < aGroup.copies_ &&
               (aCopy->outdated_ || (aCopy->complete_ && !aCopy->open_));
      });
  }

  /** Places one extra copy while a group changes its version and room is left.
   */
  void placeSurge(const ServingGroup& aGroup)
  {
    const CopyId id{ aGroup.id_, aGroup.copies_ };
    if (!placed_.contains(id) && isOutdated(aGroup)) {
      placeInRoom(aGroup, id);
    }
  }

  /** Picks the copies of a group that may change their version now. */
  void chooseChanges(const ServingGroup& aGroup,
                     std::set<CopyId>& aMayChange) const
  {
    std::uint32_t open = 0;
    std::uint32_t complete = 0;
    const HostedCopy* next = nullptr;
    for (const HostedCopy* copy : hostsOf(aGroup)) {
      open += copy->open_ ? 1 : 0;
      complete += copy->complete_ ? 1 : 0;
      if (copy->outdated_ && !copy->open_) {
        aMayChange.insert(copy->id_);
      } else if (copy->outdated_ && next == nullptr) {
        next = copy;
      }
    }
    const bool allOpen = open >= complete;
    if (next != nullptr && allOpen && !awaitsSurge(aGroup)) {
      aMayChange.insert(next->id_);
    }
  }

  /** @return Whether an extra copy is allotted that is not complete yet. */
  bool awaitsSurge(const ServingGroup& aGroup) const
  {
    const CopyId surge{ aGroup.id_, aGroup.copies_ };
    const HostedCopy* host = hostOf(surge);
    return placed_.contains(surge) && (host == nullptr || !host->complete_);
  }

  const state::Configuration& configuration_; ///< The configuration.
  std::map<CopyId, HostedCopy> hosts_;        ///< Host of each copy.
  std::map<state::DomainId, Room> rooms_;     ///< Room of each domain.
  std::map<CopyId, Placed> placed_;           ///< Where copies are wanted.
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
