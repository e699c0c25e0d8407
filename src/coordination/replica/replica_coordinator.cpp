// Forms, opens and closes the replicas of one zone while it holds the lease.

#include "coordination/replica/replica_coordinator.h"

#include "coordination/replica/replica_func.h"

#include <algorithm>
#include <array>

namespace auburnhaven::coordination {

namespace {

constexpr double kLoadRateShare =
  0.9; ///< Share of the weight store's rate limit that is used.
constexpr double kLoadBurst = 2; ///< Burst size of a zone's loads.
constexpr std::chrono::seconds kMissingLogPeriod(
  1); ///< Interval between log records about missing reports.
constexpr std::chrono::seconds kUnknownLoadAge(
  10); ///< Age of a load that no daemon uses any more.

/** @return A report that is too old to tell the load of an engine. */
state::EngineReport
unknownReport(state::TimePoint aNow)
{
  state::EngineReport report;
  report.askedAt_ = aNow - kUnknownLoadAge;
  return report;
}

} // namespace

ReplicaCoordinator::ReplicaCoordinator(const state::Clock& aClock,
                                       ReplicaEngineClient& aEngines,
                                       const LeaderLease& aLease,
                                       state::EventLog& aLog,
                                       const ReplicaZoneSettings& aZone,
                                       const ReplicaLimits& aLimits)
  : clock_(aClock)
  , engineClient_(aEngines)
  , lease_(aLease)
  , log_(aLog)
  , zone_(aZone)
  , limits_(aLimits)
  , monitor_(aClock, aEngines, aLimits)
  , evidence_(aClock)
  , loadLimiter_(aClock)
  , startedAt_(aClock.now())
{
}

void
ReplicaCoordinator::setService(const state::ServiceSpec& aService)
{
  service_ = aService.id_;
  engine_ = aService.engine_;
  if (engine_) {
    loadLimiter_.setRate(
      engine_->loadsPerSecond_ * kLoadRateShare / zone_.zones_, kLoadBurst);
  }
}

void
ReplicaCoordinator::setInstances(const std::vector<state::Instance>& aInstances)
{
  monitor_.setInstances(aInstances);
}

void
ReplicaCoordinator::tick()
{
  if (!lease_.holds() || !engine_) {
    return;
  }
  if (termStart_ != lease_.heldSince()) {
    startTerm();
  } else if (leaseTerm_ != lease_.number()) {
    continueTerm();
  }
  monitor_.tick();
  if (monitor_.suspectsLocalFault() || (!adopted_ && !monitor_.isComplete())) {
    logMissingReports();
    return;
  }
  updateLastModels();
  removeDissolved();
  adoptReported();
  adopted_ = true;
  static constexpr std::array<Step, 7> kSteps = {
    &ReplicaCoordinator::stepJoining, &ReplicaCoordinator::stepOpening,
    &ReplicaCoordinator::stepOpen,    &ReplicaCoordinator::stepEmptying,
    &ReplicaCoordinator::stepDoubted, &ReplicaCoordinator::stepShutting,
    &ReplicaCoordinator::stepParked
  };
  for (auto at = replicas_.begin(); at != replicas_.end();) {
    Replica& replica = (at++)->second;
    (this->*kSteps[static_cast<std::size_t>(replica.phase_)])(replica);
  }
  removeDissolved();
  if (!waitsForMembers_) {
    plan();
  }
  setPollRates();
}

void
ReplicaCoordinator::logMissingReports()
{
  const state::TimePoint now = clock_.now();
  if (now < nextMissingLogAt_) {
    return;
  }
  nextMissingLogAt_ = now + kMissingLogPeriod;
  const auto unreported = monitor_.firstUnreported();
  log_.write(
    state::LogWeight::kChange,
    kReplicaLogPart,
    "replicas are not known yet",
    { state::logField("zone", std::string_view(zone_.zone_.value())),
      state::logField("hears_nobody", monitor_.suspectsLocalFault()),
      state::logField("waits_for",
                      std::string_view(unreported ? unreported->value() : "")),
      state::logField("engines", monitor_.engines().size()) });
}

void
ReplicaCoordinator::removeDissolved()
{
  std::erase_if(replicas_, [&](const auto& aEntry) {
    return dissolved_.contains(aEntry.first) ||
           unreachable_.contains(aEntry.first);
  });
  unreachable_.clear();
}

std::optional<ZoneDigest>
ReplicaCoordinator::digest() const
{
  const bool knowsReplicas = adopted_ && !waitsForMembers_;
  if (!lease_.holds() || !engine_ || !knowsReplicas ||
      monitor_.suspectsLocalFault()) {
    return std::nullopt;
  }
  ZoneDigest digest{
    zone_.zone_, service_, leaseTerm_, 0, {}, {}, true, false
  };
  for (const auto& [id, replica] : replicas_) {
    const MonitoredEngine* head = monitor_.find(replica.members_.front().vm_);
    const bool opens = replica.phase_ == ReplicaPhase::kOpening &&
                       memberStateOf(replica, replica.members_.front()) ==
                         state::MemberState::kOpen;
    const bool finishing = replica.phase_ == ReplicaPhase::kEmptying;
    const bool open =
      replica.phase_ == ReplicaPhase::kOpen || opens || finishing;
    if (!open || dissolved_.contains(id) || head == nullptr) {
      continue;
    }
    double slowness = 1;
    for (const ReplicaMember& member : replica.members_) {
      const MonitoredEngine* engine = monitor_.find(member.vm_);
      const bool reported = engine != nullptr && engine->report_;
      slowness =
        std::max(slowness, reported ? engine->report_->slowness_ : 1.0);
    }
    // A head that has not answered yet has no known load.
    const state::EngineReport report =
      head->report_.value_or(unknownReport(clock_.now()));
    digest.copies_.push_back({ head->instance_.id_,
                               head->instance_.endpoint_,
                               replica.model_,
                               report.load_.running_,
                               report.load_.waiting_,
                               finishing,
                               slowness,
                               report.askedAt_ - engine_->reportLag_ });
  }
  return digest;
}

bool
ReplicaCoordinator::isFormingReplica() const
{
  return std::any_of(
    replicas_.begin(), replicas_.end(), [](const auto& aEntry) {
      const ReplicaPhase phase = aEntry.second.phase_;
      return phase == ReplicaPhase::kJoining || phase == ReplicaPhase::kOpening;
    });
}

void
ReplicaCoordinator::setPhase(Replica& aReplica,
                             ReplicaPhase aPhase,
                             std::string_view aWhy)
{
  log_.write(
    state::LogWeight::kChange,
    kReplicaLogPart,
    "replica phase changed",
    { state::logField("replica", std::string_view(aReplica.id_.value())),
      state::logField("model", std::string_view(aReplica.model_.value())),
      state::logField("from", nameOf(aReplica.phase_)),
      state::logField("to", nameOf(aPhase)),
      state::logField("why", aWhy),
      state::logField("after_ms",
                      std::chrono::duration<double, std::milli>(clock_.now() -
                                                                aReplica.since_)
                        .count()) });
  if (takesRequests(aReplica.phase_) || takesRequests(aPhase)) {
    ++openChanges_;
  }
  aReplica.phase_ = aPhase;
  aReplica.since_ = clock_.now();
  aReplica.membersFreeAt_ = {};
}

void
ReplicaCoordinator::startClosing(Replica& aReplica, std::string_view aWhy)
{
  setPhase(aReplica, ReplicaPhase::kShutting, aWhy);
  stepShutting(aReplica);
}

void
ReplicaCoordinator::dissolve(Replica& aReplica, std::string_view aWhy)
{
  log_.write(
    state::LogWeight::kChange,
    kReplicaLogPart,
    "replica dissolved",
    { state::logField("replica", std::string_view(aReplica.id_.value())),
      state::logField("from", nameOf(aReplica.phase_)),
      state::logField("why", aWhy) });
  if (takesRequests(aReplica.phase_)) {
    ++openChanges_;
  }
  dissolved_.insert(aReplica.id_);
}

void
ReplicaCoordinator::stepJoining(Replica& aReplica)
{
  std::string_view fault = faultOf(aReplica, false).why_;
  if (fault.empty() && hasLeavingMember(aReplica)) {
    fault = "member leaves";
  }
  if (fault.empty() && clock_.now() - aReplica.since_ > limits_.joinTimeout_) {
    fault = "replica was not ready within the join timeout";
  }
  if (!fault.empty()) {
    // A head that was never ordered to open cannot accept requests.
    if (aReplica.maybeOpened_) {
      startClosing(aReplica, fault);
    } else {
      dissolve(aReplica, fault);
    }
    return;
  }
  std::size_t ready = 0;
  for (const ReplicaMember& member : aReplica.members_) {
    const std::optional<state::MemberState> progress =
      memberStateOf(aReplica, member);
    if (!progress) {
      sendJoin(aReplica, member.vm_);
    } else if (*progress == state::MemberState::kReady ||
               *progress == state::MemberState::kOpen) {
      ++ready;
    }
  }
  if (ready == aReplica.members_.size()) {
    setPhase(aReplica, ReplicaPhase::kOpening, "all members are ready");
    stepOpening(aReplica);
  }
}

void
ReplicaCoordinator::stepOpening(Replica& aReplica)
{
  const std::string_view fault = faultOf(aReplica, true).why_;
  if (!fault.empty() || hasLeavingMember(aReplica)) {
    setPhase(aReplica,
             ReplicaPhase::kShutting,
             fault.empty() ? "member leaves" : fault);
    return;
  }
  const state::VmId& head = aReplica.members_.front().vm_;
  if (memberStateOf(aReplica, aReplica.members_.front()) ==
      state::MemberState::kOpen) {
    setPhase(aReplica, ReplicaPhase::kOpen, "the head accepts requests");
    return;
  }
  aReplica.maybeOpened_ = true;
  send(head, makeOrder(aReplica, ReplicaOrderKind::kOpen));
}

void
ReplicaCoordinator::stepOpen(Replica& aReplica)
{
  const ReplicaFault fault = faultOf(aReplica, true);
  if (!fault.why_.empty() && fault.certain_) {
    startClosing(aReplica, fault.why_);
    return;
  }
  if (!fault.why_.empty()) {
    setPhase(aReplica, ReplicaPhase::kDoubted, fault.why_);
    return;
  }
  if (hasLeavingMember(aReplica)) {
    setPhase(aReplica, ReplicaPhase::kEmptying, "member leaves");
    return;
  }
  const state::MemberPlace* place =
    placeIn(aReplica, aReplica.members_.front().vm_);
  const bool reported =
    hasCurrentReport(aReplica, aReplica.members_.front().vm_);
  if (!reported || place == nullptr ||
      place->state_ == state::MemberState::kOpen) {
    return;
  }
  const bool closed = place->state_ == state::MemberState::kReady;
  setPhase(aReplica,
           closed ? ReplicaPhase::kOpening : ReplicaPhase::kShutting,
           closed ? "the head is closed" : "the head is broken");
}

void
ReplicaCoordinator::stepEmptying(Replica& aReplica)
{
  const ReplicaFault fault = faultOf(aReplica, true);
  if (!fault.why_.empty() && fault.certain_) {
    startClosing(aReplica, fault.why_);
    return;
  }
  const bool idle = hasCurrentReport(aReplica, aReplica.members_.front().vm_) &&
                    reportsNoRequests(aReplica) &&
                    clock_.now() - aReplica.since_ > limits_.stallMargin_;
  const state::Duration limit =
    hasLeavingMember(aReplica) ? limits_.drainTimeout_ : limits_.emptyTimeout_;
  if (idle || clock_.now() - aReplica.since_ > limit) {
    setPhase(aReplica,
             ReplicaPhase::kShutting,
             idle ? "all requests have completed" : "drain timeout expired");
  }
}

void
ReplicaCoordinator::stepDoubted(Replica& aReplica)
{
  const ReplicaFault fault = faultOf(aReplica, true);
  if (fault.why_.empty()) {
    setPhase(aReplica, ReplicaPhase::kOpen, "all members respond again");
    return;
  }
  // An order to leave would end requests of a sound head.
  const bool over = clock_.now() - aReplica.since_ > limits_.doubtTime_;
  if (fault.certain_ || over || reportsNoRequests(aReplica)) {
    startClosing(aReplica, fault.why_);
  }
}

void
ReplicaCoordinator::stepShutting(Replica& aReplica)
{
  const ReplicaMember& head = aReplica.members_.front();
  const MonitoredEngine* engine = monitor_.find(head.vm_);
  const bool restarted = engine != nullptr && engine->report_ &&
                         head.bornAtMs_ != 0 &&
                         engine->report_->state_.bornAtMs_ != head.bornAtMs_;
  if (restarted) {
    dissolve(aReplica, "the head restarted");
  } else if (hasLeft(aReplica, head)) {
    dissolve(aReplica, "the head has left");
  } else if (monitor_.isUnresponsive(head.vm_)) {
    setPhase(aReplica, ReplicaPhase::kParked, "the head is unreachable");
  } else if (placeIn(aReplica, head.vm_) != nullptr) {
    send(head.vm_, makeOrder(aReplica, ReplicaOrderKind::kLeave));
  }
}

void
ReplicaCoordinator::stepParked(Replica& aReplica)
{
  const state::TimePoint now = clock_.now();
  if (monitor_.isResponding(aReplica.members_.front().vm_)) {
    setPhase(aReplica, ReplicaPhase::kShutting, "the head is reachable again");
    return;
  }
  bool anyAlive = false;
  bool anyLeft = false;
  for (std::size_t rank = 1; rank < aReplica.members_.size(); ++rank) {
    const ReplicaMember& member = aReplica.members_[rank];
    if (member.vm_.empty() || !monitor_.isResponding(member.vm_)) {
      continue;
    }
    anyAlive = true;
    anyLeft = anyLeft || hasLeft(aReplica, member);
    if (placeIn(aReplica, member.vm_) != nullptr) {
      send(member.vm_, makeOrder(aReplica, ReplicaOrderKind::kLeave));
    }
  }
  if (!anyAlive) {
    // The members may come back with their places; they are adopted again then.
    unreachable_.insert(aReplica.id_);
    return;
  }
  if (anyLeft && aReplica.membersFreeAt_ == state::TimePoint{}) {
    aReplica.membersFreeAt_ = now + limits_.stallLimit_ + limits_.stallMargin_;
  }
  if (aReplica.membersFreeAt_ != state::TimePoint{} &&
      now >= aReplica.membersFreeAt_) {
    dissolve(aReplica, "the head must have stopped serving");
  }
}

} // namespace auburnhaven::coordination
