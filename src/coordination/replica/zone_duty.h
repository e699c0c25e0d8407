// A daemon's part in the coordination of one zone: the lease and the
// coordinator.
#pragma once

#include "coordination/leader_lease.h"
#include "coordination/replica/replica_coordinator.h"

#include <optional>
#include <string>

namespace auburnhaven::coordination {

/** Which zone a duty is for, and how soon a daemon tries for it. */
struct ZoneDutySettings
{
  std::string key_;            ///< Key of the zone's lease.
  std::string self_;           ///< Holder's name of this process, unique to its
                               ///< start.
  state::Duration patience_{}; ///< Wait before a try, from when the duty is
                               ///< known to be vacant.
  state::Duration tryPeriod_ =
    std::chrono::milliseconds(400); ///< Between two tries.
  LeaseTiming lease_;               ///< Times of the lease.
  ReplicaZone zone_;                ///< The zone.
  ReplicaLimits limits_;            ///< Limits of the copies.
};

/**
 * Tries for the coordination of a zone while nobody has it. Who has it is told
 * by the store's keys, and by the store's answer when a try comes second: a
 * daemon that lost does not try again until the key is known to be gone.
 * Control thread only.
 */
class ZoneDuty
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aStore The store; outlives this object.
   * @param aEngines The engines; outlive this object.
   * @param aLog Log; outlives this object.
   * @param aSettings Settings.
   */
  ZoneDuty(state::Clock& aClock,
           Store& aStore,
           ReplicaEngines& aEngines,
           state::EventLog& aLog,
           ZoneDutySettings aSettings);
  ZoneDuty(const ZoneDuty&) = delete;
  ZoneDuty& operator=(const ZoneDuty&) = delete;

  /** @return Key of the zone's lease. */
  const std::string& key() const { return settings_.key_; }
  /**
   * Takes the present holder of the lease.
   * @param aHolder The holder, or nothing when there is none.
   */
  void setHolder(const std::optional<std::string>& aHolder);
  /** @return The present holder, as last heard. */
  const std::optional<std::string>& holder() const { return holder_; }
  /**
   * Does what is due.
   * @param aMayTry Whether to try for the lease when nobody has it.
   */
  void tick(bool aMayTry);
  /** @return The coordinator of the zone. */
  ReplicaCoordinator& coordinator() { return coordinator_; }
  /** @return Whether this daemon has the duty. */
  bool isHeld() const { return lease_.holds(); }
  /**
   * Gives the lease back, when it is held.
   * @param aHandler Called when the store has answered.
   */
  void handBack(LeaderLease::DoneHandler aHandler);

private:
  const state::Clock& clock_;         ///< Clock.
  const ZoneDutySettings settings_;   ///< Settings.
  std::optional<std::string> holder_; ///< Present holder.
  state::TimePoint vacantSince_;      ///< Since when there is none.
  LeaderLease lease_;                 ///< The lease.
  ReplicaCoordinator coordinator_;    ///< The coordinator.
};

} // namespace auburnhaven::coordination
