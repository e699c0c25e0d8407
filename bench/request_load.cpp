// First token, worst minute and goodput by load and fault, against baselines.

#include "fakes/engine_model.h"

#include <cstdio>
#include <cstdlib>

using auburnhaven::fakes::EngineModel;
using auburnhaven::fakes::ModelChoice;
using auburnhaven::fakes::ModelFault;
using auburnhaven::fakes::ModelReport;
using auburnhaven::fakes::ModelSettings;

namespace {

/** A policy under comparison. */
struct Policy
{
  const char* name_;    ///< Name in the table.
  ModelChoice choice_;  ///< Choice of target.
  bool admission_;      ///< Whether Admission runs.
  bool unlimitedRetry_; ///< Whether retries are unlimited.
};

constexpr Policy kPolicies[] = {
  { "auburnhaven", ModelChoice::kChooser, true, false },
  { "no admission", ModelChoice::kChooser, false, false },
  { "least outstanding", ModelChoice::kLeastOutstanding, false, false },
  { "round-robin", ModelChoice::kRoundRobin, false, false },
  { "unlimited retry", ModelChoice::kRoundRobin, false, true },
};

/** A fault under comparison. */
struct Fault
{
  const char* name_; ///< Name in the table.
  ModelFault fault_; ///< The fault.
};

constexpr Fault kFaults[] = {
  { "none", ModelFault::kNone },
  { "straggler", ModelFault::kStraggler },
  { "dead copy", ModelFault::kDeadCopy },
  { "frozen", ModelFault::kFrozen },
};

constexpr double kLoads[] = { 0.5, 0.8, 0.95, 1.0, 1.5, 2.0, 3.0, 10.0 };

/** Runs one case and prints its line. */
void
runCase(std::uint64_t aSeed,
        const Policy& aPolicy,
        const Fault& aFault,
        double aLoad)
{
  ModelSettings settings;
  settings.seed_ = aSeed;
  settings.load_ = aLoad;
  settings.choice_ = aPolicy.choice_;
  settings.admission_ = aPolicy.admission_;
  settings.unlimitedRetry_ = aPolicy.unlimitedRetry_;
  settings.fault_ = aFault.fault_;
  const ModelReport report = EngineModel(settings).run();
  const double attempts =
    static_cast<double>(std::max<std::uint64_t>(1, report.attempts_));
  std::printf("%-18s %-10s %5.0f%% p50 %6.3f p95 %6.3f p99 %6.3f  worst minute "
              "%4u of admitted %4u  goodput %6.1f/s  refused %5.1f%%  "
              "prefix hits %4.1f%%\n",
              aPolicy.name_,
              aFault.name_,
              aLoad * 100,
              report.quantile(0.5),
              report.quantile(0.95),
              report.quantile(0.99),
              report.worstPermille_,
              report.worstAdmitted_,
              report.goodput(),
              100.0 * static_cast<double>(report.refused_) /
                static_cast<double>(report.arrived_),
              100.0 * static_cast<double>(report.hits_) / attempts);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1;
  std::printf("bench_request_load %llu; times in seconds, worst minute in "
              "requests of 1,000 within the promise\n",
              static_cast<unsigned long long>(seed));
  for (const Fault& fault : kFaults) {
    for (const double load : kLoads) {
      if (fault.fault_ != ModelFault::kNone && load > 1.5) {
        continue;
      }
      for (const Policy& policy : kPolicies) {
        runCase(seed, policy, fault, load);
      }
    }
  }
  return EXIT_SUCCESS;
}
