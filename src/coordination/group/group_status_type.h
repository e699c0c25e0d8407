// What operators see of the serving groups.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <map>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** One member of a copy. */
struct MemberStatus
{
  std::uint32_t rank_ = 0; ///< Rank; 0 is the head.
  state::VmId vm_;         ///< VM, empty for a missing one.
  std::string health_;     ///< Health as words.
  bool operator==(const MemberStatus&) const = default;
};

/** One copy of a group. */
struct CopyStatus
{
  state::CopyId id_;             ///< The copy.
  state::ZoneId zone_;           ///< Its availability zone.
  state::DomainId domain_;       ///< Its fabric domain.
  state::FencingNumber fencing_; ///< Number of the assignment.
  bool open_ = false;            ///< Whether it takes new work.
  std::string closedReason_;     ///< Why it does not.
  state::WallTime since_{};      ///< Since when it is open or closed.
  std::string version_;          ///< Version that it serves; own zone only.
  std::vector<MemberStatus> members_; ///< Members by rank; own zone only.
  bool operator==(const CopyStatus&) const = default;
};

/** One serving group. */
struct GroupStatus
{
  state::GroupId id_;          ///< The group.
  std::uint32_t wanted_ = 0;   ///< Copies wanted.
  std::uint32_t open_ = 0;     ///< Copies that take new work.
  state::Duration downtime_{}; ///< Time without an open copy, as this daemon
                               ///< saw it since its start.
  std::vector<CopyStatus> copies_; ///< Known copies.
  bool operator==(const GroupStatus&) const = default;
};

/** One fabric domain of the own zone. */
struct DomainStatus
{
  state::DomainId domain_;            ///< The domain.
  std::string coordinator_;           ///< Daemon that last published for it.
  bool coordinatedHere_ = false;      ///< Whether this daemon has the lease.
  std::uint64_t version_ = 0;         ///< Version of its record.
  std::vector<state::VmId> spares_;   ///< Spare VMs.
  std::vector<state::VmId> reserves_; ///< Reserved VMs.
  std::map<state::VmId, std::string> withdrawn_; ///< Withdrawn VMs and why.
  bool operator==(const DomainStatus&) const = default;
};

/** Serving groups as one daemon sees them. */
struct GroupStatusReport
{
  std::vector<GroupStatus> groups_;   ///< Groups of the configuration.
  std::vector<DomainStatus> domains_; ///< Domains of the own zone.
  std::map<std::string, std::uint32_t>
    strandedAccelerators_; ///< Healthy idle accelerators of the zone by cause.
  bool operator==(const GroupStatusReport&) const = default;
};

} // namespace auburnhaven::coordination
