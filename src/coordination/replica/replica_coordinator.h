// Forms, opens and closes the replicas of one zone while it holds the lease.
#pragma once

#include "coordination/leader_lease.h"
#include "coordination/replica/activity_evidence.h"
#include "coordination/replica/engine_monitor.h"
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

/** Settings of a zone's coordinator. */
struct ReplicaZoneSettings
{
  state::ZoneId zone_;      ///< The zone.
  std::uint32_t zones_ = 1; ///< Number of zones that share the weight store.
  bool firstStart_ =
    false; ///< Whether the whole system is started for the first time.
  state::Duration formationTime_ =
    std::chrono::seconds(8); ///< Time after a first start during which no
                             ///< client requests are expected.
  bool operator==(const ReplicaZoneSettings&) const = default;
};

/**
 * Forms model replicas from the VMs of one zone, opens them, and closes those
 * that lose a member. It has no persistent state: a successor adopts the
 * replicas from the VMs' reports. Control thread only.
 *
 * Invariants: a head is opened only after each member has reported ready under
 * the replica's identifier and epoch; a VM is ordered into a replica only when
 * the head of its former replica has left it, has restarted, or must have
 * entered the broken state.
 */
class ReplicaCoordinator
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aEngines Client of the engines; outlives this object.
   * @param aLease Lease of the zone; outlives this object.
   * @param aLog Log; outlives this object.
   * @param aZone Settings of the zone.
   * @param aLimits Time limits and poll intervals.
   */
  ReplicaCoordinator(const state::Clock& aClock,
                     ReplicaEngineClient& aEngines,
                     const LeaderLease& aLease,
                     state::EventLog& aLog,
                     const ReplicaZoneSettings& aZone,
                     const ReplicaLimits& aLimits);
  ReplicaCoordinator(const ReplicaCoordinator&) = delete;
  ReplicaCoordinator& operator=(const ReplicaCoordinator&) = delete;

  /** @param aService The service whose engines form replicas. */
  void setService(const state::ServiceSpec& aService);
  /** @param aInstances All registered engines of the zone. */
  void setInstances(const std::vector<state::Instance>& aInstances);
  /** Notes that client requests have arrived; from then on loads are not
   * assumed to be fast. */
  void noteTraffic() { trafficSeen_ = true; }
  /**
   * Notes an answer of a daemon to the question for headsInDoubt().
   * @param aReplicas What it knows of the streams from replicas.
   * @param aCountedAt Time of which the ages were counted at the earliest.
   */
  void noteActivity(const std::vector<ReplicaActivity>& aReplicas,
                    state::TimePoint aCountedAt);
  /**
   * Polls all members of a replica at once, because a daemon's streams from it
   * are silent. Unknown replicas are ignored.
   * @param aHead Head of the replica.
   */
  void noteSilence(const state::VmId& aHead);
  /** @return Heads of the open replicas that may have lost a member; the events
   * of their streams tell. */
  std::vector<state::VmId> headsInDoubt() const;
  /** Runs the coordination; does nothing without the lease. To be called about
   * every 50 ms. */
  void tick();

  /** @return The known replicas, by identifier. */
  const std::map<state::ReplicaId, Replica>& replicas() const
  {
    return replicas_;
  }
  /** @return The open replicas with their loads; nothing without the lease or
   * while the replicas of the zone are not known. */
  std::optional<ZoneDigest> digest() const;
  /** @return Whether a replica is being formed, so that changes to its members
   * should be read from the store without delay. */
  bool isFormingReplica() const;
  /** @return Epochs used under the present lease. */
  std::uint64_t epochsUsed() const { return epochs_; }
  /**
   * Notes the epochs that a former holder has used under a lease which this
   * daemon takes over under the same number.
   * @param aNumber Number of the lease.
   * @param aEpochs Epochs used.
   */
  void noteEpochsUsed(std::uint64_t aNumber, std::uint64_t aEpochs)
  {
    usedEpochs_ = { aNumber, aEpochs };
  }
  /** @return Number of changes to the replicas that take requests; the digest
   * is worth sending at once after each. */
  std::uint64_t openChanges() const { return openChanges_; }
  /** @return Monitor of the engines. */
  const EngineMonitor& monitor() const { return monitor_; }

