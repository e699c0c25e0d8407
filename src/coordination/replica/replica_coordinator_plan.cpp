// Plans the replicas of a zone and has them formed.

#include "coordination/replica/replica_coordinator.h"

#include "coordination/replica/replica_func.h"
#include "state/routing_func.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr int kSlowLoadFactor =
  2; ///< Factor by which concurrent loads may slow a load down.
constexpr std::chrono::seconds kStageMargin{
  3
}; ///< Added to the expected load time before a model is staged again.
constexpr std::chrono::milliseconds kStableTime{
  500
}; ///< Time without a new VM in a domain before replicas are formed there.
constexpr std::chrono::seconds kWarmMargin{
  1
}; ///< Added to the expected load time before a spare VM is told again.

} // namespace

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
  // A VM that reports a replica which exists stays with it, also when it is
  // none of its known members.
  const auto& place = aEngine.report_->state_.place_;
  const bool left =
    !place || isSpare(place->replica_) ||
    (dissolved_.contains(place->replica_) && isPossiblePlace(vm, *place));
  if (!left) {
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
      const Replica& replica = aEntry.second;
      const bool givesWay =
        replica.phase_ == ReplicaPhase::kEmptying && !hasLeavingMember(replica);
      return replica.domain_ == aDomain &&
             (givesWay || replica.phase_ == ReplicaPhase::kShutting ||
              replica.phase_ == ReplicaPhase::kDoubted);
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
      replicas_.at(id), ReplicaPhase::kEmptying, "another model needs its VMs");
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
  order.replica_ = spareIdentifier(order.epoch_, aAction.vm_, aAction.model_);
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
  replica.id_ =
    replicaIdentifier(replica.epoch_, aAction.members_.front(), aAction.model_);
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
    kReplicaLogPart,
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

} // namespace auburnhaven::coordination
