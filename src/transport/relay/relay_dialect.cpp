// Recognizes headers that are not forwarded.

#include "transport/relay/relay_dialect.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace auburnhaven::transport {

bool
isConnectionHeader(std::string_view aName)
{
  static constexpr std::array<std::string_view, 10> kNames = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",
    "Expect",     "Proxy-Authenticate"
  };
  return std::any_of(
    kNames.begin(), kNames.end(), [&](std::string_view aOther) {
      return boost::beast::iequals({ aName.data(), aName.size() },
                                   { aOther.data(), aOther.size() });
    });
}

} // namespace auburnhaven::transport
