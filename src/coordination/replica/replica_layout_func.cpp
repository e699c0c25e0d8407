// Chooses the number of replicas of each model per fabric domain.

#include "coordination/replica/replica_layout_func.h"

#include "state/routing_func.h"

#include <algorithm>
#include <array>
#include <limits>

namespace auburnhaven::coordination {

namespace {

constexpr double kNoReplicaCount =
  1.0 / 3; ///< Replica count used in the utilization of a model without
           ///< replicas, which would be infinite otherwise.
constexpr double kNeededShare =
  0.5; ///< Share of the VMs that the load is assumed to need.
constexpr double kLoadWeight = 0.75; ///< Weight of the replicas' utilization.
constexpr double kClosePenalty =
  0.06; ///< Minimum gain that justifies closing one replica.
constexpr double kLoadPenalty =
  0.04; ///< Minimum gain that justifies one load from the weight store.
constexpr std::array kReserveValues = {
  0.075,
  0.05
}; ///< Value of the first and the second VM of a domain that can replace a
   ///< member of a replica of the largest model.
constexpr std::size_t kMaxCombinations =
  20000; ///< Upper limit of the exhaustive search; with this many combinations
         ///< or more, the domains are chosen greedily one by one.

/** One possible division of a domain into replicas. */
struct Option
{
  ReplicaCounts counts_; ///< Number of replicas of each model.
  double penalty_ = 0; ///< Cost of changing to these counts, less the value of
                       ///< the remaining reserve.
};

/** @return Value of a reserve of the given number of VMs in a domain. */
double
reserveValue(std::uint32_t aVms)
{
  double value = 0;
  for (std::uint32_t index = 0; index < kReserveValues.size(); ++index) {
    value += index < aVms ? kReserveValues[index] : 0;
  }
  return value;
}

/** @return Number of existing replicas of each model in a domain. */
ReplicaCounts
existingCounts(const DomainSnapshot& aDomain,
               const std::vector<state::ModelSpec>& aModels)
{
  ReplicaCounts counts;
  for (const state::ModelSpec& model : aModels) {
    counts.push_back(static_cast<std::uint32_t>(
      std::count_if(aDomain.existing_.begin(),
                    aDomain.existing_.end(),
                    [&](const ExistingReplica& aReplica) {
                      return aReplica.model_ == model.id_;
                    })));
  }
  return counts;
}

/** @return Number of VMs of a domain, free or in a replica. */
std::uint32_t
vmCount(const DomainSnapshot& aDomain)
{
  std::size_t count = aDomain.free_.size();
  for (const ExistingReplica& replica : aDomain.existing_) {
    count += replica.members_.size();
  }
  return static_cast<std::uint32_t>(count);
}

/** @return Number of VMs of a domain that can join a replica of a model without
 * loading it. */
std::uint32_t
warmCount(const DomainSnapshot& aDomain, const state::ModelId& aModel)
{
  const auto isWarm = [&](const VmSnapshot& aVm) {
    return aVm.lastModel_ == aModel || aVm.staged_.contains(aModel);
  };
  auto count =
    std::count_if(aDomain.free_.begin(), aDomain.free_.end(), isWarm);
  for (const ExistingReplica& replica : aDomain.existing_) {
    count +=
      std::count_if(replica.members_.begin(), replica.members_.end(), isWarm);
  }
  return static_cast<std::uint32_t>(count);
}

/** Enumerates the options of one domain. */
class OptionEnumerator
{
public:
  OptionEnumerator(const DomainSnapshot& aDomain,
                   const std::vector<state::ModelSpec>& aModels,
                   bool aQuickLoads)
    : domain_(aDomain)
    , models_(aModels)
    , loadPenalty_(aQuickLoads ? 0 : kLoadPenalty)
    , existing_(existingCounts(aDomain, aModels))
  {
  }

  /**
   * @return All options of a stable domain; otherwise only its current counts.
   */
  std::vector<Option> find()
  {
    ReplicaCounts counts(models_.size(), 0);
    if (domain_.stable_) {
      extend(counts, 0, vmCount(domain_));
    }
    if (options_.empty()) {
      options_.push_back({ existing_, 0 });
    }
    return std::move(options_);
  }

private:
  /** Adds all options that start with the given counts. */
  void extend(ReplicaCounts& aCounts, std::size_t aModel, std::uint32_t aLeft)
  {
    if (aModel == models_.size()) {
      options_.push_back(
        { aCounts, penaltyOf(aCounts) - reserveValue(reserveOf(aCounts)) });
      return;
    }
    const std::uint32_t size = std::max(1U, models_[aModel].size_);
    for (std::uint32_t count = 0; count * size <= aLeft; ++count) {
      aCounts[aModel] = count;
      extend(aCounts, aModel + 1, aLeft - count * size);
    }
    aCounts[aModel] = 0;
  }

  /** @return Number of VMs outside the replicas of the largest model; zero
   * without such a replica. */
  std::uint32_t reserveOf(const ReplicaCounts& aCounts) const
  {
    const state::ModelSpec& largest = state::largestModel(models_);
    const auto index = static_cast<std::size_t>(&largest - models_.data());
    const std::uint32_t used = aCounts[index] * largest.size_;
    return used == 0 ? 0 : vmCount(domain_) - used;
  }

