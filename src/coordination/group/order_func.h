// Which orders the engines need to follow the records.
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
 * @param aCopy A copy.
 * @param aGroup Its group.
 * @return Whether the copy differs in model, version, adapters or size.
 */
bool
isOutdated(const state::CopyRecord& aCopy, const state::ServingGroup& aGroup);

/**
 * @param aReport Report of a VM.
 * @param aCopy A copy.
 * @param aRank Rank in it.
 * @return Whether the VM holds the shard of that rank, whatever its fencing
 * number.
 */
bool
hasLoaded(const state::VmReport& aReport,
          const state::CopyRecord& aCopy,
          std::uint32_t aRank);

/**
 * The order that brings a VM into the role of the record, without the members'
 * endpoints. Pure; thread-safe.
 * @param aRecord The record.
 * @param aVm The VM.
 * @return The order.
 */
EngineOrder
orderFor(const state::DomainRecord& aRecord, const state::VmId& aVm);

/**
 * @param aCopy A copy.
 * @param aVms The platform's list.
 * @return Endpoints of its members by rank; those not listed are empty.
 */
std::vector<state::Endpoint>
endpointsOf(const state::CopyRecord& aCopy, const VmMap& aVms);

/**
 * Whether a VM follows its order already. Pure; thread-safe.
 * @param aRecord The record.
 * @param aOrder Order that the record asks for.
 * @param aReport Report of the VM.
 * @return Whether no order is needed.
 */
bool
followsOrder(const state::DomainRecord& aRecord,
             const EngineOrder& aOrder,
             const state::VmReport& aReport);

/**
 * Whether a VM must load from the weight store to follow an order. Pure;
 * thread-safe.
 * @param aOrder The order.
 * @param aReport Report of the VM.
 * @return Whether it must load.
 */
bool
needsLoad(const EngineOrder& aOrder, const state::VmReport& aReport);

/** What the choice of loads depends on. The references must outlive the call.
 */
struct LoadInput
{
  const std::vector<const state::DomainRecord*>&
    records_;                                 ///< Records of the zone.
  const ReportMap& reports_;                  ///< Newest reports.
  const state::Configuration& configuration_; ///< Configuration in force.
  const GroupLimits& limits_;                 ///< Limits.
  state::TimePoint now_{};                    ///< Present time.
};

/**
 * Chooses the VMs of a zone that may load now: one copy after the other,
 * greater priority first, then the copy with the fewest loads left, until the
 * weight store's limit is reached. Depends on facts alone, so that the
 * coordinators of a zone agree. Pure; thread-safe.
 * @param aInput What the choice depends on.
 * @return VMs that may start to load.
 */
std::set<state::VmId>
chooseLoads(const LoadInput& aInput);

} // namespace auburnhaven::coordination
