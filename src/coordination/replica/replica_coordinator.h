// Forms, opens and shuts the copies of one zone while it has the authority.
#pragma once

#include "coordination/leader_lease.h"
#include "coordination/replica/engine_watch.h"
#include "coordination/replica/replica_plan_func.h"
#include "coordination/replica/replica_type.h"
#include "coordination/routing/zone_digest_type.h"
#include "state/event_log.h"
#include "state/rate_limiter.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** What a coordinator is told about its zone. */
struct ReplicaZone
{
  state::ZoneId zone_;      ///< The zone.
  std::uint32_t zones_ = 1; ///< Zones that share the weight store.
  bool firstStart_ = false; ///< Whether the whole system starts for the first
                            ///< time.
  state::Duration formationTime_ =
    std::chrono::seconds(8); ///< After a first start: time before callers come.
  bool operator==(const ReplicaZone&) const = default;
};

/**
 * Forms the copies of models out of the VMs of one zone, opens them, and shuts
 * those that lose a member. Keeps nothing that must survive: a successor adopts
 * the copies from the VMs' reports. Control thread only.
 *
 * Invariants: a head is opened only after each member has reported ready under
 * the copy's name and epoch; a VM is ordered into a copy only when the head of
 * its former copy has left it, has started anew, or must be broken.
 */
class ReplicaCoordinator
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aEngines The engines; outlive this object.
   * @param aLease Authority over the zone; outlives this object.
   * @param aLog Log; outlives this object.
   * @param aZone The zone.
   * @param aLimits Limits.
   */
  ReplicaCoordinator(const state::Clock& aClock,
                     ReplicaEngines& aEngines,
                     const LeaderLease& aLease,
                     state::EventLog& aLog,
                     const ReplicaZone& aZone,
                     const ReplicaLimits& aLimits);
  ReplicaCoordinator(const ReplicaCoordinator&) = delete;
  ReplicaCoordinator& operator=(const ReplicaCoordinator&) = delete;

  /** @param aService The service whose engines form copies. */
  void setService(const state::ServiceSpec& aService);
  /** @param aInstances Engines of the zone. */
  void setInstances(const std::vector<state::Instance>& aInstances);
  /** Notes that callers have come, after which loads take their full time. */
  void noteTraffic() { trafficSeen_ = true; }
  /** Does what is due; without authority nothing. Call each 50 ms or so. */
  void tick();

  /** @return The copies known, by name. */
  const std::map<state::ReplicaId, Replica>& replicas() const
  {
    return replicas_;
  }
  /** @return The open copies with their loads; nothing without authority. */
  std::optional<ZoneDigest> digest() const;
  /** @return Whether a copy is being formed, so that news of its members are
   * urgent. */
  bool isChanging() const;
  /** @return What is known of the engines. */
  const EngineWatch& watch() const { return watch_; }

