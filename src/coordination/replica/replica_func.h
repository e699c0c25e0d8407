// Identifiers of replicas, and what follows from a replica alone.
#pragma once

#include "coordination/replica/replica_type.h"
#include "state/instance_type.h"

#include <cstddef>
#include <string_view>

namespace auburnhaven::coordination {

inline constexpr std::string_view kReplicaLogPart =
  "replica"; ///< Component name in the coordinator's log records.

/**
 * @param aEpoch Epoch of the replica.
 * @param aHead Its head.
 * @param aModel Its model.
 * @return Identifier of the replica. It contains the head and the model, so
 * that a successor can adopt the replica from its members' reports.
 * Thread-safe.
 */
state::ReplicaId
replicaIdentifier(state::Epoch aEpoch,
                  const state::VmId& aHead,
                  const state::ModelId& aModel);

/**
 * @param aEpoch Epoch of the order.
 * @param aVm A spare VM.
 * @param aModel The model that it loads.
 * @return Identifier under which the VM alone joins a replica of its own, which
 * is incomplete and never opened. Thread-safe.
 */
state::ReplicaId
spareIdentifier(state::Epoch aEpoch,
                const state::VmId& aVm,
                const state::ModelId& aModel);

/** @return Whether a replica is that of a spare VM alone, which is free.
 * Thread-safe. */
bool
isSpare(const state::ReplicaId& aReplica);

/** @return Head named in a replica identifier, or an empty identifier.
 * Thread-safe. */
state::VmId
headOf(const state::ReplicaId& aReplica);

/** @return Model named in a replica identifier, or an empty identifier.
 * Thread-safe. */
state::ModelId
modelOf(const state::ReplicaId& aReplica);

/**
 * @param aVm A VM.
 * @param aPlace Place that it states.
 * @return Whether the identifier of the replica allows it: it names the epoch
 * and the head, which alone has rank 0. Thread-safe.
 */
bool
isPossiblePlace(const state::VmId& aVm, const state::MemberPlace& aPlace);

/** @return Whether a replica takes requests in a phase. Thread-safe. */
bool
takesRequests(ReplicaPhase aPhase);

/** @return Whether a replica may run requests that it took before, in a phase
 * in which its head was not ordered to leave. Thread-safe. */
bool
mayRunRequests(ReplicaPhase aPhase);

/** @return Whether a place is the one that a VM has in a replica. Thread-safe.
 */
bool
isPlaceOf(const Replica& aReplica,
          const state::VmId& aVm,
          const state::MemberPlace& aPlace);

/** @return Number of known members of a replica. Thread-safe. */
std::size_t
knownMembers(const Replica& aReplica);

} // namespace auburnhaven::coordination