  /** @return Cost of changing to the given counts. */
  double penaltyOf(const ReplicaCounts& aCounts) const
  {
    double penalty = 0;
    for (std::size_t index = 0; index < models_.size(); ++index) {
      const std::uint32_t before = existing_[index];
      const std::uint32_t after = aCounts[index];
      penalty += kClosePenalty * (before > after ? before - after : 0);
      const std::uint32_t wanted = after * models_[index].size_;
      const std::uint32_t warm = warmCount(domain_, models_[index].id_);
      penalty += loadPenalty_ * (wanted > warm ? wanted - warm : 0);
    }
    return penalty;
  }

  const DomainSnapshot& domain_;                ///< The domain.
  const std::vector<state::ModelSpec>& models_; ///< Models to serve.
  double loadPenalty_;                          ///< Cost of one load.
  ReplicaCounts existing_;                      ///< Current counts.
  std::vector<Option> options_;                 ///< Options found.
};

/** Searches for the best combination of the domains' options. */
class LayoutSearch
{
public:
  explicit LayoutSearch(const ZoneSnapshot& aSnapshot)
    : models_(aSnapshot.models_)
    , totals_(aSnapshot.models_.size(), 0)
  {
    for (const auto& [id, domain] : aSnapshot.domains_) {
      domains_.push_back(id);
      vms_ += vmCount(domain);
      options_.push_back(
        OptionEnumerator(domain, models_, aSnapshot.fastLoads_).find());
    }
  }

  /** @return The best layout. */
  ZoneLayout find()
  {
    std::size_t combinations = 1;
    for (const auto& options : options_) {
      combinations = std::min(combinations * options.size(), kMaxCombinations);
    }
    chosen_.assign(domains_.size(), 0);
    best_ = chosen_;
    if (combinations < kMaxCombinations) {
      bestValue_ = -std::numeric_limits<double>::infinity();
      searchExhaustively(0, 0);
    } else {
      searchGreedily();
    }
    ZoneLayout layout;
    for (std::size_t index = 0; index < domains_.size(); ++index) {
      layout[domains_[index]] = options_[index][best_[index]].counts_;
    }
    return layout;
  }

private:
  /** @return Value of the current totals: the negated utilization of each
   * model's replicas, assuming that the load needs half of the zone's VMs,
   * weighted by the model's work share. */
  double value() const
  {
    double value = 0;
    for (std::size_t index = 0; index < models_.size(); ++index) {
      const double share = models_[index].workShare_;
      const double needed = kNeededShare * vms_ * share / models_[index].size_;
      const double count = std::max<double>(totals_[index], kNoReplicaCount);
      value -= kLoadWeight * share * needed / count;
    }
    return value;
  }

  /** Adds the counts of an option to the totals, or subtracts them. */
  void count(const Option& aOption, int aSign)
  {
    for (std::size_t index = 0; index < totals_.size(); ++index) {
      totals_[index] += aSign * static_cast<int>(aOption.counts_[index]);
    }
  }

  void searchExhaustively(std::size_t aDomain, double aPenalty)
  {
    if (aDomain == domains_.size()) {
      const double found = value() - aPenalty;
      if (found > bestValue_) {
        bestValue_ = found;
        best_ = chosen_;
      }
      return;
    }
    for (std::size_t index = 0; index < options_[aDomain].size(); ++index) {
      const Option& option = options_[aDomain][index];
      chosen_[aDomain] = index;
      count(option, 1);
      searchExhaustively(aDomain + 1, aPenalty + option.penalty_);
      count(option, -1);
    }
  }

  void searchGreedily()
  {
    for (std::size_t domain = 0; domain < domains_.size(); ++domain) {
      double best = -std::numeric_limits<double>::infinity();
      for (std::size_t index = 0; index < options_[domain].size(); ++index) {
        const Option& option = options_[domain][index];
        count(option, 1);
        const double found = value() - option.penalty_;
        count(option, -1);
        if (found > best) {
          best = found;
          best_[domain] = index;
        }
      }
      count(options_[domain][best_[domain]], 1);
    }
  }

  const std::vector<state::ModelSpec>& models_; ///< Models to serve.
  std::vector<state::DomainId> domains_; ///< Domains, in the order of options_.
  std::vector<std::vector<Option>> options_; ///< Options of each domain.
  std::uint32_t vms_ = 0;                    ///< Number of VMs of the zone.
  std::vector<int> totals_;         ///< Number of replicas of each model.
  std::vector<std::size_t> chosen_; ///< Index of the option of each domain.
  std::vector<std::size_t> best_;   ///< Best choice so far.
  double bestValue_ = 0;            ///< Value of the best choice.
};

} // namespace

ZoneLayout
chooseLayout(const ZoneSnapshot& aSnapshot)
{
  return LayoutSearch(aSnapshot).find();
}

} // namespace auburnhaven::coordination
