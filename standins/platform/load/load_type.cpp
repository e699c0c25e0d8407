// Requests of the load client and how they ended.

#include "platform/load/load_type.h"

#include <array>

namespace auburnhaven::standins {

std::string_view
nameOf(LoadKind aKind)
{
  constexpr std::array<std::string_view, 3> kNames = { "draft",
                                                       "lookup",
                                                       "confirm" };
  return kNames.at(static_cast<std::size_t>(aKind));
}

std::string_view
nameOf(LoadEnd aEnd)
{
  constexpr std::array<std::string_view, kLoadEnds> kNames = {
    "success", "refused", "denied",    "failed", "wrong",
    "closed",  "reset",   "no_answer", "behind"
  };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

} // namespace auburnhaven::standins
