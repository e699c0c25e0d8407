// Structured log of decisions.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace auburnhaven::state {

using LogValue = std::variant<std::int64_t, double, bool, std::string_view>;
///< Value of a field; text is copied before write() returns.

/** A named value of a log record. */
struct LogField
{
  std::string_view name_; ///< Name, with the unit when it has one.
  LogValue value_;        ///< Value.
};

/** Makes a field of a whole number. */
template<class Number>
requires std::is_integral_v<Number> &&(!std::is_same_v<Number, bool>)LogField
  logField(std::string_view aName, Number aValue)
{
  return { aName, static_cast<std::int64_t>(aValue) };
}

/** Makes a field of a truth value. */
inline LogField
logField(std::string_view aName, bool aValue)
{
  return { aName, aValue };
}

/** Makes a field of a number with fractions. */
inline LogField
logField(std::string_view aName, double aValue)
{
  return { aName, aValue };
}

/** Makes a field of a text. */
inline LogField
logField(std::string_view aName, std::string_view aValue)
{
  return { aName, aValue };
}

/** How much a record matters when records must be left out. */
enum class LogWeight : std::uint8_t
{
  kRoutine, ///< One of many alike; may be left out under load.
  kChange,  ///< A failure or a change of what the process believes.
};

/** Takes records. Thread-safe; never blocks. */
class EventLog
{
public:
  virtual ~EventLog() = default;
  /**
   * Writes one record.
   * @param aWeight How much it matters.
   * @param aPart Part of the program.
   * @param aEvent What happened, as a short sentence without values.
   * @param aFields Values that decided, and the outcome.
   */
  virtual void write(LogWeight aWeight,
                     std::string_view aPart,
                     std::string_view aEvent,
                     std::initializer_list<LogField> aFields) = 0;
};

} // namespace auburnhaven::state
