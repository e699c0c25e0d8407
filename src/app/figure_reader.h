// Reads settings that another system fills in, so that an odd value of one
// costs that setting only.
#pragma once

#include "app/toml_reader.h"
#include "state/figure_func.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::app {

/**
 * Reads a figure: a number, or a text that holds one. Thread-safe.
 * @param aNode Where it stands.
 * @param aRange Its allowed values.
 * @param aDefault What is used without it, as text.
 * @param aFaults Takes a note when the figure is not used as it stands.
 * @return The figure, or the nearest allowed value; nothing for what is no
 * number or negative.
 */
std::optional<double>
readFigure(const toml::node& aNode,
           const FieldRange& aRange,
           const std::string& aDefault,
           FaultList& aFaults);

/** Figures that keep their fraction. */
struct DecimalFigure
{
  static constexpr std::string_view kType = "number";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   double& aValue,
                   FaultList& aFaults);
  static std::string show(double aValue);
};

/** Counts, rounded down. */
struct CountFigure
{
  static constexpr std::string_view kType = "number";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   std::uint32_t& aValue,
                   FaultList& aFaults);
  static std::string show(std::uint32_t aValue);
};

/**
 * Times, kept in milliseconds.
 * @tparam Unit Unit of the figure and of its range, as std::chrono's periods.
 * @tparam kRounding How fractions of a millisecond are rounded.
 */
template<class Unit, state::Rounding kRounding>
struct TimeFigure
{
  using FigureTime = std::chrono::duration<double, Unit>; ///< As written.

  static constexpr std::string_view kType = "number";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   std::chrono::milliseconds& aValue,
                   FaultList& aFaults)
  {
    const auto figure = readFigure(aNode, aRange, show(aValue), aFaults);
    if (figure) {
      const std::chrono::duration<double, std::milli> time =
        FigureTime(*figure);
      aValue =
        std::chrono::milliseconds(state::roundFigure(time.count(), kRounding));
    }
  }
  static std::string show(std::chrono::milliseconds aValue)
  {
    return DecimalFigure::show(FigureTime(aValue).count());
  }
};

/** Truth values, also as the texts "true" and "false". */
struct FlagFigure : FieldCodec<bool>
{
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   bool& aValue,
                   FaultList& aFaults);
};

/** Endpoints of which any may be missing: an odd one is left out. */
struct EndpointHints : FieldCodec<std::vector<state::Endpoint>>
{
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   std::vector<state::Endpoint>& aValue,
                   FaultList& aFaults);
};

} // namespace auburnhaven::app
