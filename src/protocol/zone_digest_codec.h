// Datagrams with the open copies of a zone.
#pragma once

#include "coordination/routing/zone_digest_type.h"

#include <optional>
#include <string>

namespace auburnhaven::protocol {

inline constexpr std::size_t kMaxDigestBytes = 1400; ///< Fits into one packet.

/**
 * Encodes a digest. Copies that do not fit into one datagram are left out.
 * Thread-safe.
 * @param aDigest The digest.
 * @param aNow Present time; ages are sent, no times.
 * @return The datagram.
 */
std::string
encodeZoneDigest(const coordination::ZoneDigest& aDigest,
                 state::TimePoint aNow);

/**
 * Decodes a digest. Thread-safe.
 * @param aDatagram The datagram.
 * @param aNow Present time.
 * @return The digest, or nothing when the datagram is none.
 */
std::optional<coordination::ZoneDigest>
decodeZoneDigest(const std::string& aDatagram, state::TimePoint aNow);

} // namespace auburnhaven::protocol
