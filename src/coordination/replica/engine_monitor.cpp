// Polls the model engines of a zone and decides which VMs are lost.

#include "coordination/replica/engine_monitor.h"

#include <algorithm>
#include <array>

namespace auburnhaven::coordination {

namespace {

/** Poll intervals, indexed by PollRate. */
constexpr std::array kPollPeriods = { &ReplicaLimits::idleReportPeriod_,
                                      &ReplicaLimits::memberReportPeriod_,
                                      &ReplicaLimits::headReportPeriod_,
                                      &ReplicaLimits::joiningReportPeriod_ };

} // namespace

EngineMonitor::EngineMonitor(const state::Clock& aClock,
                             ReplicaEngineClient& aEngines,
                             const ReplicaLimits& aLimits)
  : clock_(aClock)
  , engineClient_(aEngines)
  , limits_(aLimits)
  , lastReportAt_(aClock.now())
{
}

void
EngineMonitor::setInstances(const std::vector<state::Instance>& aInstances)
{
  std::set<state::VmId> present;
  for (const state::Instance& instance : aInstances) {
    present.insert(instance.id_);
    MonitoredEngine& engine = engines_[instance.id_];
    const bool moved = engine.instance_.endpoint_ != instance.endpoint_;
    const bool restarted = engine.instance_.bornAtMs_ != instance.bornAtMs_;
    engine.instance_ = instance;
    const bool member = instance.engine_ && instance.engine_->place_;
    if (!engine.registered_ && member) {
      memberRegisteredAt_ = clock_.now();
    }
    engine.registered_ = true;
    if (moved) {
      engine.report_.reset();
      engine.missedReports_ = 0;
    }
    if (moved || restarted) {
      polls_[instance.id_].nextAt_ = clock_.now();
    }
  }
  for (auto& [vm, engine] : engines_) {
    if (engine.registered_ && !present.contains(vm)) {
      engine.registered_ = false;
      engine.unregisteredAt_ = clock_.now();
      engine.silentAtRemoval_ = engine.missedReports_ > 0;
    }
  }
}

void
EngineMonitor::setPollRate(const state::VmId& aVm, PollRate aRate)
{
  const auto found = polls_.find(aVm);
  if (found == polls_.end() || found->second.rate_ == aRate) {
    return;
  }
  found->second.rate_ = aRate;
  found->second.nextAt_ =
    std::min(found->second.nextAt_, clock_.now() + pollPeriod(aRate));
}

void
EngineMonitor::pollAt(const state::VmId& aVm, state::TimePoint aAt)
{
  const auto found = polls_.find(aVm);
  if (found != polls_.end()) {
    found->second.extraAt_ = aAt;
  }
}

void
EngineMonitor::tick()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(engines_, [&](const auto& aEntry) {
    const MonitoredEngine& engine = aEntry.second;
    return !engine.registered_ &&
           now - engine.unregisteredAt_ > limits_.unregisteredPollTime_;
  });
  std::erase_if(polls_, [&](const auto& aEntry) {
    return !engines_.contains(aEntry.first);
  });
  for (auto& [vm, poll] : polls_) {
    if (!poll.inFlight_ && std::min(poll.nextAt_, poll.extraAt_) <= now) {
      if (poll.extraAt_ <= now) {
        poll.extraAt_ = state::TimePoint::max();
      }
      poll.inFlight_ = true;
      sendPoll(vm);
    }
  }
}

void
EngineMonitor::discardReports()
{
  lastReportAt_ = clock_.now();
  noAnswerSince_.reset();
  for (auto& [vm, engine] : engines_) {
    engine.report_.reset();
    engine.missedReports_ = 0;
    polls_[vm].nextAt_ = clock_.now();
  }
}

const MonitoredEngine*
EngineMonitor::find(const state::VmId& aVm) const
{
  const auto found = engines_.find(aVm);
  return found == engines_.end() ? nullptr : &found->second;
}

