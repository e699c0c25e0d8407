// Options of the benchmarks' command lines.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <cstring>

namespace auburnhaven::bench {

/**
 * @param aCount Number of arguments.
 * @param aArguments The arguments.
 * @param aName Name of an option.
 * @param aDefault Value without the option.
 * @return Value after the option, or the default.
 */
inline std::uint64_t
option(int aCount, char** aArguments, const char* aName, std::uint64_t aDefault)
{
  for (int index = 1; index + 1 < aCount; ++index) {
    if (std::strcmp(aArguments[index], aName) == 0) {
      return std::strtoull(aArguments[index + 1], nullptr, 10);
    }
  }
  return aDefault;
}

} // namespace auburnhaven::bench
