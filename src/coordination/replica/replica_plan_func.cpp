// Plans which replicas of which models the VMs of a zone form.

#include "coordination/replica/replica_plan_func.h"

#include "coordination/replica/replica_layout_func.h"
#include "state/routing_func.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

/** How soon a VM can serve a model; lower values are sooner. */
enum class Readiness : std::uint8_t
{
  kLoaded, ///< Its latest replica had the model.
  kStaged, ///< The model is staged on its host.
  kCold,   ///< It must load the model from the weight store.
};

/** @return How soon a VM can serve a model. */
Readiness
readinessOf(const VmSnapshot& aVm, const state::ModelId& aModel)
{
  if (aVm.lastModel_ == aModel) {
    return Readiness::kLoaded;
  }
  return aVm.staged_.contains(aModel) ? Readiness::kStaged : Readiness::kCold;
}

/** @return Rank of a cold VM for staging a model; lower is better: VMs that
 * already stage it, then idle ones, then those that stage another model. */
int
stagingRank(const VmSnapshot& aVm, const state::ModelId& aModel)
{
  if (aVm.staging_.empty()) {
    return 1;
  }
  return aVm.staging_ == aModel ? 0 : 2;
}

/** Plans one zone. */
class Planner
{
public:
  explicit Planner(const ZoneSnapshot& aSnapshot)
    : snapshot_(aSnapshot)
    , layout_(chooseLayout(aSnapshot))
    , largest_(state::largestModel(aSnapshot.models_))
    , loadBudget_(aSnapshot.loads_)
  {
  }

  ReplicaPlan plan()
  {
    for (const auto& [id, domain] : snapshot_.domains_) {
      if (domain.stable_) {
        closeSurplus(id, domain);
      }
    }
    formMissing();
    stageModels();
    warmSpares();
    return std::move(plan_);
  }

private:
  /** A replica that the layout asks for and a domain does not have. */
  struct MissingReplica
  {
    state::DomainId domain_;        ///< Fabric domain.
    const state::ModelSpec* model_; ///< The model.
    std::uint32_t loads_ = 0; ///< Number of members that must load the model.
    std::vector<state::VmId> members_; ///< Members, head first.
  };

  /** @return Number of existing replicas of a model in a domain. */
  static std::uint32_t existingCount(const DomainSnapshot& aDomain,
                                     const state::ModelId& aModel)
  {
    return static_cast<std::uint32_t>(
      std::count_if(aDomain.existing_.begin(),
                    aDomain.existing_.end(),
                    [&](const ExistingReplica& aReplica) {
                      return aReplica.model_ == aModel;
                    }));
  }

  /** @return Number of replicas of a model in a domain, including those that
   * the plan forms. */
  std::uint32_t plannedCount(const state::DomainId& aDomain,
                             const state::ModelId& aModel) const
  {
    const auto formed = formed_.find({ aDomain, aModel });
    return existingCount(snapshot_.domains_.at(aDomain), aModel) +
           (formed == formed_.end() ? 0 : formed->second);
  }

  /** Closes surplus replicas of a domain when another model lacks a replica
   * there. Replicas with the most members that are ready for the largest model
   * are closed first. */
  void closeSurplus(const state::DomainId& aId, const DomainSnapshot& aDomain)
  {
    const ReplicaCounts& wanted = layout_.at(aId);
    bool isMissing = false;
    for (std::size_t index = 0; index < snapshot_.models_.size(); ++index) {
      isMissing =
        isMissing ||
        existingCount(aDomain, snapshot_.models_[index].id_) < wanted[index];
    }
    for (std::size_t index = 0; isMissing && index < wanted.size(); ++index) {
      const state::ModelId& model = snapshot_.models_[index].id_;
      std::vector<const ExistingReplica*> present;
      for (const ExistingReplica& replica : aDomain.existing_) {
        if (replica.model_ == model) {
          present.push_back(&replica);
        }
      }
      std::stable_sort(
        present.begin(), present.end(), [&](auto* aLeft, auto* aRight) {
          return readyMembers(*aLeft) > readyMembers(*aRight);
        });
      for (std::size_t at = 0; at + wanted[index] < present.size(); ++at) {
        plan_.close_.push_back(present[at]->id_);
      }
    }
  }

