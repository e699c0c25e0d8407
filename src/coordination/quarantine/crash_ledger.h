// Joins the daemons' reports of ended targets and finds the parts of prompts
// that end them.
#pragma once

#include "coordination/quarantine/crash_report_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace auburnhaven::coordination {

/** Changes of the guilty sets of parts. */
struct GuiltChanges
{
  std::vector<state::PromptParts> added_;  ///< Sets found guilty, each in
                                           ///< ascending order.
  std::vector<state::PromptParts> lifted_; ///< Sets that are no longer guilty.
  bool operator==(const GuiltChanges&) const = default;
};

/** Thresholds and limits of the ledger. */
struct CrashLedgerSettings
{
  std::uint32_t minMoments_ =
    3; ///< Times at which targets must have ended under a part. Fewer are too
       ///< often chance; each further one costs a replica.
  state::Duration momentLength_ = std::chrono::milliseconds(
    100); ///< Targets that end within this time of each other may have a common
          ///< cause, such as their rack, and count once.
  state::Duration doubtTime_ = std::chrono::seconds(
    1); ///< How long parts that little tells apart from the rest of the
        ///< traffic may still be shown to be sound.
  state::Duration soundTime_ = kSoundTime; ///< How long a part counts as sound
                                           ///< after a target answered with it.
  state::Duration retention_ = std::chrono::minutes(
    10); ///< Age at which an ended target or a guilty set is forgotten.
  std::size_t maxCrashes_ = 64; ///< Ended targets that are remembered.
  std::size_t maxRequests_ =
    32; ///< Different prompts of an ended target that are remembered.
  std::size_t maxWholeRequests_ =
    64; ///< Requests of an ended target that are known as a whole.
  std::uint32_t minRequestMoments_ =
    2; ///< Times at which targets must have ended under one same request, if
       ///< no other is as suspicious; minMoments_ otherwise.
  state::Duration settleTime_ = std::chrono::milliseconds(
    40); ///< From the end of a target until all daemons have reported what they
         ///< lost by it.
  std::size_t maxSuspects_ = 48; ///< Parts returned by suspects(), unless more
                                 ///< have several ended targets.
  std::size_t maxRepeatedSuspects_ =
    256; ///< Of parts with several ended targets, which may soon be found
         ///< guilty.
  state::Duration suspicionTime_ = std::chrono::seconds(
    30); ///< How long after the end of a target sound answers are asked for.
  bool operator==(const CrashLedgerSettings&) const = default;
};

/**
 * Remembers which requests were in flight at targets that ended, as reported by
 * all daemons. A request is guilty as a whole when targets ended under it again
 * and again; this needs least evidence and harms nobody else, so it goes first.
 * A set of parts is guilty when targets ended under it at several moments,
 * while none answered with it; one request counts once against its parts,
 * however often it is repeated. Parts that were always together in the lost
 * requests can't be told apart, so requests are dangerous only if they have all
 * of them, however many these are. The other requests of the same targets are
 * explained by the guilty set. Control thread only.
 */
class CrashLedger
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aSettings Thresholds and limits.
   */
  explicit CrashLedger(const state::Clock& aClock,
                       const CrashLedgerSettings& aSettings = {});

  /** @param aReport A daemon's report; a repeated one changes nothing. */
  void noteCrash(const CrashReport& aReport);
  /**
   * Notes that targets have answered requests.
   * @param aParts Parts of their prompts, and when that was; those that are no
   * suspects are ignored.
   */
  void noteSound(const std::vector<SoundPart>& aParts);
  /** @return What has changed since the previous call. */
  GuiltChanges decide();
  /** @return Parts of which a sound answer should be reported, those under
   * which most targets ended first. */
  std::vector<SuspectPart> suspects() const;
  /** @return Number of ended targets that are remembered. */
  std::size_t crashes() const { return crashes_.size(); }

