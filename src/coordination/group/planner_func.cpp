// Plans the changes of one fabric domain's assignments.

#include "coordination/group/planner_func.h"

#include "coordination/group/allocation_func.h"
#include "coordination/group/order_func.h"
#include "state/domain_record_func.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace auburnhaven::coordination {

namespace {

using state::Assignment;
using state::AssignmentKind;
using state::CommandMode;
using state::CopyId;
using state::CopyRecord;
using state::ServingGroup;
using state::VmId;

/** Builds one plan on a working copy of the record. */
class Planner
{
public:
  explicit Planner(const PlanInput& aInput)
    : input_(aInput)
    , record_(aInput.record_)
  {
  }

  Moves run()
  {
    takeInVms();
    dropUnusable();
    removeUnwanted();
    changeVersions();
    createWanted();
    const std::vector<CopyId> order = copiesByPriority();
    for (const CopyId& copy : order) {
      swapPrepared(copy);
      raiseFencing(copy);
    }
    for (const CopyId& copy : order) {
      complete(copy);
    }
    for (const CopyId& copy : order) {
      prepareReplacements(copy);
    }
    reserveAhead(order);
    return std::move(moves_);
  }

private:
  bool move(const state::AssignmentCommand& aCommand)
  {
    const bool done =
      state::runCommand(record_, aCommand, CommandMode::kExecute).ok();
    if (done) {
      moves_.push_back(aCommand);
    }
    return done;
  }

  VmHealth health(const VmId& aVm) const
  {
    return healthOf(
      aVm, input_.history_, input_.vms_, input_.now_, input_.limits_);
  }

  const ServingGroup* groupOf(const CopyId& aCopy) const
  {
    const auto found = input_.configuration_.groups_.find(aCopy.group_);
    return found == input_.configuration_.groups_.end() ? nullptr
                                                        : &found->second;
  }

  /** Makes new VMs spares, and withdrawn ones that came back. */
  void takeInVms()
  {
    for (const auto& [vm, info] : input_.vms_) {
      const auto history = input_.history_.find(vm);
      if (info.domain_ != record_.domain_ ||
          info.listing_ != state::VmListing::kLive ||
          history == input_.history_.end()) {
        continue;
      }
      const auto known = record_.assignments_.find(vm);
      if (known == record_.assignments_.end()) {
        if (health(vm) == VmHealth::kPresent) {
          move(state::MakeSpare{ vm, "new in the domain" });
        }
      } else if (known->second.kind_ == AssignmentKind::kWithdrawn &&
                 mayReturn(vm, history->second)) {
        move(state::MakeSpare{ vm, "came back and settled" });
      }
    }
  }

  /** @return Whether a withdrawn VM may be used again. While copies lack
   * members it need not settle, unless it flaps. */
  bool mayReturn(const VmId& aVm, const VmHistory& aHistory) const
  {
    const VmHealth vmHealth = health(aVm);
    if (vmHealth == VmHealth::kPresent && lacksMembers()) {
      return true;
    }
    return isPresent(aVm) && hasSettled(aHistory, input_.now_, input_.limits_);
  }

  bool lacksMembers() const
  {
    return std::any_of(
      input_.record_.copies_.begin(),
      input_.record_.copies_.end(),
      [&](const auto& aEntry) { return !failedRanks(aEntry.second).empty(); });
  }

  /** Withdraws spares that cannot be used, members that are gone for good, and
   * forgets withdrawn VMs that the platform no longer lists. */
  void dropUnusable()
  {
    for (const auto& [vm, assignment] : input_.record_.assignments_) {
      const VmHealth vmHealth = health(vm);
      const bool member = assignment.kind_ == AssignmentKind::kMember;
      const bool withdrawn = assignment.kind_ == AssignmentKind::kWithdrawn;
      const bool unusable =
        vmHealth == VmHealth::kAbsent || vmHealth == VmHealth::kLeaving ||
        vmHealth == VmHealth::kFailing || vmHealth == VmHealth::kGone;
      if (withdrawn && vmHealth == VmHealth::kGone) {
        move(state::ForgetVm{ vm });
      } else if (!withdrawn && vmHealth == VmHealth::kGone) {
        move(state::WithdrawVm{ vm, "gone from the platform's list" });
      } else if (!withdrawn && !member && unusable) {
        move(state::WithdrawVm{ vm, describe(vmHealth) });
      }
    }
  }

