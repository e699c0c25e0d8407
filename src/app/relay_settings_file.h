// Reads the settings file of a relay daemon.
#pragma once

#include "app/relay_settings_type.h"
#include "state/error_type.h"

#include <string>

namespace auburnhaven::app {

/**
 * Reads settings from TOML. The daemon cannot refuse what the platform fills
 * in: a figure that cannot be used is replaced, with a note. Thread-safe.
 * @param aText The text.
 * @param aSource Where it comes from, for messages.
 * @return The settings, or state::InputErrors.
 */
state::leaf::result<RelaySettingsFile>
parseRelaySettings(const std::string& aText, const std::string& aSource);

/**
 * Reads a settings file. Thread-safe.
 * @param aPath The file.
 * @return The settings, or state::InputErrors.
 */
state::leaf::result<RelaySettingsFile>
readRelaySettings(const std::string& aPath);

/** @return Reference of all settings as a table in Markdown. */
std::string
relaySettingsReference();

} // namespace auburnhaven::app
