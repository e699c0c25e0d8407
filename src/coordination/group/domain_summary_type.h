// Summary of a fabric domain that is shared with other availability zones.
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
  bool open_ = false;            ///< Whether it accepts new requests.
  bool outdated_ = false;        ///< Whether its version differs from the
                                 ///< configured one.
  std::string closedReason_;     ///< Why it accepts no new requests.
  state::VmId head_;             ///< VM that receives the requests.
  state::FencingNumber fencing_; ///< Fencing number of the assignment.
  state::EngineLoad load_;       ///< Load that the head last reported.
  std::uint32_t slowdownPermille_ =
    1000; ///< Slowdown relative to the median copy of the group in its zone, in
          ///< permille; 1000 is as fast as the median.
  bool operator==(const CopySummary&) const = default;
};

/** Serving state of one fabric domain, published by a daemon of its zone. */
struct DomainSummary
{
  state::DomainId domain_;      ///< The domain.
  state::ZoneId zone_;          ///< Its availability zone.
  state::DaemonId coordinator_; ///< Lease holder, if it published this;
                                ///< otherwise empty.
  std::uint32_t usable_ = 0;    ///< Number of VMs that can be members.
  std::uint64_t version_ =
    0; ///< Version of the domain record that it reflects.
  std::vector<CopySummary> copies_; ///< Copies of the domain.
  bool operator==(const DomainSummary&) const = default;
};

} // namespace auburnhaven::coordination
