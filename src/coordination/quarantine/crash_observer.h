// Finds out which of this daemon's requests were lost because a target ended.
#pragma once

#include "coordination/quarantine/crash_report_type.h"
#include "coordination/quarantine/sound_part_memory.h"
#include "state/endpoint_type.h"
#include "state/event_log.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace auburnhaven::coordination {

/** Checks whether anything still listens on an endpoint. Control thread only.
 */
class ListenerProbe
{
public:
  using Handler = std::function<void(bool)>; ///< Receives whether the
                                             ///< connection was refused.

  virtual ~ListenerProbe() = default;
  /**
   * Tries to connect, and closes the connection at once.
   * @param aEndpoint The endpoint.
   * @param aHandler Called once, later. A missing answer is no refusal.
   */
  virtual void probe(const state::Endpoint& aEndpoint, Handler aHandler) = 0;
};

/** A request that ended with its connection. */
struct LostRequest
{
  state::VmId vm_;           ///< The target.
  state::Endpoint endpoint_; ///< Its endpoint.
  state::PromptParts parts_; ///< Its parts, at least one.
  state::TimePoint at_{};    ///< When the connection ended.
  bool begun_ = false;       ///< Whether the target had begun to answer it.
  bool operator==(const LostRequest&) const = default;
};

/**
 * Tells the end of a target from that of a connection: a target whose process
 * has ended refuses new connections. Also collects the answers that show parts
 * under suspicion to be sound. The note functions are thread-safe, all others
 * for the control thread only.
 */
class CrashObserver
{
public:
  using NewsHandler = std::function<void()>; ///< Called from any thread.

  /**
   * @param aClock Clock; outlives this object.
   * @param aProbe Checks targets; outlives this object.
   * @param aLog Log; outlives this object.
   * @param aHandler Called when there may be news for poll().
   */
  CrashObserver(const state::Clock& aClock,
                ListenerProbe& aProbe,
                state::EventLog& aLog,
                NewsHandler aHandler);
  CrashObserver(const CrashObserver&) = delete;
  CrashObserver& operator=(const CrashObserver&) = delete;

  /** @param aRequest A request whose target closed or reset its connection. */
  void noteLost(LostRequest aRequest);
  /**
   * Notes that a target answers a request, and went on for some time after the
   * answer had begun.
   * @param aParts Its parts.
   * @param aBegunAt When the answer began.
   */
  void noteAnswer(const state::PromptParts& aParts, state::TimePoint aBegunAt);

  /**
   * Notes that a target has answered a request whole. To be told of each one,
   * so that there is evidence from before a first suspicion.
   * @param aShared Parts of its prompt, without the one for the whole request.
   * @param aBegunAt When the answer began.
   */
  void noteWholeAnswer(const state::PromptParts& aShared,
                       state::TimePoint aBegunAt);

  /** @return Whether answers are wanted at present. Thread-safe. */
  bool hasSuspects() const { return hasSuspects_; }

  /** Checks the targets of lost requests. To be called after the handler, and
   * regularly. */
  void poll();
  /** @param aSuspects Parts of which sound answers are wanted, in place of the
   * present ones; answers from shortly before the suspicion count too. */
  void setSuspects(const std::vector<SuspectPart>& aSuspects);
  /** @param aSuspects Further such parts. */
  void addSuspects(const std::vector<SuspectPart>& aSuspects);
  /** @return Reports on targets that have ended, since the previous call. */
  std::vector<CrashReport> takeReports();
  /** @return Suspect parts with sound answers, since the previous call. */
  std::vector<SoundPart> takeSound();

private:
  /** State of a target whose requests were lost. */
  struct Check
  {
    state::TimePoint lostAt_{}; ///< When the first of them was lost.
    bool ended_ = false;        ///< Whether it is known to have ended.
    CrashReport report_;        ///< Lost requests that are not reported yet.
  };

  // Both with mutex_ held.
  void takeSuspects(const std::vector<SuspectPart>& aSuspects);
  void recall(const SuspectPart& aSuspect, state::TimePoint aNow);

  void startCheck(const LostRequest& aRequest);
  void finishCheck(const state::VmId& aVm, bool aRefused);

  const state::Clock& clock_;              ///< Clock.
  ListenerProbe& probe_;                   ///< Checks targets.
  state::EventLog& log_;                   ///< Log.
  NewsHandler handler_;                    ///< Called when there may be news.
  std::atomic<bool> hasSuspects_{ false }; ///< Whether suspects_ has entries.
  std::mutex mutex_;                       ///< Guards the following members.
  std::vector<LostRequest> lost_;          ///< Lost requests not checked yet.
  std::map<state::PromptPartId, state::TimePoint>
    suspects_; ///< When each suspect part came under suspicion.
  std::map<state::PromptPartId, state::TimePoint>
    sound_; ///< Suspect parts with sound answers, and when these began.
  SoundPartMemory memory_; ///< All parts with whole answers.
  std::map<state::PromptPartId, state::TimePoint>
    recalledAt_; ///< Suspect parts that the memory cleared, and when that was
                 ///< last said.
  // Control thread only from here.
  std::map<state::VmId, Check> checks_; ///< Targets of lost requests.
  std::vector<CrashReport> reports_;    ///< Reports not taken yet.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Makes callbacks no-ops after destruction.
};

} // namespace auburnhaven::coordination
