// Long random schedules of faults on the serving groups, invariants checked
// after each step.

#include "fakes/fake_engine_faults.h"
#include "option_func.h"

#include <iostream>

using namespace auburnhaven;

/**
 * Runs --runs schedules of --steps steps, the first with --seed; odd seeds
 * write reserves ahead.
 * @return 0 when all invariants held and all groups recovered.
 */
int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed =
    auburnhaven::bench::option(aCount, aArguments, "--seed", 1);
  const std::uint64_t steps =
    auburnhaven::bench::option(aCount, aArguments, "--steps", 20000);
  const std::uint64_t runs =
    auburnhaven::bench::option(aCount, aArguments, "--runs", 1);
  std::uint64_t failed = 0;
  for (std::uint64_t run = 0; run < runs; ++run) {
    for (const bool checks : { true, false }) {
      const std::string fault = fakes::runSchedule(seed + run, steps, checks);
      if (!fault.empty()) {
        ++failed;
        std::cout << "seed " << seed + run << ", engines "
                  << (checks ? "check" : "ignore") << " fencing: " << fault
                  << std::endl;
      }
    }
  }
  std::cout << 2 * runs << " schedules of " << steps << " steps from seed "
            << seed << ", " << failed << " failed" << std::endl;
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
