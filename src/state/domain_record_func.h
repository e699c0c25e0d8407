// Checks of the invariants of a domain record.
#pragma once

#include "state/domain_record_type.h"

#include <string>

namespace auburnhaven::state {

/**
 * Checks that no VM is in two places and that members and assignments agree.
 * @param aRecord The record.
 * @return Empty when all invariants hold, else the first one broken.
 */
std::string
brokenInvariant(const DomainRecord& aRecord);

/**
 * @param aCopy A copy.
 * @return Whether each rank of the copy has a member.
 */
bool
isComplete(const CopyRecord& aCopy);

} // namespace auburnhaven::state
