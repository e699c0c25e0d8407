// Command line of the auburnhaven executable.

#include "app/command_line.h"

#include "app/command_output.h"
#include "app/serve.h"
#include "app/settings_file.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace auburnhaven::app {

namespace {

/** Reads the settings and runs the daemon. */
int
serve(const std::string& aPath)
{
  return state::leaf::try_handle_all(
    [&]() -> state::leaf::result<int> {
      BOOST_LEAF_AUTO(settings, readSettingsFile(aPath));
      return runServe(settings);
    },
    [](const state::InputErrors& aErrors) {
      printInputErrors(std::cerr, aErrors);
      return kExitBadInput;
    },
    [] { return kExitFailed; });
}

/** Declares `serve`. */
void
addServe(CLI::App& aApp, int& aStatus)
{
  CLI::App* command = aApp.add_subcommand("serve", "Run the entry daemon");
  const auto path = std::make_shared<std::string>();
  command->add_option("--settings", *path, "Settings file in TOML")->required();
  command->callback([path, &aStatus] { aStatus = serve(*path); });
}

/** Declares `settings`. */
void
addSettings(CLI::App& aApp)
{
  CLI::App* command =
    aApp.add_subcommand("settings", "Print the reference of all settings");
  command->callback([] { std::cout << settingsReference(); });
}

} // namespace

int
runCommandLine(int aCount, char** aArguments)
{
  CLI::App app("Serving system for models whose copies span several VMs");
  app.set_version_flag("--version", AUBURNHAVEN_VERSION);
  app.require_subcommand(1);
  int status = kExitOk;
  addServe(app, status);
  addSettings(app);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitBadInput;
  }
  return status;
}

} // namespace auburnhaven::app
