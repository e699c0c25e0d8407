// Which fabric domain hosts which copies.
#pragma once

#include "state/config_type.h"
#include "state/id_type.h"

#include <map>
#include <set>
#include <vector>

namespace auburnhaven::coordination {

/** Room of a fabric domain, as one daemon knows it. */
struct DomainCapacity
{
  state::DomainId domain_;   ///< The domain.
  state::ZoneId zone_;       ///< Its availability zone.
  std::uint32_t usable_ = 0; ///< VMs that can be members.
  bool operator==(const DomainCapacity&) const = default;
};

/** A copy that a domain hosts, as one daemon knows it. */
struct HostedCopy
{
  state::CopyId id_;       ///< The copy.
  state::DomainId domain_; ///< The domain.
  state::ZoneId zone_;     ///< Its availability zone.
  std::uint32_t vms_ = 0;  ///< Number of ranks.
  bool complete_ = false;  ///< Whether each rank has a member.
  bool open_ = false;      ///< Whether it serves.
  bool outdated_ =
    false;              ///< Whether it serves another version than configured.
  bool silent_ = false; ///< Whether nothing is heard from its zone.
  bool operator==(const HostedCopy&) const = default;
};

/** All facts that the allocation depends on. */
struct AllocationFacts
{
  std::vector<DomainCapacity> domains_; ///< Domains of all zones.
  std::vector<HostedCopy> hosted_;      ///< Hosted copies of all zones.
  bool operator==(const AllocationFacts&) const = default;
};

/** Share of the copies that each domain hosts. */
struct Allocation
{
  std::map<state::DomainId, std::set<state::CopyId>>
    wanted_;                          ///< Copies to host.
  std::set<state::CopyId> mayUpdate_; ///< Outdated copies that may change now.
  bool operator==(const Allocation&) const = default;
};

/**
 * Allots the copies of all groups to domains. The result depends on the facts
 * alone, so that coordinators that know the same facts agree without asking
 * each other. Copies stay where they are while they serve or have room. Pure;
 * thread-safe.
 * @param aConfiguration The configuration.
 * @param aFacts What is known of the domains.
 * @return The share of each domain, and which copies may change their version.
 */
Allocation
allocateCopies(const state::Configuration& aConfiguration,
               const AllocationFacts& aFacts);

/**
 * @param aConfiguration The configuration.
 * @return Groups in the order in which their copies are completed.
 */
std::vector<const state::ServingGroup*>
groupsByPriority(const state::Configuration& aConfiguration);

} // namespace auburnhaven::coordination
