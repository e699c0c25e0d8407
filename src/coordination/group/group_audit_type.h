// Entries of the audit trail of assignments.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** One change of an assignment. */
struct AuditEntry
{
  state::WallTime time_{};    ///< When it was written.
  state::DomainId domain_;    ///< The fabric domain.
  std::uint64_t version_ = 0; ///< Version of the record with the change.
  std::string change_;        ///< The change and its reason.
  std::string coordinator_;   ///< Process that made it.
  bool operator==(const AuditEntry&) const = default;
};

using AuditTrail = std::vector<AuditEntry>; ///< Entries, oldest first.

} // namespace auburnhaven::coordination
