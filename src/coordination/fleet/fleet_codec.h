// Encoding of the shared entries that the fleet's own parts publish.
#pragma once

#include "coordination/fleet/peer_message_type.h"

#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Short hash of a VM's name; 40 bits are used. */
using VmHash = std::uint64_t;

/**
 * Hashes the name of a VM. Thread-safe.
 * @param aVm The VM.
 * @return Its hash.
 */
VmHash
hashVm(const state::VmId& aVm);

/**
 * Encodes the payload of a kDaemon entry. Thread-safe.
 * @param aAddress Address of the daemon.
 * @return CBOR bytes without identifier and incarnation.
 */
std::string
encodeDaemon(const PeerAddress& aAddress);

/**
 * Decodes a kDaemon entry. Thread-safe.
 * @param aEntry The entry; its name and version give identifier and
 * incarnation.
 * @return The address, or nothing when the entry is not valid.
 */
std::optional<PeerAddress>
decodeDaemon(const SharedEntry& aEntry);

/**
 * Encodes the payload of a kObservedSet entry. Thread-safe.
 * @param aVms The VMs in their order.
 * @return Five bytes for each VM.
 */
std::string
encodeObservedSet(const std::vector<VmHash>& aVms);

/**
 * Decodes the payload of a kObservedSet entry. Thread-safe.
 * @param aPayload The payload.
 * @return The VMs in their order.
 */
std::vector<VmHash>
decodeObservedSet(const std::string& aPayload);

/**
 * Encodes the payload of a kOtherZone entry. Thread-safe.
 * @param aSummary State of the zone.
 * @return CBOR bytes without the zone's name.
 */
std::string
encodeZoneSummary(const ZoneSummary& aSummary);

/**
 * Decodes a kOtherZone entry. Thread-safe.
 * @param aEntry The entry; its name is the zone.
 * @return The state of the zone, or nothing when the entry is not valid.
 */
std::optional<ZoneSummary>
decodeZoneSummary(const SharedEntry& aEntry);

} // namespace auburnhaven::coordination
