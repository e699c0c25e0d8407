// Requests that a dispatcher has recently placed on replicas.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <deque>
#include <map>

namespace auburnhaven::coordination {

/**
 * Remembers the requests that this dispatcher placed, which load reports only
 * show later, and until when each replica is busy with their prompts. Not
 * thread-safe.
 */
class RecentPlacements
{
public:
  /**
   * Records a placed request.
   * @param aVm Head VM of the replica.
   * @param aNow Current time.
   * @param aPrefill Time that the replica takes to process the prompt.
   */
  void record(const state::VmId& aVm,
              state::TimePoint aNow,
              state::Duration aPrefill);
  /**
   * @param aVm Head VM of a replica.
   * @param aSince Time of a load report; not older than 3 s, the retention of
   * placements.
   * @return Number of requests placed after it.
   */
  std::uint32_t countSince(const state::VmId& aVm,
                           state::TimePoint aSince) const;
  /**
   * @param aVm Head VM of a replica.
   * @param aNow Current time.
   * @return Time until the replica has processed the prompts placed on it.
   */
  state::Duration backlog(const state::VmId& aVm, state::TimePoint aNow) const;

private:
  /** Requests placed on a replica. */
  struct Placements
  {
    std::deque<state::TimePoint> placedAt_; ///< Times of placement, in order.
    state::TimePoint prefillEndsAt_{};      ///< When the last prompt is done.
  };

  void pruneExpired(state::TimePoint aNow);

  std::map<state::VmId, Placements> copies_; ///< By head VM.
  state::TimePoint prunedAt_{};              ///< Time of the last pruning.
};

} // namespace auburnhaven::coordination
