// Commands of operators on the configuration.
#pragma once

#include "app/command_client.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace auburnhaven::app {

/** Options of `config submit`. */
struct SubmitOptions
{
  OperatorOptions operator_; ///< How to reach a daemon.
  std::string file_;         ///< Configuration file.
  std::string author_;       ///< Who submits it.
  std::string summary_;      ///< Why, in the author's words.
  std::string submission_;   ///< Identifies the change; empty for a new one.
  std::optional<std::uint64_t> base_; ///< Generation reviewed; none for newest.
  bool wait_ = false;                 ///< Whether to wait until it is in force.
  std::chrono::seconds waitLimit_{ 60 }; ///< Longest wait.
};

/** Checks a file. @param aFile The file. @return Exit status. */
int
runConfigCheck(const std::string& aFile);

/**
 * Shows how a file differs from the configuration in force.
 * @param aOptions How to reach a daemon.
 * @param aFile The file.
 * @return Exit status.
 */
int
runConfigDiff(const OperatorOptions& aOptions, const std::string& aFile);

/** Submits a file. @param aOptions Options. @return Exit status. */
int
runConfigSubmit(const SubmitOptions& aOptions);

/** Prints the configuration in force. @param aOptions Options. @return Exit
 * status. */
int
runConfigShow(const OperatorOptions& aOptions);

/**
 * Prints the newest changes.
 * @param aOptions How to reach a daemon.
 * @param aCount How many at most.
 * @return Exit status.
 */
int
runConfigHistory(const OperatorOptions& aOptions, std::uint32_t aCount);

} // namespace auburnhaven::app
