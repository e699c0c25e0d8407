// Network endpoint by IP number.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

namespace auburnhaven::state {

/** An IP number and a TCP port. */
struct Endpoint
{
  std::string address_;    ///< IPv4 or IPv6 number in text form.
  std::uint16_t port_ = 0; ///< TCP port.
  auto operator<=>(const Endpoint&) const = default;
};

/** Writes an endpoint as "address:port". */
inline std::ostream&
operator<<(std::ostream& aOut, const Endpoint& aEndpoint)
{
  return aOut << aEndpoint.address_ << ':' << aEndpoint.port_;
}

} // namespace auburnhaven::state
