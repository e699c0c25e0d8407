// Allocates the copies of serving groups to fabric domains.
#pragma once

#include "state/config_type.h"
#include "state/id_type.h"

#include <map>
#include <set>
#include <vector>

namespace auburnhaven::coordination {

/** Capacity of a fabric domain, as known to this daemon. */
struct DomainCapacity
{
  state::DomainId domain_;   ///< The domain.
  state::ZoneId zone_;       ///< Its availability zone.
  std::uint32_t usable_ = 0; ///< Number of VMs that can be members.
  bool operator==(const DomainCapacity&) const = default;
};

/** A copy hosted by a domain, as known to this daemon. */
struct HostedCopy
{
  state::CopyId id_;             ///< The copy.
  state::DomainId domain_;       ///< The domain.
  state::ZoneId zone_;           ///< Its availability zone.
  std::uint32_t vms_ = 0;        ///< Number of ranks.
  bool complete_ = false;        ///< Whether each rank has a member assigned.
  bool open_ = false;            ///< Whether it accepts new work.
  bool outdated_ = false;        ///< Whether it differs from the configuration.
  bool zoneUnreachable_ = false; ///< Whether its zone sends no recent summary.
  bool operator==(const HostedCopy&) const = default;
};

/** Observed state that the allocation depends on. */
struct AllocationFacts
{
  std::vector<DomainCapacity> domains_; ///< Domains of all zones.
  std::vector<HostedCopy> hosted_;      ///< Hosted copies of all zones.
  bool operator==(const AllocationFacts&) const = default;
};

/** Result of an allocation. */
struct Allocation
{
  std::map<state::DomainId, std::set<state::CopyId>>
    wanted_;                          ///< Copies that each domain should host.
  std::set<state::CopyId> mayUpdate_; ///< Outdated copies that may update now.
  bool operator==(const Allocation&) const = default;
};

/**
 * Allocates the copies of all groups to domains. The result depends on the
 * arguments alone, so coordinators with the same facts reach the same result
 * without communication. A copy stays in its domain while it serves or fits
 * there. Pure; thread-safe.
 * @param aConfiguration Configuration in force.
 * @param aFacts Observed state of all domains.
 * @return The copies of each domain, and which of them may update now.
 */
Allocation
allocateCopies(const state::Configuration& aConfiguration,
               const AllocationFacts& aFacts);

/**
 * Sorts the serving groups for allocation. Pure; thread-safe.
 * @param aConfiguration Configuration in force; must outlive the result.
 * @return Groups by descending priority, then by identifier.
 */
std::vector<const state::ServingGroup*>
groupsByPriority(const state::Configuration& aConfiguration);

} // namespace auburnhaven::coordination
