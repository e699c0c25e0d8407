// Group downtime and stranded accelerators against a naive planner, over equal
// failure traces.

#include "group_world.h"
#include "option_func.h"

#include <iomanip>
#include <iostream>

using namespace auburnhaven::bench;

namespace {

constexpr std::int64_t kDay = 86400;
constexpr std::int64_t kHour = 3600;

/** A size and an operator's choice. */
struct Setting
{
  const char* name_; ///< Name of the setting.
  WorldShape shape_; ///< Size of one zone.
};

WorldFigures
runZone(const WorldShape& aShape,
        bool aNaive,
        const std::vector<TraceEvent>& aTrace,
        std::int64_t aSeconds)
{
  World world(aShape, aNaive);
  world.warmUp();
  world.run(aTrace, aSeconds);
  return world.figures();
}

void
print(const char* aPlanner, const WorldFigures& aFigures, double aSpareMinutes)
{
  std::cout << std::fixed << std::setprecision(0) << "  " << std::setw(6)
            << aPlanner << ": copy downtime " << aFigures.downMinutes_
            << " min, groups without a copy " << aFigures.noCopyMinutes_
            << " min, stranded " << aFigures.strandedMinutes_
            << " accelerator min (spares asked for: " << aSpareMinutes
            << "), loads " << aFigures.loads_ << ", records written "
            << aFigures.changes_ << std::endl;
}

void
compare(const Setting& aSetting,
        std::uint64_t aSeed,
        std::uint32_t aAnnounced,
        std::int64_t aSeconds)
{
  constexpr double kMinute = 60.0;
  const std::vector<TraceEvent> trace =
    TraceMaker(aSetting.shape_, aSeed, aAnnounced).make(aSeconds);
  std::cout << aSetting.name_ << ", " << aSeconds / kHour << " h, "
            << trace.size() << " events, " << aAnnounced
            << " in 1000 replacements announced" << std::endl;
  const WorldFigures naive = runZone(aSetting.shape_, true, trace, aSeconds);
  const WorldFigures own = runZone(aSetting.shape_, false, trace, aSeconds);
  const double spares = 4.0 * aSetting.shape_.spares_ *
                        aSetting.shape_.domains_ *
                        static_cast<double>(aSeconds) / kMinute;
  print("naive", naive, spares);
  print("own", own, spares);
  std::cout << std::setprecision(2) << "  copy downtime naive / own "
            << naive.downMinutes_ / own.downMinutes_
            << ", stranded own / naive "
            << own.strandedMinutes_ / naive.strandedMinutes_ << std::endl;
}

void
recover(const Setting& aSetting)
{
  const WorldShape& shape = aSetting.shape_;
  for (const bool naive : { true, false }) {
    World world(shape, naive);
    world.warmUp();
    const std::int64_t one = shape.spares_ > 0 ? world.killOneMember() : 0;
    world.forget();
    const std::int64_t oneDomain = world.restartDomains(1);
    const double domainDown = world.figures().downMinutes_;
    world.forget();
    const std::int64_t all = world.restartDomains(shape.domains_);
    const double fleetDown = world.figures().downMinutes_;
    std::cout << "  " << (naive ? "naive" : "own") << ": one member " << one
              << " s, one domain " << oneDomain << " s ("
              << std::setprecision(1) << domainDown
              << " copy min), all engines of the zone " << all << " s ("
              << fleetDown << " copy min)" << std::endl;
  }
  const std::int64_t copies = std::int64_t{ shape.copies_ } * shape.vmsPerCopy_;
  const std::int64_t perDomain = copies / shape.domains_;
  const auto limit = [&](std::int64_t aVms) {
    return (aVms * shape.loadSeconds_ + shape.loadsAtOnce_ - 1) /
           shape.loadsAtOnce_;
  };
  std::cout << "  weight store's limit: one member " << shape.loadSeconds_
            << " s, one domain " << limit(perDomain) << " s, all "
            << limit(copies) << " s" << std::endl;
}

} // namespace

/**
 * Runs all settings over traces of --seed; --days for today's size and
 * --target-hours for the target's.
 */
int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed = option(aCount, aArguments, "--seed", 1);
  const auto days =
    static_cast<std::int64_t>(option(aCount, aArguments, "--days", 30));
  const auto targetHours =
    static_cast<std::int64_t>(option(aCount, aArguments, "--target-hours", 4));
  const std::vector<Setting> today{
    { "today, 16 VMs a zone, copies of 4, no spares asked for",
      { 1, 16, 4, 4, 0, 4, 60 } },
    { "today, 17 VMs a zone, copies of 4, 1 spare asked for",
      { 1, 17, 4, 4, 1, 4, 60 } },
    { "today, 18 VMs a zone, copies of 4, 2 spares asked for",
      { 1, 18, 4, 4, 2, 4, 60 } },
  };
  const std::vector<Setting> target{
    { "target domain of 256 VMs, copies of 32, 8 copies, no spares",
      { 1, 256, 32, 8, 0, 32, 60 } },
    { "target domain of 256 VMs, copies of 32, 7 copies, 8 spares",
      { 1, 256, 32, 7, 8, 32, 60 } },
  };
  for (const std::uint32_t announced : { 500U, 1000U }) {
    for (const Setting& setting : today) {
      if (days == 0) {
        break;
      }
      compare(setting, seed, announced, days * kDay);
    }
    for (const Setting& setting : target) {
      if (targetHours > 0) {
        compare(setting, seed, announced, targetHours * kHour);
      }
    }
  }
  const std::vector<Setting> zone{
    { "target zone of 5 domains, copies of 32, 35 copies, 8 spares a domain",
      { 5, 256, 32, 35, 8, 32, 60 } },
  };
  for (const auto* settings : { &today, &zone }) {
    for (const Setting& setting : *settings) {
      std::cout << "recovery, " << setting.name_ << std::endl;
      recover(setting);
    }
  }
  return EXIT_SUCCESS;
}
