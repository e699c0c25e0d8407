// Decides from reports and stream events whether replicas are whole.

#include "coordination/replica/replica_coordinator.h"

#include "coordination/replica/replica_func.h"
#include "coordination/routing/engine_timing_func.h"
#include "state/routing_func.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::milliseconds kEventTransit{
  100
}; ///< Longest time that an event is on its way to the caller's daemon; one
   ///< that arrives later was sent after an unanswered poll.
constexpr int kSilenceLimits =
  2; ///< Silence that shows a loss together with an unanswered poll, in limits
     ///< after which daemons tell of silence.

} // namespace

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
    if (!mayRunRequests(replica.phase_) ||
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
      lease_.holds() && mayRunRequests(replica.phase_) &&
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

ReplicaFault
ReplicaCoordinator::lossOf(const Replica& aReplica,
                           const state::VmId& aVm) const
{
  constexpr std::string_view kLost = "member lost";
  const state::VmId& head = aReplica.members_.front().vm_;
  const MonitoredEngine* engine = monitor_.find(aVm);
  if (engine == nullptr || (aVm == head && !engine->registered_)) {
    // A head that is no longer registered must get no requests.
    return { kLost, true };
  }
  const ReplicaFault polled{ monitor_.isLost(aVm) ? kLost : std::string_view(),
                             !monitor_.isUnresponsive(aVm) };
  if (engine->missedReports_ == 0 || !mayRunRequests(aReplica.phase_)) {
    return polled;
  }
  const state::TimePoint firstPollAt =
    engine->firstMissAt_ - limits_.reportTimeout_;
  if (evidence_.showsEventsSince(head, firstPollAt + kEventTransit)) {
    return {};
  }
  const state::ModelSpec* model = state::findModel(*engine_, aReplica.model_);
  const bool silent =
    model != nullptr &&
    evidence_.showsSilence(head,
                           std::chrono::duration_cast<state::Duration>(
                             silenceLimit(*engine_, *model) * kSilenceLimits));
  return silent ? ReplicaFault{ "member lost, streams are silent", false }
                : polled;
}

ReplicaFault
ReplicaCoordinator::faultOf(const Replica& aReplica, bool aPlaced) const
{
  ReplicaFault doubt;
  for (const ReplicaMember& member : aReplica.members_) {
    const ReplicaFault loss = lossOf(aReplica, member.vm_);
    if (!loss.why_.empty() && loss.certain_) {
      return loss;
    }
    if (!loss.why_.empty()) {
      doubt = loss;
      continue;
    }
    const MonitoredEngine* engine = monitor_.find(member.vm_);
    if (engine->report_ &&
        engine->report_->state_.bornAtMs_ != member.bornAtMs_) {
      return { "member restarted", true };
    }
    if (aPlaced && hasLeft(aReplica, member)) {
      return { "member left the replica", true };
    }
  }
  return doubt;
}

bool
ReplicaCoordinator::reportsNoRequests(const Replica& aReplica) const
{
  const state::VmId& vm = aReplica.members_.front().vm_;
  const MonitoredEngine* head = monitor_.find(vm);
  if (head == nullptr || !head->report_) {
    return false;
  }
  // An older report does not show requests that came just before the phase.
  const bool current =
    head->report_->askedAt_ >= aReplica.since_ + engine_->reportLag_;
  const state::TargetLoad& load = head->report_->load_;
  return load.running_ == 0 && load.waiting_ == 0 &&
         (current || !evidence_.showsStreams(vm));
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

} // namespace auburnhaven::coordination
