// Evaluates the health of VMs over time, with hysteresis.
#pragma once

#include "coordination/copy_readiness_func.h"
#include "coordination/group/group_limits_type.h"
#include "state/domain_record_type.h"
#include "state/vm_type.h"

#include <map>
#include <optional>
#include <vector>

namespace auburnhaven::coordination {

/** VMs by identifier. */
using VmMap = std::map<state::VmId, state::VmInfo>;

/** Health of a VM, which decides how it may be used as a member. */
enum class VmHealth : std::uint8_t
{
  kPresent,   ///< Reported within the evidence limit.
  kSuspect,   ///< Absent for less than replaceAfter_.
  kAbsent,    ///< Absent for replaceAfter_ or longer.
  kGone,      ///< Absent and no longer in the platform's list.
  kLeaving,   ///< The platform announced its removal.
  kStraggler, ///< Slower than its peers for stragglerAfter_.
  kFlapping,  ///< Present, but absent too often recently.
  kFailing,   ///< Failed to load its role for replaceAfter_.
};

/** Observations of one VM over time. */
struct VmHistory
{
  state::Incarnation incarnation_; ///< Incarnation in the latest report.
  std::optional<state::TimePoint>
    absentSince_; ///< Start of the current absence.
  std::optional<state::TimePoint>
    presentSince_; ///< Start of the current presence.
  std::optional<state::TimePoint> slowSince_; ///< When it became slow.
  std::optional<state::TimePoint>
    failedSince_; ///< When it reported a failed load.
  std::vector<state::TimePoint>
    absences_; ///< Times of absences and restarts within flapWindow_.
  bool operator==(const VmHistory&) const = default;
};

/** History of each VM of a zone. */
using VmHistoryMap = std::map<state::VmId, VmHistory>;

/**
 * Updates the history to the current time. A VM without a report counts as
 * absent from the first call on, so that a new observer waits the full
 * replacement time for each VM. Pure; thread-safe.
 * @param aHistory History of the previous call.
 * @param aVms VMs in the platform's list.
 * @param aReports Latest report of each VM.
 * @param aNow Current time.
 * @param aLimits Limits and periods.
 * @return The history of all VMs that are listed or have a report.
 */
VmHistoryMap
updateHistory(const VmHistoryMap& aHistory,
              const VmMap& aVms,
              const ReportMap& aReports,
              state::TimePoint aNow,
              const GroupLimits& aLimits);

/**
 * Marks the members of each copy that are much slower than the median of its
 * busy members. Pure; thread-safe.
 * @param aHistory History from updateHistory().
 * @param aRecord Record that names the members.
 * @param aReports Latest report of each VM.
 * @param aNow Current time.
 * @param aLimits Limits and periods.
 * @return The history with slowSince_ updated.
 */
VmHistoryMap
updateSlowness(VmHistoryMap aHistory,
               const state::DomainRecord& aRecord,
               const ReportMap& aReports,
               state::TimePoint aNow,
               const GroupLimits& aLimits);

/**
 * Evaluates the health of a VM. Pure; thread-safe.
 * @param aVm VM to evaluate; it may be unknown.
 * @param aHistory History up to the current time.
 * @param aVms VMs in the platform's list.
 * @param aNow Current time.
 * @param aLimits Limits and periods.
 * @return Health of the VM.
 */
VmHealth
healthOf(const state::VmId& aVm,
         const VmHistoryMap& aHistory,
         const VmMap& aVms,
         state::TimePoint aNow,
         const GroupLimits& aLimits);

/**
 * @param aHealth Health of a VM.
 * @return Human-readable text, as stored in the reasons of assignments.
 */
const char*
describe(VmHealth aHealth);

/**
 * Checks whether a returning VM has been present for the settle time, which
 * doubles with each further absence in the window, up to 32 times. Pure;
 * thread-safe.
 * @param aHistory History of the VM.
 * @param aNow Current time.
 * @param aLimits Limits and periods.
 * @return Whether it may be used again.
 */
bool
hasSettled(const VmHistory& aHistory,
           state::TimePoint aNow,
           const GroupLimits& aLimits);

} // namespace auburnhaven::coordination