  /** @return Number of members of a replica that could join a replica of the
   * largest model without loading it. */
  std::size_t readyMembers(const ExistingReplica& aReplica) const
  {
    return static_cast<std::size_t>(
      std::count_if(aReplica.members_.begin(),
                    aReplica.members_.end(),
                    [&](const VmSnapshot& aVm) {
                      return readinessOf(aVm, largest_.id_) != Readiness::kCold;
                    }));
  }

  /** Forms missing replicas: first those that need no load, then by the
   * greatest work share. */
  void formMissing()
  {
    for (const auto& [id, domain] : snapshot_.domains_) {
      if (domain.stable_) {
        free_[id] = domain.free_;
      }
    }
    for (;;) {
      std::optional<MissingReplica> next = nextReplica();
      if (!next) {
        return;
      }
      loadBudget_ -= next->loads_;
      removeFree(next->domain_, next->members_);
      ++formed_[{ next->domain_, next->model_->id_ }];
      plan_.form_.push_back({ next->domain_,
                              next->model_->id_,
                              std::move(next->members_),
                              next->loads_ });
    }
  }

  /** @return The replica to form next, if any. */
  std::optional<MissingReplica> nextReplica()
  {
    std::optional<MissingReplica> best;
    for (const auto& [id, free] : free_) {
      for (std::size_t index = 0; index < snapshot_.models_.size(); ++index) {
        const state::ModelSpec& model = snapshot_.models_[index];
        if (plannedCount(id, model.id_) >= layout_.at(id)[index]) {
          continue;
        }
        std::optional<MissingReplica> missing = membersFor(id, model);
        // Cold VMs stage the model before they join, so that they stay
        // available for other replicas meanwhile.
        const bool ready =
          missing && (missing->loads_ == 0 ||
                      (snapshot_.fastLoads_ && missing->loads_ <= loadBudget_));
        if (ready && (!best || isBefore(*missing, *best))) {
          best = std::move(missing);
        }
      }
    }
    return best;
  }

  /** @return Whether a replica is formed before another. */
  bool isBefore(const MissingReplica& aLeft, const MissingReplica& aRight) const
  {
    if (aLeft.loads_ != aRight.loads_ &&
        (aLeft.loads_ == 0 || aRight.loads_ == 0)) {
      return aLeft.loads_ == 0;
    }
    return workShareOf(*aLeft.model_) > workShareOf(*aRight.model_);
  }

  /** @return Work share of a model per VM, if it had one replica more. */
  double workShareOf(const state::ModelSpec& aModel) const
  {
    std::uint32_t replicas = 0;
    for (const auto& [id, domain] : snapshot_.domains_) {
      replicas += plannedCount(id, aModel.id_);
    }
    return aModel.workShare_ / (replicas + 1.0) / std::max(1U, aModel.size_);
  }

