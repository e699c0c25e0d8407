// Timeout of a request from its header and the settings.

#include "transport/gateway/request_timeout_func.h"

#include "state/figure_func.h"

namespace auburnhaven::transport {

std::chrono::milliseconds
requestTimeout(std::string_view aWanted, std::chrono::milliseconds aLimit)
{
  const auto wanted = state::numberFrom(aWanted);
  const auto greatest = static_cast<double>(aLimit.count());
  const auto used = state::checkFigure(wanted, { 1, greatest }).value_;
  if (!used || *wanted == 0) {
    return aLimit;
  }
  return std::chrono::milliseconds(
    state::roundFigure(*used, state::Rounding::kDown));
}

} // namespace auburnhaven::transport
