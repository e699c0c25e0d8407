// The command that prints the records of one request.

#include "app/command_log.h"

#include "app/command_line.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <utility>

namespace auburnhaven::app {

namespace {

/** A line of a log and its time. */
using TimedLine = std::pair<std::int64_t, std::string>;

/** Adds the records of a request that a file has. */
void
collect(const std::string& aRequest,
        std::istream& aFile,
        std::vector<TimedLine>& aLines)
{
  for (std::string line; std::getline(aFile, line);) {
    const std::size_t start = line.find('{');
    if (start == std::string::npos ||
        line.find(aRequest) == std::string::npos) {
      continue;
    }
    const auto record =
      nlohmann::json::parse(line.substr(start), nullptr, false);
    const bool mine = record.is_object() && record.contains("id") &&
                      record["id"] == aRequest && record.contains("time_ms") &&
                      record["time_ms"].is_number_integer();
    if (mine) {
      aLines.emplace_back(record["time_ms"].get<std::int64_t>(), line);
    }
  }
}

} // namespace

int
runLog(const std::string& aRequest,
       const std::vector<std::string>& aFiles,
       std::ostream& aOut)
{
  std::vector<TimedLine> lines;
  for (const std::string& path : aFiles) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << path << " cannot be read\n";
      return kExitBadInput;
    }
    collect(aRequest, file, lines);
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  for (const auto& [time, line] : lines) {
    aOut << line << '\n';
  }
  return lines.empty() ? kExitFailed : kExitOk;
}

} // namespace auburnhaven::app
