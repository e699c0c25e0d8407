// Descriptors of all fields of a configuration file.
#pragma once

#include "app/toml_reader.h"
#include "state/config_type.h"

#include <vector>

namespace auburnhaven::app {

/** The parts of a configuration in the order of the file. */
struct ConfigurationFile
{
  state::SystemPolicy policy_;                 ///< System-wide choices.
  std::vector<state::ClientAccount> accounts_; ///< Client accounts.
  std::vector<state::ServingGroup> groups_;    ///< Serving groups.
  std::vector<state::PlainService> services_;  ///< Plain services.
};

/** Weekdays, written as a list of "mon" to "sun". */
struct WeekdaysCodec
{
  static constexpr std::string_view kType = "list";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   std::uint8_t& aValue,
                   FaultList& aFaults);
  static std::string show(std::uint8_t aValue);
};

/** Minutes of a day, written as "hh:mm" up to "24:00". */
struct MinuteCodec
{
  static constexpr std::string_view kType = "string";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   std::uint16_t& aValue,
                   FaultList& aFaults);
  static std::string show(std::uint16_t aValue);
};

template<>
std::span<const FieldDescriptor<state::PriorityWindow>>
fieldsOf<state::PriorityWindow>();
template<>
std::span<const FieldDescriptor<state::WorkKind>>
fieldsOf<state::WorkKind>();
template<>
std::span<const FieldDescriptor<state::Promise>>
fieldsOf<state::Promise>();
template<>
std::span<const FieldDescriptor<state::ServingGroup>>
fieldsOf<state::ServingGroup>();
template<>
std::span<const FieldDescriptor<state::ClientAccount>>
fieldsOf<state::ClientAccount>();
template<>
std::span<const FieldDescriptor<state::ServiceOperation>>
fieldsOf<state::ServiceOperation>();
template<>
std::span<const FieldDescriptor<state::ServiceTarget>>
fieldsOf<state::ServiceTarget>();
template<>
std::span<const FieldDescriptor<state::PlainService>>
fieldsOf<state::PlainService>();
template<>
std::span<const FieldDescriptor<state::SystemPolicy>>
fieldsOf<state::SystemPolicy>();
template<>
std::span<const FieldDescriptor<ConfigurationFile>>
fieldsOf<ConfigurationFile>();

} // namespace auburnhaven::app
