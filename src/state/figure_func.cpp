// Checks and rounds numbers that other systems tell.

#include "state/figure_func.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iomanip>
#include <limits>
#include <sstream>
#include <system_error>

namespace auburnhaven::state {

namespace {

constexpr double kBinaryError =
  1e-6; ///< Above the error of a decimal fraction in binary.

} // namespace

CheckedFigure
checkFigure(std::optional<double> aNumber, const FigureRange& aRange)
{
  if (!aNumber || !std::isfinite(*aNumber) || *aNumber < 0) {
    return { std::nullopt, FigureFault::kNoNumber };
  }
  const double used = std::clamp(*aNumber, aRange.least_, aRange.greatest_);
  return { used,
           used == *aNumber ? FigureFault::kNone : FigureFault::kOutOfRange };
}

std::optional<double>
numberFrom(std::string_view aText)
{
  double number = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
  return isNumber ? std::optional(number) : std::nullopt;
}

std::int64_t
roundFigure(double aFigure, Rounding aRounding)
{
  const double rounded = aRounding == Rounding::kUp
                           ? std::ceil(aFigure - kBinaryError)
                           : std::floor(aFigure + kBinaryError);
  return static_cast<std::int64_t>(rounded);
}

std::string
figureText(double aFigure)
{
  std::ostringstream text;
  text << std::setprecision(std::numeric_limits<double>::digits10) << aFigure;
  return text.str();
}

} // namespace auburnhaven::state
