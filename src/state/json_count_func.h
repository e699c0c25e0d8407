// Reads whole numbers of JSON that must not be changed by a conversion.
#pragma once

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>

namespace auburnhaven::state {

/**
 * Reads a whole number that is not negative, also one that is written as a
 * fraction, such as 7.0. Thread-safe.
 * @param aValue JSON value.
 * @return The number, or nothing for any other value.
 */
inline std::optional<std::uint64_t>
wholeNumber(const nlohmann::json& aValue)
{
  constexpr double kMaxExact = 9007199254740992; // 2^53
  if (aValue.is_number_unsigned()) {
    return aValue.get<std::uint64_t>();
  }
  if (aValue.is_number_integer()) {
    const auto number = aValue.get<std::int64_t>();
    return number >= 0 ? std::optional<std::uint64_t>(number) : std::nullopt;
  }
  const double number = aValue.is_number() ? aValue.get<double>() : -1;
  const bool isWhole =
    number >= 0 && number <= kMaxExact && std::floor(number) == number;
  return isWhole ? std::optional(static_cast<std::uint64_t>(number))
                 : std::nullopt;
}

/**
 * Reads a count. The library's conversions would take numbers with fractions,
 * negative and too large ones, and change their value. Thread-safe.
 * @param aValue JSON value.
 * @param aMaximum Largest count that is allowed.
 * @return The count.
 * @throws nlohmann::json::other_error unless the value is a whole number in
 * range.
 */
template<class Count>
Count
readCount(const nlohmann::json& aValue,
          Count aMaximum = std::numeric_limits<Count>::max())
{
  constexpr int kBadCount = 502; // error number of the exception
  const std::optional<std::uint64_t> number = wholeNumber(aValue);
  if (!number || *number > std::uint64_t{ aMaximum }) {
    throw nlohmann::json::other_error::create(
      kBadCount, "no count in range", &aValue);
  }
  return static_cast<Count>(*number);
}

} // namespace auburnhaven::state
