// Stream events of replicas, as evidence whether all their members work.
#pragma once

#include "coordination/routing/stream_activity.h"

#include <cstdint>
#include <map>
#include <vector>

namespace auburnhaven::coordination {

/**
 * Collects what daemons tell of the streams from a zone's replicas. An event
 * shows that all members of a replica were present; many streams without any
 * event show that one is missing. Control thread only.
 */
class ActivityEvidence
{
public:
  /** @param aClock Clock; outlives this object. */
  explicit ActivityEvidence(const state::Clock& aClock);

  /**
   * Notes a daemon's answer.
   * @param aReplicas What it knows.
   * @param aCountedAt Time of which the ages were counted at the earliest; the
   * answers to one question have the same.
   */
  void note(const std::vector<ReplicaActivity>& aReplicas,
            state::TimePoint aCountedAt);
  /**
   * @param aHead Head of a replica.
   * @param aSince A time.
   * @return Whether an event was sent after that time, and not long ago.
   */
  bool showsEventsSince(const state::VmId& aHead,
                        state::TimePoint aSince) const;
  /**
   * @param aHead Head of a replica.
   * @return Whether a daemon had streams of the replica not long ago.
   */
  bool showsStreams(const state::VmId& aHead) const;
  /**
   * @param aHead Head of a replica.
   * @param aLimit Longest time between two events of a replica that works.
   * @return Whether several streams wait and none has had an event for so long.
   */
  bool showsSilence(const state::VmId& aHead, state::Duration aLimit) const;
  /** Forgets everything. */
  void clear() { events_.clear(); }

private:
  /** Events of one replica. */
  struct Events
  {
    state::TimePoint newestAt_{};  ///< Time of the newest known event.
    state::TimePoint countedAt_{}; ///< Time of the latest answers.
    std::uint32_t streams_ = 0;    ///< Unfinished streams in these.
  };

  const state::Clock& clock_;            ///< Clock.
  std::map<state::VmId, Events> events_; ///< By head of the replica.
};

} // namespace auburnhaven::coordination
