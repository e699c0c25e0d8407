// Sends orders to VMs and counts those that they have begun.

#include "coordination/replica/replica_coordinator.h"

#include "coordination/replica/replica_func.h"
#include "state/routing_func.h"

#include <algorithm>
#include <cassert>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::milliseconds kRejoinTime{
  200
}; ///< Time to join a replica of the model of the VM's latest replica.
constexpr std::chrono::milliseconds kPollMargin{
  10
}; ///< Added to the expected end of an order before the VM is polled for it.

} // namespace

state::Epoch
ReplicaCoordinator::nextEpoch()
{
  assert(epochs_ + 1 < kEpochsPerTerm);
  return state::Epoch(leaseTerm_ * kEpochsPerTerm + ++epochs_);
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
    kReplicaLogPart,
    "order answered",
    { state::logField("vm", std::string_view(aVm.value())),
      state::logField("order", nameOf(aOrder.kind_)),
      state::logField("replica", std::string_view(aOrder.replica_.value())),
      state::logField("expected_orders", aOrder.expectedOrders_),
      state::logField("status", nameOf(aStatus)) });
}

} // namespace auburnhaven::coordination
