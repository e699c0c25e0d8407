// What the load client knows of each daemon.
#pragma once

#include "platform/load/load_type.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace auburnhaven::standins {

inline constexpr std::chrono::milliseconds kGrace(
  8000); ///< From SIGTERM to SIGKILL on the users' platform.
inline constexpr std::chrono::milliseconds kContact(
  4000); ///< After a disruption, until rules hold for a machine again.

/** The daemons: addresses, whether the balancer uses them, and what the
 * schedule did to them. One thread. */
class DaemonBoard
{
public:
  /** @param aAddresses Address and port for callers of each daemon; the port
   * above it tells whether it is ready. */
  explicit DaemonBoard(const std::vector<std::string>& aAddresses);

  /** @return Number of daemons. */
  std::size_t size() const { return daemons_.size(); }
  /** @return Where a daemon takes callers. */
  const boost::asio::ip::tcp::endpoint& callers(std::size_t aDaemon) const
  {
    return daemons_[aDaemon].callers_;
  }
  /** @return Where a daemon tells whether it is ready. */
  const boost::asio::ip::tcp::endpoint& status(std::size_t aDaemon) const
  {
    return daemons_[aDaemon].status_;
  }
  /** @return A daemon for a new connection: one in rotation that has not
   * refused lately; any other when there is none. */
  std::size_t choose(std::mt19937_64& aRandom) const;
  /** Notes an answer to the balancer's question. */
  void noteProbe(std::size_t aDaemon, bool aReady);
  /** Notes that a daemon took no connection. */
  void noteRefusal(std::size_t aDaemon);
  /**
   * Notes a line of the schedule: "stop|start|pause|resume INDEX MS", the time
   * in milliseconds of the wall clock. Others are ignored.
   */
  void noteLine(const std::string& aLine);

  /** @return The last SIGTERM to a daemon before a time, at most the grace and
   * a second earlier. */
  std::optional<LoadTime> stopBefore(std::size_t aDaemon, LoadTime aTime) const;
  /** @return Whether a daemon was frozen within a span, or had been so shortly
   * before it that it is not judged. */
  bool wasFrozen(std::size_t aDaemon, LoadTime aFrom, LoadTime aTo) const;
  /** Notes a span in which this process itself did not run in time. */
  void noteOwnDelay(LoadTime aFrom, LoadTime aTo);
  /** @return Whether this process did not run in time within a span, so that
   * its times are too late. */
  bool wasLate(LoadTime aFrom, LoadTime aTo) const;

private:
  /** A freeze of a process. */
  struct Freeze
  {
    LoadTime from_;                 ///< Begin.
    LoadTime to_ = LoadTime::max(); ///< End.
  };
  /** One daemon. */
  struct Daemon
  {
    boost::asio::ip::tcp::endpoint callers_; ///< For callers.
    boost::asio::ip::tcp::endpoint status_;  ///< For questions.
    std::uint32_t misses_ = 0;               ///< Questions missed in a row.
    LoadTime refusedUntil_;                  ///< Not asked again before.
    std::vector<LoadTime> stops_;            ///< SIGTERMs.
    std::vector<Freeze> freezes_;            ///< Freezes.
  };

  std::vector<Freeze> ownDelays_; ///< Spans in which this process was late.
  std::vector<Daemon> daemons_;   ///< The daemons.
};

} // namespace auburnhaven::standins