private:
  /** A lost request that is known as a whole. */
  struct LostRequestInfo
  {
    state::PromptParts prompt_; ///< Parts of its prompt.
    bool begun_ = false;        ///< Whether the target had begun to answer it.
  };
  /** A target that ended. */
  struct Crash
  {
    state::VmId vm_;                           ///< The target.
    state::TimePoint at_{};                    ///< When it ended.
    std::vector<state::PromptParts> requests_; ///< Prompts of lost requests.
    std::map<state::PromptPartId, LostRequestInfo>
      wholes_; ///< Lost requests that are known as a whole.
  };
  /** Evidence against a request as a whole. */
  struct RequestEvidence
  {
    std::vector<const Crash*> crashes_; ///< Targets that ended under it.
    std::uint32_t moments_ = 0;         ///< Moments at which they ended.
    state::TimePoint lastAt_{};         ///< The latest of these.
  };
  using RequestEvidenceMap =
    std::map<state::PromptPartId, RequestEvidence>; ///< By request.
  /** Evidence against a part. */
  struct Evidence
  {
    std::uint32_t moments_ = 0;   ///< Moments at which targets ended under it.
    std::uint32_t requests_ = 0;  ///< Lost requests that have it.
    std::uint32_t alone_ = 0;     ///< Of these, those without another part.
    state::TimePoint firstAt_{};  ///< When the first target ended.
    state::TimePoint enoughAt_{}; ///< When the moments became enough.
    /** @return Whether few other requests were lost with it. */
    bool isPrecise() const { return moments_ * 2 >= requests_; }
  };
  using EvidenceMap = std::map<state::PromptPartId, Evidence>; ///< By part.
  using CountedRequests =
    std::map<state::PromptPartId,
             std::set<state::PromptPartId>>; ///< By part, the requests that
                                             ///< have counted against it.

  void addRequest(Crash& aCrash, const state::PromptParts& aParts, bool aBegun);
  static std::size_t countUnanswered(const std::vector<const Crash*>& aCrashes,
                                     state::PromptPartId aRequest);
  Crash& crashOf(const state::VmId& aVm, state::TimePoint aAt);
  void forgetOld();
  static std::set<state::PromptPartId> partsOf(const Crash& aCrash);
  std::vector<state::PromptParts> accusingPrompts(const Crash& aCrash) const;
  bool hasGuiltyRequest(const Crash& aCrash) const;
  bool countRequests(const Crash& aCrash,
                     state::PromptPartId aPart,
                     CountedRequests& aCounted) const;
  std::set<state::PromptPartId> rememberedParts() const;
  bool isSoundAt(state::PromptPartId aPart, state::TimePoint aAt) const;
  EvidenceMap gatherEvidence() const;
  std::vector<state::PromptPartId> leadersOf(
    const EvidenceMap& aEvidence) const;
  state::PromptParts setOf(state::PromptPartId aPart) const;
  bool isDistinct(const state::PromptParts& aSet,
                  const Evidence& aEvidence) const;
  void convict(const state::PromptParts& aSet);
  bool isExplained(const Crash& aCrash) const;
  bool isExplainedByParts(const Crash& aCrash) const;
  RequestEvidenceMap gatherRequestEvidence() const;
  bool hasTwin(state::PromptPartId aRequest,
               const RequestEvidenceMap& aEvidence) const;
  std::optional<state::PromptPartId> guiltyRequest();
  void findGuiltyRequests();
  void findGuilty();
  void acquit(state::PromptPartId aPart, state::TimePoint aSoundAt);
  bool isGuilty(state::PromptPartId aPart) const;

  const state::Clock& clock_;          ///< Clock.
  const CrashLedgerSettings settings_; ///< Thresholds and limits.
  std::deque<Crash> crashes_;          ///< Ended targets in order of time.
  std::map<state::PromptPartId, state::TimePoint>
    soundAt_; ///< When a target last answered with a remembered part.
  std::map<state::PromptParts, state::TimePoint>
    guilty_;             ///< Guilty sets, and when they were found.
  GuiltChanges changes_; ///< What decide() returns next.
  state::TimePoint decideAt_ =
    state::TimePoint::max(); ///< When to look for guilty sets again.
};

} // namespace auburnhaven::coordination
