// Forms, opens and shuts the copies of one zone while it has the authority.

#include "coordination/replica/replica_coordinator.h"

#include "state/routing_func.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <sstream>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::uint64_t kEpochsPerAuthority =
  1ULL << 20U; ///< Epochs that one authority can give.
constexpr double kLoadRateShare =
  0.9; ///< Part of the weight store's rate that is used.

constexpr double kLoadBurst = 2; ///< Loads of a zone that may start at once.
constexpr int kSlowLoadFactor =
  2; ///< How much longer a load may take when many run at once.
constexpr std::chrono::seconds kStageMargin{
  3
}; ///< Added to a model's load time before it is staged again.
constexpr std::chrono::milliseconds kSettleTime{
  500
}; ///< How long the VMs of a domain must stay before copies are formed.
constexpr char kNameMark = '.'; ///< Between the parts of a copy's name.
constexpr std::chrono::seconds kUnknownNotePeriod(
  1); ///< Between two records of what is not known.
constexpr std::string_view kPart = "replica"; ///< Part of the program in logs.

/** @return Name of a copy; tells head and model to a successor. */
state::ReplicaId
nameFor(state::Epoch aEpoch,
        const state::VmId& aHead,
        const state::ModelId& aModel)
{
  return state::ReplicaId("r" + std::to_string(aEpoch.value()) + kNameMark +
                          aHead.value() + kNameMark + aModel.value());
}

/** @return A part of a copy's name, or an empty text. */
std::string
namePart(const state::ReplicaId& aReplica, std::size_t aIndex)
{
  std::istringstream name(aReplica.value());
  std::string part;
  for (std::size_t index = 0; index <= aIndex; ++index) {
    if (!std::getline(name, part, kNameMark)) {
      return {};
    }
  }
  return part;
}

/** @return Head that a copy's name tells, or an empty identifier. */
state::VmId
headOf(const state::ReplicaId& aReplica)
{
  return state::VmId(namePart(aReplica, 1));
}

/** @return Model that a copy's name tells, or an empty identifier. */
state::ModelId
modelOf(const state::ReplicaId& aReplica)
{
  return state::ModelId(namePart(aReplica, 2));
}

/** @return Members of a copy that are known. */
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
                                       ReplicaEngines& aEngines,
                                       const LeaderLease& aLease,
                                       state::EventLog& aLog,
                                       const ReplicaZone& aZone,
                                       const ReplicaLimits& aLimits)
  : clock_(aClock)
  , engineCalls_(aEngines)
  , lease_(aLease)
  , log_(aLog)
  , zone_(aZone)
  , limits_(aLimits)
  , watch_(aClock, aEngines, aLimits)
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
  watch_.setInstances(aInstances);
}

void
ReplicaCoordinator::tick()
{
  if (!lease_.holds() || !engine_) {
    return;
  }
  if (authority_ != lease_.number()) {
    startAuthority();
  }
  watch_.tick();
  if (watch_.doubtsItself() || (!adopted_ && !watch_.isComplete())) {
    noteUnknown();
    return;
  }
  noteModels();
  sweep();
  adoptUnknown();
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
  sweep();
  if (!waitsForList_) {
    plan();
  }
  setPaces();
}

void
ReplicaCoordinator::noteUnknown()
{
  const state::TimePoint now = clock_.now();
  if (now < noteUnknownAt_) {
    return;
  }
  noteUnknownAt_ = now + kUnknownNotePeriod;
  const auto unheard = watch_.firstUnheard();
  log_.write(
    state::LogWeight::kChange,
    kPart,
    "copies are not known yet",
    { state::logField("zone", std::string_view(zone_.zone_.value())),
      state::logField("hears_nobody", watch_.doubtsItself()),
      state::logField("waits_for",
                      std::string_view(unheard ? unheard->value() : "")),
      state::logField("engines", watch_.engines().size()) });
}

void
ReplicaCoordinator::sweep()
{
  std::erase_if(replicas_, [&](const auto& aEntry) {
    return dissolved_.contains(aEntry.first) ||
           forgotten_.contains(aEntry.first);
  });
  forgotten_.clear();
}

