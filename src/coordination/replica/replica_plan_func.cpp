// Chooses which copies of which models the VMs of a zone form.

#include "coordination/replica/replica_plan_func.h"

#include "coordination/replica/replica_layout_func.h"
#include "state/routing_func.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

/** How soon a VM can serve a model; lesser is sooner. */
enum class Readiness : std::uint8_t
{
  kHolds,  ///< Its latest copy had the model.
  kStaged, ///< The model is on its host.
  kCold,   ///< It must load the model from the weight store.
};

/** @return How soon a VM can serve a model. */
Readiness
readinessOf(const VmSnapshot& aVm, const state::ModelId& aModel)
{
  if (aVm.lastModel_ == aModel) {
    return Readiness::kHolds;
  }
  return aVm.staged_.contains(aModel) ? Readiness::kStaged : Readiness::kCold;
}

/** @return How far a cold VM is from having a model; lesser is nearer. */
int
stagingCost(const VmSnapshot& aVm, const state::ModelId& aModel)
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
  explicit Planner(const ZoneSnapshot& aFacts)
    : facts_(aFacts)
    , layout_(chooseLayout(aFacts))
    , largest_(state::largestModel(aFacts.models_))
    , loadsLeft_(aFacts.loads_)
  {
  }

  ReplicaPlan plan()
  {
    for (const auto& [id, domain] : facts_.domains_) {
      if (domain.stable_) {
        giveUpSurplus(id, domain);
      }
    }
    formMissing();
    stageModels();
    return std::move(moves_);
  }