private:
  /** The latest order to a VM. */
  struct OrderState
  {
    bool underWay_ = false;        ///< Whether its answer is awaited.
    state::TimePoint notBefore_{}; ///< When the next order may be sent.
    std::uint64_t bornAtMs_ = 0;   ///< Life that the count belongs to.
    std::uint64_t begun_ = 0; ///< Orders begun in that life, as known here.
  };
  using Step = void (ReplicaCoordinator::*)(Replica&); ///< Work of one phase.

  void startAuthority();
  void noteUnknown();
  void sweep();
  void adoptUnknown();
  void adopt(const state::MemberPlace& aPlace);
  Replica collect(const state::MemberPlace& aPlace) const;
  bool isComplete(const Replica& aReplica) const;
  bool isExplained(const Replica& aReplica) const;
  void fillMember(const state::VmId& aVm, const state::MemberPlace& aPlace);
  bool isKnown(const state::MemberPlace& aPlace) const;
  void noteModels();
  void stepJoining(Replica& aReplica);
  void stepOpening(Replica& aReplica);
  void stepOpen(Replica& aReplica);
  void stepEmptying(Replica& aReplica);
  void stepShutting(Replica& aReplica);
  void stepParked(Replica& aReplica);
  void setPhase(Replica& aReplica, ReplicaPhase aPhase, std::string_view aWhy);
  void shut(Replica& aReplica, std::string_view aWhy);
  void dissolve(Replica& aReplica, std::string_view aWhy);
  std::string_view faultOf(const Replica& aReplica, bool aPlaced) const;
  bool hasLeavingMember(const Replica& aReplica) const;
  const state::MemberPlace* placeIn(const Replica& aReplica,
                                    const state::VmId& aVm) const;
  std::optional<state::MemberState> progressOf(
    const Replica& aReplica,
    const ReplicaMember& aMember) const;
  bool isReported(const Replica& aReplica, const state::VmId& aVm) const;
  bool hasLeft(const Replica& aReplica, const ReplicaMember& aMember) const;
  void setPaces();
  void plan();
  ZoneFacts makeFacts();
  FreeVm describe(const WatchedEngine& aEngine) const;
  bool isFree(const WatchedEngine& aEngine) const;
  bool isSettled(const state::DomainId& aDomain);
  bool isStaged(const state::VmId& aVm) const;
  std::uint32_t loadsInProgress() const;
  std::uint32_t loadsNow() const;
  bool loadsAreQuick() const;
  void form(const FormMove& aMove);
  void stage(const StageMove& aMove);
  bool needsLoad(const WatchedEngine& aEngine,
                 const state::ModelId& aModel) const;
  bool sendJoin(const Replica& aReplica, const state::VmId& aVm);
  bool send(const state::VmId& aVm, const ReplicaOrder& aOrder);
  void takeAnswer(const state::VmId& aVm,
                  const ReplicaOrder& aOrder,
                  ReplicaOrderStatus aStatus);
  void noteLeft(const state::VmId& aVm,
                const ReplicaOrder& aOrder,
                ReplicaOrderStatus aStatus);
  ReplicaOrder orderOf(const Replica& aReplica, ReplicaOrderKind aKind) const;

  const state::Clock& clock_;      ///< Clock.
  ReplicaEngines& engineCalls_;    ///< The engines.
  const LeaderLease& lease_;       ///< Authority over the zone.
  state::EventLog& log_;           ///< Log.
  ReplicaZone zone_;               ///< The zone.
  ReplicaLimits limits_;           ///< Limits.
  EngineWatch watch_;              ///< Reports of the engines.
  state::RateLimiter loadLimiter_; ///< Rate of loads from the weight store.
  state::ServiceId service_;       ///< Service of the engines.
  std::optional<state::EngineSpec> engine_;      ///< Engine service in force.
  std::map<state::ReplicaId, Replica> replicas_; ///< Copies known.
  std::set<state::ReplicaId> dissolved_; ///< Copies whose members are free.
  std::set<state::ReplicaId>
    forgotten_; ///< Copies to forget, since no member answers.
  std::map<state::VmId, OrderState> orders_; ///< Latest orders.
  std::map<state::VmId, std::pair<std::uint64_t, state::ModelId>>
    lastModels_; ///< Life and model of each VM's latest copy.
  std::map<state::DomainId, std::pair<std::set<state::VmId>, state::TimePoint>>
    settledSince_; ///< VMs of a domain, and since when there has
                   ///< been no new one.
  std::map<state::VmId, state::ModelId>
    stagedModels_; ///< What those VMs were told to stage.
  std::map<state::VmId, state::TimePoint>
    staging_; ///< VMs that were told to stage a model, and until when that may
              ///< take.
  std::uint64_t authority_ = 0;      ///< Number of the present authority.
  std::uint64_t epochs_ = 0;         ///< Copies formed under it.
  state::TimePoint noteUnknownAt_{}; ///< When to record what is not known.
  bool adopted_ = false;             ///< Whether the reports were taken over.
  bool waitsForList_ = false; ///< Whether VMs report copies of which members
                              ///< may still be listed.
  state::TimePoint waitingSince_{}; ///< Since when it does; zero when it does
                                    ///< not.
  bool trafficSeen_ = false;        ///< Whether callers have come.
  state::TimePoint startedAt_;      ///< Start of this object.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Ends callbacks after destruction.
};

} // namespace auburnhaven::coordination
