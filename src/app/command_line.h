// Command line of the auburnhaven executable.
#pragma once

namespace auburnhaven::app {

/** Exit statuses of all commands. */
enum ExitStatus : int
{
  kExitOk = 0,     ///< Done.
  kExitFailed = 1, ///< The command could not do its work.
  kExitBadInput =
    2, ///< Arguments, settings or configuration are wrong; nothing was started.
  kExitConflict = 3, ///< Another operator's change came first.
};

/**
 * Parses the command line and runs the command.
 * @param aCount Number of arguments.
 * @param aArguments The arguments.
 * @return Exit status.
 */
int
runCommandLine(int aCount, char** aArguments);

} // namespace auburnhaven::app
