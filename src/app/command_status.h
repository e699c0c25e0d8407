// Commands of operators that show the state of the system.
#pragma once

#include "app/command_client.h"

#include <cstdint>

namespace auburnhaven::app {

/** Prints groups, spares, daemons and the store. @param aOptions Options.
 * @return Exit status. */
int
runStatus(const OperatorOptions& aOptions);

/**
 * Prints the newest lines of the audit trail.
 * @param aOptions How to reach a daemon.
 * @param aCount How many at most.
 * @return Exit status.
 */
int
runAudit(const OperatorOptions& aOptions, std::uint32_t aCount);

} // namespace auburnhaven::app
