// Timeout of a request from its header and the settings.
#pragma once

#include <chrono>
#include <string_view>

namespace auburnhaven::transport {

/**
 * @param aWanted Milliseconds that the caller wants to wait, as any decimal
 * number; ignored unless it is positive.
 * @param aLimit Longest timeout.
 * @return The timeout; at least 1 ms when the caller names one. Thread-safe.
 */
std::chrono::milliseconds
requestTimeout(std::string_view aWanted, std::chrono::milliseconds aLimit);

} // namespace auburnhaven::transport
