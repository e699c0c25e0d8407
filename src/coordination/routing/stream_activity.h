// Events of streams as evidence that replicas work.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace auburnhaven::coordination {

/** What one daemon has seen of the streams from a replica. */
struct ReplicaActivity
{
  state::VmId head_;          ///< Head of the replica.
  state::Duration age_{};     ///< Time since its newest event.
  std::uint32_t streams_ = 0; ///< Streams that have begun and not ended.
  bool operator==(const ReplicaActivity&) const = default;
};

/**
 * Records the events of all streams that this daemon receives. A replica stops
 * as a whole when it loses a member, so the newest event of all its streams
 * tells until when all members were present. Thread-safe.
 */
class StreamActivity
{
public:
  /** @param aClock Clock; outlives this object. */
  explicit StreamActivity(const state::Clock& aClock);

  /** Notes the first event of a stream. @param aHead Head of the replica. */
  void noteBegin(const state::VmId& aHead);
  /** Notes a further event. @param aHead Head of the replica. */
  void noteEvent(const state::VmId& aHead);
  /** Notes that a stream has ended. @param aHead Head of the replica. */
  void noteEnd(const state::VmId& aHead);
  /**
   * @param aHeads Heads of replicas.
   * @return What is known of those that have sent events; all others are left
   * out.
   */
  std::vector<ReplicaActivity> activityOf(
    const std::vector<state::VmId>& aHeads) const;
  /** @return All replicas that have unfinished streams of this daemon. */
  std::vector<ReplicaActivity> unfinished() const;

private:
  /** Streams from one replica. */
  struct Streams
  {
    std::uint32_t open_ = 0;      ///< Streams that have not ended.
    state::TimePoint newestAt_{}; ///< Time of the newest event.
  };

  ReplicaActivity describe(const state::VmId& aHead,
                           const Streams& aStreams) const;

  const state::Clock& clock_;              ///< Clock.
  mutable std::mutex mutex_;               ///< Guards the following member.
  std::map<state::VmId, Streams> streams_; ///< By head of the replica.
};

} // namespace auburnhaven::coordination
