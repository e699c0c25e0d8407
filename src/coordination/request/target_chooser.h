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

/** Weights and limits of the target choice. */
struct TargetChooserSettings
{
  std::uint32_t choices_ = 2; ///< Number of random targets compared per choice.
  state::Duration reportHalfLife_ =
    std::chrono::seconds(2);  ///< Age at which the weight of a load report has
                              ///< halved.
  double reportWeight_ = 0.1; ///< Weight of the load from other daemons in a
                              ///< fresh report; with 1 all daemons would move
                              ///< to the same targets at once.
  double prefixBonus_ = 0.1;  ///< Load, as a fraction of a target's slots, that
                              ///< a cache hit on the whole prompt offsets.
  double spilloverThreshold_ = 0.8;   ///< Load of the best local target, as a
                                      ///< fraction of its slots, above which
                                      ///< other zones are considered.
  double remotePenalty_ = 0.5;        ///< Load added to targets of other zones.
  double maxSlowdown_ = 8.0;          ///< Maximum load factor of a slow target.
  std::size_t prefixEntries_ = 16384; ///< Capacity of the prefix table.
  bool operator==(const TargetChooserSettings&) const = default;
};

/** Target chosen for one attempt. */
struct Choice
{
  state::VmId vm_;           ///< VM that receives the request.
  state::CopyId copy_;       ///< Copy; its group is empty for a plain service.
  state::ZoneId zone_;       ///< Zone of the target.
  state::Endpoint endpoint_; ///< Endpoint of the target inside its zone.
  state::FencingNumber fencing_; ///< Fencing number of the target's assignment.
  std::optional<state::GatewayPeer>
    gateway_;            ///< Daemon to forward through; set for a target of
                         ///< another zone.
  TargetStatsPtr stats_; ///< Statistics of the target.
  TargetHash targetHash_ = 0; ///< Hash of the target in the prefix table.
  double score_ = 0;          ///< Expected load; lower is better.
};

/**
 * Chooses targets by power of N random choices. The score combines this
 * daemon's outstanding work, load reports discounted by age, prefix cache hints
 * and observed speed; the newest snapshot gives the targets. Thread-safe.
 */
class TargetChooser
{
public:
  /** Source of random numbers; called under a lock. */
  using RandomSource = std::function<std::uint64_t()>;

  /**
   * @param aZone Zone of this daemon.
   * @param aRandom Source of random numbers.
   * @param aSettings Weights and limits.
   */
  TargetChooser(state::ZoneId aZone,
                RandomSource aRandom,
                TargetChooserSettings aSettings = {});
  ~TargetChooser();
  TargetChooser(const TargetChooser&) = delete;
  TargetChooser& operator=(const TargetChooser&) = delete;

  /**
   * Replaces the snapshot that later choices use.
   * @param aView Snapshot; must not be null.
   */
  void setView(const state::ServingViewPtr& aView);
  /**
   * Chooses a target that is open on unexpired evidence, is not leaving and was
   * not tried before. Targets in backoff are chosen only when no other target
   * is left among the local or the remote ones, respectively. Targets of other
   * zones are considered only when the load of the best local target exceeds
   * the spillover threshold, or when no local target is left.
   * @param aInfo The request.
   * @param aNow Current time.
   * @param aTried VMs of targets to exclude.
   * @return The choice, or nullopt when no target qualifies.
   */
  std::optional<Choice> choose(const RequestInfo& aInfo,
                               state::TimePoint aNow,
                               const std::vector<state::VmId>& aTried = {});
  /**
   * Counts work on the target as started and records that the target will have
   * the prompt's prefixes cached.
   * @param aChoice Result of choose().
   * @param aInfo The request.
   * @return Handle for the work; end it with finish().
   */
  OutstandingWork start(const Choice& aChoice, const RequestInfo& aInfo);
  /** @return Prefix hints, to be updated from the engines' cache events. */
  PrefixTable& prefixes() { return prefixes_; }
  /**
   * @param aVm VM of a target.
   * @return Outstanding work of this daemon on the target.
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
  void considerRandomCandidates(const std::vector<Candidate>& aCandidates,
                                const Consider& aConsider);
  const Candidate* pick(const std::vector<Candidate>& aCandidates,
                        const Pool& aPool,
                        const RequestInfo& aInfo,
                        state::TimePoint aNow,
                        const std::vector<state::VmId>& aTried,
                        double& aScore);
  const Candidate* longestPrefixMatch(const Pool& aPool,
                                      const RequestInfo& aInfo) const;
  double cachedPrefixShare(const Candidate& aCandidate,
                           const RequestInfo& aInfo) const;
  Choice makeChoice(const Candidate& aCandidate,
                    const state::ServingView& aView,
                    double aScore);

  const state::ZoneId zone_;             ///< Zone of this daemon.
  const TargetChooserSettings settings_; ///< Weights and limits.
  PrefixTable prefixes_;                 ///< Prefix hints.
  std::mutex randomMutex_;               ///< Guards `random_`.
  RandomSource random_;                  ///< Source of random numbers.
  mutable std::mutex mutex_;             ///< Guards the following members.
  std::shared_ptr<const Index> index_;   ///< Candidates of the newest snapshot.
  std::unordered_map<state::VmId, TargetStatsPtr>
    stats_; ///< Statistics of the snapshot's targets and of targets with
            ///< outstanding work.
};

} // namespace auburnhaven::coordination
