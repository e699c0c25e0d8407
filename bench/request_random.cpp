// Long random run of requests with all invariants checked.

#include "coordination/request_simulation.h"
#include "option_func.h"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed =
    auburnhaven::bench::option(aCount, aArguments, "--seed", 1);
  const std::uint64_t steps =
    auburnhaven::bench::option(aCount, aArguments, "--steps", 1000000);
  auburnhaven::fakes::RequestSimulation world(seed);
  const auburnhaven::fakes::SimulationReport report = world.run(steps);
  std::cout << "bench_request_random --seed " << seed << " --steps " << steps
            << "\nsteps " << report.steps_ << " operations "
            << report.operations_ << " requests " << report.requests_
            << " runs " << report.runs_ << " daemons replaced "
            << report.crashes_ << " requests lost with them "
            << report.lostRequests_ << "\nanswered " << report.answered_
            << " of them replayed " << report.replayed_ << " not run "
            << report.notRun_ << " unknown " << report.unknown_
            << "\ndoubled runs " << report.duplicateRuns_ << " false not run "
            << report.falseNotRun_ << " doubled outcomes "
            << report.duplicateOutcomes_ << " wrong answers "
            << report.wrongAnswers_ << " missing outcomes "
            << report.missingOutcomes_ << "\n";
  return report.faults() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