  /** @return The members that a new replica would have; nothing when there are
   * too few VMs. */
  std::optional<MissingReplica> membersFor(const state::DomainId& aDomain,
                                           const state::ModelSpec& aModel,
                                           bool aWithBusy = false)
  {
    std::vector<VmSnapshot> free;
    for (const VmSnapshot& vm : free_[aDomain]) {
      if (!vm.busy_ || aWithBusy) {
        free.push_back(vm);
      }
    }
    if (free.size() < aModel.size_ || aModel.size_ == 0) {
      return std::nullopt;
    }
    std::stable_sort(free.begin(),
                     free.end(),
                     [&](const VmSnapshot& aLeft, const VmSnapshot& aRight) {
                       const Readiness left = readinessOf(aLeft, aModel.id_);
                       const Readiness right = readinessOf(aRight, aModel.id_);
                       if (left != right) {
                         return left < right;
                       }
                       const int leftCost = stagingRank(aLeft, aModel.id_);
                       const int rightCost = stagingRank(aRight, aModel.id_);
                       return leftCost != rightCost
                                ? leftCost < rightCost
                                : aLeft.staged_.size() < aRight.staged_.size();
                     });
    MissingReplica missing{ aDomain, &aModel, 0, {} };
    for (std::uint32_t rank = 0; rank < aModel.size_; ++rank) {
      missing.loads_ += readinessOf(free[rank], aModel.id_) == Readiness::kCold;
      missing.members_.push_back(free[rank].id_);
    }
    return missing;
  }

  /** Removes VMs from the free VMs of a domain. */
  void removeFree(const state::DomainId& aDomain,
                  const std::vector<state::VmId>& aVms)
  {
    std::erase_if(free_[aDomain], [&](const VmSnapshot& aVm) {
      return std::find(aVms.begin(), aVms.end(), aVm.id_) != aVms.end();
    });
  }

  /** Stages models for missing replicas, those that need the fewest loads
   * first; then the reserves of domains without missing replicas. */
  void stageModels()
  {
    if (snapshot_.fastLoads_) {
      return stageReserves();
    }
    for (;;) {
      std::optional<MissingReplica> next = nextColdReplica();
      if (!next || loadBudget_ == 0) {
        break;
      }
      stageFor(*next);
    }
    stageReserves();
  }

  /** @return The missing replica that needs the fewest loads, if any. It is
   * counted as formed; stageFor() removes its VMs from the free ones. */
  std::optional<MissingReplica> nextColdReplica()
  {
    std::optional<MissingReplica> best;
    for (const auto& [id, free] : free_) {
      for (std::size_t index = 0; index < snapshot_.models_.size(); ++index) {
        const state::ModelSpec& model = snapshot_.models_[index];
        std::optional<MissingReplica> missing;
        if (plannedCount(id, model.id_) < layout_.at(id)[index]) {
          missing = membersFor(id, model, true);
        }
        if (missing && (!best || missing->loads_ < best->loads_)) {
          best = std::move(missing);
        }
      }
    }
    if (best) {
      ++formed_[{ best->domain_, best->model_->id_ }];
    }
    return best;
  }

  /** Stages the model of a missing replica on its cold members and removes all
   * its members from the free VMs. */
  void stageFor(const MissingReplica& aMissing)
  {
    for (const VmSnapshot& vm : free_[aMissing.domain_]) {
      const bool member =
        std::find(aMissing.members_.begin(), aMissing.members_.end(), vm.id_) !=
        aMissing.members_.end();
      if (member && readinessOf(vm, aMissing.model_->id_) == Readiness::kCold) {
        stageOn(vm, aMissing.model_->id_);
      }
    }
    removeFree(aMissing.domain_, aMissing.members_);
  }

  /** Stages models in domains without missing replicas. The first spare VM gets
   * the largest model unless a spare has it already, the others get the next
   * smaller model. Members of open replicas of smaller models get the largest
   * model until the domain has its reserve. */
  void stageReserves()
  {
    for (const auto& [id, domain] : snapshot_.domains_) {
      if (!domain.stable_ || lacksReplica(id)) {
        continue;
      }
      std::uint32_t ready = stageSpares(free_[id]);
      for (const ExistingReplica& replica : domain.existing_) {
        if (replica.model_ != largest_.id_ && replica.open_) {
          ready = stageMembers(replica, ready);
        }
      }
    }
  }

