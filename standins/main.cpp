// Hosts the stand-ins of the outside systems for demos, tests and benchmarks.

#include "standins_command.h"

/**
 * @param aCount Number of arguments.
 * @param aArguments The arguments.
 * @return Exit status of the command.
 */
int
main(int aCount, char** aArguments)
{
  return auburnhaven::standins::runStandins(aCount, aArguments);
}
