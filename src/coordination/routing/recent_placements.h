// Places at copies that a dispatcher has given away of late.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <deque>
#include <map>

namespace auburnhaven::coordination {

/**
 * Remembers the places that this dispatcher gave, which reports of loads show
 * only later, and until when each copy has prompts to read. One thread at a
 * time.
 */
class RecentPlacements
{
public:
  /**
   * Notes a place that was given.
   * @param aVm Head of the copy.
   * @param aNow Present time.
   * @param aReading Time that the copy takes for the prompt.
   */
  void note(const state::VmId& aVm,
            state::TimePoint aNow,
            state::Duration aReading);
  /**
   * @param aVm Head of a copy.
   * @param aSince A time of late.
   * @return Places that were given after it.
   */
  std::uint32_t countSince(const state::VmId& aVm,
                           state::TimePoint aSince) const;
  /**
   * @param aVm Head of a copy.
   * @param aNow Present time.
   * @return Time until all prompts given to it are read.
   */
  state::Duration backlog(const state::VmId& aVm, state::TimePoint aNow) const;

private:
  /** What a copy was given. */
  struct Places
  {
    std::deque<state::TimePoint> given_; ///< When, in order.
    state::TimePoint readsUntil_{};      ///< When its prompts are read.
  };

  void forgetOld(state::TimePoint aNow);

  std::map<state::VmId, Places> copies_; ///< By head.
  state::TimePoint sweptAt_{};           ///< When old places were forgotten.
};

} // namespace auburnhaven::coordination
