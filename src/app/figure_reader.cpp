// Reads settings that another system fills in.

#include "app/figure_reader.h"

#include <sstream>

namespace auburnhaven::app {

namespace {

constexpr std::size_t kShownLength = 64; ///< Most bytes of a value in a note.

/** @return The number at a node, or nothing. */
std::optional<double>
numberAt(const toml::node& aNode)
{
  if (const auto text = aNode.value_exact<std::string>()) {
    return state::numberFrom(*text);
  }
  return aNode.is_number() ? aNode.value<double>() : std::nullopt;
}

/** @return The start of a node as it stands in the file. */
std::string
textOf(const toml::node& aNode)
{
  std::ostringstream text;
  aNode.visit([&](const auto& aValue) { text << aValue; });
  return text.str().substr(0, kShownLength);
}

/** Notes that a node is not used as it stands. */
void
noteInstead(const toml::node& aNode,
            std::string_view aWhy,
            const std::string& aUsed,
            FaultList& aFaults)
{
  std::ostringstream text;
  text << textOf(aNode) << ' ' << aWhy << "; uses " << aUsed;
  aFaults.note(aNode, text.str());
}

} // namespace

std::optional<double>
readFigure(const toml::node& aNode,
           const FieldRange& aRange,
           const std::string& aDefault,
           FaultList& aFaults)
{
  const state::CheckedFigure figure =
    state::checkFigure(numberAt(aNode),
                       { static_cast<double>(aRange.least_),
                         static_cast<double>(aRange.greatest_) });
  if (figure.fault_ == state::FigureFault::kNoNumber) {
    noteInstead(aNode, "is no number from 0 up", aDefault, aFaults);
  } else if (figure.fault_ == state::FigureFault::kOutOfRange) {
    noteInstead(
      aNode, "is out of range", DecimalFigure::show(*figure.value_), aFaults);
  }
  return figure.value_;
}

void
DecimalFigure::read(const toml::node& aNode,
                    const FieldRange& aRange,
                    double& aValue,
                    FaultList& aFaults)
{
  aValue = readFigure(aNode, aRange, show(aValue), aFaults).value_or(aValue);
}

std::string
DecimalFigure::show(double aValue)
{
  return state::figureText(aValue);
}

void
CountFigure::read(const toml::node& aNode,
                  const FieldRange& aRange,
                  std::uint32_t& aValue,
                  FaultList& aFaults)
{
  if (const auto figure = readFigure(aNode, aRange, show(aValue), aFaults)) {
    aValue = static_cast<std::uint32_t>(
      state::roundFigure(*figure, state::Rounding::kDown));
  }
}

std::string
CountFigure::show(std::uint32_t aValue)
{
  return std::to_string(aValue);
}

void
FlagFigure::read(const toml::node& aNode,
                 const FieldRange& aRange,
                 bool& aValue,
                 FaultList& aFaults)
{
  static_cast<void>(aRange);
  const std::string text = aNode.value_exact<std::string>().value_or("");
  const bool isTrue = text == "true";
  if (const auto flag = aNode.value_exact<bool>()) {
    aValue = *flag;
  } else if (isTrue || text == "false") {
    aValue = isTrue;
  } else {
    noteInstead(aNode, "is neither true nor false", show(aValue), aFaults);
  }
}

void
EndpointHints::read(const toml::node& aNode,
                    const FieldRange& aRange,
                    std::vector<state::Endpoint>& aValue,
                    FaultList& aFaults)
{
  static_cast<void>(aRange);
  const toml::array* items = aNode.as_array();
  if (items == nullptr) {
    noteInstead(aNode, "is no list", show(aValue), aFaults);
    return;
  }
  for (const toml::node& item : *items) {
    const auto text = item.value_exact<std::string>();
    if (const auto endpoint = parseEndpoint(text.value_or(""))) {
      aValue.push_back(*endpoint);
    } else {
      noteInstead(item, "is no address:port", "the others", aFaults);
    }
  }
}

} // namespace auburnhaven::app