  /** @return Whether a domain has fewer replicas than the layout asks for. */
  bool lacksReplica(const state::DomainId& aId) const
  {
    const ReplicaCounts& wanted = layout_.at(aId);
    for (std::size_t index = 0; index < wanted.size(); ++index) {
      if (plannedCount(aId, snapshot_.models_[index].id_) < wanted[index]) {
        return true;
      }
    }
    return false;
  }

  /** Stages models on spare VMs.
   * @return Number of spares that are ready for the largest model. */
  std::uint32_t stageSpares(const std::vector<VmSnapshot>& aSpares)
  {
    std::uint32_t ready = 0;
    for (const VmSnapshot& vm : aSpares) {
      ready += readinessOf(vm, largest_.id_) != Readiness::kCold ? 1 : 0;
    }
    for (const VmSnapshot& vm : aSpares) {
      if (!vm.staged_.empty() || !vm.lastModel_.empty() ||
          !vm.staging_.empty()) {
        continue;
      }
      const state::ModelId& model =
        ready == 0 ? largest_.id_ : secondLargest().id_;
      if (stageOn(vm, model) && model == largest_.id_) {
        ++ready;
      }
    }
    return ready;
  }

  /** Stages the largest model on members of a replica of a smaller model.
   * @return Number of VMs of the domain that are ready for it. */
  std::uint32_t stageMembers(const ExistingReplica& aReplica,
                             std::uint32_t aReady)
  {
    aReady += static_cast<std::uint32_t>(readyMembers(aReplica));
    for (const VmSnapshot& vm : aReplica.members_) {
      const bool cold = readinessOf(vm, largest_.id_) == Readiness::kCold;
      if (cold && aReady < snapshot_.reserveSize_ &&
          stageOn(vm, largest_.id_)) {
        ++aReady;
      }
    }
    return aReady;
  }

  /** Stages a model on one host, within the load budget.
   * @return Whether the model is being staged there. */
  bool stageOn(const VmSnapshot& aVm, const state::ModelId& aModel)
  {
    if (aVm.staging_ == aModel) {
      return true;
    }
    if (aVm.busy_ || !aVm.staging_.empty() || loadBudget_ == 0) {
      return false;
    }
    --loadBudget_;
    plan_.stage_.push_back({ aVm.id_, aModel });
    return true;
  }

  /** Has the remaining free VMs load the model that their hosts stage, unless
   * they have already loaded one in this incarnation. */
  void warmSpares()
  {
    for (const auto& [id, spares] : free_) {
      for (const VmSnapshot& vm : spares) {
        const bool fresh =
          vm.lastModel_.empty() && vm.staging_.empty() && !vm.busy_;
        if (fresh && vm.staged_.size() == 1) {
          plan_.warm_.push_back({ vm.id_, *vm.staged_.begin() });
        }
      }
    }
  }

  /** @return The second largest model, or the only one. */
  const state::ModelSpec& secondLargest() const
  {
    const state::ModelSpec* found = &largest_;
    for (const state::ModelSpec& model : snapshot_.models_) {
      const bool better = model.id_ != largest_.id_ &&
                          (found == &largest_ || model.size_ > found->size_);
      found = better ? &model : found;
    }
    return *found;
  }

  const ZoneSnapshot& snapshot_; ///< State of the zone.
  ZoneLayout layout_; ///< Number of replicas that each domain should have.
  const state::ModelSpec& largest_; ///< The largest model.
  std::uint32_t loadBudget_;        ///< Remaining load budget.
  ReplicaPlan plan_;                ///< The plan so far.
  std::map<state::DomainId, std::vector<VmSnapshot>>
    free_; ///< VMs that are still free.
  std::map<std::pair<state::DomainId, state::ModelId>, std::uint32_t>
    formed_; ///< Replicas that the plan forms.
};

} // namespace

ReplicaPlan
planReplicas(const ZoneSnapshot& aSnapshot)
{
  return aSnapshot.models_.empty() ? ReplicaPlan() : Planner(aSnapshot).plan();
}

} // namespace auburnhaven::coordination
