// Forms, opens and closes the replicas of one zone while it holds the lease.

#include "coordination/replica/replica_coordinator.h"

#include "coordination/routing/engine_timing_func.h"
#include "state/routing_func.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <sstream>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::uint64_t kEpochsPerTerm =
  1ULL << 20U; ///< Epochs available to one lease term.
constexpr double kLoadRateShare =
  0.9; ///< Share of the weight store's rate limit that is used.

constexpr double kLoadBurst = 2; ///< Burst size of a zone's loads.
constexpr int kSlowLoadFactor =
  2; ///< Factor by which concurrent loads may slow a load down.
constexpr std::chrono::seconds kStageMargin{
  3
}; ///< Added to the expected load time before a model is staged again.
constexpr std::chrono::milliseconds kStableTime{
  500
}; ///< Time without a new VM in a domain before replicas are formed there.
constexpr std::chrono::milliseconds kRejoinTime{
  200
}; ///< Time to join a replica of the model of the VM's latest replica.
constexpr std::chrono::milliseconds kPollMargin{
  10
}; ///< Added to the expected end of an order before the VM is polled for it.
constexpr std::chrono::seconds kWarmMargin{
  1
}; ///< Added to the expected load time before a spare VM is told again.
constexpr char kReplicaPrefix = 'r'; ///< First letter of a replica identifier.
constexpr char kSparePrefix =
  's'; ///< First letter of the identifier under which a spare VM alone joins a
       ///< replica of its own. Such a replica is incomplete and never opened.
constexpr std::chrono::milliseconds kEventTransit{
  100
}; ///< Longest time that an event is on its way to the caller's daemon; one
   ///< that arrives later was sent after an unanswered poll.
constexpr int kSilenceLimits =
  2; ///< Silence that shows a loss together with an unanswered poll, in limits
     ///< after which daemons tell of silence.
constexpr char kNameSeparator =
  '.'; ///< Separates the parts of a replica identifier.
constexpr std::chrono::seconds kMissingLogPeriod(
  1); ///< Interval between log records about missing reports.
constexpr std::string_view kLogPart =
  "replica"; ///< Component name in log records.

/** @return Identifier of a replica. It contains the head and the model, so that
 * a successor can adopt the replica from its members' reports. */
state::ReplicaId
identifierFor(char aPrefix,
              state::Epoch aEpoch,
              const state::VmId& aHead,
              const state::ModelId& aModel)
{
  return state::ReplicaId(aPrefix + std::to_string(aEpoch.value()) +
                          kNameSeparator + aHead.value() + kNameSeparator +
                          aModel.value());
}

/** @return Whether a replica is that of a spare VM alone, which is free. */
bool
isSpare(const state::ReplicaId& aReplica)
{
  return aReplica.value().front() == kSparePrefix;
}

/** @return A part of a replica identifier, or an empty string. */
std::string
identifierPart(const state::ReplicaId& aReplica, std::size_t aIndex)
{
  std::istringstream name(aReplica.value());
  std::string part;
  for (std::size_t index = 0; index <= aIndex; ++index) {
    if (!std::getline(name, part, kNameSeparator)) {
      return {};
    }
  }
  return part;
}

/** @return Head named in a replica identifier, or an empty identifier. */
state::VmId
headOf(const state::ReplicaId& aReplica)
{
  return state::VmId(identifierPart(aReplica, 1));
}

/** @return Model named in a replica identifier, or an empty identifier. */
state::ModelId
modelOf(const state::ReplicaId& aReplica)
{
  return state::ModelId(identifierPart(aReplica, 2));
}

/** @return Whether a replica takes requests in a phase. */
bool
takesRequests(ReplicaPhase aPhase)
{
  return aPhase == ReplicaPhase::kOpen || aPhase == ReplicaPhase::kEmptying;
}

/** @return Whether a place is the one that a VM has in a replica. */
bool
isPlaceOf(const Replica& aReplica,
          const state::VmId& aVm,
          const state::MemberPlace& aPlace)
{
  return aPlace.replica_ == aReplica.id_ && aPlace.epoch_ == aReplica.epoch_ &&
         aPlace.rank_ < aReplica.members_.size() &&
         aReplica.members_[aPlace.rank_].vm_ == aVm;
}

