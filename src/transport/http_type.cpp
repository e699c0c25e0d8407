// Requests and responses of the HTTP server, free of the library's types.

#include "transport/http_type.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace auburnhaven::transport {

std::string_view
HttpRequest::header(std::string_view aName) const
{
  const auto found = std::find_if(
    headers_.begin(), headers_.end(), [&](const HttpHeader& aHeader) {
      return boost::beast::iequals(aHeader.name_,
                                   { aName.data(), aName.size() });
    });
  return found == headers_.end() ? std::string_view()
                                 : std::string_view(found->value_);
}

std::string_view
HttpRequest::parameter(std::string_view aName) const
{
  std::string_view rest = query_;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    if (pair.size() > aName.size() && pair.starts_with(aName) &&
        pair[aName.size()] == '=') {
      return pair.substr(aName.size() + 1);
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

std::string_view
nameOf(CallerEnd aEnd)
{
  switch (aEnd) {
    case CallerEnd::kNone:
      return "none";
    case CallerEnd::kSendingSide:
      return "sending side closed";
    case CallerEnd::kReset:
      return "reset";
    case CallerEnd::kWriteError:
      return "write error";
    case CallerEnd::kWriteTimeout:
      return "write timeout";
    case CallerEnd::kAbandoned:
      return "abandoned";
  }
  return "";
}

} // namespace auburnhaven::transport
