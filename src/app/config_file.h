// Reads a configuration from the TOML file that operators keep.
#pragma once

#include "state/config_type.h"
#include "state/error_type.h"

#include <string>

namespace auburnhaven::app {

/**
 * Parses and checks a configuration. Thread-safe.
 * @param aText Text in TOML.
 * @param aSource Name of the file, for errors.
 * @return The configuration with generation 0, or state::InputErrors with
 * every fault found.
 */
state::leaf::result<state::Configuration>
parseConfiguration(const std::string& aText, const std::string& aSource);

/**
 * Reads and checks a configuration file. Thread-safe.
 * @param aPath The file.
 * @return The configuration with generation 0, or state::InputErrors with
 * every fault found.
 */
state::leaf::result<state::Configuration>
readConfigurationFile(const std::string& aPath);

} // namespace auburnhaven::app
