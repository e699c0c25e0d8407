// Text form of endpoints.
#pragma once

#include "state/endpoint_type.h"

#include <optional>
#include <string>

namespace auburnhaven::state {

/** @param aEndpoint An endpoint. @return "address:port". Thread-safe. */
std::string
textOf(const Endpoint& aEndpoint);

/**
 * @param aText "address:port".
 * @return The endpoint, or nothing when the text is none. Thread-safe.
 */
std::optional<Endpoint>
endpointFrom(const std::string& aText);

} // namespace auburnhaven::state
