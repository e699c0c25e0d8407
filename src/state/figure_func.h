// Checks and rounds numbers that other systems tell.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnhaven::state {

/** How a figure with a fraction becomes a whole number. */
enum class Rounding : std::uint8_t
{
  kDown, ///< For limits that are promised to be kept.
  kUp,   ///< For times that must have passed.
};

/** Allowed values of a figure. */
struct FigureRange
{
  double least_;    ///< Least value; not negative.
  double greatest_; ///< Greatest value.
  bool operator==(const FigureRange&) const = default;
};

inline constexpr FigureRange kTimeFactor{
  0.01,
  10000
}; ///< Factors on times, such as slowdowns, so that sums of times stay finite.

/** Whether a figure can be used as it was told. */
enum class FigureFault : std::uint8_t
{
  kNone,       ///< It is used as it is.
  kNoNumber,   ///< It is no number, not finite or negative; a default applies.
  kOutOfRange, ///< The nearest allowed value applies.
};

/** A checked figure. */
struct CheckedFigure
{
  std::optional<double> value_; ///< The value to use, unless it has none.
  FigureFault fault_;           ///< What is wrong with it.
  bool operator==(const CheckedFigure&) const = default;
};

/**
 * Checks a figure. Thread-safe.
 * @param aNumber The number; nothing when another system told no number.
 * @param aRange Its allowed values.
 * @return The figure.
 */
CheckedFigure
checkFigure(std::optional<double> aNumber, const FigureRange& aRange);

/**
 * Reads a decimal number. Thread-safe.
 * @param aText A text that holds nothing else.
 * @return The number, also one that is not finite; or nothing.
 */
std::optional<double>
numberFrom(std::string_view aText);

/**
 * Rounds a figure to a whole number. A difference that is due to the binary
 * form of decimal fractions does not count. Thread-safe.
 * @param aFigure The figure, not negative, at most 2^53.
 * @param aRounding Which way.
 * @return The whole number.
 */
std::int64_t
roundFigure(double aFigure, Rounding aRounding);

/** @param aFigure A number. @return It as people write it. Thread-safe. */
std::string
figureText(double aFigure);

} // namespace auburnhaven::state
