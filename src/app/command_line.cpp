// Command line of the auburnhaven executable.

#include "app/command_line.h"

#include "app/command_config.h"
#include "app/command_func.h"
#include "app/command_log.h"
#include "app/command_status.h"
#include "app/relay_daemon.h"
#include "app/relay_settings_file.h"
#include "app/serve.h"
#include "app/settings_file.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace auburnhaven::app {

namespace {

/** Values of all options of one run. */
struct CommandOptions
{
  std::string settings_;           ///< Settings file of `serve`.
  std::string file_;               ///< Configuration file.
  std::string request_;            ///< Request of `log`.
  std::vector<std::string> logs_;  ///< Files of `log`.
  std::uint32_t count_ = 20;       ///< Lines of history or audit.
  std::uint32_t waitSeconds_ = 60; ///< Longest wait of `config submit`.
  OperatorOptions operator_;       ///< How to reach a daemon.
  SubmitOptions submit_;           ///< Options of `config submit`.
  int status_ = kExitOk;           ///< Exit status of the command.
};

/** Reads the settings and runs the daemon. */
int
serve(const std::string& aPath)
{
  return runCommand([&]() -> state::leaf::result<int> {
    BOOST_LEAF_AUTO(settings, readSettingsFile(aPath));
    return runServe(settings);
  });
}

/** Reads the settings and runs the relay daemon. */
int
relay(const std::string& aPath)
{
  return runCommand([&]() -> state::leaf::result<int> {
    BOOST_LEAF_AUTO(file, readRelaySettings(aPath));
    return RelayDaemon(file).run();
  });
}

/** Declares `relay` and `relay-settings`. */
void
addRelayCommands(CLI::App& aApp, CommandOptions& aOptions)
{
  CLI::App* command = aApp.add_subcommand(
    "relay", "Run the relay daemon, which passes requests through");
  command->add_option("--settings", aOptions.settings_, "Settings file in TOML")
    ->required();
  command->callback(
    [&aOptions] { aOptions.status_ = relay(aOptions.settings_); });
  aApp
    .add_subcommand("relay-settings",
                    "Print the reference of the relay daemon's settings")
    ->callback([] { std::cout << relaySettingsReference(); });
}

/** Declares `log`. */
void
addLog(CLI::App& aApp, CommandOptions& aOptions)
{
  CLI::App* command = aApp.add_subcommand(
    "log", "Print the log records of one request in order of time");
  command
    ->add_option("--request", aOptions.request_, "Identifier of the request")
    ->required();
  command->add_option("FILE", aOptions.logs_, "Logs of relay daemons")
    ->required();
  command->callback([&aOptions] {
    aOptions.status_ = runLog(aOptions.request_, aOptions.logs_, std::cout);
  });
}

/** Declares `serve` and `settings`. */
void
addDaemonCommands(CLI::App& aApp, CommandOptions& aOptions)
{
  CLI::App* command = aApp.add_subcommand("serve", "Run the entry daemon");
  command->add_option("--settings", aOptions.settings_, "Settings file in TOML")
    ->required();
  command->callback(
    [&aOptions] { aOptions.status_ = serve(aOptions.settings_); });
  aApp.add_subcommand("settings", "Print the reference of all settings")
    ->callback([] { std::cout << settingsReference(); });
}

/** Declares the options that all calls of a daemon have. */
CLI::App*
addCall(CLI::App& aParent,
        const char* aName,
        const char* aHelp,
        CommandOptions& aOptions)
{
  CLI::App* command = aParent.add_subcommand(aName, aHelp);
  OperatorOptions& options = aOptions.operator_;
  command
    ->add_option(
      "--operator", options.address_, "Operator listener, address:port")
    ->capture_default_str();
  command
    ->add_option(
      "--operator-key-file", options.keyFile_, "File with the operator key")
    ->required();
  command->add_flag("--json", options.json_, "Print JSON");
  return command;
}

/** Declares the configuration file as a positional argument. */
void
addFile(CLI::App& aCommand, CommandOptions& aOptions)
{
  aCommand.add_option("FILE", aOptions.file_, "Configuration in TOML")
    ->required();
}

/** Declares how many lines to print. */
void
addCount(CLI::App& aCommand, CommandOptions& aOptions)
{
  aCommand.add_option("--count", aOptions.count_, "Most entries printed")
    ->check(CLI::Range(1, 10000))
    ->capture_default_str();
}

/** Runs `config submit` with the options collected. */
int
submit(const CommandOptions& aOptions)
{
  SubmitOptions options = aOptions.submit_;
  options.operator_ = aOptions.operator_;
  options.file_ = aOptions.file_;
  options.waitLimit_ = std::chrono::seconds(aOptions.waitSeconds_);
  return runConfigSubmit(options);
}

/** Declares `config submit`. */
void
addSubmit(CLI::App& aConfig, CommandOptions& aOptions)
{
  CLI::App* command =
    addCall(aConfig, "submit", "Make a file the configuration", aOptions);
  SubmitOptions& options = aOptions.submit_;
  addFile(*command, aOptions);
  command->add_option("--author", options.author_, "Who submits it")
    ->required();
  command->add_option("--summary", options.summary_, "Why")->required();
  command->add_option("--base",
                      options.base_,
                      "Generation that was reviewed; default the newest");
  command->add_option(
    "--submission", options.submission_, "Identifier to repeat a submission");
  command->add_flag("--wait", options.wait_, "Wait until it is in force");
  command->add_option("--wait-seconds", aOptions.waitSeconds_, "Longest wait")
    ->capture_default_str();
  command->callback([&aOptions] { aOptions.status_ = submit(aOptions); });
}

/** Declares `config` and its commands. */
void
addConfigCommands(CLI::App& aApp, CommandOptions& aOptions)
{
  CLI::App* config =
    aApp.add_subcommand("config", "Check, change and show the configuration");
  config->require_subcommand(1);
  CLI::App* check = config->add_subcommand("check", "Check a file");
  addFile(*check, aOptions);
  check->callback(
    [&aOptions] { aOptions.status_ = runConfigCheck(aOptions.file_); });
  CLI::App* diff =
    addCall(*config, "diff", "Compare a file with the configuration", aOptions);
  addFile(*diff, aOptions);
  diff->callback([&aOptions] {
    aOptions.status_ = runConfigDiff(aOptions.operator_, aOptions.file_);
  });
  addSubmit(*config, aOptions);
  addCall(*config, "show", "Print the configuration in force", aOptions)
    ->callback(
      [&aOptions] { aOptions.status_ = runConfigShow(aOptions.operator_); });
  CLI::App* history =
    addCall(*config, "history", "Print the newest changes", aOptions);
  addCount(*history, aOptions);
  history->callback([&aOptions] {
    aOptions.status_ = runConfigHistory(aOptions.operator_, aOptions.count_);
  });
}

/** Declares `status` and `audit`. */
void
addStatusCommands(CLI::App& aApp, CommandOptions& aOptions)
{
  addCall(aApp, "status", "Print groups, spares and daemons", aOptions)
    ->callback(
      [&aOptions] { aOptions.status_ = runStatus(aOptions.operator_); });
  CLI::App* audit = addCall(
    aApp, "audit", "Print the newest lines of the audit trail", aOptions);
  addCount(*audit, aOptions);
  audit->callback([&aOptions] {
    aOptions.status_ = runAudit(aOptions.operator_, aOptions.count_);
  });
}

} // namespace

int
runCommandLine(int aCount, char** aArguments)
{
  CLI::App app("Serving system for models whose copies span several VMs");
  app.set_version_flag("--version", AUBURNHAVEN_VERSION);
  app.require_subcommand(1);
  CommandOptions options;
  addDaemonCommands(app, options);
  addRelayCommands(app, options);
  addLog(app, options);
  addConfigCommands(app, options);
  addStatusCommands(app, options);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitBadInput;
  }
  return options.status_;
}

} // namespace auburnhaven::app
