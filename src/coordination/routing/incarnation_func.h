// Bookkeeping of what belongs to one incarnation of a target.
#pragma once

#include "state/id_type.h"

#include <cstdint>
#include <map>

namespace auburnhaven::coordination {

/**
 * Notes the registered incarnation of a target, and erases what belongs to an
 * earlier one. Thread safety: as for the map.
 * @tparam Entry Has the member bornAtMs_, the start of its incarnation, which
 * is 0 while unknown.
 * @param aEntries Entries by target.
 * @param aVm The target.
 * @param aBornAtMs Start of its registered incarnation; 0 when unknown, which
 * erases nothing.
 */
template<class Entry>
void
noteIncarnationIn(std::map<state::VmId, Entry>& aEntries,
                  const state::VmId& aVm,
                  std::uint64_t aBornAtMs)
{
  const auto found = aEntries.find(aVm);
  if (found == aEntries.end() || aBornAtMs == 0) {
    return;
  }
  if (found->second.bornAtMs_ == 0) {
    found->second.bornAtMs_ = aBornAtMs;
  } else if (found->second.bornAtMs_ != aBornAtMs) {
    aEntries.erase(found);
  }
}

} // namespace auburnhaven::coordination
