// A daemon's candidacy for coordinating one zone: lease and coordinator.
#pragma once

#include "coordination/leader_lease.h"
#include "coordination/lease_extension.h"
#include "coordination/replica/replica_coordinator.h"

#include <optional>
#include <string>

namespace auburnhaven::coordination {

/** Identifies a zone and sets when a daemon tries to acquire its lease. */
struct ZoneLeadershipSettings
{
  std::string key_;        ///< Key of the zone's lease.
  std::string holderName_; ///< Lease holder name of this process; differs after
                           ///< each restart.
  state::Duration takeoverDelay_{}; ///< Delay between learning that the lease
                                    ///< is free and trying to acquire it.
  state::Duration acquirePeriod_ = std::chrono::milliseconds(
    400);             ///< Interval between attempts to acquire the lease.
  LeaseTiming lease_; ///< Lease timing.
  ReplicaZoneSettings zone_; ///< Settings of the zone's coordinator.
  ReplicaLimits limits_;     ///< Limits of the replica coordination.
};

/**
 * Acquires the coordination lease of a zone while it is free and runs the
 * coordinator while it is held. The holder is known from the store's keys and
 * from the store's answer to an attempt that came too late; after such an
 * attempt the daemon does not try again until the key is known to be gone.
 * Control thread only.
 */
class ZoneLeadership
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aStore The store; outlives this object.
   * @param aEngines Client of the engines; outlives this object.
   * @param aLog Log; outlives this object.
   * @param aSettings Settings of the lease and the coordinator.
   */
  ZoneLeadership(state::Clock& aClock,
                 Store& aStore,
                 ReplicaEngineClient& aEngines,
                 state::EventLog& aLog,
                 ZoneLeadershipSettings aSettings);
  ZoneLeadership(const ZoneLeadership&) = delete;
  ZoneLeadership& operator=(const ZoneLeadership&) = delete;

  /** @return Key of the zone's lease. */
  const std::string& key() const { return settings_.key_; }
  /**
   * Sets the current holder of the lease, as known from the store or the peers.
   * @param aHolder Name of the holder, or nothing when the lease is free.
   */
  void setHolder(const std::optional<std::string>& aHolder);
  /**
   * Notes that the store has returned to an older state, which may lack the
   * lease of a holder that still has authority. Only that holder may acquire
   * the lease before its authority has ended.
   */
  void noteRestored();
  /** @return Last known holder of the lease. */
  const std::optional<std::string>& holder() const { return holder_; }
  /**
   * Runs the lease and the coordinator; to be called periodically.
   * @param aMayAcquire Whether to try to acquire the lease when it is free.
   */
  void tick(bool aMayAcquire);
  /** @return The coordinator of the zone. */
  ReplicaCoordinator& coordinator() { return coordinator_; }
  /** @return Whether this daemon holds the lease. */
  bool isHeld() const { return lease_.holds(); }
  /** @return Number of the lease under which this daemon last had authority. */
  std::uint64_t authority() const { return lease_.number(); }
  /** @return Whether this daemon holds the lease and the store answers it. */
  bool isRenewed() const { return lease_.holds() && lease_.isAnswered(); }
  /** @return When the store last answered a request for the lease. */
  state::TimePoint storeAnsweredAt() const { return lease_.lastReplyTime(); }
  /** Ends the authority of this daemon when another one holds the lease under
   * a newer number. @param aAuthority Number of a lease of the zone. */
  void noteAuthority(std::uint64_t aAuthority);
  /**
   * Takes over from a holder that stops while the store is silent.
   * @param aAuthority Number of its lease.
   * @param aEpochs Epochs that it used.
   * @param aUntil End of the authority unless it is extended.
   */
  void takeOver(std::uint64_t aAuthority,
                std::uint64_t aEpochs,
                state::TimePoint aUntil);
  /** @return Extension of the authority while the store is silent. */
  LeaseExtension& extension() { return extension_; }
  /**
   * Releases the lease. Without the lease nothing happens, and the handler is
   * not called.
   * @param aHandler Called when the store has answered.
   */
  void handBack(LeaderLease::DoneHandler aHandler);

private:
  const state::Clock& clock_; ///< Clock.
  const ZoneLeadershipSettings
    settings_; ///< Settings of the lease and the coordinator.
  std::optional<std::string> holder_; ///< Last known holder of the lease.
  state::TimePoint vacantSince_; ///< Since when the lease is known to be free.
  state::TimePoint mayAcquireAt_{}; ///< Earliest time to acquire it after the
                                    ///< store has lost writes.
  LeaderLease lease_;               ///< The lease.
  LeaseExtension extension_;        ///< Extends the authority in an outage.
  ReplicaCoordinator coordinator_;  ///< The coordinator.
};

} // namespace auburnhaven::coordination