/** @return Number of known members of a replica. */
std::size_t
knownMembers(const Replica& aReplica)
{
  return static_cast<std::size_t>(std::count_if(
    aReplica.members_.begin(),
    aReplica.members_.end(),
    [](const ReplicaMember& aMember) { return !aMember.vm_.empty(); }));
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
  static constexpr std::array<Step, 6> kSteps = {
    &ReplicaCoordinator::stepJoining,  &ReplicaCoordinator::stepOpening,
    &ReplicaCoordinator::stepOpen,     &ReplicaCoordinator::stepEmptying,
    &ReplicaCoordinator::stepShutting, &ReplicaCoordinator::stepParked
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
    kLogPart,
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
    if (!open || dissolved_.contains(id) || head == nullptr || !head->report_) {
      continue;
    }
    double slowness = 1;
    for (const ReplicaMember& member : replica.members_) {
      const MonitoredEngine* engine = monitor_.find(member.vm_);
      const bool reported = engine != nullptr && engine->report_;
      slowness =
        std::max(slowness, reported ? engine->report_->slowness_ : 1.0);
    }
    digest.copies_.push_back({ head->instance_.id_,
                               head->instance_.endpoint_,
                               replica.model_,
                               head->report_->load_.running_,
                               head->report_->load_.waiting_,
                               finishing,
                               slowness,
                               head->report_->askedAt_ - engine_->reportLag_ });
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
ReplicaCoordinator::startTerm()
{
  termStart_ = lease_.heldSince();
  leaseTerm_ = lease_.number();
  epochs_ = leaseTerm_ == usedEpochs_.first ? usedEpochs_.second : 0;
  adopted_ = false;
  waitingSince_ = {};
  replicas_.clear();
  dissolved_.clear();
  warming_.clear();
  evidence_.clear();
  orders_.clear();
  stableSince_.clear();
  monitor_.discardReports();
  log_.write(state::LogWeight::kChange,
             kLogPart,
             "coordination started",
             { state::logField("zone", std::string_view(zone_.zone_.value())),
               state::logField("authority", leaseTerm_),
               state::logField("engines", monitor_.engines().size()) });
}

void
ReplicaCoordinator::continueTerm()
{
  // The store granted the lease anew, but this daemon has had the authority all
  // the time, so what it knows still holds.
  leaseTerm_ = lease_.number();
  epochs_ = 0;
  log_.write(state::LogWeight::kChange,
             kLogPart,
             "coordination continues",
             { state::logField("zone", std::string_view(zone_.zone_.value())),
               state::logField("authority", leaseTerm_) });
}

bool
ReplicaCoordinator::isKnown(const state::MemberPlace& aPlace) const
{
  return replicas_.contains(aPlace.replica_) ||
         dissolved_.contains(aPlace.replica_);
}

void
ReplicaCoordinator::adoptReported()
{
  waitsForMembers_ = monitor_.engines().empty();
  for (const auto& [vm, engine] : monitor_.engines()) {
    if (!monitor_.isResponding(vm) || !engine.report_->state_.place_) {
      continue;
    }
    const state::MemberPlace& place = *engine.report_->state_.place_;
    if (isKnown(place)) {
      addMember(vm, place);
    } else if (!isSpare(place.replica_)) {
      adopt(place);
    }
  }
  if (!waitsForMembers_) {
    waitingSince_ = {};
  } else if (waitingSince_ == state::TimePoint{}) {
    waitingSince_ = clock_.now();
  }
}

void
ReplicaCoordinator::addMember(const state::VmId& aVm,
                              const state::MemberPlace& aPlace)
{
  const auto found = replicas_.find(aPlace.replica_);
  const bool missing = found != replicas_.end() &&
                       found->second.epoch_ == aPlace.epoch_ &&
                       (found->second.members_.size() <= aPlace.rank_ ||
                        found->second.members_[aPlace.rank_].vm_.empty());
  if (!missing) {
    return;
  }
  auto& members = found->second.members_;
  members.resize(std::max<std::size_t>(members.size(), aPlace.rank_ + 1));
  members[aPlace.rank_] = { aVm,
                            monitor_.find(aVm)->report_->state_.bornAtMs_ };
}

Replica
ReplicaCoordinator::collectMembers(const state::MemberPlace& aPlace) const
{
  Replica replica;
  replica.id_ = aPlace.replica_;
  replica.epoch_ = aPlace.epoch_;
  replica.model_ = modelOf(aPlace.replica_);
  replica.maybeOpened_ = true;
  replica.since_ = clock_.now();
  for (const auto& [vm, engine] : monitor_.engines()) {
    const auto& place = engine.report_ ? engine.report_->state_.place_
                                       : std::optional<state::MemberPlace>();
    const bool here = monitor_.isResponding(vm) && place &&
                      place->replica_ == replica.id_ &&
                      place->epoch_ == replica.epoch_;
    if (!here) {
      continue;
    }
    if (replica.members_.size() <= place->rank_) {
      replica.members_.resize(place->rank_ + 1);
    }
    replica.members_[place->rank_] = { vm, engine.report_->state_.bornAtMs_ };
    replica.domain_ = engine.report_->state_.domain_;
  }
  return replica;
}

bool
ReplicaCoordinator::isComplete(const Replica& aReplica) const
{
  const state::ModelSpec* model = state::findModel(*engine_, aReplica.model_);
  return model != nullptr && aReplica.members_.size() == model->size_ &&
         knownMembers(aReplica) == model->size_;
}

bool
ReplicaCoordinator::isAccountedFor(const Replica& aReplica) const
{
  const state::ModelSpec* model = state::findModel(*engine_, aReplica.model_);
  std::size_t known = knownMembers(aReplica);
  for (const auto& [vm, engine] : monitor_.engines()) {
    const auto& registered = engine.instance_.engine_;
    const bool silent = !monitor_.isResponding(vm) && registered &&
                        registered->place_ &&
                        registered->place_->replica_ == aReplica.id_;
    known += silent ? 1 : 0;
  }
  return model != nullptr && known >= model->size_;
}

void
ReplicaCoordinator::adopt(const state::MemberPlace& aPlace)
{
  Replica replica = collectMembers(aPlace);
  const bool complete = isComplete(replica);
  const state::TimePoint now = clock_.now();
  const bool mayGrow =
    now - monitor_.memberRegisteredAt() < limits_.registrationGrace_ &&
    !isAccountedFor(replica);
  const bool mayWait = waitingSince_ == state::TimePoint{} ||
                       now - waitingSince_ < limits_.registrationGrace_ * 2;
  if (!complete && mayGrow && mayWait) {
    waitsForMembers_ = true;
    return;
  }
  const std::size_t present = knownMembers(replica);
  ReplicaMember& head = replica.members_.front();
  if (head.vm_.empty()) {
    head.vm_ = headOf(replica.id_);
  }
  if (!complete) {
    replica.phase_ = ReplicaPhase::kShutting;
  } else if (placeIn(replica, head.vm_)->state_ == state::MemberState::kOpen) {
    replica.phase_ = ReplicaPhase::kOpen;
  }
  log_.write(
    state::LogWeight::kChange,
    kLogPart,
    "replica adopted",
    { state::logField("replica", std::string_view(replica.id_.value())),
      state::logField("model", std::string_view(replica.model_.value())),
      state::logField("members", present),
      state::logField("phase", nameOf(replica.phase_)) });
  if (takesRequests(replica.phase_)) {
    ++openChanges_;
  }
  replicas_.emplace(replica.id_, std::move(replica));
}

void
ReplicaCoordinator::updateLastModels()
{
  for (const auto& [vm, engine] : monitor_.engines()) {
    if (!engine.isIdentified()) {
      continue;
    }
    const state::EngineState& state = engine.report_->state_;
    auto& [born, model] = lastModels_[vm];
    if (born != state.bornAtMs_) {
      born = state.bornAtMs_;
      model = state::ModelId();
    }
    const bool holds = state.place_ && !state.model_.empty() &&
                       state.place_->state_ != state::MemberState::kJoining;
    if (holds) {
      model = state.model_;
    }
  }
}

void
ReplicaCoordinator::setPhase(Replica& aReplica,
                             ReplicaPhase aPhase,
                             std::string_view aWhy)
{
  log_.write(
    state::LogWeight::kChange,
    kLogPart,
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
    kLogPart,
    "replica dissolved",
    { state::logField("replica", std::string_view(aReplica.id_.value())),
      state::logField("from", nameOf(aReplica.phase_)),
      state::logField("why", aWhy) });
  if (takesRequests(aReplica.phase_)) {
    ++openChanges_;
  }
  dissolved_.insert(aReplica.id_);
}

const state::MemberPlace*
ReplicaCoordinator::placeIn(const Replica& aReplica,
                            const state::VmId& aVm) const
{
  const MonitoredEngine* engine = monitor_.find(aVm);
  if (engine == nullptr || !engine->isIdentified() ||
      !engine->report_->state_.place_) {
    return nullptr;
  }
  const state::MemberPlace& place = *engine->report_->state_.place_;
  return isPlaceOf(aReplica, aVm, place) ? &place : nullptr;
}

std::optional<state::MemberState>
ReplicaCoordinator::memberStateOf(const Replica& aReplica,
                                  const ReplicaMember& aMember) const
{
  std::optional<state::MemberState> progress;
  const MonitoredEngine* engine = monitor_.find(aMember.vm_);
  if (engine == nullptr) {
    return progress;
  }
  if (const state::MemberPlace* place = placeIn(aReplica, aMember.vm_)) {
    progress = place->state_;
  }
  // Right after a change the registration is newer than the report.
  const auto& registered = engine->instance_.engine_;
  const bool sameLife = registered && registered->place_ &&
                        registered->bornAtMs_ == aMember.bornAtMs_ &&
                        isPlaceOf(aReplica, aMember.vm_, *registered->place_);
  if (sameLife && registered->place_->state_ <= state::MemberState::kOpen &&
      (!progress || registered->place_->state_ > *progress)) {
    progress = registered->place_->state_;
  }
  return progress;
}

bool
ReplicaCoordinator::hasCurrentReport(const Replica& aReplica,
                                     const state::VmId& aVm) const
{
  const MonitoredEngine* engine = monitor_.find(aVm);
  // Reports lag behind the engine's state: only a report requested later than
  // this shows the state of the current phase.
  const state::Duration lag = engine_->reportLag_ * 2;
  return engine != nullptr && engine->report_ &&
         engine->report_->askedAt_ > aReplica.since_ + lag;
}

bool
ReplicaCoordinator::hasLeft(const Replica& aReplica,
                            const ReplicaMember& aMember) const
{
  return monitor_.isResponding(aMember.vm_) &&
         hasCurrentReport(aReplica, aMember.vm_) &&
         placeIn(aReplica, aMember.vm_) == nullptr;
}

void
ReplicaCoordinator::noteActivity(const std::vector<ReplicaActivity>& aReplicas,
                                 state::TimePoint aCountedAt)
{
  evidence_.note(aReplicas, aCountedAt);
}

void
ReplicaCoordinator::noteSilence(const state::VmId& aHead)
{
  for (const auto& [id, replica] : replicas_) {
    if (!takesRequests(replica.phase_) ||
        replica.members_.front().vm_ != aHead) {
      continue;
    }
    for (const ReplicaMember& member : replica.members_) {
      monitor_.pollAt(member.vm_, clock_.now());
    }
  }
}

std::vector<state::VmId>
ReplicaCoordinator::headsInDoubt() const
{
  std::vector<state::VmId> heads;
  for (const auto& [id, replica] : replicas_) {
    const bool doubted =
      lease_.holds() && takesRequests(replica.phase_) &&
      std::any_of(replica.members_.begin(),
                  replica.members_.end(),
                  [&](const ReplicaMember& aMember) {
                    return !monitor_.isResponding(aMember.vm_);
                  });
    if (doubted) {
      heads.push_back(replica.members_.front().vm_);
    }
  }
  return heads;
}

bool
ReplicaCoordinator::isMemberLost(const Replica& aReplica,
                                 const state::VmId& aVm) const
{
  const state::VmId& head = aReplica.members_.front().vm_;
  const MonitoredEngine* engine = monitor_.find(aVm);
  if (engine == nullptr || (aVm == head && !engine->registered_)) {
    // A head that is no longer registered must get no requests.
    return true;
  }
  if (engine->missedReports_ == 0 || !takesRequests(aReplica.phase_)) {
    return monitor_.isLost(aVm);
  }
  const state::TimePoint firstPollAt =
    engine->firstMissAt_ - limits_.reportTimeout_;
  if (evidence_.showsEventsSince(head, firstPollAt + kEventTransit)) {
    return false;
  }
  const state::ModelSpec* model = state::findModel(*engine_, aReplica.model_);
  const bool silent =
    model != nullptr &&
    evidence_.showsSilence(head,
                           std::chrono::duration_cast<state::Duration>(
                             silenceLimit(*engine_, *model) * kSilenceLimits));
  return silent || monitor_.isLost(aVm);
}

std::string_view
ReplicaCoordinator::faultOf(const Replica& aReplica, bool aPlaced) const
{
  for (const ReplicaMember& member : aReplica.members_) {
    if (isMemberLost(aReplica, member.vm_)) {
      return "member lost";
    }
    const MonitoredEngine* engine = monitor_.find(member.vm_);
    if (engine->report_ &&
        engine->report_->state_.bornAtMs_ != member.bornAtMs_) {
      return "member restarted";
    }
    if (aPlaced && hasLeft(aReplica, member)) {
      return "member left the replica";
    }
  }
  return {};
}

bool
ReplicaCoordinator::hasLeavingMember(const Replica& aReplica) const
{
  return std::any_of(aReplica.members_.begin(),
                     aReplica.members_.end(),
                     [&](const ReplicaMember& aMember) {
                       const MonitoredEngine* engine =
                         monitor_.find(aMember.vm_);
                       return engine != nullptr && engine->instance_.leaving_;
                     });
}

void
ReplicaCoordinator::stepJoining(Replica& aReplica)
{
  std::string_view fault = faultOf(aReplica, false);
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
  const std::string_view fault = faultOf(aReplica, true);
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
  const std::string_view fault = faultOf(aReplica, true);
  if (!fault.empty()) {
    startClosing(aReplica, fault);
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
  const std::string_view fault = faultOf(aReplica, true);
  if (!fault.empty()) {
    startClosing(aReplica, fault);
    return;
  }
  const MonitoredEngine* head = monitor_.find(aReplica.members_.front().vm_);
  const state::TargetLoad load = head->report_->load_;
  const bool empty = hasCurrentReport(aReplica, head->instance_.id_) &&
                     load.running_ == 0 && load.waiting_ == 0 &&
                     clock_.now() - aReplica.since_ > limits_.stallMargin_;
  if (empty || clock_.now() - aReplica.since_ > limits_.drainTimeout_) {
    setPhase(aReplica,
             ReplicaPhase::kShutting,
             empty ? "all requests have completed" : "drain timeout expired");
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

void
ReplicaCoordinator::setPollRates()
{
  std::map<state::VmId, PollRate> rates;
  for (const auto& [id, replica] : replicas_) {
    const bool steady = replica.phase_ == ReplicaPhase::kOpen;
    for (std::size_t rank = 0; rank < replica.members_.size(); ++rank) {
      const PollRate rate = rank == 0 ? PollRate::kHead : PollRate::kMember;
      rates[replica.members_[rank].vm_] = steady ? rate : PollRate::kJoining;
    }
  }
  for (const auto& [vm, engine] : monitor_.engines()) {
    const auto found = rates.find(vm);
    monitor_.setPollRate(
      vm, found == rates.end() ? PollRate::kIdle : found->second);
  }
}

bool
ReplicaCoordinator::needsLoad(const MonitoredEngine& aEngine,
                              const state::ModelId& aModel) const
{
  const auto last = lastModels_.find(aEngine.instance_.id_);
  const bool holds = last != lastModels_.end() && last->second.second == aModel;
  return !holds && !aEngine.report_->state_.staged_.contains(aModel);
}

VmSnapshot
ReplicaCoordinator::snapshotOf(const MonitoredEngine& aEngine) const
{
  const auto last = lastModels_.find(aEngine.instance_.id_);
  const auto order = orders_.find(aEngine.instance_.id_);
  const bool ordered = order != orders_.end() && order->second.inFlight_;
  const auto staging = staging_.find(aEngine.instance_.id_);
  const bool stages = staging != staging_.end() &&
                      clock_.now() < staging->second &&
                      !isStaged(aEngine.instance_.id_);
  return { aEngine.instance_.id_,
           aEngine.report_->state_.staged_,
           last == lastModels_.end() ? state::ModelId() : last->second.second,
           aEngine.report_->state_.busy_ || ordered,
           stages ? stagedModels_.at(aEngine.instance_.id_)
                  : state::ModelId() };
}

bool
ReplicaCoordinator::isFree(const MonitoredEngine& aEngine) const
{
  const state::VmId& vm = aEngine.instance_.id_;
  if (!monitor_.isAvailable(vm) || aEngine.instance_.leaving_) {
    return false;
  }
  const auto& place = aEngine.report_->state_.place_;
  if (place && !isKnown(*place) && !isSpare(place->replica_)) {
    return false;
  }
  return std::none_of(
    replicas_.begin(), replicas_.end(), [&](const auto& aEntry) {
      const auto& members = aEntry.second.members_;
      return std::any_of(
        members.begin(), members.end(), [&](const ReplicaMember& aMember) {
          return aMember.vm_ == vm;
        });
    });
}

bool
ReplicaCoordinator::isStable(const state::DomainId& aDomain)
{
  std::set<state::VmId> vms;
  for (const auto& [vm, engine] : monitor_.engines()) {
    // A VM that misses a single poll does not appear anew with the next one.
    const bool present = engine.isIdentified() && !monitor_.isLost(vm);
    if (present && engine.report_->state_.domain_ == aDomain) {
      vms.insert(vm);
    }
  }
  auto& [known, since] = stableSince_[aDomain];
  const bool grown =
    !std::includes(known.begin(), known.end(), vms.begin(), vms.end());
  known = std::move(vms);
  if (grown) {
    since = clock_.now();
  }
  const bool closing =
    std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& aEntry) {
      return aEntry.second.domain_ == aDomain &&
             aEntry.second.phase_ == ReplicaPhase::kShutting;
    });
  return !closing && clock_.now() - since >= kStableTime;
}

ZoneSnapshot
ReplicaCoordinator::makeSnapshot()
{
  ZoneSnapshot snapshot;
  snapshot.models_ = engine_->models_;
  snapshot.loads_ = loadBudget();
  snapshot.fastLoads_ = loadsAreFast();
  for (const auto& [vm, engine] : monitor_.engines()) {
    if (isFree(engine)) {
      snapshot.domains_[engine.report_->state_.domain_].free_.push_back(
        snapshotOf(engine));
    }
  }
  for (const auto& [id, replica] : replicas_) {
    const bool stays = replica.phase_ == ReplicaPhase::kJoining ||
                       replica.phase_ == ReplicaPhase::kOpening ||
                       replica.phase_ == ReplicaPhase::kOpen;
    if (!stays) {
      continue;
    }
    ExistingReplica present{
      id, replica.model_, replica.phase_ == ReplicaPhase::kOpen, {}
    };
    for (const ReplicaMember& member : replica.members_) {
      const MonitoredEngine* engine = monitor_.find(member.vm_);
      if (engine != nullptr && engine->report_) {
        present.members_.push_back(snapshotOf(*engine));
      }
    }
    snapshot.domains_[replica.domain_].existing_.push_back(std::move(present));
  }
  for (auto& [domain, state] : snapshot.domains_) {
    state.stable_ = isStable(domain);
  }
  return snapshot;
}

bool
ReplicaCoordinator::loadsAreFast() const
{
  return zone_.firstStart_ && !trafficSeen_;
}

bool
ReplicaCoordinator::isStaged(const state::VmId& aVm) const
{
  const auto model = stagedModels_.find(aVm);
  const MonitoredEngine* engine = monitor_.find(aVm);
  return model != stagedModels_.end() && engine != nullptr && engine->report_ &&
         engine->report_->state_.staged_.contains(model->second);
}

std::uint32_t
ReplicaCoordinator::loadsInProgress() const
{
  std::uint32_t loads = 0;
  for (const auto& [id, replica] : replicas_) {
    if (replica.phase_ != ReplicaPhase::kJoining) {
      continue;
    }
    for (const ReplicaMember& member : replica.members_) {
      const state::MemberPlace* place = placeIn(replica, member.vm_);
      const MonitoredEngine* engine = monitor_.find(member.vm_);
      const bool loading =
        engine != nullptr && engine->report_ &&
        (place == nullptr || place->state_ == state::MemberState::kJoining) &&
        needsLoad(*engine, replica.model_);
      loads += loading ? 1 : 0;
    }
  }
  for (const auto& [vm, until] : staging_) {
    loads +=
      clock_.now() < until && monitor_.isAvailable(vm) && !isStaged(vm) ? 1 : 0;
  }
  return loads;
}

std::uint32_t
ReplicaCoordinator::loadBudget() const
{
  constexpr std::uint32_t kNoLimit = 1000;
  const bool lateStart =
    loadsAreFast() && clock_.now() - startedAt_ >= zone_.formationTime_;
  if (lateStart) {
    return kNoLimit;
  }
  const std::uint32_t share =
    std::max(1U, engine_->loadsAtOnce_ / std::max(1U, zone_.zones_));
  const std::uint32_t loads = loadsInProgress();
  if (loadsAreFast()) {
    // A whole replica may start to load as soon as the weight store has
    // capacity.
    const std::uint32_t largest =
      engine_->models_.empty()
        ? 1
        : std::max(1U, state::largestModel(engine_->models_).size_);
    return loads < share ? largest : 0;
  }
  return share - std::min(share, loads);
}

void
ReplicaCoordinator::plan()
{
  const ReplicaPlan changes = planReplicas(makeSnapshot());
  for (const state::ReplicaId& id : changes.close_) {
    setPhase(
      replicas_.at(id), ReplicaPhase::kShutting, "another model needs its VMs");
  }
  for (const FormAction& action : changes.form_) {
    form(action);
  }
  for (const StageAction& action : changes.stage_) {
    stage(action);
  }
  for (const WarmAction& action : changes.warm_) {
    warm(action);
  }
}

state::Epoch
ReplicaCoordinator::nextEpoch()
{
  assert(epochs_ + 1 < kEpochsPerTerm);
  return state::Epoch(leaseTerm_ * kEpochsPerTerm + ++epochs_);
}

void
ReplicaCoordinator::warm(const WarmAction& aAction)
{
  state::TimePoint& until = warming_[aAction.vm_];
  const state::ModelSpec* model = state::findModel(*engine_, aAction.model_);
  if (clock_.now() < until || model == nullptr || !mayOrder(aAction.vm_)) {
    return;
  }
  ReplicaOrder order;
  order.kind_ = ReplicaOrderKind::kJoin;
  order.epoch_ = nextEpoch();
  order.replica_ =
    identifierFor(kSparePrefix, order.epoch_, aAction.vm_, aAction.model_);
  order.model_ = aAction.model_;
  order.members_ = { aAction.vm_ };
  if (send(aAction.vm_, order)) {
    until = clock_.now() + model->warmTime_ + kWarmMargin;
  }
}

void
ReplicaCoordinator::stage(const StageAction& aAction)
{
  const auto started = staging_.find(aAction.vm_);
  const bool inFlight =
    started != staging_.end() && clock_.now() < started->second;
  if (inFlight || (!loadsAreFast() && !loadLimiter_.take())) {
    return;
  }
  ReplicaOrder order;
  order.kind_ = ReplicaOrderKind::kStage;
  order.model_ = aAction.model_;
  if (send(aAction.vm_, order)) {
    const state::ModelSpec* model = state::findModel(*engine_, aAction.model_);
    staging_[aAction.vm_] =
      clock_.now() + model->loadTime_ * kSlowLoadFactor + kStageMargin;
    stagedModels_[aAction.vm_] = aAction.model_;
  }
}

void
ReplicaCoordinator::form(const FormAction& aAction)
{
  Replica replica;
  replica.epoch_ = nextEpoch();
  replica.id_ = identifierFor(
    kReplicaPrefix, replica.epoch_, aAction.members_.front(), aAction.model_);
  replica.model_ = aAction.model_;
  replica.domain_ = aAction.domain_;
  replica.since_ = clock_.now();
  for (const state::VmId& vm : aAction.members_) {
    const MonitoredEngine* engine = monitor_.find(vm);
    assert(engine != nullptr && isFree(*engine));
    replica.members_.push_back({ vm, engine->report_->state_.bornAtMs_ });
  }
  log_.write(
    state::LogWeight::kChange,
    kLogPart,
    "forming replica",
    { state::logField("replica", std::string_view(replica.id_.value())),
      state::logField("model", std::string_view(replica.model_.value())),
      state::logField("domain", std::string_view(replica.domain_.value())),
      state::logField("members", replica.members_.size()),
      state::logField("loads", aAction.loads_) });
  const auto [at, added] = replicas_.emplace(replica.id_, std::move(replica));
  assert(added);
  stepJoining(at->second);
}

bool
ReplicaCoordinator::sendJoin(const Replica& aReplica, const state::VmId& aVm)
{
  if (!mayOrder(aVm)) {
    return false;
  }
  if (needsLoad(*monitor_.find(aVm), aReplica.model_) && !loadsAreFast() &&
      !loadLimiter_.take()) {
    return false;
  }
  return send(aVm, makeOrder(aReplica, ReplicaOrderKind::kJoin));
}

ReplicaOrder
ReplicaCoordinator::makeOrder(const Replica& aReplica,
                              ReplicaOrderKind aKind) const
{
  ReplicaOrder order;
  order.kind_ = aKind;
  order.replica_ = aReplica.id_;
  order.epoch_ = aReplica.epoch_;
  if (aKind == ReplicaOrderKind::kJoin) {
    order.model_ = aReplica.model_;
    for (const ReplicaMember& member : aReplica.members_) {
      order.members_.push_back(member.vm_);
    }
  }
  return order;
}

bool
ReplicaCoordinator::mayOrder(const state::VmId& aVm) const
{
  const MonitoredEngine* engine = monitor_.find(aVm);
  const auto order = orders_.find(aVm);
  const bool waits =
    order != orders_.end() &&
    (order->second.inFlight_ || clock_.now() < order->second.notBefore_);
  return engine != nullptr && engine->isIdentified() && !waits &&
         lease_.holds();
}

bool
ReplicaCoordinator::send(const state::VmId& aVm, const ReplicaOrder& aOrder)
{
  if (!mayOrder(aVm)) {
    return false;
  }
  const MonitoredEngine* engine = monitor_.find(aVm);
  const state::EngineState& reported = engine->report_->state_;
  OrderState& state = orders_[aVm];
  if (state.bornAtMs_ != reported.bornAtMs_) {
    state.bornAtMs_ = reported.bornAtMs_;
    state.begun_ = 0;
    state.joined_ = state::ReplicaId();
  }
  state.begun_ = std::max(state.begun_, reported.orders_);
  ReplicaOrder order = aOrder;
  order.expectedOrders_ = state.begun_;
  order.sendBefore_ = lease_.holdsUntil();
  state.inFlight_ = true;
  state.notBefore_ = clock_.now() + limits_.orderRetryDelay_;
  const std::weak_ptr<bool> alive = alive_;
  engineClient_.sendOrder(
    engine->instance_,
    order,
    limits_.orderTimeout_,
    [this, alive, aVm, order](ReplicaOrderStatus aStatus) {
      if (!alive.expired()) {
        handleAnswer(aVm, order, aStatus);
      }
    });
  return true;
}

void
ReplicaCoordinator::pollWhenDone(const state::VmId& aVm,
                                 const ReplicaOrder& aOrder,
                                 ReplicaOrderStatus aStatus)
{
  state::Duration time{};
  if (aOrder.kind_ == ReplicaOrderKind::kOpen) {
    const bool done = aStatus == ReplicaOrderStatus::kHolds;
    time = done ? state::Duration{} : state::Duration(engine_->openTime_);
  } else if (aOrder.kind_ == ReplicaOrderKind::kJoin) {
    const auto last = lastModels_.find(aVm);
    const state::ModelSpec* model = state::findModel(*engine_, aOrder.model_);
    const bool loaded =
      last != lastModels_.end() && last->second.second == aOrder.model_;
    time = loaded || model == nullptr ? state::Duration(kRejoinTime)
                                      : state::Duration(model->warmTime_);
  } else {
    return;
  }
  monitor_.pollAt(aVm, clock_.now() + time + kPollMargin);
}

void
ReplicaCoordinator::handleLeft(const state::VmId& aVm,
                               const ReplicaOrder& aOrder,
                               ReplicaOrderStatus aStatus)
{
  const bool left = aStatus == ReplicaOrderStatus::kBegun ||
                    aStatus == ReplicaOrderStatus::kHolds;
  const auto found = replicas_.find(aOrder.replica_);
  if (!left || found == replicas_.end()) {
    return;
  }
  Replica& replica = found->second;
  if (replica.members_.front().vm_ == aVm) {
    dissolve(replica, "the head has left");
  } else if (replica.phase_ == ReplicaPhase::kParked &&
             replica.membersFreeAt_ == state::TimePoint{}) {
    replica.membersFreeAt_ =
      clock_.now() + limits_.stallLimit_ + limits_.stallMargin_;
  }
}

void
ReplicaCoordinator::handleAnswer(const state::VmId& aVm,
                                 const ReplicaOrder& aOrder,
                                 ReplicaOrderStatus aStatus)
{
  OrderState& state = orders_[aVm];
  state.inFlight_ = false;
  state.notBefore_ = clock_.now() + limits_.orderRetryDelay_;
  const bool accepted = aStatus == ReplicaOrderStatus::kBegun ||
                        aStatus == ReplicaOrderStatus::kHolds;
  const bool joins = aOrder.kind_ == ReplicaOrderKind::kJoin;
  const bool repeated = joins && state.joined_ == aOrder.replica_;
  // Leaving takes effect immediately, so the engine answers that it is already
  // in the requested state although the order counts as begun.
  const bool begun = (aStatus == ReplicaOrderStatus::kBegun && !repeated) ||
                     (aStatus == ReplicaOrderStatus::kHolds &&
                      aOrder.kind_ == ReplicaOrderKind::kLeave);
  if (begun) {
    state.begun_ = aOrder.expectedOrders_ + 1;
  } else if (aStatus == ReplicaOrderStatus::kRefused) {
    state.begun_ = 0;
  }
  if (accepted && joins) {
    state.joined_ = aOrder.replica_;
  }
  monitor_.setPollRate(aVm, PollRate::kJoining);
  if (accepted) {
    pollWhenDone(aVm, aOrder, aStatus);
  }
  if (aOrder.kind_ == ReplicaOrderKind::kLeave) {
    handleLeft(aVm, aOrder, aStatus);
  }
  log_.write(
    state::LogWeight::kChange,
    kLogPart,
    "order answered",
    { state::logField("vm", std::string_view(aVm.value())),
      state::logField("order", nameOf(aOrder.kind_)),
      state::logField("replica", std::string_view(aOrder.replica_.value())),
      state::logField("expected_orders", aOrder.expectedOrders_),
      state::logField("status", nameOf(aStatus)) });
}

} // namespace auburnhaven::coordination
