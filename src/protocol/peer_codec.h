// Encoding of the messages between daemons by protobuf.
#pragma once

#include "coordination/fleet/peer_message_type.h"

#include <optional>
#include <string>

namespace auburnhaven::protocol {

/**
 * Encodes a message; local times become ages. Thread-safe.
 * @param aMessage The message.
 * @param aNow Present local time.
 * @return The bytes.
 */
std::string
encodePeerMessage(const coordination::PeerMessage& aMessage,
                  state::TimePoint aNow);

/**
 * Decodes a message; ages become local times, rounded to the older side and
 * without the transit time. Thread-safe.
 * @param aBytes The bytes.
 * @param aNow Present local time.
 * @return The message, or nothing when the bytes are not a valid one.
 */
std::optional<coordination::PeerMessage>
decodePeerMessage(const std::string& aBytes, state::TimePoint aNow);

} // namespace auburnhaven::protocol
