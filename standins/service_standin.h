// Stand-in for a plain service that records each run of each key.
#pragma once

#include "fault_controls.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace auburnhaven::standins {

/** Runs that all instances of the service share, by path and key. */
using ServiceRuns = std::map<std::string, std::uint64_t>;

/** One instance of a plain service. One thread. */
class ServiceStandin
{
public:
  /** @param aRuns Runs shared by all instances. */
  explicit ServiceStandin(std::shared_ptr<ServiceRuns> aRuns);
  /** @param aExchange The call to answer. */
  void handle(Exchange& aExchange);

private:
  void run(Exchange& aExchange);      ///< Runs one operation.
  void showRuns(Exchange& aExchange); ///< Lists the runs of each key.

  std::shared_ptr<ServiceRuns> runs_; ///< Runs of all instances.
  std::uint64_t count_ = 0;           ///< Runs of this instance.
  FaultControls faults_;              ///< Faults of this instance.
};

} // namespace auburnhaven::standins