private:
  /** A copy that a domain lacks. */
  struct Lack
  {
    state::DomainId domain_;           ///< Where.
    const state::ModelSpec* model_;    ///< Which model.
    std::uint32_t loads_ = 0;          ///< Members that must load.
    std::vector<state::VmId> members_; ///< Members.
  };

  /** @return Copies of a model that a domain has. */
  static std::uint32_t presentOf(const DomainSnapshot& aDomain,
                                 const state::ModelId& aModel)
  {
    return static_cast<std::uint32_t>(
      std::count_if(aDomain.present_.begin(),
                    aDomain.present_.end(),
                    [&](const ExistingReplica& aReplica) {
                      return aReplica.model_ == aModel;
                    }));
  }

  /** @return Copies of a model that a domain has or gets by the moves so far.
   */
  std::uint32_t haveOf(const state::DomainId& aDomain,
                       const state::ModelId& aModel) const
  {
    const auto formed = formed_.find({ aDomain, aModel });
    return presentOf(facts_.domains_.at(aDomain), aModel) +
           (formed == formed_.end() ? 0 : formed->second);
  }

  /** Gives up copies that a domain has too many, when another model lacks one
   * there; first those whose members have the largest model on their hosts. */
  void giveUpSurplus(const state::DomainId& aId, const DomainSnapshot& aDomain)
  {
    const ReplicaCounts& wanted = layout_.at(aId);
    bool lacks = false;
    for (std::size_t index = 0; index < facts_.models_.size(); ++index) {
      lacks =
        lacks || presentOf(aDomain, facts_.models_[index].id_) < wanted[index];
    }
    for (std::size_t index = 0; lacks && index < wanted.size(); ++index) {
      const state::ModelId& model = facts_.models_[index].id_;
      std::vector<const ExistingReplica*> present;
      for (const ExistingReplica& replica : aDomain.present_) {
        if (replica.model_ == model) {
          present.push_back(&replica);
        }
      }
      std::stable_sort(
        present.begin(), present.end(), [&](auto* aLeft, auto* aRight) {
          return readyMembers(*aLeft) > readyMembers(*aRight);
        });
      for (std::size_t at = 0; at + wanted[index] < present.size(); ++at) {
        moves_.close_.push_back(present[at]->id_);
      }
    }
  }

  /** @return Members of a copy that could join one of the largest model
   * without a load. */
  std::size_t readyMembers(const ExistingReplica& aReplica) const
  {
    return static_cast<std::size_t>(
      std::count_if(aReplica.members_.begin(),
                    aReplica.members_.end(),
                    [&](const VmSnapshot& aVm) {
                      return readinessOf(aVm, largest_.id_) != Readiness::kCold;
                    }));
  }

  /** Forms the copies that are missing, those that need the fewest loads and
   * have the greatest share of work first. */
  void formMissing()
  {
    for (const auto& [id, domain] : facts_.domains_) {
      if (domain.stable_) {
        free_[id] = domain.free_;
      }
    }
    for (;;) {
      std::optional<Lack> next = nextLack();
      if (!next) {
        return;
      }
      loadsLeft_ -= next->loads_;
      take(next->domain_, next->members_);
      ++formed_[{ next->domain_, next->model_->id_ }];
      moves_.form_.push_back({ next->domain_,
                               next->model_->id_,
                               std::move(next->members_),
                               next->loads_ });
    }
  }

  /** @return The copy to form next, or nothing. */
  std::optional<Lack> nextLack()
  {
    std::optional<Lack> best;
    for (const auto& [id, free] : free_) {
      for (std::size_t index = 0; index < facts_.models_.size(); ++index) {
        const state::ModelSpec& model = facts_.models_[index];
        if (haveOf(id, model.id_) >= layout_.at(id)[index]) {
          continue;
        }
        std::optional<Lack> lack = membersFor(id, model);
        // Cold VMs stage the model first, and stay free for a better use.
        const bool ready =
          lack && (lack->loads_ == 0 ||
                   (facts_.fastLoads_ && lack->loads_ <= loadsLeft_));
        if (ready && (!best || isBefore(*lack, *best))) {
          best = std::move(lack);
        }
      }
    }
    return best;
  }

  /** @return Whether a copy is formed before another. */
  bool isBefore(const Lack& aLeft, const Lack& aRight) const
  {
    if (aLeft.loads_ != aRight.loads_ &&
        (aLeft.loads_ == 0 || aRight.loads_ == 0)) {
      return aLeft.loads_ == 0;
    }
    return needOf(*aLeft.model_) > needOf(*aRight.model_);
  }

  /** @return Share of work of a model for each copy it has or gets. */
  double needOf(const state::ModelSpec& aModel) const
  {
    std::uint32_t copies = 0;
    for (const auto& [id, domain] : facts_.domains_) {
      copies += haveOf(id, aModel.id_);
    }
    return aModel.workShare_ / (copies + 1.0) / std::max(1U, aModel.size_);
  }

  /** @return The members that a new copy would have, when there are enough. */
  std::optional<Lack> membersFor(const state::DomainId& aDomain,
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
                       const int leftCost = stagingCost(aLeft, aModel.id_);
                       const int rightCost = stagingCost(aRight, aModel.id_);
                       return leftCost != rightCost
                                ? leftCost < rightCost
                                : aLeft.staged_.size() < aRight.staged_.size();
                     });
    Lack lack{ aDomain, &aModel, 0, {} };
    for (std::uint32_t rank = 0; rank < aModel.size_; ++rank) {
      lack.loads_ += readinessOf(free[rank], aModel.id_) == Readiness::kCold;
      lack.members_.push_back(free[rank].id_);
    }
    return lack;
  }

  /** Takes VMs out of the free ones. */
  void take(const state::DomainId& aDomain,
            const std::vector<state::VmId>& aVms)
  {
    std::erase_if(free_[aDomain], [&](const VmSnapshot& aVm) {
      return std::find(aVms.begin(), aVms.end(), aVm.id_) != aVms.end();
    });
  }

  /** Stages models where copies lack them, those that lack the least first;
   * then the reserves of domains that lack no copy. */
  void stageModels()
  {
    if (facts_.fastLoads_) {
      return stageReserves();
    }
    for (;;) {
      std::optional<Lack> next = nextColdLack();
      if (!next || loadsLeft_ == 0) {
        break;
      }
      stageFor(*next);
    }
    stageReserves();
  }

  /** @return The lacking copy that needs the fewest loads, or nothing. Its VMs
   * are taken out of the free ones. */
  std::optional<Lack> nextColdLack()
  {
    std::optional<Lack> best;
    for (const auto& [id, free] : free_) {
      for (std::size_t index = 0; index < facts_.models_.size(); ++index) {
        const state::ModelSpec& model = facts_.models_[index];
        std::optional<Lack> lack;
        if (haveOf(id, model.id_) < layout_.at(id)[index]) {
          lack = membersFor(id, model, true);
        }
        if (lack && (!best || lack->loads_ < best->loads_)) {
          best = std::move(lack);
        }
      }
    }
    if (best) {
      ++formed_[{ best->domain_, best->model_->id_ }];
    }
    return best;
  }

  /** Stages the model of a lacking copy on its cold members. */
  void stageFor(const Lack& aLack)
  {
    for (const VmSnapshot& vm : free_[aLack.domain_]) {
      const bool member =
        std::find(aLack.members_.begin(), aLack.members_.end(), vm.id_) !=
        aLack.members_.end();
      if (member && readinessOf(vm, aLack.model_->id_) == Readiness::kCold) {
        stageOn(vm, aLack.model_->id_);
      }
    }
    take(aLack.domain_, aLack.members_);
  }

  /** Stages models on hosts of domains that lack no copy: on the first spare
   * the largest model and on the others the next one; and the largest model on
   * members of open smaller copies, until the domain has its reserve. */
  void stageReserves()
  {
    for (const auto& [id, domain] : facts_.domains_) {
      if (!domain.stable_ || lacksCopy(id)) {
        continue;
      }
      std::uint32_t ready = stageSpares(free_[id]);
      for (const ExistingReplica& replica : domain.present_) {
        if (replica.model_ != largest_.id_ && replica.open_) {
          ready = stageMembers(replica, ready);
        }
      }
    }
  }

  /** @return Whether a domain is to get a copy that it does not have yet. */
  bool lacksCopy(const state::DomainId& aId) const
  {
    const ReplicaCounts& wanted = layout_.at(aId);
    for (std::size_t index = 0; index < wanted.size(); ++index) {
      if (haveOf(aId, facts_.models_[index].id_) < wanted[index]) {
        return true;
      }
    }
    return false;
  }

  /** Stages models on spares. @return Spares ready for the largest model. */
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
      const state::ModelId& model = ready == 0 ? largest_.id_ : smaller().id_;
      if (stageOn(vm, model) && model == largest_.id_) {
        ++ready;
      }
    }
    return ready;
  }

  /** Stages the largest model on members of a smaller copy.
   * @return Hosts ready for it. */
  std::uint32_t stageMembers(const ExistingReplica& aReplica,
                             std::uint32_t aReady)
  {
    aReady += static_cast<std::uint32_t>(readyMembers(aReplica));
    for (const VmSnapshot& vm : aReplica.members_) {
      const bool cold = readinessOf(vm, largest_.id_) == Readiness::kCold;
      if (cold && aReady < facts_.reserveSize_ && stageOn(vm, largest_.id_)) {
        ++aReady;
      }
    }
    return aReady;
  }

  /** Stages a model on one host. @return Whether it may. */
  bool stageOn(const VmSnapshot& aVm, const state::ModelId& aModel)
  {
    if (aVm.staging_ == aModel) {
      return true;
    }
    if (aVm.busy_ || !aVm.staging_.empty() || loadsLeft_ == 0) {
      return false;
    }
    --loadsLeft_;
    moves_.stage_.push_back({ aVm.id_, aModel });
    return true;
  }

  /** @return The largest model but one, or the only one. */
  const state::ModelSpec& smaller() const
  {
    const state::ModelSpec* found = &largest_;
    for (const state::ModelSpec& model : facts_.models_) {
      const bool better = model.id_ != largest_.id_ &&
                          (found == &largest_ || model.size_ > found->size_);
      found = better ? &model : found;
    }
    return *found;
  }

  const ZoneSnapshot& facts_;       ///< State of the zone.
  ZoneLayout layout_;               ///< Copies that each domain gets.
  const state::ModelSpec& largest_; ///< The largest model.
  std::uint32_t loadsLeft_;         ///< Loads that may still start.
  ReplicaPlan moves_;               ///< Moves so far.
  std::map<state::DomainId, std::vector<VmSnapshot>> free_; ///< VMs still free.
  std::map<std::pair<state::DomainId, state::ModelId>, std::uint32_t>
    formed_; ///< Copies formed by the moves so far.
};

} // namespace

ReplicaPlan
planReplicas(const ZoneSnapshot& aFacts)
{
  return aFacts.models_.empty() ? ReplicaPlan() : Planner(aFacts).plan();
}

} // namespace auburnhaven::coordination
