// Command line of the stand-ins.
#pragma once

namespace auburnhaven::standins {

/**
 * Parses the command line and hosts the stand-ins until SIGTERM or SIGINT.
 * @param aCount Number of arguments.
 * @param aArguments The arguments.
 * @return Exit status, 2 for wrong arguments, 1 when a port is taken.
 */
int
runStandins(int aCount, char** aArguments);

} // namespace auburnhaven::standins
