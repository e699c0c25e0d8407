// Polls the model engines of a zone and decides which VMs are lost.
#pragma once

#include "coordination/replica/replica_engine_port.h"
#include "coordination/replica/replica_limits_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace auburnhaven::coordination {

/** Poll interval class of a VM; the limits give the interval of each. */
enum class PollRate : std::uint8_t
{
  kIdle,    ///< VM that belongs to no replica.
  kMember,  ///< Member of a replica.
  kHead,    ///< Head of an open replica.
  kJoining, ///< VM whose state is about to change.
};

/** Last known state of an engine. */
struct MonitoredEngine
{
  state::Instance instance_; ///< Registration of the engine.
  std::optional<state::EngineReport>
    report_; ///< Latest report; absent until the first one arrives.
  bool registered_ = false;            ///< Whether the engine is registered.
  state::TimePoint unregisteredAt_{};  ///< When its registration disappeared.
  bool silentAtRemoval_ = false;       ///< Whether it did not answer when its
                                       ///< registration disappeared.
  state::TimePoint respondingSince_{}; ///< When it began to answer again.
  std::uint32_t missedReports_ = 0;    ///< Consecutive polls without an answer.
  state::TimePoint lastReportAt_{};    ///< When the latest answer arrived.
  state::TimePoint firstMissAt_{}; ///< When the first of these polls timed out.
  /** @return Whether the latest report comes from the registered incarnation.
   * After a restart, another VM may answer at the registered address, or a new
   * incarnation whose registration has not arrived yet. */
  bool isIdentified() const
  {
    return report_ && (instance_.bornAtMs_ == 0 ||
                       report_->state_.bornAtMs_ == instance_.bornAtMs_);
  }
  bool operator==(const MonitoredEngine&) const = default;
};

/**
 * Polls the engines of one zone for their reports. A VM counts as unresponsive
 * when several consecutive polls got no answer and another VM has answered
 * since the first of them; otherwise the fault may lie with this daemon's own
 * network. Control thread only.
 */
class EngineMonitor
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aEngines Client of the engines; outlives this object.
   * @param aLimits Poll intervals and timeouts.
   */
  EngineMonitor(const state::Clock& aClock,
                ReplicaEngineClient& aEngines,
                const ReplicaLimits& aLimits);
  EngineMonitor(const EngineMonitor&) = delete;
  EngineMonitor& operator=(const EngineMonitor&) = delete;

  /**
   * Updates the set of registered engines. The state of engines that stay is
   * kept. Engines that are no longer registered are polled for
   * ReplicaLimits::unregisteredPollTime_, since they may still be serving.
   * @param aInstances All registered engines of the zone.
   */
  void setInstances(const std::vector<state::Instance>& aInstances);
  /**
   * Sets the poll interval of a VM; unknown VMs are ignored.
   * @param aVm The VM.
   * @param aRate Class of the interval.
   */
  void setPollRate(const state::VmId& aVm, PollRate aRate);
  /**
   * Requests a poll of a VM at a given time, in addition to the regular ones;
   * replaces an earlier request that is still pending. Unknown VMs are ignored.
   * @param aVm The VM.
   * @param aAt Time of the poll.
   */
  void pollAt(const state::VmId& aVm, state::TimePoint aAt);
  /** Polls the VMs that are due. */
  void tick();
  /** Discards all reports, so that a new lease term starts from fresh ones. */
  void discardReports();

  /** @return All engines that are registered or still polled. */
  const std::map<state::VmId, MonitoredEngine>& engines() const
  {
    return engines_;
  }
  /**
   * @param aVm A VM.
   * @return The engine, or null when it is neither registered nor still polled.
   */
  const MonitoredEngine* find(const state::VmId& aVm) const;
  /**
   * @param aVm A VM.
   * @return Whether its latest poll was answered by the incarnation that is
   * or was last registered.
   */
  bool isResponding(const state::VmId& aVm) const;
  /**
   * @param aVm A VM.
   * @return Whether it is unknown or has stopped answering.
   */
  bool isUnresponsive(const state::VmId& aVm) const;
  /**
   * @param aVm A VM.
   * @return Whether it is registered and responding.
   */
  bool isAvailable(const state::VmId& aVm) const;
  /**
   * @param aVm A VM.
   * @return Whether it has stopped answering or is no longer registered. A VM
   * that was cut off from the store and the daemons answers before its
   * registration is back, and counts as lost only if that takes too long.
   */
  bool isLost(const state::VmId& aVm) const;
  /** @return Whether each engine has reported or is unresponsive. */
  bool isComplete() const { return !firstUnreported(); }
  /**
   * @return An engine that has neither reported nor is unresponsive, if any.
   */
  std::optional<state::VmId> firstUnreported() const;
  /** @return When a member of a replica was last added to the registered
   * engines. */
  state::TimePoint memberRegisteredAt() const { return memberRegisteredAt_; }
  /** @return Whether no VM has answered for so long that the fault may lie with
   * this daemon, for example with its network. */
  bool suspectsLocalFault() const;

private:
  /** Poll schedule of a VM. */
  struct Poll
  {
    PollRate rate_ = PollRate::kIdle; ///< Poll interval class.
    state::TimePoint nextAt_{};       ///< When the next poll is due.
    state::TimePoint extraAt_ =
      state::TimePoint::max(); ///< When a requested extra poll is due.
    bool inFlight_ = false;    ///< Whether an answer is awaited.
  };

  state::Duration pollPeriod(PollRate aRate) const;
  void sendPoll(const state::VmId& aVm);
  void resetMisses();
  void handleReport(const state::VmId& aVm,
                    const std::optional<state::EngineReport>& aReport);

  const state::Clock& clock_;         ///< Clock.
  ReplicaEngineClient& engineClient_; ///< Client of the engines.
  ReplicaLimits limits_;              ///< Poll intervals and timeouts.
  std::map<state::VmId, MonitoredEngine> engines_; ///< Engines by VM.
  std::map<state::VmId, Poll> polls_;              ///< Poll schedules by VM.
  state::TimePoint lastReportAt_{}; ///< When any VM last answered.
  std::optional<state::TimePoint>
    noAnswerSince_; ///< Time of the first poll of a responsive VM since the
                    ///< last answer of any VM; absent when there is none.
  state::TimePoint
    memberRegisteredAt_{}; ///< When a member of a replica was last added to
                           ///< the registered engines.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Makes callbacks no-ops after destruction.
};

} // namespace auburnhaven::coordination
