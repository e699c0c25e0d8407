// Command line of the stand-ins.

#include "standins_command.h"

#include "platform/load/load_run.h"
#include "platform/platform_world.h"
#include "world.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace auburnhaven::standins {

namespace {

constexpr std::size_t kMaxZones = kServicePort - kStorePort; ///< Store fronts.
constexpr std::uint32_t kMaxServices = 26;      ///< Service VMs of a zone.
constexpr std::uint32_t kMaxModelWorkers = 100; ///< Model workers of a zone.
constexpr std::uint32_t kMaxPlainWorkers =
  kModelPort - kPlainPort; ///< Workers of the plain service.

/** Numbers that are given in other units than the options hold. */
struct Units
{
  double tokenMs_ = 5;         ///< Time of one token in milliseconds.
  std::int64_t loadMs_ = 1000; ///< Time of a load in milliseconds.
};

/** Declares all options. */
void
addOptions(CLI::App& aApp, WorldOptions& aOptions, Units& aUnits)
{
  aApp.add_option("--base-port", aOptions.basePort_, "First port on 127.0.0.1");
  aApp.add_option("--zones", aOptions.zones_, "Names of the zones")
    ->delimiter(',')
    ->expected(1, kMaxZones);
  aApp.add_option("--domains-per-zone", aOptions.domainsPerZone_);
  aApp.add_option("--vms-per-domain", aOptions.vmsPerDomain_);
  aApp.add_option("--services-per-zone", aOptions.servicesPerZone_)
    ->check(CLI::Range(0U, kMaxServices));
  aApp.add_option("--checks-fencing",
                  aOptions.checksFencing_,
                  "Whether engines refuse old fencing numbers");
  aApp.add_option("--slots", aOptions.engine_.slots_, "Requests at once");
  aApp.add_option("--token-ms", aUnits.tokenMs_, "Time of one token")
    ->check(CLI::Range(0.0, 10000.0));
  aApp.add_option("--load-ms", aUnits.loadMs_, "Time to load a model")
    ->check(CLI::Range(0, 3600000));
  aApp
    .add_option("--weight-store-loads-per-second",
                aOptions.weightLoadsPerSecond_,
                "Loads that may start in a second")
    ->check(CLI::PositiveNumber);
  aApp.add_option("--threads", aOptions.threads_)->check(CLI::Range(1, 64));
}

/** Declares the command that hosts the users' platform. @return The command. */
const CLI::App*
addPlatform(CLI::App& aApp, PlatformOptions& aOptions)
{
  CLI::App* const command = aApp.add_subcommand(
    "platform", "The users' platform: its store, workers and operator");
  command->add_option("--base-port", aOptions.basePort_, "First port");
  command->add_option("--zones", aOptions.zones_, "Names of the zones")
    ->delimiter(',');
  command
    ->add_option(
      "--workers-per-zone", aOptions.workersPerZone_, "Model workers of a zone")
    ->check(CLI::Range(1U, kMaxModelWorkers));
  command
    ->add_option(
      "--plain-workers", aOptions.plainWorkers_, "Workers of the plain service")
    ->check(CLI::Range(1U, kMaxPlainWorkers));
  command->add_option("--slots", aOptions.pace_.slots_, "Requests at once")
    ->check(CLI::Range(1U, 1000U));
  return command;
}

/** Declares the load client's command. @return The command. */
const CLI::App*
addLoad(CLI::App& aApp, LoadOptions& aOptions)
{
  CLI::App* const command = aApp.add_subcommand(
    "load", "Clients of relay daemons; judges how each request ends");
  command->add_option("--daemons", aOptions.daemons_, "Addresses for callers")
    ->delimiter(',')
    ->required();
  command->add_option("--operator", aOptions.operator_, "The operator")
    ->required();
  command->add_option("--connections", aOptions.connections_);
  command->add_option("--seed", aOptions.seed_);
  command->add_option("--slow-percent", aOptions.slowPercent_)
    ->check(CLI::Range(0U, 100U));
  command->add_option("--half-close-percent", aOptions.halfClosePercent_)
    ->check(CLI::Range(0U, 100U));
  command->add_option("--pipeline-percent", aOptions.pipelinePercent_)
    ->check(CLI::Range(0U, 100U));
  command->add_option("--body-bytes", aOptions.bodyBytes_);
  command->add_option("--events", aOptions.events_)
    ->check(CLI::Range(1U, 1000U));
  return command;
}

/** Prints where everything listens, one line each. */
void
printPlan(const WorldOptions& aOptions)
{
  const int base = aOptions.basePort_;
  std::cout << "weight store 127.0.0.1:" << base + kWeightStorePort << '\n'
            << "VM list 127.0.0.1:" << base + kVmListPort << '\n';
  int port = base + kStorePort;
  for (const std::string& zone : aOptions.zones_) {
    std::cout << "store of zone " << zone << " 127.0.0.1:" << port++ << '\n';
  }
  std::cout << "services from 127.0.0.1:" << base + kServicePort << '\n';
  for (const auto& vm : makeVms(aOptions)) {
    std::cout << "engine " << vm.id_ << ' ' << vm.endpoint_ << '\n';
  }
  std::cout << "ready" << std::endl;
}

} // namespace

int
runStandins(int aCount, char** aArguments)
{
  CLI::App app("Stand-ins for store, VM list, weight store, engines, services");
  WorldOptions options;
  PlatformOptions platform;
  Units units;
  addOptions(app, options, units);
  LoadOptions load;
  const CLI::App* const onPlatform = addPlatform(app, platform);
  const CLI::App* const asLoad = addLoad(app, load);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  options.engine_.token_ =
    std::chrono::microseconds(static_cast<std::int64_t>(units.tokenMs_ * 1000));
  options.engine_.load_ = std::chrono::milliseconds(units.loadMs_);
  try {
    if (asLoad->parsed()) {
      return LoadRun(load).run() == 0 ? 0 : 1;
    }
    if (onPlatform->parsed()) {
      PlatformWorld world(platform);
      std::cout << world.plan() << "ready" << std::endl;
      world.run();
      return 0;
    }
    World world(options);
    printPlan(options);
    world.run();
  } catch (const boost::system::system_error& error) {
    std::cerr << "standins: " << error.what() << '\n';
    return 1;
  }
  return 0;
}

} // namespace auburnhaven::standins
