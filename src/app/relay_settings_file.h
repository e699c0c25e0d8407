// Reads the settings file of a relay daemon.
#pragma once

#include "app/relay_settings_type.h"
#include "state/error_type.h"

#include <string>

namespace auburnhaven::app {

/**
 * Reads settings from TOML. Thread-safe.
 * @param aText The text.
 * @param aSource Where it comes from, for messages.
 * @return The settings, or state::InputErrors.
 */
state::leaf::result<RelayDaemonSettings>
parseRelaySettings(const std::string& aText, const std::string& aSource);

/**
 * Reads a settings file. Thread-safe.
 * @param aPath The file.
 * @return The settings, or state::InputErrors.
 */
state::leaf::result<RelayDaemonSettings>
readRelaySettings(const std::string& aPath);

/** @return Reference of all settings as a table in Markdown. */
std::string
relaySettingsReference();

} // namespace auburnhaven::app
