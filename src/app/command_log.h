// The command that prints the records of one request.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace auburnhaven::app {

/**
 * Prints the log records of a request in order of time. Text before the JSON
 * object of a line is kept; lines without one are left out. Thread-safe.
 * @param aRequest Identifier of the request.
 * @param aFiles Logs of one or more daemons.
 * @param aOut Takes the records.
 * @return Exit status: 1 when there is no record, 2 when a file cannot be read.
 */
int
runLog(const std::string& aRequest,
       const std::vector<std::string>& aFiles,
       std::ostream& aOut);

} // namespace auburnhaven::app
