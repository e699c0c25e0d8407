// Encodes the shared entries that the fleet components publish.
#pragma once

#include "coordination/fleet/peer_message_type.h"

#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Hash of a VM's identifier; only the lower 40 bits are used. */
using VmHash = std::uint64_t;

/**
 * Hashes the identifier of a VM; gives the same value on every daemon.
 * Thread-safe.
 * @param aVm VM to hash.
 * @return Hash of 40 bits.
 */
VmHash
hashVm(const state::VmId& aVm);

/**
 * Encodes the payload of a kDaemon entry. Thread-safe.
 * @param aAddress Address of the daemon.
 * @return CBOR bytes, without the identifier and the incarnation, which the
 * entry's name and version carry.
 */
std::string
encodeDaemon(const PeerAddress& aAddress);

/**
 * Decodes a kDaemon entry. Thread-safe.
 * @param aEntry Entry whose name is the identifier and whose version is the
 * incarnation.
 * @return The address, or nothing when the entry is not valid.
 */
std::optional<PeerAddress>
decodeDaemon(const SharedEntry& aEntry);

/**
 * Encodes the payload of a kObservedSet entry. Thread-safe.
 * @param aVms Hashes of the VMs; their order is kept.
 * @return Five bytes per VM, least significant byte first.
 */
std::string
encodeObservedSet(const std::vector<VmHash>& aVms);

/**
 * Decodes the payload of a kObservedSet entry. Thread-safe.
 * @param aPayload Payload with five bytes per VM; an incomplete hash at its end
 * is ignored.
 * @return Hashes of the VMs in the order of the payload.
 */
std::vector<VmHash>
decodeObservedSet(const std::string& aPayload);

/**
 * Encodes the payload of a kOtherZone entry. Thread-safe.
 * @param aSummary Summary of the zone.
 * @return CBOR bytes, without the zone's name, which the entry's name carries.
 */
std::string
encodeZoneSummary(const ZoneSummary& aSummary);

/**
 * Decodes a kOtherZone entry. Thread-safe.
 * @param aEntry Entry whose name is the zone.
 * @return The summary of the zone, or nothing when the entry is not valid.
 */
std::optional<ZoneSummary>
decodeZoneSummary(const SharedEntry& aEntry);

} // namespace auburnhaven::coordination
