// Header lines and records of forwarded requests.
#pragma once

#include "transport/forward_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace auburnhaven::transport {

/** @param aRequest A request. @return Its header lines. Thread-safe. */
H2Fields
encodeForward(const ForwardedRequest& aRequest);

/**
 * @param aFields Header lines.
 * @return The request without its payload, or nothing when a line is missing
 * or malformed. Thread-safe.
 */
std::optional<ForwardedRequest>
decodeForward(const H2Fields& aFields);

/** @param aEvent A token. @return Its record in the body. Thread-safe. */
std::string
encodeToken(const TargetEvent& aEvent);

/**
 * Takes the next record out of a body. Thread-safe.
 * @param aBytes Bytes of the body that are left; the record is removed.
 * @return The token, or nothing when the record is not complete.
 */
std::optional<TargetEvent>
takeToken(std::string& aBytes);

/** @param aEvent Last event. @return The trailers. Thread-safe. */
H2Fields
encodeEnd(const TargetEvent& aEvent);

/**
 * @param aTrailers Trailers of an answer.
 * @param aBody Answer of a plain service, as it came.
 * @return The last event; kCutShort when the trailers do not tell. Thread-safe.
 */
TargetEvent
decodeEnd(const H2Fields& aTrailers, std::string aBody);

} // namespace auburnhaven::transport
