// Audit trail of assignment changes.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** One assignment change. */
struct AuditEntry
{
  state::WallTime time_{}; ///< When the write of the change was confirmed.
  state::DomainId domain_; ///< The fabric domain.
  std::uint64_t version_ =
    0;                 ///< Version of the domain record that has the change.
  std::string change_; ///< Description of the change and its reason.
  std::string
    coordinator_; ///< Holder name of the process that made the change.
  bool operator==(const AuditEntry&) const = default;
};

using AuditTrail = std::vector<AuditEntry>; ///< Entries, oldest first.

} // namespace auburnhaven::coordination
