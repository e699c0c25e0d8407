// Text form of endpoints.

#include "state/endpoint_func.h"

#include <charconv>

namespace auburnhaven::state {

std::string
textOf(const Endpoint& aEndpoint)
{
  return aEndpoint.address_ + ':' + std::to_string(aEndpoint.port_);
}

std::optional<Endpoint>
endpointFrom(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.address_ = aText.substr(0, colon);
  const char* end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data() + colon + 1, end, endpoint.port_);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  return whole && endpoint.port_ != 0 ? std::optional(endpoint) : std::nullopt;
}

} // namespace auburnhaven::state
