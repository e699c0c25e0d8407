// What other availability zones learn of a fabric domain.
#pragma once

#include "state/id_type.h"
#include "state/vm_type.h"

#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Serving state of one copy. */
struct CopySummary
{
  state::CopyId id_;             ///< The copy.
  std::uint32_t vms_ = 0;        ///< Number of ranks.
  bool complete_ = false;        ///< Whether each rank has a member.
  bool open_ = false;            ///< Whether it takes new work.
  bool outdated_ = false;        ///< Whether it serves another version than
                                 ///< configured.
  std::string closedReason_;     ///< Why it takes no new work.
  state::VmId head_;             ///< VM that takes the requests.
  state::FencingNumber fencing_; ///< Number of the assignment.
  state::EngineLoad load_;       ///< Load last reported by the head.
  std::uint32_t slowdownPermille_ =
    1000; ///< Slowness against its peers; 1000 is as fast as they are.
  bool operator==(const CopySummary&) const = default;
};

/** Serving state of one fabric domain, published by a daemon of its zone. */
struct DomainSummary
{
  state::DomainId domain_;          ///< The domain.
  state::ZoneId zone_;              ///< Its availability zone.
  state::DaemonId coordinator_;     ///< Holder of the lease, when it published.
  std::uint32_t usable_ = 0;        ///< VMs that can be members.
  std::uint64_t version_ = 0;       ///< Version of the record it follows.
  std::vector<CopySummary> copies_; ///< Copies of the domain.
  bool operator==(const DomainSummary&) const = default;
};

} // namespace auburnhaven::coordination
