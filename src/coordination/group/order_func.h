// Derives engine orders from domain records and schedules weight loads.
#pragma once

#include "coordination/copy_readiness_func.h"
#include "coordination/group/vm_health_func.h"
#include "coordination/target_port.h"
#include "state/config_type.h"
#include "state/domain_record_type.h"

#include <optional>
#include <set>
#include <vector>

namespace auburnhaven::coordination {

/**
 * Pure; thread-safe.
 * @param aCopy A copy as recorded.
 * @param aGroup Configuration of its group.
 * @return Whether the copy differs from its group in model, version, adapters
 * or size.
 */
bool
isOutdated(const state::CopyRecord& aCopy, const state::ServingGroup& aGroup);

/**
 * Pure; thread-safe.
 * @param aReport Latest report of a VM.
 * @param aCopy A copy as recorded.
 * @param aRank Rank within the copy.
 * @return Whether the VM is ready with the shard of that rank; its fencing
 * number is ignored.
 */
bool
hasLoaded(const state::VmReport& aReport,
          const state::CopyRecord& aCopy,
          std::uint32_t aRank);

/**
 * Builds the order that gives a VM its recorded role. The endpoints of the
 * members are not filled in. Pure; thread-safe.
 * @param aRecord Record of the VM's domain.
 * @param aVm VM that receives the order.
 * @return The order; its role is empty if the VM has nothing to load.
 */
EngineOrder
orderFor(const state::DomainRecord& aRecord, const state::VmId& aVm);

/**
 * Pure; thread-safe.
 * @param aCopy A copy as recorded.
 * @param aVms VMs in the platform's list.
 * @return Endpoints of the members by rank; empty for a VM that is not listed.
 */
std::vector<state::Endpoint>
endpointsOf(const state::CopyRecord& aCopy, const VmMap& aVms);

/**
 * Checks whether a VM already carries out its order, so that the order need not
 * be sent. Pure; thread-safe.
 * @param aRecord Record of the VM's domain.
 * @param aOrder Order built from the record.
 * @param aReport Latest report of the VM.
 * @return Whether no order is needed.
 */
bool
followsOrder(const state::DomainRecord& aRecord,
             const EngineOrder& aOrder,
             const state::VmReport& aReport);

/**
 * Checks whether a VM has to start a load from the weight store to carry out an
 * order. Pure; thread-safe.
 * @param aOrder Order for the VM.
 * @param aReport Latest report of the VM.
 * @return Whether a load is needed; false if the load is in progress or done.
 */
bool
needsLoad(const EngineOrder& aOrder, const state::VmReport& aReport);

/** Input of chooseLoads(). The references must outlive the call. */
struct LoadInput
{
  const std::vector<const state::DomainRecord*>&
    records_;                                 ///< Records of the zone.
  const ReportMap& reports_;                  ///< Latest report of each VM.
  const state::Configuration& configuration_; ///< Configuration in force.
  const GroupLimits& limits_;                 ///< Limits and periods.
  state::TimePoint now_{};                    ///< Current time.
};

/**
 * Chooses the VMs of a zone that may start a load. Copies are loaded one after
 * another, by descending priority and then by the fewest remaining loads, until
 * the limit of concurrent loads from the weight store is reached. The result
 * depends on the input alone, so that the coordinators of a zone agree. Pure;
 * thread-safe.
 * @param aInput Records, reports and limits of the zone.
 * @return VMs that may start a load.
 */
std::set<state::VmId>
chooseLoads(const LoadInput& aInput);

} // namespace auburnhaven::coordination
