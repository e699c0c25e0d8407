// Judgement of VMs over time, with hysteresis.
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

/** How usable a VM is as a member. */
enum class VmHealth : std::uint8_t
{
  kPresent,   ///< Reported within the evidence limit.
  kSuspect,   ///< Absent for less than the time of replacement.
  kAbsent,    ///< Absent for longer.
  kGone,      ///< Absent and not in the platform's list.
  kLeaving,   ///< The platform takes it away.
  kStraggler, ///< Slower than its peers for long.
  kFlapping,  ///< Present, but was absent too often.
  kFailing,   ///< Could not load its role for long.
};

/** What was seen of one VM over time. */
struct VmHistory
{
  state::Incarnation incarnation_;               ///< Incarnation last seen.
  std::optional<state::TimePoint> absentSince_;  ///< Start of the absence.
  std::optional<state::TimePoint> presentSince_; ///< Start of the presence.
  std::optional<state::TimePoint> slowSince_;    ///< Start of the slowness.
  std::optional<state::TimePoint> failedSince_;  ///< Start of the failure.
  std::vector<state::TimePoint>
    absences_; ///< Absences and restarts in the window.
  bool operator==(const VmHistory&) const = default;
};

/** History of the VMs of a zone. */
using VmHistoryMap = std::map<state::VmId, VmHistory>;

/**
 * Carries the history on to the present. A VM without any report counts as
 * absent from the first call on, so that a new observer gives each VM the whole
 * time. Pure; thread-safe.
 * @param aHistory History so far.
 * @param aVms VMs in the platform's list.
 * @param aReports Newest reports.
 * @param aNow Present time.
 * @param aLimits Limits.
 * @return The history of all VMs listed or reported.
 */
VmHistoryMap
updateHistory(const VmHistoryMap& aHistory,
              const VmMap& aVms,
              const ReportMap& aReports,
              state::TimePoint aNow,
              const GroupLimits& aLimits);

/**
 * Marks the members of a record that are slower than their peers. Pure;
 * thread-safe.
 * @param aHistory History so far.
 * @param aRecord Record that names the members.
 * @param aReports Newest reports.
 * @param aNow Present time.
 * @param aLimits Limits.
 * @return The history with the slowness of the members.
 */
VmHistoryMap
updateSlowness(VmHistoryMap aHistory,
               const state::DomainRecord& aRecord,
               const ReportMap& aReports,
               state::TimePoint aNow,
               const GroupLimits& aLimits);

/**
 * Judges a VM. Pure; thread-safe.
 * @param aVm The VM.
 * @param aHistory History carried on to the present.
 * @param aVms VMs in the platform's list.
 * @param aNow Present time.
 * @param aLimits Limits.
 * @return Its health.
 */
VmHealth
healthOf(const state::VmId& aVm,
         const VmHistoryMap& aHistory,
         const VmMap& aVms,
         state::TimePoint aNow,
         const GroupLimits& aLimits);

/**
 * @param aHealth Health of a VM.
 * @return The health as words for people.
 */
const char*
describe(VmHealth aHealth);

/**
 * Whether a VM that was withdrawn has been present for long enough; each
 * absence in the window doubles the time. Pure; thread-safe.
 * @param aHistory History of the VM.
 * @param aNow Present time.
 * @param aLimits Limits.
 * @return Whether it may be used again.
 */
bool
hasSettled(const VmHistory& aHistory,
           state::TimePoint aNow,
           const GroupLimits& aLimits);

} // namespace auburnhaven::coordination
