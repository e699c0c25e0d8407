// Runs the entry daemon.

#include "app/serve.h"

#include "app/daemon.h"

#include <glog/logging.h>

namespace auburnhaven::app {

namespace {

/** Sends the log to standard error from the configured level on. */
void
startLog(LogLevel aLevel)
{
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = static_cast<int>(aLevel);
  google::InitGoogleLogging("auburnhaven");
}

} // namespace

int
runServe(const Settings& aSettings)
{
  startLog(aSettings.logLevel_);
  Daemon daemon(aSettings);
  return daemon.run();
}

} // namespace auburnhaven::app
