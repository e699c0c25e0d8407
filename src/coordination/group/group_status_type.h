// Status of the serving groups for operators.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <map>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Status of one member of a copy. */
struct MemberStatus
{
  std::uint32_t rank_ = 0; ///< Rank; 0 is the head.
  state::VmId vm_;         ///< VM; empty if the rank has no member.
  std::string health_;     ///< Health as text.
  bool operator==(const MemberStatus&) const = default;
};

/** Status of one copy of a group. */
struct CopyStatus
{
  state::CopyId id_;             ///< The copy.
  state::ZoneId zone_;           ///< Its availability zone.
  state::DomainId domain_;       ///< Its fabric domain.
  state::FencingNumber fencing_; ///< Fencing number of the assignment.
  bool open_ = false;            ///< Whether it accepts new requests.
  std::string closedReason_;     ///< Why it accepts no new requests.
  state::WallTime since_{};      ///< When it was last opened or closed.
  std::string version_;          ///< Version that it serves; local zone only.
  std::vector<MemberStatus> members_; ///< Members by rank; local zone only.
  bool operator==(const CopyStatus&) const = default;
};

/** Status of one serving group. */
struct GroupStatus
{
  state::GroupId id_;          ///< The group.
  std::uint32_t wanted_ = 0;   ///< Number of copies that are configured.
  std::uint32_t open_ = 0;     ///< Number of copies that accept new requests.
  state::Duration downtime_{}; ///< Time without an open copy that this daemon
                               ///< observed since its start.
  std::vector<CopyStatus> copies_; ///< Known copies.
  bool operator==(const GroupStatus&) const = default;
};

/** Status of one fabric domain of the local zone. */
struct DomainStatus
{
  state::DomainId domain_;       ///< The domain.
  std::string coordinator_;      ///< Lease holder named by the latest summary.
  bool coordinatedHere_ = false; ///< Whether this daemon holds its lease.
  std::uint64_t version_ = 0;    ///< Version of its record.
  std::vector<state::VmId> spares_;   ///< Spare VMs.
  std::vector<state::VmId> reserves_; ///< Reserved VMs.
  std::map<state::VmId, std::string>
    withdrawn_; ///< Withdrawn VMs with the reason.
  bool operator==(const DomainStatus&) const = default;
};

/** Status of the serving groups as observed by one daemon. */
struct GroupStatusReport
{
  std::vector<GroupStatus> groups_;   ///< Configured groups.
  std::vector<DomainStatus> domains_; ///< Domains of the local zone.
  std::map<std::string, std::uint32_t>
    strandedAccelerators_; ///< Number of healthy idle accelerators of the local
                           ///< zone, by cause.
  bool operator==(const GroupStatusReport&) const = default;
};

} // namespace auburnhaven::coordination
