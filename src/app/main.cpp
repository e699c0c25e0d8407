// Entry point of the auburnhaven executable.

#include "app/command_line.h"

/**
 * @param aCount Number of arguments.
 * @param aArguments The arguments.
 * @return Exit status of the command.
 */
int
main(int aCount, char** aArguments)
{
  return auburnhaven::app::runCommandLine(aCount, aArguments);
}