private:
  /** State of the orders to a VM. */
  struct OrderState
  {
    bool inFlight_ = false;        ///< Whether an order is in flight.
    state::TimePoint notBefore_{}; ///< Earliest time of the next order.
    std::uint64_t bornAtMs_ =
      0; ///< Start time of the incarnation that begun_ counts for.
    std::uint64_t begun_ =
      0; ///< Orders that the incarnation has begun, as far as known.
    state::ReplicaId
      joined_; ///< Replica of its latest accepted order to join. A repeated one
               ///< is accepted again, but does not count as begun.
  };
  using Step =
    void (ReplicaCoordinator::*)(Replica&); ///< Handler of one phase.

  void startTerm();
  void continueTerm();
  void logMissingReports();
  void removeDissolved();
  void adoptReported();
  void logImpossiblePlace(const state::VmId& aVm,
                          const state::MemberPlace& aPlace);
  void adopt(const state::MemberPlace& aPlace);
  /** @return State that a VM registered, if it has not answered yet. */
  static const state::EngineState* registeredBy(const MonitoredEngine& aEngine);
  /** @return Whether a replica of a configured model has a rank. */
  bool isRankOf(const state::ModelId& aModel, std::uint32_t aRank) const;
  /** Enters a VM into a replica at the place that it states, if that is in this
   * replica and has no member yet. */
  static void addStatedMember(Replica& aReplica,
                              const state::VmId& aVm,
                              const state::EngineState& aState);
  Replica collectMembers(const state::MemberPlace& aPlace) const;
  bool isComplete(const Replica& aReplica) const;
  bool isAccountedFor(const Replica& aReplica) const;
  void addMember(const state::VmId& aVm, const state::MemberPlace& aPlace);
  bool isKnown(const state::MemberPlace& aPlace) const;
  void updateLastModels();
  void stepJoining(Replica& aReplica);
  void stepOpening(Replica& aReplica);
  void stepOpen(Replica& aReplica);
  void stepEmptying(Replica& aReplica);
  void stepDoubted(Replica& aReplica);
  void stepShutting(Replica& aReplica);
  void stepParked(Replica& aReplica);
  void setPhase(Replica& aReplica, ReplicaPhase aPhase, std::string_view aWhy);
  void startClosing(Replica& aReplica, std::string_view aWhy);
  void dissolve(Replica& aReplica, std::string_view aWhy);
  bool reportsNoRequests(const Replica& aReplica) const;
  ReplicaFault faultOf(const Replica& aReplica, bool aPlaced) const;
  ReplicaFault lossOf(const Replica& aReplica, const state::VmId& aVm) const;
  bool hasLeavingMember(const Replica& aReplica) const;
  const state::MemberPlace* placeIn(const Replica& aReplica,
                                    const state::VmId& aVm) const;
  std::optional<state::MemberState> memberStateOf(
    const Replica& aReplica,
    const ReplicaMember& aMember) const;
  bool hasCurrentReport(const Replica& aReplica, const state::VmId& aVm) const;
  bool hasLeft(const Replica& aReplica, const ReplicaMember& aMember) const;
  void setPollRates();
  void plan();
  ZoneSnapshot makeSnapshot();
  VmSnapshot snapshotOf(const MonitoredEngine& aEngine) const;
  bool isFree(const MonitoredEngine& aEngine) const;
  bool isStable(const state::DomainId& aDomain);
  bool isStaged(const state::VmId& aVm) const;
  std::uint32_t loadsInProgress() const;
  std::uint32_t loadBudget() const;
  bool loadsAreFast() const;
  void form(const FormAction& aAction);
  void stage(const StageAction& aAction);
  void warm(const WarmAction& aAction);
  state::Epoch nextEpoch();
  bool mayOrder(const state::VmId& aVm) const;
  bool needsLoad(const MonitoredEngine& aEngine,
                 const state::ModelId& aModel) const;
  bool sendJoin(const Replica& aReplica, const state::VmId& aVm);
  bool send(const state::VmId& aVm, const ReplicaOrder& aOrder);
  void handleAnswer(const state::VmId& aVm,
                    const ReplicaOrder& aOrder,
                    ReplicaOrderStatus aStatus);
  void pollWhenDone(const state::VmId& aVm,
                    const ReplicaOrder& aOrder,
                    ReplicaOrderStatus aStatus);
  void handleLeft(const state::VmId& aVm,
                  const ReplicaOrder& aOrder,
                  ReplicaOrderStatus aStatus);
  ReplicaOrder makeOrder(const Replica& aReplica, ReplicaOrderKind aKind) const;

  const state::Clock& clock_;         ///< Clock.
  ReplicaEngineClient& engineClient_; ///< Client of the engines.
  const LeaderLease& lease_;          ///< Lease of the zone.
  state::EventLog& log_;              ///< Log.
  ReplicaZoneSettings zone_;          ///< Settings of the zone.
  ReplicaLimits limits_;              ///< Time limits and poll intervals.
  EngineMonitor monitor_;             ///< Monitor of the engines.
  ActivityEvidence evidence_;         ///< Stream events of the replicas.
  state::RateLimiter
    loadLimiter_;            ///< Rate limit of loads from the weight store.
  state::ServiceId service_; ///< Service whose engines form replicas.
  std::optional<state::EngineSpec> engine_; ///< Engine configuration in force.
  std::map<state::ReplicaId, Replica> replicas_; ///< Known replicas.
  std::set<state::ReplicaId>
    dissolved_; ///< Replicas whose members are free again.
  std::set<state::VmId>
    impossible_; ///< VMs that have reported an impossible place in this term.
  std::set<state::ReplicaId>
    unreachable_; ///< Replicas to drop at the next removal because no member
                  ///< responds.
  std::map<state::VmId, OrderState> orders_; ///< Order state by VM.
  std::map<state::VmId, std::pair<std::uint64_t, state::ModelId>>
    lastModels_; ///< Incarnation of each VM and the model of its latest
                 ///< replica.
  std::map<state::DomainId, std::pair<std::set<state::VmId>, state::TimePoint>>
    stableSince_; ///< VMs of each domain, and when the latest one appeared.
  std::map<state::VmId, state::ModelId>
    stagedModels_; ///< Model that each VM was last ordered to stage.
  std::map<state::VmId, state::TimePoint>
    staging_; ///< Deadline of the latest staging order to each VM.
  std::map<state::VmId, state::TimePoint>
    warming_; ///< Until when each spare VM is expected to load its model.
  state::TimePoint termStart_{}; ///< When the current authority began.
  std::uint64_t leaseTerm_ = 0;  ///< Number of the current lease term.
  std::uint64_t epochs_ = 0;     ///< Replicas formed in this term.
  std::pair<std::uint64_t, std::uint64_t>
    usedEpochs_; ///< Number of a lease that was handed over, and the epochs
                 ///< that its former holder used.
  std::uint64_t openChanges_ = 0; ///< Changes to the replicas that take
                                  ///< requests.
  state::TimePoint
    nextMissingLogAt_{}; ///< When to log the missing reports again.
  bool adopted_ =
    false; ///< Whether the replicas were adopted from the reports.
  bool waitsForMembers_ = false;    ///< Whether VMs report replicas whose other
                                    ///< members may still register.
  state::TimePoint waitingSince_{}; ///< Since when waitsForMembers_ is set;
                                    ///< zero while it is not.
  bool trafficSeen_ = false;        ///< Whether client requests have arrived.
  state::TimePoint startedAt_;      ///< When this object was created.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Makes callbacks no-ops after destruction.
};

} // namespace auburnhaven::coordination
