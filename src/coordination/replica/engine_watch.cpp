// Asks the model engines of a zone for their reports and judges who is lost.

#include "coordination/replica/engine_watch.h"

#include <algorithm>
#include <array>

namespace auburnhaven::coordination {

namespace {

/** Periods by pace. */
constexpr std::array kPeriods = { &ReplicaLimits::idleReportPeriod_,
                                  &ReplicaLimits::memberReportPeriod_,
                                  &ReplicaLimits::headReportPeriod_,
                                  &ReplicaLimits::joiningReportPeriod_ };

} // namespace

EngineWatch::EngineWatch(const state::Clock& aClock,
                         ReplicaEngines& aEngines,
                         const ReplicaLimits& aLimits)
  : clock_(aClock)
  , engineCalls_(aEngines)
  , limits_(aLimits)
  , heardAt_(aClock.now())
{
}

void
EngineWatch::setInstances(const std::vector<state::Instance>& aInstances)
{
  std::set<state::VmId> present;
  for (const state::Instance& instance : aInstances) {
    present.insert(instance.id_);
    WatchedEngine& engine = engines_[instance.id_];
    const bool moved = engine.instance_.endpoint_ != instance.endpoint_;
    engine.instance_ = instance;
    const bool member = instance.engine_ && instance.engine_->place_;
    if (!engine.listed_ && member) {
      grownAt_ = clock_.now();
    }
    engine.listed_ = true;
    if (moved) {
      engine.report_.reset();
      engine.misses_ = 0;
      questions_[instance.id_].nextAt_ = clock_.now();
    }
  }
  for (auto& [vm, engine] : engines_) {
    if (engine.listed_ && !present.contains(vm)) {
      engine.listed_ = false;
      engine.unlistedAt_ = clock_.now();
    }
  }
}

void
EngineWatch::setPace(const state::VmId& aVm, ReportPace aPace)
{
  const auto found = questions_.find(aVm);
  if (found == questions_.end() || found->second.pace_ == aPace) {
    return;
  }
  found->second.pace_ = aPace;
  found->second.nextAt_ =
    std::min(found->second.nextAt_, clock_.now() + periodOf(aPace));
}

void
EngineWatch::tick()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(engines_, [&](const auto& aEntry) {
    const WatchedEngine& engine = aEntry.second;
    return !engine.listed_ && now - engine.unlistedAt_ > limits_.unlistedTime_;
  });
  std::erase_if(questions_, [&](const auto& aEntry) {
    return !engines_.contains(aEntry.first);
  });
  for (auto& [vm, question] : questions_) {
    if (!question.underWay_ && question.nextAt_ <= now) {
      question.underWay_ = true;
      ask(vm);
    }
  }
}

void
EngineWatch::forget()
{
  heardAt_ = clock_.now();
  awaitedSince_.reset();
  for (auto& [vm, engine] : engines_) {
    engine.report_.reset();
    engine.misses_ = 0;
    questions_[vm].nextAt_ = clock_.now();
  }
}

const WatchedEngine*
EngineWatch::find(const state::VmId& aVm) const
{
  const auto found = engines_.find(aVm);
  return found == engines_.end() ? nullptr : &found->second;
}

bool
EngineWatch::answers(const state::VmId& aVm) const
{
  const WatchedEngine* engine = find(aVm);
  return engine != nullptr && engine->report_ && engine->misses_ == 0;
}

bool
EngineWatch::isSilent(const state::VmId& aVm) const
{
  const WatchedEngine* engine = find(aVm);
  return engine == nullptr || (engine->misses_ >= limits_.missesOfLost_ &&
                               heardAt_ > engine->missedAt_);
}

bool
EngineWatch::isAlive(const state::VmId& aVm) const
{
  return answers(aVm) && find(aVm)->listed_;
}

bool
EngineWatch::isLost(const state::VmId& aVm) const
{
  return isSilent(aVm) || !find(aVm)->listed_;
}

std::optional<state::VmId>
EngineWatch::firstUnheard() const
{
  const auto found =
    std::find_if(engines_.begin(), engines_.end(), [&](const auto& aEntry) {
      return !aEntry.second.report_ && !isSilent(aEntry.first);
    });
  return found == engines_.end() ? std::nullopt : std::optional(found->first);
}

bool
EngineWatch::doubtsItself() const
{
  return awaitedSince_ && clock_.now() - *awaitedSince_ > limits_.zoneSilence_;
}

state::Duration
EngineWatch::periodOf(ReportPace aPace) const
{
  return limits_.*kPeriods[static_cast<std::size_t>(aPace)];
}

void
EngineWatch::ask(const state::VmId& aVm)
{
  if (!awaitedSince_ && !isSilent(aVm)) {
    awaitedSince_ = clock_.now();
  }
  const std::weak_ptr<bool> alive = alive_;
  engineCalls_.fetchReport(
    engines_.at(aVm).instance_,
    limits_.reportTimeout_,
    [this, alive, aVm](const std::optional<state::EngineReport>& aReport) {
      if (!alive.expired()) {
        take(aVm, aReport);
      }
    });
}

void
EngineWatch::forgiveMisses()
{
  for (auto& [vm, engine] : engines_) {
    engine.misses_ = 0;
    questions_[vm].nextAt_ = clock_.now();
  }
}

void
EngineWatch::take(const state::VmId& aVm,
                  const std::optional<state::EngineReport>& aReport)
{
  const auto question = questions_.find(aVm);
  if (question == questions_.end()) {
    return;
  }
  const state::TimePoint now = clock_.now();
  question->second.underWay_ = false;
  WatchedEngine& engine = engines_.at(aVm);
  if (aReport && doubtsItself()) {
    forgiveMisses();
  }
  if (aReport) {
    engine.report_ = aReport;
    engine.misses_ = 0;
    engine.heardAt_ = now;
    heardAt_ = now;
    awaitedSince_.reset();
    question->second.nextAt_ = now + periodOf(question->second.pace_);
    return;
  }
  engine.missedAt_ = engine.misses_ == 0 ? now : engine.missedAt_;
  ++engine.misses_;
  // A lost VM is asked at the slow pace, a doubtful one at once.
  const bool lost = engine.misses_ >= limits_.missesOfLost_;
  question->second.nextAt_ = lost ? now + limits_.lostReportPeriod_ : now;
}

} // namespace auburnhaven::coordination
