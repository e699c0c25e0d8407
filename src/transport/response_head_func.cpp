// Tells whether the head of a response can be interpreted.

#include "transport/response_head_func.h"

#include "state/http_status_func.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <iterator>

namespace auburnhaven::transport {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t kSwitchingProtocols =
  101; ///< What follows is another protocol, which no request asks for.

/** @return Whether the body comes in no transfer coding but that of chunks; a
 * request allows no other. */
bool
hasKnownCoding(const http::fields& aFields)
{
  const auto [first, last] =
    aFields.equal_range(http::field::transfer_encoding);
  return first == last || (std::next(first) == last &&
                           boost::beast::iequals(first->value(), "chunked"));
}

} // namespace

bool
hasContinuedLine(std::string_view aHead)
{
  return aHead.find("\n ") != std::string_view::npos ||
         aHead.find("\n\t") != std::string_view::npos;
}

boost::system::error_code
faultOf(const http::response_header<>& aHead)
{
  const std::uint32_t status = aHead.result_int();
  const bool isDefined =
    state::isInterimStatus(status) || state::isFinalStatus(status);
  if (!isDefined || status == kSwitchingProtocols) {
    return http::error::bad_status;
  }
  if (!hasKnownCoding(aHead)) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

} // namespace auburnhaven::transport
