// Choice of the target for one attempt of a request.
#pragma once

#include "coordination/request/prefix_table.h"
#include "coordination/request/request_type.h"
#include "coordination/request/target_stats.h"
#include "state/serving_view_type.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace auburnhaven::coordination {

/** Weights of the choice. */
struct TargetChooserSettings
{
  std::uint32_t choices_ = 2; ///< Targets drawn at random and compared.
  state::Duration reportHalfLife_ =
    std::chrono::seconds(2);  ///< Age at which a load report counts half.
  double reportWeight_ = 0.1; ///< Part of a fresh report of others' work that
                              ///< counts; with 1 all daemons would move to
                              ///< the same targets at once.
  double prefixBonus_ = 0.1;  ///< Load in parts of a target's slots that a hit
                              ///< of the whole prompt outweighs.
  double spilloverThreshold_ =
    0.8;                       ///< Load of the own zone in parts of its
                               ///< slots from which other zones are weighed.
  double remotePenalty_ = 0.5; ///< Load added to targets of other zones.
  double maxSlowdown_ = 8.0;   ///< Greatest factor for a straggler.
  std::size_t prefixEntries_ = 16384; ///< Prefixes remembered.
  bool operator==(const TargetChooserSettings&) const = default;
};

/** Target chosen for one attempt. */
struct Choice
{
  state::VmId vm_;               ///< VM that takes the request.
  state::CopyId copy_;           ///< Copy; empty group for a plain service.
  state::ZoneId zone_;           ///< Zone of the target.
  state::Endpoint endpoint_;     ///< Where it takes requests in its own zone.
  state::FencingNumber fencing_; ///< Number of its assignment.
  std::optional<state::GatewayPeer>
    gateway_;             ///< Daemon to forward through, for another zone.
  TargetStatsPtr stats_;  ///< Statistics of the target.
  TargetHash number_ = 0; ///< Number of the target in the prefix table.
  double score_ = 0;      ///< Expected load; smaller is better.
};

/**
 * Chooses targets by the newest snapshot, own outstanding work, aged load
 * reports, prefix hints and observed speed. Thread-safe.
 */
class TargetChooser
{
public:
  /** Source of random numbers; called under a lock. */
  using RandomSource = std::function<std::uint64_t()>;

  /**
   * @param aZone Zone of this daemon.
   * @param aRandom Random numbers.
   * @param aSettings Weights.
   */
  TargetChooser(state::ZoneId aZone,
                RandomSource aRandom,
                TargetChooserSettings aSettings = {});
  ~TargetChooser();
  TargetChooser(const TargetChooser&) = delete;
  TargetChooser& operator=(const TargetChooser&) = delete;

  /**
   * Takes a new snapshot; choices from now on use it.
   * @param aView The snapshot, not null.
   */
  void setView(const state::ServingViewPtr& aView);
  /**
   * Chooses a target that is open on evidence that still holds, not leaving,
   * and not tried before.
   * @param aInfo The request.
   * @param aNow Present time.
   * @param aTried Targets not to choose again.
   * @return The choice, or nothing.
   */
  std::optional<Choice> choose(const RequestInfo& aInfo,
                               state::TimePoint aNow,
                               const std::vector<state::VmId>& aTried = {});
  /**
   * Counts work as started and notes that the target will have the prompt
   * cached.
   * @param aChoice The choice.
   * @param aInfo The request.
   * @return Work under way; end it with finish().
   */
  OutstandingWork start(const Choice& aChoice, const RequestInfo& aInfo);
  /** @return Prefix hints, to be fed with the engines' cache events. */
  PrefixTable& prefixes() { return prefixes_; }
  /**
   * @param aVm A VM.
   * @return Own outstanding work on it.
   */
  std::uint32_t outstanding(const state::VmId& aVm) const;

private:
  struct Candidate;
  struct Pool;
  struct Index;

  std::uint64_t random();
  std::shared_ptr<const Index> index() const;
  TargetStatsPtr statsOf(const state::VmId& aVm);
  std::shared_ptr<Pool> copyPool(
    const state::ServingView& aView,
    const std::vector<state::ServingCopy>& aCopies);
  std::shared_ptr<Pool> servicePool(const state::ServingView& aView,
                                    const state::PlainService& aService);
  double score(const Candidate& aCandidate,
               const Pool& aPool,
               const RequestInfo& aInfo,
               state::TimePoint aNow) const;
  template<class Consider>
  void drawAndConsider(const std::vector<Candidate>& aCandidates,
                       const Consider& aConsider);
  const Candidate* pick(const std::vector<Candidate>& aCandidates,
                        const Pool& aPool,
                        const RequestInfo& aInfo,
                        state::TimePoint aNow,
                        const std::vector<state::VmId>& aTried,
                        double& aScore);
  const Candidate* prefixCandidate(const Pool& aPool,
                                   const RequestInfo& aInfo) const;
  double prefixShare(const Candidate& aCandidate,
                     const RequestInfo& aInfo) const;
  Choice makeChoice(const Candidate& aCandidate,
                    const state::ServingView& aView,
                    double aScore);

  const state::ZoneId zone_;             ///< Zone of this daemon.
  const TargetChooserSettings settings_; ///< Weights.
  PrefixTable prefixes_;                 ///< Prefix hints.
  std::mutex randomMutex_;               ///< Guards the random numbers.
  RandomSource random_;                  ///< Random numbers.
  mutable std::mutex mutex_;             ///< Guards the following members.
  std::shared_ptr<const Index> index_;   ///< Candidates of the newest snapshot.
  std::unordered_map<state::VmId, TargetStatsPtr>
    stats_; ///< Statistics of all targets of the snapshot.
};

} // namespace auburnhaven::coordination
