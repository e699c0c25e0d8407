// Reads the settings file of a daemon.
#pragma once

#include "app/settings_type.h"
#include "state/error_type.h"

#include <string>

namespace auburnhaven::app {

/**
 * Parses and checks settings. Thread-safe.
 * @param aText Text in TOML.
 * @param aSource Name of the file, for errors.
 * @return The settings, or state::InputErrors with every fault found.
 */
state::leaf::result<Settings>
parseSettings(const std::string& aText, const std::string& aSource);

/**
 * Reads and checks a settings file. Thread-safe.
 * @param aPath The file.
 * @return The settings, or state::InputErrors with every fault found.
 */
state::leaf::result<Settings>
readSettingsFile(const std::string& aPath);

/** @return A Markdown table of all settings with type, range and default. */
std::string
settingsReference();

} // namespace auburnhaven::app
