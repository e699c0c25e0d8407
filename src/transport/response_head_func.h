// Tells whether the head of a response can be interpreted.
#pragma once

#include <boost/beast/http/message.hpp>

#include <string_view>

namespace auburnhaven::transport {

/**
 * @param aHead Part of the head of a response, from the start of a line.
 * @return Whether one of its lines begins with a blank. Such a line is a field
 * with a spoiled name or the obsolete continuation of the line before it; the
 * library's parser takes each for the latter. Thread-safe.
 */
bool
hasContinuedLine(std::string_view aHead);

/**
 * Checks what the library's parser leaves open. It knows the syntax of a head,
 * not which status codes and transfer codings there are.
 * @param aHead A head that was parsed.
 * @return Why nobody can interpret it, or no error. Thread-safe.
 */
boost::system::error_code
faultOf(const boost::beast::http::response_header<>& aHead);

} // namespace auburnhaven::transport
