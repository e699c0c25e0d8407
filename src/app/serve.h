// Runs the entry daemon.
#pragma once

#include "app/settings_type.h"

namespace auburnhaven::app {

/**
 * Runs the entry daemon until SIGTERM or SIGINT.
 * @param aSettings Settings of the daemon.
 * @return Exit status, see ExitStatus.
 */
int
runServe(const Settings& aSettings);

} // namespace auburnhaven::app
