// JSON of the messages between operators' commands and a daemon.
#pragma once

#include "protocol/admin_type.h"

#include <string>

namespace auburnhaven::protocol {

/**
 * Encodes a message as JSON. Thread-safe. Instantiated for SubmitRequest and
 * all answers of admin_type.h.
 * @param aMessage The message.
 * @return The text.
 */
template<class Message>
std::string
encodeAdmin(const Message& aMessage);

/**
 * Decodes a message; keys that are absent keep their defaults, unknown keys
 * are ignored, so that versions may differ. Thread-safe.
 * @param aText JSON text.
 * @return The message, or state::InputErrors when a value has a wrong type.
 */
template<class Message>
state::leaf::result<Message>
decodeAdmin(const std::string& aText);

} // namespace auburnhaven::protocol
