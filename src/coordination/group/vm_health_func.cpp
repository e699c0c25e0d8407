// Judgement of VMs over time, with hysteresis.

#include "coordination/group/vm_health_func.h"

#include <algorithm>
#include <array>

namespace auburnhaven::coordination {

namespace {

constexpr std::uint32_t kMaxDoublings = 5; ///< Longest settling is 32 times.
constexpr std::uint32_t kRecoveredPermille =
  1400; ///< Speed against the straggler limit at which slowness ends.

bool
lastedFor(const std::optional<state::TimePoint>& aSince,
          state::TimePoint aNow,
          state::Duration aTime)
{
  return aSince && aNow - *aSince >= aTime;
}

void
dropOldAbsences(VmHistory& aHistory,
                state::TimePoint aNow,
                const GroupLimits& aLimits)
{
  std::erase_if(aHistory.absences_, [&](state::TimePoint aAbsence) {
    return aNow - aAbsence > aLimits.flapWindow_;
  });
}

void
notePresence(VmHistory& aHistory,
             const state::VmReport& aReport,
             state::TimePoint aNow)
{
  const bool restarted = aHistory.incarnation_ != state::Incarnation() &&
                         aHistory.incarnation_ != aReport.incarnation_;
  if (restarted && !aHistory.absentSince_) {
    aHistory.absences_.push_back(aNow);
    aHistory.presentSince_ = aNow;
  }
  aHistory.incarnation_ = aReport.incarnation_;
  aHistory.absentSince_.reset();
  if (!aHistory.presentSince_) {
    aHistory.presentSince_ = aNow;
  }
  if (aReport.phase_ != state::EnginePhase::kFailed) {
    aHistory.failedSince_.reset();
  } else if (!aHistory.failedSince_) {
    aHistory.failedSince_ = aNow;
  }
}

void
noteAbsence(VmHistory& aHistory, state::TimePoint aNow)
{
  if (!aHistory.absentSince_) {
    aHistory.absentSince_ = aNow;
    if (aHistory.presentSince_) {
      aHistory.absences_.push_back(aNow);
    }
  }
  aHistory.presentSince_.reset();
  aHistory.slowSince_.reset();
}

void
note(VmHistoryMap& aResult,
     const VmHistoryMap& aBefore,
     const state::VmId& aVm,
     const state::VmReport* aReport,
     state::TimePoint aNow,
     const GroupLimits& aLimits)
{
  const auto before = aBefore.find(aVm);
  VmHistory history = before == aBefore.end() ? VmHistory{} : before->second;
  dropOldAbsences(history, aNow, aLimits);
  if (lastedFor(history.slowSince_, aNow, aLimits.flapWindow_)) {
    history.slowSince_.reset();
  }
  const bool present =
    aReport != nullptr && aNow - aReport->observedAt_ <= aLimits.evidenceLimit_;
  if (present) {
    notePresence(history, *aReport, aNow);
  } else {
    noteAbsence(history, aNow);
  }
  aResult[aVm] = std::move(history);
}

/** @return Median speed of the busy members, or 0 when fewer than three are. */
std::uint32_t
medianSpeed(const state::CopyRecord& aCopy, const ReportMap& aReports)
{
  constexpr std::size_t kFewestPeers = 3;
  std::vector<std::uint32_t> speeds;
  for (const state::VmId& vm : aCopy.members_) {
    const auto found = aReports.find(vm);
    if (found != aReports.end() && found->second.load_.running_ > 0) {
      speeds.push_back(found->second.load_.tokensPerSecond_);
    }
  }
  if (speeds.size() < kFewestPeers) {
    return 0;
  }
  std::sort(speeds.begin(), speeds.end());
  return speeds[speeds.size() / 2];
}

void
noteSpeed(VmHistory& aHistory,
          const state::EngineLoad& aLoad,
          std::uint32_t aMedian,
          state::TimePoint aNow,
          const GroupLimits& aLimits)
{
  constexpr std::uint64_t kPermille = 1000;
  if (aMedian == 0 || aLoad.running_ == 0) {
    return;
  }
  const std::uint64_t speed = kPermille * aLoad.tokensPerSecond_ / aMedian;
  const std::uint64_t recovered = std::uint64_t{ aLimits.stragglerPermille_ } *
                                  kRecoveredPermille / kPermille;
  if (speed >= recovered) {
    aHistory.slowSince_.reset();
  } else if (speed < aLimits.stragglerPermille_ && !aHistory.slowSince_) {
    aHistory.slowSince_ = aNow;
  }
}

} // namespace

VmHistoryMap
updateHistory(const VmHistoryMap& aHistory,
              const VmMap& aVms,
              const ReportMap& aReports,
              state::TimePoint aNow,
              const GroupLimits& aLimits)
{
  VmHistoryMap result;
  for (const auto& [vm, report] : aReports) {
    note(result, aHistory, vm, &report, aNow, aLimits);
  }
  for (const auto& [vm, info] : aVms) {
    if (!aReports.contains(vm)) {
      note(result, aHistory, vm, nullptr, aNow, aLimits);
    }
  }
  return result;
}

VmHistoryMap
updateSlowness(VmHistoryMap aHistory,
               const state::DomainRecord& aRecord,
               const ReportMap& aReports,
               state::TimePoint aNow,
               const GroupLimits& aLimits)
{
  for (const auto& [id, copy] : aRecord.copies_) {
    const std::uint32_t median = medianSpeed(copy, aReports);
    for (const state::VmId& vm : copy.members_) {
      const auto report = aReports.find(vm);
      const auto history = aHistory.find(vm);
      if (report != aReports.end() && history != aHistory.end()) {
        noteSpeed(history->second, report->second.load_, median, aNow, aLimits);
      }
    }
  }
  return aHistory;
}

VmHealth
healthOf(const state::VmId& aVm,
         const VmHistoryMap& aHistory,
         const VmMap& aVms,
         state::TimePoint aNow,
         const GroupLimits& aLimits)
{
  const auto listed = aVms.find(aVm);
  const auto found = aHistory.find(aVm);
  if (found == aHistory.end()) {
    return listed == aVms.end() ? VmHealth::kGone : VmHealth::kSuspect;
  }
  const VmHistory& history = found->second;
  if (history.absentSince_) {
    if (!lastedFor(history.absentSince_, aNow, aLimits.replaceAfter_)) {
      return VmHealth::kSuspect;
    }
    return listed == aVms.end() ? VmHealth::kGone : VmHealth::kAbsent;
  }
  if (listed != aVms.end() &&
      listed->second.listing_ == state::VmListing::kLeaving) {
    return VmHealth::kLeaving;
  }
  if (lastedFor(history.failedSince_, aNow, aLimits.replaceAfter_)) {
    return VmHealth::kFailing;
  }
  if (lastedFor(history.slowSince_, aNow, aLimits.stragglerAfter_)) {
    return VmHealth::kStraggler;
  }
  return history.absences_.size() >= aLimits.flapThreshold_
           ? VmHealth::kFlapping
           : VmHealth::kPresent;
}

const char*
describe(VmHealth aHealth)
{
  static constexpr std::array<const char*, 8> kNames{
    "present", "just absent", "absent",   "gone",
    "leaving", "straggling",  "flapping", "failing to load"
  };
  return kNames.at(static_cast<std::size_t>(aHealth));
}

bool
hasSettled(const VmHistory& aHistory,
           state::TimePoint aNow,
           const GroupLimits& aLimits)
{
  const auto absences = static_cast<std::uint32_t>(aHistory.absences_.size());
  const std::uint32_t doublings =
    std::min(absences > 0 ? absences - 1 : 0, kMaxDoublings);
  return lastedFor(aHistory.presentSince_,
                   aNow,
                   aLimits.stabilizationTime_ *
                     (std::int64_t{ 1 } << doublings));
}

} // namespace auburnhaven::coordination
