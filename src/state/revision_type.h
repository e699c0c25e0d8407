// Revisions of the store, which compare over losses of its newest writes.
#pragma once

#include "state/id_type.h"

#include <compare>
#include <cstdint>
#include <ostream>

namespace auburnhaven::state {

/**
 * Point in the history of the store. A store that has returned to an older
 * state begins a new era and gives out the same numbers again, so any revision
 * of a later era is newer. Thread safety: as for an integer.
 */
class Revision
{
public:
  /** Makes a revision that is older than all others. */
  constexpr Revision() = default;
  /**
   * @param aNumber Number within the era.
   * @param aEra Era; none for a store that names no eras.
   */
  constexpr explicit Revision(std::uint64_t aNumber, StoreEra aEra = {})
    : era_(aEra)
    , number_(aNumber)
  {
  }
  /** @return Number within the era. */
  constexpr std::uint64_t value() const { return number_; }
  /** @return The era. */
  constexpr StoreEra era() const { return era_; }
  constexpr auto operator<=>(const Revision&) const = default;

private:
  StoreEra era_;             ///< Era; compared first.
  std::uint64_t number_ = 0; ///< Number within the era.
};

/** Writes a revision as "number in era". */
inline std::ostream&
operator<<(std::ostream& aOut, const Revision& aRevision)
{
  return aOut << aRevision.value() << " in " << aRevision.era();
}

} // namespace auburnhaven::state
