// The stored record of one fabric domain that holds every assignment of its
// VMs.
#pragma once

#include "state/id_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburnhaven::state {

/** What a VM is assigned to. */
enum class AssignmentKind : std::uint8_t
{
  kSpare,     ///< Free to replace a member of any copy.
  kMember,    ///< Member of a copy.
  kReserve,   ///< Spare that only one copy may use.
  kWithdrawn, ///< Not used: leaving, gone, flapping or straggling.
};

/** Assignment of one VM. */
struct Assignment
{
  AssignmentKind kind_ =
    AssignmentKind::kSpare; ///< What the VM is assigned to.
  CopyId copy_;             ///< Copy, for members and reserves.
  std::uint32_t rank_ = 0;  ///< Rank, for members and reserves that load ahead;
  ///< 0 is the head.
  std::string reason_; ///< Why, as a short sentence for people.
  bool preload_ =
    false; ///< Whether a reserve loads the shard of its rank ahead.
  bool operator==(const Assignment&) const = default;
};

/** A copy that lives in the domain. */
struct CopyRecord
{
  CopyId id_; ///< The copy.
  FencingNumber
    fencing_;         ///< Number of the latest change of its members or model.
  std::string model_; ///< Model that it serves.
  std::string version_;               ///< Version of the model.
  std::vector<std::string> adapters_; ///< Adapters, sorted.
  std::vector<VmId>
    members_; ///< Members by rank; an empty identifier is a missing one.
  bool operator==(const CopyRecord&) const = default;
};

/**
 * All assignments of one fabric domain, written by one compare-and-swap.
 * Invariant: a VM has at most one assignment, and each member of a copy is
 * assigned to that copy at that rank.
 */
struct DomainRecord
{
  DomainId domain_;                        ///< The fabric domain.
  ZoneId zone_;                            ///< Its availability zone.
  std::uint64_t version_ = 0;              ///< Grows by one with every write.
  std::map<VmId, Assignment> assignments_; ///< Assignment of each known VM.
  std::map<CopyId, CopyRecord> copies_;    ///< Copies of the domain.
  bool operator==(const DomainRecord&) const = default;
};

} // namespace auburnhaven::state
