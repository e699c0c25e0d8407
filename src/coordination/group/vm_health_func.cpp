// Evaluates the health of VMs over time, with hysteresis.

#include "coordination/group/vm_health_func.h"

#include <algorithm>
#include <array>

namespace auburnhaven::coordination {

namespace {

constexpr std::uint32_t kMaxSettleDoublings =
  5; ///< Caps the settle time at 32 times its base.
constexpr std::uint32_t kRecoveryPermille =
  1400; ///< Speed, relative to the straggler limit, that ends slowness.

bool
hasLasted(const std::optional<state::TimePoint>& aSince,
          state::TimePoint aNow,
          state::Duration aMinimum)
{
  return aSince && aNow - *aSince >= aMinimum;
}

void
removeOldAbsences(VmHistory& aHistory,
                  state::TimePoint aNow,
                  const GroupLimits& aLimits)
{
  std::erase_if(aHistory.absences_, [&](state::TimePoint aAbsence) {
    return aNow - aAbsence > aLimits.flapWindow_;
  });
}

void
recordPresence(VmHistory& aHistory,
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
recordAbsence(VmHistory& aHistory, state::TimePoint aNow)
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
updateVm(VmHistoryMap& aResult,
         const VmHistoryMap& aPrevious,
         const state::VmId& aVm,
         const state::VmReport* aReport,
         state::TimePoint aNow,
         const GroupLimits& aLimits)
{
  const auto previous = aPrevious.find(aVm);
  VmHistory history =
    previous == aPrevious.end() ? VmHistory{} : previous->second;
  removeOldAbsences(history, aNow, aLimits);
  if (hasLasted(history.slowSince_, aNow, aLimits.flapWindow_)) {
    history.slowSince_.reset();
  }
  const bool present =
    aReport != nullptr && aNow - aReport->observedAt_ <= aLimits.evidenceLimit_;
  if (present) {
    recordPresence(history, *aReport, aNow);
  } else {
    recordAbsence(history, aNow);
  }
  aResult[aVm] = std::move(history);
}

/** @return Median speed of the busy members in tokens per second, or 0 if fewer
 * than three members are busy. */
std::uint32_t
medianSpeed(const state::CopyRecord& aCopy, const ReportMap& aReports)
{
  constexpr std::size_t kMinBusyMembers = 3;
  std::vector<std::uint32_t> speeds;
  for (const state::VmId& vm : aCopy.members_) {
    const auto found = aReports.find(vm);
    if (found != aReports.end() && found->second.load_.running_ > 0) {
      speeds.push_back(found->second.load_.tokensPerSecond_);
    }
  }
  if (speeds.size() < kMinBusyMembers) {
    return 0;
  }
  std::sort(speeds.begin(), speeds.end());
  return speeds[speeds.size() / 2];
}

void
updateVmSpeed(VmHistory& aHistory,
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
  const std::uint64_t recoverySpeed =
    std::uint64_t{ aLimits.stragglerPermille_ } * kRecoveryPermille / kPermille;
  if (speed >= recoverySpeed) {
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
    updateVm(result, aHistory, vm, &report, aNow, aLimits);
  }
  for (const auto& [vm, info] : aVms) {
    if (!aReports.contains(vm)) {
      updateVm(result, aHistory, vm, nullptr, aNow, aLimits);
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
        updateVmSpeed(
          history->second, report->second.load_, median, aNow, aLimits);
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
    if (!hasLasted(history.absentSince_, aNow, aLimits.replaceAfter_)) {
      return VmHealth::kSuspect;
    }
    return listed == aVms.end() ? VmHealth::kGone : VmHealth::kAbsent;
  }
  if (listed != aVms.end() &&
      listed->second.listing_ == state::VmListing::kLeaving) {
    return VmHealth::kLeaving;
  }
  if (hasLasted(history.failedSince_, aNow, aLimits.replaceAfter_)) {
    return VmHealth::kFailing;
  }
  if (hasLasted(history.slowSince_, aNow, aLimits.stragglerAfter_)) {
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
    std::min(absences > 0 ? absences - 1 : 0, kMaxSettleDoublings);
  return hasLasted(aHistory.presentSince_,
                   aNow,
                   aLimits.stabilizationTime_ *
                     (std::int64_t{ 1 } << doublings));
}

} // namespace auburnhaven::coordination
