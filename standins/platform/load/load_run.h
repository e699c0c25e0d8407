// A run of the load client.
#pragma once

#include "platform/load/load_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/streambuf.hpp>

#include <string>

namespace auburnhaven::standins {

/**
 * Sends requests to daemons until the line "end" or the end of the standard
 * input, whose lines tell what a schedule does to the daemons; then judges how
 * all requests ended. One thread.
 */
class LoadRun
{
public:
  /** @param aOptions What to do; outlives this object. */
  explicit LoadRun(const LoadOptions& aOptions);
  /** Runs to the end and prints the report. @return Number of faults. */
  std::size_t run();

private:
  void startClients();
  void startProbes();
  void probe(std::size_t aDaemon, const boost::asio::yield_context& aYield);
  void watchOwnDelay(const boost::asio::yield_context& aYield);
  void readSchedule(const boost::asio::yield_context& aYield);
  std::map<std::string, AttemptRuns> askForRuns();

  const LoadOptions& options_;                  ///< What to do.
  boost::asio::io_context context_{ 1 };        ///< Event loop.
  DaemonBoard board_;                           ///< The daemons.
  LoadReport report_;                           ///< How requests ended.
  LoadShared shared_;                           ///< What all clients share.
  boost::asio::posix::stream_descriptor input_; ///< The schedule's lines.
};

} // namespace auburnhaven::standins
