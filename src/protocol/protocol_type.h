// Version of the protocol between daemons.
#pragma once

#include <cstdint>

namespace auburnhaven::protocol {

/** Version that a daemon offers; peers with another major version are refused.
 */
inline constexpr std::uint32_t kProtocolVersion = 1;

} // namespace auburnhaven::protocol
