// Builds the plan for the VM assignments of one fabric domain.
#pragma once

#include "coordination/group/planner_func.h"

#include <vector>

namespace auburnhaven::coordination {

/** Builds one plan on a working copy of the record. Not thread-safe. */
class Planner
{
public:
  /** @param aInput Input of the plan; must outlive this object. */
  explicit Planner(const PlanInput& aInput);
  /** @return The planned commands. Call it only once. */
  PlannedCommands run();

private:
  using CopyId = state::CopyId;             ///< A copy.
  using CopyRecord = state::CopyRecord;     ///< A copy in the record.
  using ServingGroup = state::ServingGroup; ///< A serving group.
  using VmId = state::VmId;                 ///< A VM.

  /** Executes a command on the working record and adds it to the plan.
   * @return False if the record does not allow it; it is then left out. */
  bool execute(const state::AssignmentCommand& aCommand);
  VmHealth health(const VmId& aVm) const;
  /** @return Configured group of a copy, or nullptr. */
  const ServingGroup* groupOf(const CopyId& aCopy) const;
  /** Makes spares of new VMs and of withdrawn VMs that may be used again. */
  void admitVms();
  /** @return Whether a withdrawn VM may be used again. While a copy lacks
   * members, a VM that does not flap is used without waiting for the settle
   * time. */
  bool mayReadmit(const VmId& aVm, const VmHistory& aHistory) const;
  bool lacksMembers() const;
  /** Withdraws spares and reserves that are unusable, and all VMs that are
   * gone; forgets withdrawn VMs that the platform no longer lists. */
  void withdrawUnusable();
  /** Removes copies that the domain should not host. */
  void removeUnwanted();
  /** Updates copies that may update now; removes those that change their size,
   * to be created anew. */
  void updateVersions();
  /** Creates copies that the domain should host and does not have. */
  void createMissing();
  /** @return Copies of the domain by descending priority, then by the fewest
   * ranks to fill. */
  std::vector<CopyId> copiesByPriority() const;
  /** @return Ranks without a member, or whose member is absent or gone. */
  std::vector<std::uint32_t> ranksToFill(const CopyRecord& aCopy) const;
  /** Replaces members by reserves that have loaded the shard of their rank. */
  void promoteLoadedReserves(const CopyId& aCopy);
  /** @return Whether a VM reports, even if it flaps. */
  bool isPresent(const VmId& aVm) const;
  /** Assigns a rank to a reserve that has loaded its shard. A member that is
   * healthy and has loaded the shard keeps its rank, unless the reserve has
   * taken over already. */
  void promoteReserve(const VmId& aOld,
                      const VmId& aNew,
                      const CopyId& aCopy,
                      std::uint32_t aRank);
  /** @return Whether a reserve replaced a member during a store outage. */
  bool hasTakenOver(const VmId& aReserve, const CopyId& aCopy) const;
  /** Raises the fencing number of a copy if a VM reports a greater one for it.
   */
  void bumpFencingIfBehind(const CopyId& aCopy);
  /** Fills the ranks of a copy if enough VMs are available for all of them. */
  void completeCopy(const CopyId& aCopy);
  /** @return Whether a present reserve preloads the shard of a rank. */
  bool hasPreparedReserve(const CopyId& aCopy, std::uint32_t aRank) const;
  /** @return Whether a VM has loaded the shard of a rank or is loading it. */
  bool hasOrLoadsShard(const VmId& aVm,
                       const CopyRecord& aCopy,
                       std::uint32_t aRank) const;
  /** Assigns a rank to one of the free VMs, preferably one with its shard, and
   * removes that VM from the list. */
  void assignRank(const CopyId& aCopy,
                  std::uint32_t aRank,
                  std::vector<VmId>& aFree);
  /** @return Present VMs that the copy may use: its reserves, then spares, each
   * sorted by the fewest absences. */
  std::vector<VmId> replacementCandidates(const CopyId& aCopy) const;
  /** @return Number of recent absences and restarts of a VM. */
  std::size_t countAbsences(const VmId& aVm) const;
  /** Makes spares of VMs that other copies may lose to this one, if that yields
   * the whole count. */
  void reclaimVms(const CopyId& aCopy, std::size_t aCount);
  /** @return Whether each absent member of the copy has been absent for
   * preemptAfter_, so that waiting for it no longer pays. */
  bool mayReclaimMembers(const CopyId& aCopy) const;
  /** Collects idle reserves of other copies with the same or lower priority. */
  void collectReserves(const CopyId& aCopy,
                       const std::vector<CopyId>& aCopies,
                       std::vector<VmId>& aReclaimed) const;
  std::int32_t priorityOf(const CopyId& aCopy) const;
  bool reportsRoleIn(const VmId& aVm, const CopyId& aCopy) const;
  /** @return Whether a copy may take members of another copy. The other one
   * must be incomplete with the same or lower priority, or, if the policy
   * allows preemption, complete with lower priority. */
  bool mayPreempt(const CopyId& aCopy, const CopyId& aOther) const;
  /** Collects the present members of a copy. */
  void collectMembers(const CopyRecord& aCopy,
                      std::vector<VmId>& aReclaimed) const;
  /** Assigns reserves that preload the shard of each member to be replaced, and
   * frees those no longer needed. */
  void prepareReplacements(const CopyId& aCopy);
  bool needsReplacement(const VmId& aVm) const;
  /** @return Whether a replacement in preparation is still needed: the member
   * is missing, not healthy or has not loaded its shard. */
  bool isReplacementNeeded(const CopyRecord& aCopy, std::uint32_t aRank) const;
  /** Assigns the configured number of reserves to each complete copy, for use
   * during store outages, and frees surplus ones. */
  void adjustReserves(const std::vector<CopyId>& aCopies);
  /** @return Reserves of a copy that do not preload. */
  std::vector<VmId> reservesOf(const CopyId& aCopy) const;
  /** Reserves up to the given number of spares for a copy. */
  void assignReserves(const CopyId& aCopy, std::size_t aCount);

  const PlanInput& input_;     ///< Input of the plan.
  state::DomainRecord record_; ///< Record after the commands so far.
  PlannedCommands commands_;   ///< Commands so far.
};

} // namespace auburnhaven::coordination