  void removeUnwanted()
  {
    for (const auto& [id, copy] : input_.record_.copies_) {
      if (!input_.wanted_.contains(id) || groupOf(id) == nullptr) {
        move(state::RemoveCopy{ id, "copy is not wanted here" });
      }
    }
  }

  void changeVersions()
  {
    for (const CopyId& id : input_.mayChange_) {
      const auto copy = record_.copies_.find(id);
      const ServingGroup* group = groupOf(id);
      if (copy == record_.copies_.end() || group == nullptr) {
        continue;
      }
      if (copy->second.members_.size() != group->vmsPerCopy_) {
        move(state::RemoveCopy{ id, "copy changes its size" });
      } else if (isOutdated(copy->second, *group)) {
        move(state::ChangeModel{
          id, group->model_, group->version_, group->adapters_ });
      }
    }
  }

  void createWanted()
  {
    for (const CopyId& id : input_.wanted_) {
      const ServingGroup* group = groupOf(id);
      if (group != nullptr && !record_.copies_.contains(id)) {
        move(state::CreateCopy{ id,
                                group->model_,
                                group->version_,
                                group->adapters_,
                                group->vmsPerCopy_ });
      }
    }
  }

  /** @return Copies of the domain, those completed first in front. */
  std::vector<CopyId> copiesByPriority() const
  {
    std::vector<std::tuple<std::int32_t, std::size_t, CopyId>> keys;
    for (const auto& [id, copy] : record_.copies_) {
      const ServingGroup* group = groupOf(id);
      keys.emplace_back(
        group == nullptr ? 0 : -group->priority_, failedRanks(copy).size(), id);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<CopyId> order;
    order.reserve(keys.size());
    for (const auto& [priority, missing, id] : keys) {
      order.push_back(id);
    }
    return order;
  }

  /** @return Ranks without a member, or whose member is given up. */
  std::vector<std::uint32_t> failedRanks(const CopyRecord& aCopy) const
  {
    std::vector<std::uint32_t> ranks;
    for (std::uint32_t rank = 0; rank < aCopy.members_.size(); ++rank) {
      const VmId& vm = aCopy.members_[rank];
      const bool failed = vm.empty() || health(vm) == VmHealth::kAbsent ||
                          health(vm) == VmHealth::kGone;
      if (failed) {
        ranks.push_back(rank);
      }
    }
    return ranks;
  }

  /** Replaces members by reserves that have loaded their shard. */
  void swapPrepared(const CopyId& aCopy)
  {
    for (const auto& [vm, assignment] : input_.record_.assignments_) {
      if (assignment.kind_ != AssignmentKind::kReserve ||
          assignment.copy_ != aCopy) {
        continue;
      }
      const auto report = input_.reports_.find(vm);
      if (!isPresent(vm) || report == input_.reports_.end()) {
        continue;
      }
      const CopyRecord& copy = record_.copies_.at(aCopy);
      const std::uint32_t rank = report->second.role_.rank_;
      if (rank < copy.members_.size() &&
          hasLoaded(report->second, copy, rank)) {
        swapIn(copy.members_[rank], vm, aCopy, rank);
      }
    }
  }

  bool isPresent(const VmId& aVm) const
  {
    const VmHealth vmHealth = health(aVm);
    return vmHealth == VmHealth::kPresent || vmHealth == VmHealth::kFlapping;
  }

  void swapIn(const VmId& aOld,
              const VmId& aNew,
              const CopyId& aCopy,
              std::uint32_t aRank)
  {
    const VmHealth oldHealth = health(aOld);
    if (!aOld.empty()) {
      const bool serves =
        oldHealth == VmHealth::kPresent &&
        hasLoaded(input_.reports_.at(aOld), record_.copies_.at(aCopy), aRank);
      if (serves && !servesInPlace(aNew, aCopy)) {
        return;
      }
      move(state::WithdrawVm{ aOld, describe(oldHealth) });
    }
    move(
      state::AssignMember{ aNew, aCopy, aRank, "has loaded the shard ahead" });
  }

  /** @return Whether a reserve took a rank over while the store was down. */
  bool servesInPlace(const VmId& aReserve, const CopyId& aCopy) const
  {
    return input_.reports_.at(aReserve).role_.fencing_ >
             record_.copies_.at(aCopy).fencing_ &&
           !record_.assignments_.at(aReserve).preload_;
  }

  /** Gives a copy a number above those that its members follow. */
  void raiseFencing(const CopyId& aCopy)
  {
    const CopyRecord& copy = record_.copies_.at(aCopy);
    const bool behind = std::any_of(
      copy.members_.begin(), copy.members_.end(), [&](const VmId& aVm) {
        const auto report = input_.reports_.find(aVm);
        return report != input_.reports_.end() &&
               report->second.role_.copy_ == aCopy &&
               report->second.role_.fencing_ > copy.fencing_;
      });
    if (behind) {
      move(state::BumpFencing{ aCopy });
    }
  }

  /** Fills the ranks of a copy when that completes it. */
  void complete(const CopyId& aCopy)
  {
    std::vector<std::uint32_t> ranks = failedRanks(record_.copies_.at(aCopy));
    std::erase_if(ranks, [&](std::uint32_t aRank) {
      const VmId& old = record_.copies_.at(aCopy).members_[aRank];
      return !old.empty() && isPrepared(aCopy, aRank);
    });
    if (ranks.empty()) {
      return;
    }
    std::vector<VmId> free = replacements(aCopy);
    if (free.size() < ranks.size()) {
      takeFromLesser(aCopy, ranks.size() - free.size());
      free = replacements(aCopy);
    }
    if (free.size() < ranks.size()) {
      return;
    }
    for (const std::uint32_t rank : ranks) {
      fillRank(aCopy, rank, free);
    }
  }

  /** @return Whether a present reserve loads the shard of a rank ahead. */
  bool isPrepared(const CopyId& aCopy, std::uint32_t aRank) const
  {
    return std::any_of(record_.assignments_.begin(),
                       record_.assignments_.end(),
                       [&](const auto& aEntry) {
                         const Assignment& assignment = aEntry.second;
                         return assignment.kind_ == AssignmentKind::kReserve &&
                                assignment.preload_ &&
                                assignment.copy_ == aCopy &&
                                assignment.rank_ == aRank &&
                                isPresent(aEntry.first);
                       });
  }

  /** @return Whether a VM holds the shard of a rank or loads it. */
  bool holdsShard(const VmId& aVm,
                  const CopyRecord& aCopy,
                  std::uint32_t aRank) const
  {
    const auto report = input_.reports_.find(aVm);
    if (report == input_.reports_.end()) {
      return false;
    }
    state::VmReport loaded = report->second;
    if (loaded.phase_ == state::EnginePhase::kLoading) {
      loaded.phase_ = state::EnginePhase::kReady;
    }
    return hasLoaded(loaded, aCopy, aRank);
  }

  void fillRank(const CopyId& aCopy,
                std::uint32_t aRank,
                std::vector<VmId>& aFree)
  {
    const CopyRecord& copy = record_.copies_.at(aCopy);
    const VmId old = copy.members_[aRank];
    const auto loaded =
      std::find_if(aFree.begin(), aFree.end(), [&](const VmId& aVm) {
        return holdsShard(aVm, copy, aRank);
      });
    const auto chosen = loaded == aFree.end() ? aFree.begin() : loaded;
    std::string reason = "completes the copy";
    if (!old.empty()) {
      reason = "replaces " + old.value() + ", " + describe(health(old));
      move(state::WithdrawVm{ old, describe(health(old)) });
    }
    move(state::AssignMember{ *chosen, aCopy, aRank, reason });
    aFree.erase(chosen);
  }

  /** @return VMs that the copy may take: its reserves, then spares, the steady
   * ones first. */
  std::vector<VmId> replacements(const CopyId& aCopy) const
  {
    std::vector<std::tuple<bool, std::size_t, VmId>> keys;
    for (const auto& [vm, assignment] : record_.assignments_) {
      const bool reserve = assignment.kind_ == AssignmentKind::kReserve &&
                           assignment.copy_ == aCopy;
      if ((reserve || assignment.kind_ == AssignmentKind::kSpare) &&
          isPresent(vm)) {
        keys.emplace_back(!reserve, absences(vm), vm);
      }
    }
    std::sort(keys.begin(), keys.end());
    std::vector<VmId> free;
    free.reserve(keys.size());
    for (const auto& [spare, count, vm] : keys) {
      free.push_back(vm);
    }
    return free;
  }

  std::size_t absences(const VmId& aVm) const
  {
    const auto found = input_.history_.find(aVm);
    return found == input_.history_.end() ? 0 : found->second.absences_.size();
  }

  /** Frees VMs of copies that may give them up, when enough can be had. */
  void takeFromLesser(const CopyId& aCopy, std::size_t aCount)
  {
    std::vector<VmId> victims;
    std::vector<CopyId> order = copiesByPriority();
    std::reverse(order.begin(), order.end());
    addReserves(aCopy, order, victims);
    const bool waited = hasWaited(aCopy);
    for (const CopyId& lesser : order) {
      if (lesser == aCopy) {
        break;
      }
      if (waited && mayTake(aCopy, lesser)) {
        addMembers(record_.copies_.at(lesser), victims);
      }
    }
    if (victims.size() < aCount) {
      return;
    }
    victims.resize(aCount);
    for (const VmId& vm : victims) {
      std::string reason = "given up to complete copy " + aCopy.group_.value() +
                           "/" + std::to_string(aCopy.index_);
      move(state::MakeSpare{ vm, std::move(reason) });
    }
  }

  /** @return Whether each absent member has been away for longer than it pays
   * to wait for it. */
  bool hasWaited(const CopyId& aCopy) const
  {
    const std::vector<VmId>& members = record_.copies_.at(aCopy).members_;
    return std::all_of(members.begin(), members.end(), [&](const VmId& aVm) {
      const auto history = input_.history_.find(aVm);
      return history == input_.history_.end() ||
             !history->second.absentSince_ ||
             input_.now_ - *history->second.absentSince_ >=
               input_.limits_.preemptAfter_;
    });
  }

  /** Collects idle reserves of copies without greater priority. */
  void addReserves(const CopyId& aCopy,
                   const std::vector<CopyId>& aOrder,
                   std::vector<VmId>& aVictims) const
  {
    for (const CopyId& other : aOrder) {
      if (other == aCopy || priorityOf(other) > priorityOf(aCopy)) {
        continue;
      }
      for (const VmId& vm : reservesOf(other)) {
        if (!holdsRoleIn(vm, other) && isPresent(vm)) {
          aVictims.push_back(vm);
        }
      }
    }
  }

  std::int32_t priorityOf(const CopyId& aCopy) const
  {
    const ServingGroup* group = groupOf(aCopy);
    return group == nullptr ? 0 : group->priority_;
  }

  bool holdsRoleIn(const VmId& aVm, const CopyId& aCopy) const
  {
    const auto report = input_.reports_.find(aVm);
    return report != input_.reports_.end() &&
           report->second.role_.copy_ == aCopy;
  }

  /** @return Whether a copy may take members of another one. */
  bool mayTake(const CopyId& aCopy, const CopyId& aLesser) const
  {
    const ServingGroup* group = groupOf(aCopy);
    const ServingGroup* lesser = groupOf(aLesser);
    if (group == nullptr || lesser == nullptr) {
      return false;
    }
    const bool broken = !failedRanks(record_.copies_.at(aLesser)).empty();
    if (lesser->priority_ < group->priority_) {
      return broken || input_.configuration_.policy_.allowPreemption_;
    }
    return broken && lesser->priority_ == group->priority_;
  }

  void addMembers(const CopyRecord& aCopy, std::vector<VmId>& aVictims) const
  {
    for (const VmId& vm : aCopy.members_) {
      if (!vm.empty() && isPresent(vm)) {
        aVictims.push_back(vm);
      }
    }
  }

  /** Reserves VMs that load the shard of members that will be replaced, and
   * frees those no longer needed. */
  void prepareReplacements(const CopyId& aCopy)
  {
    const CopyRecord copy = record_.copies_.at(aCopy);
    std::set<std::uint32_t> prepared;
    for (const auto& [vm, assignment] : input_.record_.assignments_) {
      if (assignment.kind_ != AssignmentKind::kReserve) {
        continue;
      }
      const auto present = record_.assignments_.find(vm);
      if (present == record_.assignments_.end() ||
          present->second.kind_ != AssignmentKind::kReserve ||
          !present->second.preload_ || present->second.copy_ != aCopy) {
        continue;
      }
      if (stillNeedsReplacement(copy, present->second.rank_)) {
        prepared.insert(present->second.rank_);
      } else {
        move(state::MakeSpare{ vm, "replacement is not needed any more" });
      }
    }
    for (std::uint32_t rank = 0; rank < copy.members_.size(); ++rank) {
      const VmId& vm = copy.members_[rank];
      if (prepared.contains(rank) || !needsReplacement(vm)) {
        continue;
      }
      const std::vector<VmId> free = replacements(aCopy);
      if (!free.empty() && health(free.front()) == VmHealth::kPresent) {
        move(state::ReserveVm{ free.front(),
                               aCopy,
                               rank,
                               true,
                               "prepares for " + vm.value() + ", " +
                                 describe(health(vm)) });
      }
    }
  }

  bool needsReplacement(const VmId& aVm) const
  {
    if (aVm.empty()) {
      return false;
    }
    const VmHealth vmHealth = health(aVm);
    return vmHealth != VmHealth::kPresent;
  }

  /** @return Whether a replacement that was begun is still of use. */
  bool stillNeedsReplacement(const CopyRecord& aCopy, std::uint32_t aRank) const
  {
    const VmId& vm = aCopy.members_[aRank];
    if (vm.empty() || needsReplacement(vm)) {
      return true;
    }
    const auto report = input_.reports_.find(vm);
    return report == input_.reports_.end() ||
           !hasLoaded(report->second, aCopy, aRank);
  }

  /** Reserves spares to complete copies ahead of store outages. */
  void reserveAhead(const std::vector<CopyId>& aOrder)
  {
    const std::uint32_t perCopy =
      input_.configuration_.policy_.reservesPerCopy_;
    for (const CopyId& copy : aOrder) {
      std::vector<VmId> reserves = reservesOf(copy);
      while (reserves.size() > perCopy) {
        move(
          state::MakeSpare{ reserves.back(), "more reserves than asked for" });
        reserves.pop_back();
      }
      if (state::isComplete(record_.copies_.at(copy))) {
        addReservesTo(copy, perCopy - reserves.size());
      }
    }
  }

  std::vector<VmId> reservesOf(const CopyId& aCopy) const
  {
    std::vector<VmId> reserves;
    for (const auto& [vm, assignment] : record_.assignments_) {
      if (assignment.kind_ == AssignmentKind::kReserve &&
          assignment.copy_ == aCopy && !assignment.preload_) {
        reserves.push_back(vm);
      }
    }
    return reserves;
  }

  void addReservesTo(const CopyId& aCopy, std::size_t aCount)
  {
    if (aCount == 0) {
      return;
    }
    for (const VmId& vm : replacements(aCopy)) {
      if (aCount == 0) {
        return;
      }
      if (record_.assignments_.at(vm).kind_ == AssignmentKind::kSpare) {
        move(state::ReserveVm{ vm, aCopy, 0, false, "reserved for outages" });
        --aCount;
      }
    }
  }

  const PlanInput& input_;     ///< All that the plan depends on.
  state::DomainRecord record_; ///< Record after the moves so far.
  Moves moves_;                ///< Moves so far.
};

} // namespace

Moves
plan(const PlanInput& aInput)
{
  return Planner(aInput).run();
}

state::DomainRecord
applyMoves(state::DomainRecord aRecord, const Moves& aMoves)
{
  for (const state::AssignmentCommand& move : aMoves) {
    const state::CommandResult result =
      state::runCommand(aRecord, move, CommandMode::kExecute);
    assert(result.ok());
    static_cast<void>(result);
  }
  ++aRecord.version_;
  return aRecord;
}

} // namespace auburnhaven::coordination
