// Tells which status codes HTTP defines.
#pragma once

#include <cstdint>

namespace auburnhaven::state {

/** @return Whether a status code announces another response head. Thread-safe.
 */
constexpr bool
isInterimStatus(std::int64_t aStatus)
{
  return aStatus >= 100 && aStatus < 200;
}

/** @return Whether a status code is that of an answer; codes beyond 599 are
 * written in three digits too, but have no meaning. Thread-safe. */
constexpr bool
isFinalStatus(std::int64_t aStatus)
{
  return aStatus >= 200 && aStatus < 600;
}

} // namespace auburnhaven::state
