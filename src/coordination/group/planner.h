// Builds one plan of a fabric domain's assignments step by step.
#pragma once

#include "coordination/group/planner_func.h"

#include <vector>

namespace auburnhaven::coordination {

/** Builds one plan on a working copy of the record. Not thread-safe. */
class Planner
{
public:
  /** @param aInput All that the plan depends on; must outlive this object. */
  explicit Planner(const PlanInput& aInput);
  /** @return The moves. To be called once. */
  PlannedCommands run();

private:
  using CopyId = state::CopyId;             ///< A copy.
  using CopyRecord = state::CopyRecord;     ///< A copy in the record.
  using ServingGroup = state::ServingGroup; ///< A serving group.
  using VmId = state::VmId;                 ///< A VM.

  bool move(const state::AssignmentCommand& aCommand);
  VmHealth health(const VmId& aVm) const;
  const ServingGroup* groupOf(const CopyId& aCopy) const;
  /** Makes new VMs spares, and withdrawn ones that came back. */
  void takeInVms();
  /** @return Whether a withdrawn VM may be used again. While copies lack
   * members it need not settle, unless it flaps. */
  bool mayReturn(const VmId& aVm, const VmHistory& aHistory) const;
  bool lacksMembers() const;
  /** Withdraws spares that cannot be used, members that are gone for good, and
   * forgets withdrawn VMs that the platform no longer lists. */
  void dropUnusable();
  void removeUnwanted();
  void changeVersions();
  void createWanted();
  /** @return Copies of the domain, those completed first in front. */
  std::vector<CopyId> copiesByPriority() const;
  /** @return Ranks without a member, or whose member is given up. */
  std::vector<std::uint32_t> failedRanks(const CopyRecord& aCopy) const;
  /** Replaces members by reserves that have loaded their shard. */
  void swapPrepared(const CopyId& aCopy);
  bool isPresent(const VmId& aVm) const;
  void swapIn(const VmId& aOld,
              const VmId& aNew,
              const CopyId& aCopy,
              std::uint32_t aRank);
  /** @return Whether a reserve took a rank over while the store was down. */
  bool servesInPlace(const VmId& aReserve, const CopyId& aCopy) const;
  /** Gives a copy a number above those that its members follow. */
  void raiseFencing(const CopyId& aCopy);
  /** Fills the ranks of a copy when that completes it. */
  void complete(const CopyId& aCopy);
  /** @return Whether a present reserve loads the shard of a rank ahead. */
  bool isPrepared(const CopyId& aCopy, std::uint32_t aRank) const;
  /** @return Whether a VM holds the shard of a rank or loads it. */
  bool holdsShard(const VmId& aVm,
                  const CopyRecord& aCopy,
                  std::uint32_t aRank) const;
  void fillRank(const CopyId& aCopy,
                std::uint32_t aRank,
                std::vector<VmId>& aFree);
  /** @return VMs that the copy may take: its reserves, then spares, the steady
   * ones first. */
  std::vector<VmId> replacements(const CopyId& aCopy) const;
  std::size_t absences(const VmId& aVm) const;
  /** Frees VMs of copies that may give them up, when enough can be had. */
  void takeFromLesser(const CopyId& aCopy, std::size_t aCount);
  /** @return Whether each absent member has been away for longer than it pays
   * to wait for it. */
  bool hasWaited(const CopyId& aCopy) const;
  /** Collects idle reserves of copies without greater priority. */
  void addReserves(const CopyId& aCopy,
                   const std::vector<CopyId>& aOrder,
                   std::vector<VmId>& aVictims) const;
  std::int32_t priorityOf(const CopyId& aCopy) const;
  bool holdsRoleIn(const VmId& aVm, const CopyId& aCopy) const;
  /** @return Whether a copy may take members of another one. */
  bool mayTake(const CopyId& aCopy, const CopyId& aLesser) const;
  void addMembers(const CopyRecord& aCopy, std::vector<VmId>& aVictims) const;
  /** Reserves VMs that load the shard of members that will be replaced, and
   * frees those no longer needed. */
  void prepareReplacements(const CopyId& aCopy);
  bool needsReplacement(const VmId& aVm) const;
  /** @return Whether a replacement that was begun is still of use. */
  bool stillNeedsReplacement(const CopyRecord& aCopy,
                             std::uint32_t aRank) const;
  /** Reserves spares to complete copies ahead of store outages. */
  void reserveAhead(const std::vector<CopyId>& aOrder);
  std::vector<VmId> reservesOf(const CopyId& aCopy) const;
  void addReservesTo(const CopyId& aCopy, std::size_t aCount);

  const PlanInput& input_;     ///< All that the plan depends on.
  state::DomainRecord record_; ///< Record after the moves so far.
  PlannedCommands moves_;      ///< PlannedCommands so far.
};

} // namespace auburnhaven::coordination
