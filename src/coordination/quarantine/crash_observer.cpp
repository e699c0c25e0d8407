// Finds out which of this daemon's requests were lost because a target ended.

#include "coordination/quarantine/crash_observer.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kMaxLost =
  1024; ///< Lost requests that wait for a check; a rack may end at once.
constexpr std::size_t kMaxSound = 256; ///< Sound parts that wait to be taken.
constexpr std::size_t kMaxRemembered =
  2048; ///< Parts of whole answers that are remembered.
constexpr std::chrono::milliseconds kRecallInterval(
  150); ///< Least time between two messages that the memory clears a part,
        ///< which may get lost.
constexpr std::chrono::milliseconds kCheckTime(
  1000); ///< How long the result of a check holds; no target is back sooner.

/** Adds a lost request to a report on its target. */
void
addRequest(CrashReport& aReport, const LostRequest& aRequest)
{
  (aRequest.begun_ ? aReport.begun_ : aReport.requests_)
    .push_back(aRequest.parts_);
}

} // namespace

CrashObserver::CrashObserver(const state::Clock& aClock,
                             ListenerProbe& aProbe,
                             state::EventLog& aLog,
                             NewsHandler aHandler)
  : clock_(aClock)
  , probe_(aProbe)
  , log_(aLog)
  , handler_(std::move(aHandler))
  , memory_(kSoundTime, kMaxRemembered)
{
}

void
CrashObserver::noteLost(LostRequest aRequest)
{
  {
    const std::lock_guard lock(mutex_);
    if (lost_.size() >= kMaxLost) {
      return;
    }
    lost_.push_back(std::move(aRequest));
  }
  handler_();
}

void
CrashObserver::noteAnswer(const state::PromptParts& aParts,
                          state::TimePoint aBegunAt)
{
  if (!hasSuspects_) {
    return;
  }
  bool hasNews = false;
  {
    const std::lock_guard lock(mutex_);
    for (const state::PromptPartId part : aParts) {
      const auto suspect = suspects_.find(part);
      if (suspect != suspects_.end() && aBegunAt > suspect->second &&
          sound_.size() < kMaxSound) {
        suspects_.erase(suspect);
        sound_[part] = clock_.now();
        hasNews = true;
      }
    }
  }
  if (hasNews) {
    handler_();
  }
}

void
CrashObserver::noteWholeAnswer(const state::PromptParts& aShared,
                               state::TimePoint aBegunAt)
{
  const std::lock_guard lock(mutex_);
  memory_.note(aShared, aBegunAt, clock_.now());
}

void
CrashObserver::poll()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(checks_, [&](const auto& aEntry) {
    return now - aEntry.second.lostAt_ > kCheckTime;
  });
  std::vector<LostRequest> lost;
  {
    const std::lock_guard lock(mutex_);
    lost.swap(lost_);
  }
  for (const LostRequest& request : lost) {
    const auto check = checks_.find(request.vm_);
    if (check == checks_.end()) {
      startCheck(request);
    } else if (check->second.ended_) {
      reports_.push_back({ request.vm_, now - request.at_, {}, {} });
      addRequest(reports_.back(), request);
    } else {
      addRequest(check->second.report_, request);
    }
  }
}

void
CrashObserver::startCheck(const LostRequest& aRequest)
{
  Check& check = checks_[aRequest.vm_];
  check = { aRequest.at_, false, { aRequest.vm_, {}, {}, {} } };
  addRequest(check.report_, aRequest);
  const std::weak_ptr<bool> alive = alive_;
  probe_.probe(aRequest.endpoint_,
               [this, alive, vm = aRequest.vm_](bool aRefused) {
                 if (!alive.expired()) {
                   finishCheck(vm, aRefused);
                 }
               });
}

void
CrashObserver::finishCheck(const state::VmId& aVm, bool aRefused)
{
  const auto found = checks_.find(aVm);
  if (found == checks_.end()) {
    return;
  }
  Check& check = found->second;
  const state::Duration age = clock_.now() - check.lostAt_;
  log_.write(state::LogWeight::kChange,
             "quarantine",
             aRefused ? "target ended under requests"
                      : "target outlived lost requests",
             { state::logField("target", std::string_view(aVm.value())),
               state::logField("requests", check.report_.requests_.size()),
               state::logField("begun", check.report_.begun_.size()),
               state::logField("age_ms", state::countMs(age)) });
  if (!aRefused) {
    checks_.erase(found);
    return;
  }
  check.ended_ = true;
  check.report_.age_ = age;
  reports_.push_back(
    std::exchange(check.report_, CrashReport{ aVm, {}, {}, {} }));
  handler_();
}

void
CrashObserver::setSuspects(const std::vector<SuspectPart>& aSuspects)
{
  const std::lock_guard lock(mutex_);
  suspects_.clear();
  takeSuspects(aSuspects);
}

void
CrashObserver::addSuspects(const std::vector<SuspectPart>& aSuspects)
{
  const std::lock_guard lock(mutex_);
  takeSuspects(aSuspects);
}

void
CrashObserver::takeSuspects(const std::vector<SuspectPart>& aSuspects)
{
  const state::TimePoint now = clock_.now();
  std::erase_if(recalledAt_, [&](const auto& aEntry) {
    return now - aEntry.second >= kRecallInterval;
  });
  for (const SuspectPart& suspect : aSuspects) {
    suspects_[suspect.part_] = now - suspect.age_;
    recall(suspect, now);
  }
  hasSuspects_ = !suspects_.empty();
}

void
CrashObserver::recall(const SuspectPart& aSuspect, state::TimePoint aNow)
{
  const auto at = memory_.lastAt(aSuspect.part_);
  const bool counts = at && aNow - aSuspect.age_ < *at + kSoundTime;
  if (counts && sound_.size() < kMaxSound &&
      recalledAt_.emplace(aSuspect.part_, aNow).second) {
    sound_.emplace(aSuspect.part_, *at);
  }
}

std::vector<CrashReport>
CrashObserver::takeReports()
{
  return std::exchange(reports_, {});
}

std::vector<SoundPart>
CrashObserver::takeSound()
{
  const state::TimePoint now = clock_.now();
  const std::lock_guard lock(mutex_);
  std::vector<SoundPart> sound;
  for (const auto& [part, at] : std::exchange(sound_, {})) {
    sound.push_back({ part, std::max<state::Duration>(now - at, {}) });
  }
  return sound;
}

} // namespace auburnhaven::coordination
