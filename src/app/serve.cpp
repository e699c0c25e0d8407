// Runs the entry daemon.

#include "app/serve.h"

#include "app/command_line.h"

#include <iostream>

namespace auburnhaven::app {

int
runServe(const Settings& aSettings)
{
  std::cerr << "serve: daemon " << aSettings.daemon_
            << " cannot run: this build lacks the daemon\n";
  return kExitFailed;
}

} // namespace auburnhaven::app