bool
EngineMonitor::isResponding(const state::VmId& aVm) const
{
  const MonitoredEngine* engine = find(aVm);
  return engine != nullptr && engine->isIdentified() &&
         engine->missedReports_ == 0;
}

bool
EngineMonitor::isUnresponsive(const state::VmId& aVm) const
{
  const MonitoredEngine* engine = find(aVm);
  return engine == nullptr ||
         (engine->missedReports_ >= limits_.missedReportLimit_ &&
          lastReportAt_ > engine->firstMissAt_);
}

bool
EngineMonitor::isAvailable(const state::VmId& aVm) const
{
  return isResponding(aVm) && find(aVm)->registered_;
}

bool
EngineMonitor::isLost(const state::VmId& aVm) const
{
  if (isUnresponsive(aVm)) {
    return true;
  }
  const MonitoredEngine& engine = *find(aVm);
  const bool mayRegister =
    engine.silentAtRemoval_ &&
    clock_.now() - engine.respondingSince_ < limits_.registrationGrace_;
  return !engine.registered_ && !mayRegister;
}

std::optional<state::VmId>
EngineMonitor::firstUnreported() const
{
  const auto found =
    std::find_if(engines_.begin(), engines_.end(), [&](const auto& aEntry) {
      return !aEntry.second.report_ && !isUnresponsive(aEntry.first);
    });
  return found == engines_.end() ? std::nullopt : std::optional(found->first);
}

bool
EngineMonitor::suspectsLocalFault() const
{
  return noAnswerSince_ &&
         clock_.now() - *noAnswerSince_ > limits_.zoneSilenceLimit_;
}

state::Duration
EngineMonitor::pollPeriod(PollRate aRate) const
{
  return limits_.*kPollPeriods[static_cast<std::size_t>(aRate)];
}

void
EngineMonitor::sendPoll(const state::VmId& aVm)
{
  if (!noAnswerSince_ && !isUnresponsive(aVm)) {
    noAnswerSince_ = clock_.now();
  }
  const std::weak_ptr<bool> alive = alive_;
  engineClient_.fetchReport(
    engines_.at(aVm).instance_,
    limits_.reportTimeout_,
    [this, alive, aVm](const std::optional<state::EngineReport>& aReport) {
      if (!alive.expired()) {
        handleReport(aVm, aReport);
      }
    });
}

void
EngineMonitor::resetMisses()
{
  for (auto& [vm, engine] : engines_) {
    engine.missedReports_ = 0;
    polls_[vm].nextAt_ = clock_.now();
  }
}

void
EngineMonitor::handleReport(const state::VmId& aVm,
                            const std::optional<state::EngineReport>& aReport)
{
  const auto poll = polls_.find(aVm);
  if (poll == polls_.end()) {
    return;
  }
  const state::TimePoint now = clock_.now();
  poll->second.inFlight_ = false;
  MonitoredEngine& engine = engines_.at(aVm);
  if (aReport && suspectsLocalFault()) {
    resetMisses();
  }
  if (aReport) {
    engine.report_ = aReport;
    if (engine.missedReports_ > 0) {
      engine.respondingSince_ = now;
    }
    engine.missedReports_ = 0;
    engine.lastReportAt_ = now;
    lastReportAt_ = now;
    noAnswerSince_.reset();
    poll->second.nextAt_ = now + pollPeriod(poll->second.rate_);
    return;
  }
  engine.firstMissAt_ = engine.missedReports_ == 0 ? now : engine.firstMissAt_;
  ++engine.missedReports_;
  // A lost VM is polled at a longer interval; one that has missed fewer polls
  // is polled again at once.
  const bool lost = engine.missedReports_ >= limits_.missedReportLimit_;
  poll->second.nextAt_ = lost ? now + limits_.lostReportPeriod_ : now;
}

} // namespace auburnhaven::coordination
