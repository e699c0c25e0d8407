// Adopts the replicas of a zone from the reports of its VMs.

#include "coordination/replica/replica_coordinator.h"

#include "coordination/replica/replica_func.h"
#include "state/routing_func.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

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
  impossible_.clear();
  monitor_.discardReports();
  log_.write(state::LogWeight::kChange,
             kReplicaLogPart,
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
             kReplicaLogPart,
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
    if (isSpare(place.replica_)) {
      continue;
    }
    if (!isPossiblePlace(vm, place)) {
      logImpossiblePlace(vm, place);
    } else if (isKnown(place)) {
      addMember(vm, place);
    } else {
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
ReplicaCoordinator::logImpossiblePlace(const state::VmId& aVm,
                                       const state::MemberPlace& aPlace)
{
  if (!impossible_.insert(aVm).second) {
    return;
  }
  log_.write(
    state::LogWeight::kChange,
    kReplicaLogPart,
    "reported place cannot be true",
    { state::logField("vm", std::string_view(aVm.value())),
      state::logField("replica", std::string_view(aPlace.replica_.value())),
      state::logField("epoch", aPlace.epoch_.value()),
      state::logField("rank", aPlace.rank_) });
}

void
ReplicaCoordinator::addMember(const state::VmId& aVm,
                              const state::MemberPlace& aPlace)
{
  const auto found = replicas_.find(aPlace.replica_);
  if (found == replicas_.end() || found->second.epoch_ != aPlace.epoch_) {
    return;
  }
  auto& members = found->second.members_;
  if (aPlace.rank_ < members.size() && members[aPlace.rank_].vm_.empty()) {
    members[aPlace.rank_] = { aVm,
                              monitor_.find(aVm)->report_->state_.bornAtMs_ };
  }
}

const state::EngineState*
ReplicaCoordinator::registeredBy(const MonitoredEngine& aEngine)
{
  const auto& registered = aEngine.instance_.engine_;
  return aEngine.registered_ && !aEngine.report_ && registered ? &*registered
                                                               : nullptr;
}

bool
ReplicaCoordinator::isRankOf(const state::ModelId& aModel,
                             std::uint32_t aRank) const
{
  const state::ModelSpec* model = state::findModel(*engine_, aModel);
  return model != nullptr && aRank < model->size_;
}

void
ReplicaCoordinator::addStatedMember(Replica& aReplica,
                                    const state::VmId& aVm,
                                    const state::EngineState& aState)
{
  const auto& place = aState.place_;
  if (!place || place->replica_ != aReplica.id_ ||
      place->epoch_ != aReplica.epoch_ || !isPossiblePlace(aVm, *place)) {
    return;
  }
  const std::size_t ranks = std::size_t{ place->rank_ } + 1;
  if (aReplica.members_.size() < ranks) {
    aReplica.members_.resize(ranks);
  }
  ReplicaMember& member = aReplica.members_[place->rank_];
  if (member.vm_.empty()) {
    member = { aVm, aState.bornAtMs_ };
    aReplica.domain_ = aState.domain_;
  }
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
  const state::ModelSpec* model = state::findModel(*engine_, replica.model_);
  replica.members_.resize(model != nullptr ? model->size_ : 1);
  for (const auto& [vm, engine] : monitor_.engines()) {
    if (engine.isIdentified()) {
      addStatedMember(replica, vm, engine.report_->state_);
    }
  }
  // A VM that has not answered yet keeps the place that it registered, unless
  // another one reports that place or the replica has no such rank.
  for (const auto& [vm, engine] : monitor_.engines()) {
    const state::EngineState* state = registeredBy(engine);
    if (state != nullptr && state->place_ &&
        isRankOf(replica.model_, state->place_->rank_)) {
      addStatedMember(replica, vm, *state);
    }
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
                        registered->place_->replica_ == aReplica.id_ &&
                        isRankOf(aReplica.model_, registered->place_->rank_);
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
  } else if (memberStateOf(replica, head) == state::MemberState::kOpen) {
    replica.phase_ = ReplicaPhase::kOpen;
  }
  log_.write(
    state::LogWeight::kChange,
    kReplicaLogPart,
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

} // namespace auburnhaven::coordination