std::optional<ZoneDigest>
ReplicaCoordinator::digest() const
{
  const bool knowsCopies = adopted_ && !waitsForList_;
  if (!lease_.holds() || !engine_ || !knowsCopies || watch_.doubtsItself()) {
    return std::nullopt;
  }
  ZoneDigest digest{
    zone_.zone_, service_, authority_, 0, {}, {}, true, false
  };
  for (const auto& [id, replica] : replicas_) {
    const WatchedEngine* head = watch_.find(replica.members_.front().vm_);
    const bool opens = replica.phase_ == ReplicaPhase::kOpening &&
                       progressOf(replica, replica.members_.front()) ==
                         state::MemberState::kOpen;
    const bool finishing = replica.phase_ == ReplicaPhase::kEmptying;
    const bool open =
      replica.phase_ == ReplicaPhase::kOpen || opens || finishing;
    if (!open || dissolved_.contains(id) || head == nullptr || !head->report_) {
      continue;
    }
    double slowness = 1;
    for (const ReplicaMember& member : replica.members_) {
      const WatchedEngine* engine = watch_.find(member.vm_);
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
ReplicaCoordinator::isChanging() const
{
  return std::any_of(
    replicas_.begin(), replicas_.end(), [](const auto& aEntry) {
      const ReplicaPhase phase = aEntry.second.phase_;
      return phase == ReplicaPhase::kJoining || phase == ReplicaPhase::kOpening;
    });
}

void
ReplicaCoordinator::startAuthority()
{
  authority_ = lease_.number();
  epochs_ = 0;
  adopted_ = false;
  waitingSince_ = {};
  replicas_.clear();
  dissolved_.clear();
  orders_.clear();
  settledSince_.clear();
  watch_.forget();
  log_.write(state::LogWeight::kChange,
             kPart,
             "coordination begins",
             { state::logField("zone", std::string_view(zone_.zone_.value())),
               state::logField("authority", authority_),
               state::logField("engines", watch_.engines().size()) });
}

bool
ReplicaCoordinator::isKnown(const state::MemberPlace& aPlace) const
{
  return replicas_.contains(aPlace.replica_) ||
         dissolved_.contains(aPlace.replica_);
}

void
ReplicaCoordinator::adoptUnknown()
{
  waitsForList_ = watch_.engines().empty();
  for (const auto& [vm, engine] : watch_.engines()) {
    if (!watch_.answers(vm) || !engine.report_->state_.place_) {
      continue;
    }
    const state::MemberPlace& place = *engine.report_->state_.place_;
    if (isKnown(place)) {
      fillMember(vm, place);
    } else {
      adopt(place);
    }
  }
  if (!waitsForList_) {
    waitingSince_ = {};
  } else if (waitingSince_ == state::TimePoint{}) {
    waitingSince_ = clock_.now();
  }
}

void
ReplicaCoordinator::fillMember(const state::VmId& aVm,
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
  members[aPlace.rank_] = { aVm, watch_.find(aVm)->report_->state_.bornAtMs_ };
}

Replica
ReplicaCoordinator::collect(const state::MemberPlace& aPlace) const
{
  Replica replica;
  replica.id_ = aPlace.replica_;
  replica.epoch_ = aPlace.epoch_;
  replica.model_ = modelOf(aPlace.replica_);
  replica.maybeOpened_ = true;
  replica.since_ = clock_.now();
  for (const auto& [vm, engine] : watch_.engines()) {
    const auto& place = engine.report_ ? engine.report_->state_.place_
                                       : std::optional<state::MemberPlace>();
    const bool here = watch_.answers(vm) && place &&
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
ReplicaCoordinator::isExplained(const Replica& aReplica) const
{
  const state::ModelSpec* model = state::findModel(*engine_, aReplica.model_);
  std::size_t known = knownMembers(aReplica);
  for (const auto& [vm, engine] : watch_.engines()) {
    const auto& registered = engine.instance_.engine_;
    const bool silent = !watch_.answers(vm) && registered &&
                        registered->place_ &&
                        registered->place_->replica_ == aReplica.id_;
    known += silent ? 1 : 0;
  }
  return model != nullptr && known >= model->size_;
}

void
ReplicaCoordinator::adopt(const state::MemberPlace& aPlace)
{
  Replica replica = collect(aPlace);
  const bool complete = isComplete(replica);
  const state::TimePoint now = clock_.now();
  const bool grows =
    now - watch_.grownAt() < limits_.listingGrace_ && !isExplained(replica);
  const bool patient = waitingSince_ == state::TimePoint{} ||
                       now - waitingSince_ < limits_.listingGrace_ * 2;
  if (!complete && grows && patient) {
    waitsForList_ = true;
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
    kPart,
    "copy adopted",
    { state::logField("replica", std::string_view(replica.id_.value())),
      state::logField("model", std::string_view(replica.model_.value())),
      state::logField("members", present),
      state::logField("phase", nameOf(replica.phase_)) });
  replicas_.emplace(replica.id_, std::move(replica));
}

void
ReplicaCoordinator::noteModels()
{
  for (const auto& [vm, engine] : watch_.engines()) {
    if (!engine.report_) {
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
    kPart,
    "copy changes",
    { state::logField("replica", std::string_view(aReplica.id_.value())),
      state::logField("model", std::string_view(aReplica.model_.value())),
      state::logField("from", nameOf(aReplica.phase_)),
      state::logField("to", nameOf(aPhase)),
      state::logField("why", aWhy),
      state::logField("after_ms",
                      std::chrono::duration<double, std::milli>(clock_.now() -
                                                                aReplica.since_)
                        .count()) });
  aReplica.phase_ = aPhase;
  aReplica.since_ = clock_.now();
  aReplica.freeAt_ = {};
}

void
ReplicaCoordinator::shut(Replica& aReplica, std::string_view aWhy)
{
  setPhase(aReplica, ReplicaPhase::kShutting, aWhy);
  stepShutting(aReplica);
}

void
ReplicaCoordinator::dissolve(Replica& aReplica, std::string_view aWhy)
{
  log_.write(
    state::LogWeight::kChange,
    kPart,
    "copy dissolved",
    { state::logField("replica", std::string_view(aReplica.id_.value())),
      state::logField("from", nameOf(aReplica.phase_)),
      state::logField("why", aWhy) });
  dissolved_.insert(aReplica.id_);
}

const state::MemberPlace*
ReplicaCoordinator::placeIn(const Replica& aReplica,
                            const state::VmId& aVm) const
{
  const WatchedEngine* engine = watch_.find(aVm);
  if (engine == nullptr || !engine->report_ ||
      !engine->report_->state_.place_) {
    return nullptr;
  }
  const state::MemberPlace& place = *engine->report_->state_.place_;
  const bool here =
    place.replica_ == aReplica.id_ && place.epoch_ == aReplica.epoch_;
  return here ? &place : nullptr;
}

std::optional<state::MemberState>
ReplicaCoordinator::progressOf(const Replica& aReplica,
                               const ReplicaMember& aMember) const
{
  std::optional<state::MemberState> progress;
  const WatchedEngine* engine = watch_.find(aMember.vm_);
  if (engine == nullptr) {
    return progress;
  }
  if (const state::MemberPlace* place = placeIn(aReplica, aMember.vm_)) {
    progress = place->state_;
  }
  // The registration is younger than the report right after a change.
  const auto& registered = engine->instance_.engine_;
  const bool sameLife = registered && registered->place_ &&
                        registered->bornAtMs_ == aMember.bornAtMs_ &&
                        registered->place_->replica_ == aReplica.id_ &&
                        registered->place_->epoch_ == aReplica.epoch_;
  if (sameLife && registered->place_->state_ <= state::MemberState::kOpen &&
      (!progress || registered->place_->state_ > *progress)) {
    progress = registered->place_->state_;
  }
  return progress;
}

bool
ReplicaCoordinator::isReported(const Replica& aReplica,
                               const state::VmId& aVm) const
{
  const WatchedEngine* engine = watch_.find(aVm);
  // Reports lag: only one that was asked for later than that shows the present.
  const state::Duration lag = engine_->reportLag_ * 2;
  return engine != nullptr && engine->report_ &&
         engine->report_->askedAt_ > aReplica.since_ + lag;
}

bool
ReplicaCoordinator::hasLeft(const Replica& aReplica,
                            const ReplicaMember& aMember) const
{
  return watch_.answers(aMember.vm_) && isReported(aReplica, aMember.vm_) &&
         placeIn(aReplica, aMember.vm_) == nullptr;
}

std::string_view
ReplicaCoordinator::faultOf(const Replica& aReplica, bool aPlaced) const
{
  for (const ReplicaMember& member : aReplica.members_) {
    if (watch_.isLost(member.vm_)) {
      return "member lost";
    }
    const WatchedEngine* engine = watch_.find(member.vm_);
    if (engine->report_ &&
        engine->report_->state_.bornAtMs_ != member.bornAtMs_) {
      return "member restarted";
    }
    if (aPlaced && hasLeft(aReplica, member)) {
      return "member is elsewhere";
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
                       const WatchedEngine* engine = watch_.find(aMember.vm_);
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
    fault = "not ready in time";
  }
  if (!fault.empty()) {
    // Without an order to open, its head cannot take requests.
    if (aReplica.maybeOpened_) {
      shut(aReplica, fault);
    } else {
      dissolve(aReplica, fault);
    }
    return;
  }
  std::size_t ready = 0;
  for (const ReplicaMember& member : aReplica.members_) {
    const std::optional<state::MemberState> progress =
      progressOf(aReplica, member);
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
  if (progressOf(aReplica, aReplica.members_.front()) ==
      state::MemberState::kOpen) {
    setPhase(aReplica, ReplicaPhase::kOpen, "the head takes requests");
    return;
  }
  aReplica.maybeOpened_ = true;
  send(head, orderOf(aReplica, ReplicaOrderKind::kOpen));
}

void
ReplicaCoordinator::stepOpen(Replica& aReplica)
{
  const std::string_view fault = faultOf(aReplica, true);
  if (!fault.empty()) {
    shut(aReplica, fault);
    return;
  }
  if (hasLeavingMember(aReplica)) {
    setPhase(aReplica, ReplicaPhase::kEmptying, "member leaves");
    return;
  }
  const state::MemberPlace* place =
    placeIn(aReplica, aReplica.members_.front().vm_);
  const bool reported = isReported(aReplica, aReplica.members_.front().vm_);
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
    shut(aReplica, fault);
    return;
  }
  const WatchedEngine* head = watch_.find(aReplica.members_.front().vm_);
  const state::TargetLoad load = head->report_->load_;
  const bool empty = isReported(aReplica, head->instance_.id_) &&
                     load.running_ == 0 && load.waiting_ == 0 &&
                     clock_.now() - aReplica.since_ > limits_.stallMargin_;
  if (empty || clock_.now() - aReplica.since_ > limits_.emptyingLimit_) {
    setPhase(aReplica,
             ReplicaPhase::kShutting,
             empty ? "its requests have ended"
                   : "time for its requests is over");
  }
}

void
ReplicaCoordinator::stepShutting(Replica& aReplica)
{
  const ReplicaMember& head = aReplica.members_.front();
  const WatchedEngine* engine = watch_.find(head.vm_);
  const bool reborn = engine != nullptr && engine->report_ &&
                      head.bornAtMs_ != 0 &&
                      engine->report_->state_.bornAtMs_ != head.bornAtMs_;
  if (reborn) {
    dissolve(aReplica, "the head started anew");
  } else if (hasLeft(aReplica, head)) {
    dissolve(aReplica, "the head has left");
  } else if (watch_.isSilent(head.vm_)) {
    setPhase(aReplica, ReplicaPhase::kParked, "the head cannot be reached");
  } else if (placeIn(aReplica, head.vm_) != nullptr) {
    send(head.vm_, orderOf(aReplica, ReplicaOrderKind::kLeave));
  }
}

void
ReplicaCoordinator::stepParked(Replica& aReplica)
{
  const state::TimePoint now = clock_.now();
  if (watch_.answers(aReplica.members_.front().vm_)) {
    setPhase(aReplica, ReplicaPhase::kShutting, "the head answers again");
    return;
  }
  bool anyAlive = false;
  bool anyLeft = false;
  for (std::size_t rank = 1; rank < aReplica.members_.size(); ++rank) {
    const ReplicaMember& member = aReplica.members_[rank];
    if (member.vm_.empty() || !watch_.answers(member.vm_)) {
      continue;
    }
    anyAlive = true;
    anyLeft = anyLeft || hasLeft(aReplica, member);
    if (placeIn(aReplica, member.vm_) != nullptr) {
      send(member.vm_, orderOf(aReplica, ReplicaOrderKind::kLeave));
    }
  }
  if (!anyAlive) {
    // Its members may come back as they were: they are adopted again then.
    forgotten_.insert(aReplica.id_);
    return;
  }
  if (anyLeft && aReplica.freeAt_ == state::TimePoint{}) {
    aReplica.freeAt_ = now + limits_.stallLimit_ + limits_.stallMargin_;
  }
  if (aReplica.freeAt_ != state::TimePoint{} && now >= aReplica.freeAt_) {
    dissolve(aReplica, "the head must be broken");
  }
}

void
ReplicaCoordinator::setPaces()
{
  std::map<state::VmId, ReportPace> paces;
  for (const auto& [id, replica] : replicas_) {
    const bool steady = replica.phase_ == ReplicaPhase::kOpen;
    for (std::size_t rank = 0; rank < replica.members_.size(); ++rank) {
      const ReportPace pace =
        rank == 0 ? ReportPace::kHead : ReportPace::kMember;
      paces[replica.members_[rank].vm_] = steady ? pace : ReportPace::kJoining;
    }
  }
  for (const auto& [vm, engine] : watch_.engines()) {
    const auto found = paces.find(vm);
    watch_.setPace(vm,
                   found == paces.end() ? ReportPace::kIdle : found->second);
  }
}

bool
ReplicaCoordinator::needsLoad(const WatchedEngine& aEngine,
                              const state::ModelId& aModel) const
{
  const auto last = lastModels_.find(aEngine.instance_.id_);
  const bool holds = last != lastModels_.end() && last->second.second == aModel;
  return !holds && !aEngine.report_->state_.staged_.contains(aModel);
}

FreeVm
ReplicaCoordinator::describe(const WatchedEngine& aEngine) const
{
  const auto last = lastModels_.find(aEngine.instance_.id_);
  const auto order = orders_.find(aEngine.instance_.id_);
  const bool ordered = order != orders_.end() && order->second.underWay_;
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
ReplicaCoordinator::isFree(const WatchedEngine& aEngine) const
{
  const state::VmId& vm = aEngine.instance_.id_;
  if (!watch_.isAlive(vm) || aEngine.instance_.leaving_) {
    return false;
  }
  const auto& place = aEngine.report_->state_.place_;
  if (place && !isKnown(*place)) {
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
ReplicaCoordinator::isSettled(const state::DomainId& aDomain)
{
  std::set<state::VmId> vms;
  for (const auto& [vm, engine] : watch_.engines()) {
    if (watch_.isAlive(vm) && engine.report_->state_.domain_ == aDomain) {
      vms.insert(vm);
    }
  }
  auto& [known, since] = settledSince_[aDomain];
  const bool grown =
    !std::includes(known.begin(), known.end(), vms.begin(), vms.end());
  known = std::move(vms);
  if (grown) {
    since = clock_.now();
  }
  const bool shutting =
    std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& aEntry) {
      return aEntry.second.domain_ == aDomain &&
             aEntry.second.phase_ == ReplicaPhase::kShutting;
    });
  return !shutting && clock_.now() - since >= kSettleTime;
}

ZoneFacts
ReplicaCoordinator::makeFacts()
{
  ZoneFacts facts;
  facts.models_ = engine_->models_;
  facts.loads_ = loadsNow();
  facts.quickLoads_ = loadsAreQuick();
  for (const auto& [vm, engine] : watch_.engines()) {
    if (isFree(engine)) {
      facts.domains_[engine.report_->state_.domain_].free_.push_back(
        describe(engine));
    }
  }
  for (const auto& [id, replica] : replicas_) {
    const bool stays = replica.phase_ == ReplicaPhase::kJoining ||
                       replica.phase_ == ReplicaPhase::kOpening ||
                       replica.phase_ == ReplicaPhase::kOpen;
    if (!stays) {
      continue;
    }
    PresentReplica present{
      id, replica.model_, replica.phase_ == ReplicaPhase::kOpen, {}
    };
    for (const ReplicaMember& member : replica.members_) {
      const WatchedEngine* engine = watch_.find(member.vm_);
      if (engine != nullptr && engine->report_) {
        present.members_.push_back(describe(*engine));
      }
    }
    facts.domains_[replica.domain_].present_.push_back(std::move(present));
  }
  for (auto& [domain, state] : facts.domains_) {
    state.settled_ = isSettled(domain);
  }
  return facts;
}

bool
ReplicaCoordinator::loadsAreQuick() const
{
  return zone_.firstStart_ && !trafficSeen_;
}

bool
ReplicaCoordinator::isStaged(const state::VmId& aVm) const
{
  const auto model = stagedModels_.find(aVm);
  const WatchedEngine* engine = watch_.find(aVm);
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
      const WatchedEngine* engine = watch_.find(member.vm_);
      const bool loading =
        engine != nullptr && engine->report_ &&
        (place == nullptr || place->state_ == state::MemberState::kJoining) &&
        needsLoad(*engine, replica.model_);
      loads += loading ? 1 : 0;
    }
  }
  for (const auto& [vm, until] : staging_) {
    loads +=
      clock_.now() < until && watch_.isAlive(vm) && !isStaged(vm) ? 1 : 0;
  }
  return loads;
}

std::uint32_t
ReplicaCoordinator::loadsNow() const
{
  constexpr std::uint32_t kNoLimit = 1000;
  const bool lateStart =
    loadsAreQuick() && clock_.now() - startedAt_ >= zone_.formationTime_;
  if (lateStart) {
    return kNoLimit;
  }
  const std::uint32_t share =
    std::max(1U, engine_->loadsAtOnce_ / std::max(1U, zone_.zones_));
  const std::uint32_t loads = loadsInProgress();
  if (loadsAreQuick()) {
    // A whole copy may start to load as soon as the weight store has room.
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
  const ReplicaMoves moves = planReplicas(makeFacts());
  for (const state::ReplicaId& id : moves.giveUp_) {
    setPhase(
      replicas_.at(id), ReplicaPhase::kShutting, "another model needs its VMs");
  }
  for (const FormMove& move : moves.form_) {
    form(move);
  }
  for (const StageMove& move : moves.stage_) {
    stage(move);
  }
}

void
ReplicaCoordinator::stage(const StageMove& aMove)
{
  const auto started = staging_.find(aMove.vm_);
  const bool underWay =
    started != staging_.end() && clock_.now() < started->second;
  if (underWay || (!loadsAreQuick() && !loadLimiter_.take())) {
    return;
  }
  ReplicaOrder order;
  order.kind_ = ReplicaOrderKind::kStage;
  order.model_ = aMove.model_;
  if (send(aMove.vm_, order)) {
    const state::ModelSpec* model = state::findModel(*engine_, aMove.model_);
    staging_[aMove.vm_] =
      clock_.now() + model->loadTime_ * kSlowLoadFactor + kStageMargin;
    stagedModels_[aMove.vm_] = aMove.model_;
  }
}

void
ReplicaCoordinator::form(const FormMove& aMove)
{
  assert(epochs_ + 1 < kEpochsPerAuthority);
  Replica replica;
  replica.epoch_ = state::Epoch(authority_ * kEpochsPerAuthority + ++epochs_);
  replica.id_ = nameFor(replica.epoch_, aMove.members_.front(), aMove.model_);
  replica.model_ = aMove.model_;
  replica.domain_ = aMove.domain_;
  replica.since_ = clock_.now();
  for (const state::VmId& vm : aMove.members_) {
    const WatchedEngine* engine = watch_.find(vm);
    assert(engine != nullptr && isFree(*engine));
    replica.members_.push_back({ vm, engine->report_->state_.bornAtMs_ });
  }
  log_.write(
    state::LogWeight::kChange,
    kPart,
    "copy is formed",
    { state::logField("replica", std::string_view(replica.id_.value())),
      state::logField("model", std::string_view(replica.model_.value())),
      state::logField("domain", std::string_view(replica.domain_.value())),
      state::logField("members", replica.members_.size()),
      state::logField("loads", aMove.loads_) });
  const auto [at, added] = replicas_.emplace(replica.id_, std::move(replica));
  assert(added);
  stepJoining(at->second);
}

bool
ReplicaCoordinator::sendJoin(const Replica& aReplica, const state::VmId& aVm)
{
  const WatchedEngine* engine = watch_.find(aVm);
  const auto order = orders_.find(aVm);
  const bool waits =
    order != orders_.end() &&
    (order->second.underWay_ || clock_.now() < order->second.notBefore_);
  if (engine == nullptr || !engine->report_ || waits) {
    return false;
  }
  if (needsLoad(*engine, aReplica.model_) && !loadsAreQuick() &&
      !loadLimiter_.take()) {
    return false;
  }
  return send(aVm, orderOf(aReplica, ReplicaOrderKind::kJoin));
}

ReplicaOrder
ReplicaCoordinator::orderOf(const Replica& aReplica,
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
ReplicaCoordinator::send(const state::VmId& aVm, const ReplicaOrder& aOrder)
{
  const WatchedEngine* engine = watch_.find(aVm);
  OrderState& state = orders_[aVm];
  const state::TimePoint now = clock_.now();
  const bool allowed = engine != nullptr && engine->report_ &&
                       !state.underWay_ && now >= state.notBefore_ &&
                       lease_.holds();
  if (!allowed) {
    return false;
  }
  const state::EngineState& reported = engine->report_->state_;
  if (state.bornAtMs_ != reported.bornAtMs_) {
    state.bornAtMs_ = reported.bornAtMs_;
    state.begun_ = 0;
  }
  state.begun_ = std::max(state.begun_, reported.orders_);
  ReplicaOrder order = aOrder;
  order.expectedOrders_ = state.begun_;
  order.sendBefore_ = lease_.holdsUntil();
  state.underWay_ = true;
  state.notBefore_ = now + limits_.orderRetry_;
  const std::weak_ptr<bool> alive = alive_;
  engineCalls_.sendOrder(engine->instance_,
                         order,
                         limits_.orderTimeout_,
                         [this, alive, aVm, order](ReplicaOrderStatus aStatus) {
                           if (!alive.expired()) {
                             takeAnswer(aVm, order, aStatus);
                           }
                         });
  return true;
}

void
ReplicaCoordinator::noteLeft(const state::VmId& aVm,
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
             replica.freeAt_ == state::TimePoint{}) {
    replica.freeAt_ = clock_.now() + limits_.stallLimit_ + limits_.stallMargin_;
  }
}

void
ReplicaCoordinator::takeAnswer(const state::VmId& aVm,
                               const ReplicaOrder& aOrder,
                               ReplicaOrderStatus aStatus)
{
  OrderState& state = orders_[aVm];
  state.underWay_ = false;
  state.notBefore_ = clock_.now() + limits_.orderRetry_;
  // Leaving takes effect at once and is answered as done.
  const bool begun = aStatus == ReplicaOrderStatus::kBegun ||
                     (aStatus == ReplicaOrderStatus::kHolds &&
                      aOrder.kind_ == ReplicaOrderKind::kLeave);
  if (begun) {
    state.begun_ = aOrder.expectedOrders_ + 1;
  } else if (aStatus == ReplicaOrderStatus::kRefused) {
    state.begun_ = 0;
  }
  watch_.setPace(aVm, ReportPace::kJoining);
  if (aOrder.kind_ == ReplicaOrderKind::kLeave) {
    noteLeft(aVm, aOrder, aStatus);
  }
  log_.write(
    state::LogWeight::kChange,
    kPart,
    "order answered",
    { state::logField("vm", std::string_view(aVm.value())),
      state::logField("order", nameOf(aOrder.kind_)),
      state::logField("replica", std::string_view(aOrder.replica_.value())),
      state::logField("expected_orders", aOrder.expectedOrders_),
      state::logField("status", nameOf(aStatus)) });
}

} // namespace auburnhaven::coordination
