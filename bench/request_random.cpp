// Long random run of requests with all invariants checked.

#include "coordination/request_random_world.h"

#include <cstdlib>
#include <cstring>
#include <iostream>

namespace {

/** @return Value after an option on the command line, or a default. */
std::uint64_t
option(int aCount, char** aArguments, const char* aName, std::uint64_t aDefault)
{
  for (int index = 1; index + 1 < aCount; ++index) {
    if (std::strcmp(aArguments[index], aName) == 0) {
      return std::strtoull(aArguments[index + 1], nullptr, 10);
    }
  }
  return aDefault;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed = option(aCount, aArguments, "--seed", 1);
  const std::uint64_t steps = option(aCount, aArguments, "--steps", 1000000);
  auburnhaven::fakes::RequestRandomWorld world(seed);
  const auburnhaven::fakes::RandomRunReport report = world.run(steps);
  std::cout << "bench_request_random --seed " << seed << " --steps " << steps
            << "\nsteps " << report.steps_ << " operations "
            << report.operations_ << " requests " << report.tries_ << " runs "
            << report.runs_ << " daemons replaced " << report.crashes_
            << " requests lost with them " << report.lostTries_ << "\nanswered "
            << report.answered_ << " of them replayed " << report.replayed_
            << " not run " << report.notRun_ << " unknown " << report.unknown_
            << "\ndoubled runs " << report.doubledRuns_ << " false not run "
            << report.falseNotRun_ << " doubled outcomes "
            << report.doubledOutcomes_ << " wrong answers "
            << report.wrongAnswers_ << " missing outcomes "
            << report.missingOutcomes_ << "\n";
  return report.faults() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
