// Asks the model engines of a zone for their reports and judges who is lost.
#pragma once

#include "coordination/replica/replica_engine_port.h"
#include "coordination/replica/replica_limits_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace auburnhaven::coordination {

/** How often a VM is asked. */
enum class PollRate : std::uint8_t
{
  kIdle,    ///< Free VM.
  kMember,  ///< Member of a copy.
  kHead,    ///< Head of an open copy.
  kJoining, ///< About to change.
};

/** What is known of an engine. */
struct MonitoredEngine
{
  state::Instance instance_; ///< As it registered itself.
  std::optional<state::EngineReport>
    report_;                ///< Newest report; absent before the first one.
  bool registered_ = false; ///< Whether it is registered.
  state::TimePoint unregisteredAt_{}; ///< Since when it is not.
  std::uint32_t missedReports_ = 0;   ///< Reports in a row without answer.
  state::TimePoint lastReportAt_{};   ///< When the newest answer arrived.
  state::TimePoint
    firstMissAt_{}; ///< When the first of these misses was noticed.
  bool operator==(const MonitoredEngine&) const = default;
};

/**
 * Asks the engines of one zone for their reports. A VM is silent when several
 * questions in a row got no answer and another VM has answered since. Control
 * thread only.
 */
class EngineMonitor
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aEngines The engines; outlive this object.
   * @param aLimits Limits.
   */
  EngineMonitor(const state::Clock& aClock,
                ReplicaEngineClient& aEngines,
                const ReplicaLimits& aLimits);
  EngineMonitor(const EngineMonitor&) = delete;
  EngineMonitor& operator=(const EngineMonitor&) = delete;

  /**
   * Takes the registered engines. Knowledge of engines that stay is kept; those
   * that are not registered any more are still asked for a while, since they
   * may go on to serve.
   * @param aInstances The engines.
   */
  void setInstances(const std::vector<state::Instance>& aInstances);
  /**
   * Sets how often a VM is asked.
   * @param aVm The VM.
   * @param aPace How often.
   */
  void setPollRate(const state::VmId& aVm, PollRate aPace);
  /** Asks the VMs whose time has come. */
  void tick();
  /** Forgets all reports, for a new authority. */
  void forget();

  /** @return All engines. */
  const std::map<state::VmId, MonitoredEngine>& engines() const
  {
    return engines_;
  }
  /**
   * @param aVm A VM.
   * @return The engine, or null when it is not registered.
   */
  const MonitoredEngine* find(const state::VmId& aVm) const;
  /**
   * @param aVm A VM.
   * @return Whether it answers, registered or not.
   */
  bool isResponding(const state::VmId& aVm) const;
  /**
   * @param aVm A VM.
   * @return Whether it has stopped answering.
   */
  bool isUnresponsive(const state::VmId& aVm) const;
  /**
   * @param aVm A VM.
   * @return Whether it is registered and answers.
   */
  bool isAvailable(const state::VmId& aVm) const;
  /**
   * @param aVm A VM.
   * @return Whether it is not registered any more or has stopped answering.
   */
  bool isLost(const state::VmId& aVm) const;
  /** @return Whether each engine has answered or is lost. */
  bool isComplete() const { return !firstUnreported(); }
  /** @return An engine that has neither answered nor is lost, if any. */
  std::optional<state::VmId> firstUnreported() const;
  /** @return When a member of a copy was last added to the list. */
  state::TimePoint memberRegisteredAt() const { return grownAt_; }
  /** @return Whether no VM has answered for so long that the fault may be this
   * daemon's. */
  bool suspectsLocalFault() const;

private:
  /** When and how to ask a VM. */
  struct Question
  {
    PollRate pace_ = PollRate::kIdle; ///< How often.
    state::TimePoint nextAt_{};       ///< When to ask next.
    bool underWay_ = false;           ///< Whether an answer is awaited.
  };

  state::Duration periodOf(PollRate aPace) const;
  void ask(const state::VmId& aVm);
  void forgiveMisses();
  void take(const state::VmId& aVm,
            const std::optional<state::EngineReport>& aReport);

  const state::Clock& clock_;                      ///< Clock.
  ReplicaEngineClient& engineCalls_;               ///< The engines.
  ReplicaLimits limits_;                           ///< Limits.
  std::map<state::VmId, MonitoredEngine> engines_; ///< What is known.
  std::map<state::VmId, Question> questions_;      ///< When to ask.
  state::TimePoint lastReportAt_{};                ///< Newest answer of any VM.
  std::optional<state::TimePoint>
    awaitedSince_; ///< Since when VMs that are not lost have been asked and
                   ///< none has answered.
  state::TimePoint grownAt_{}; ///< When a member of a copy was last added to
                               ///< the list.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Ends callbacks after destruction.
};

} // namespace auburnhaven::coordination
