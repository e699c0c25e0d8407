// Checks whether anything listens on an endpoint by connecting to it.
#pragma once

#include "coordination/quarantine/crash_observer.h"

#include <boost/asio/spawn.hpp>

#include <chrono>

namespace auburnhaven::transport {

/** Implements ListenerProbe with TCP connections. Used on the thread of its
 * event loop only. */
class ConnectProbe : public coordination::ListenerProbe
{
public:
  /** @param aContext Event loop; outlives this object. */
  explicit ConnectProbe(boost::asio::io_context& aContext);

  void probe(const state::Endpoint& aEndpoint, Handler aHandler) override;

private:
  boost::asio::io_context& context_; ///< Event loop.
};

/**
 * Tries to connect to an endpoint, and closes the connection at once.
 * @param aEndpoint The endpoint.
 * @param aTimeout For the connection; a missing answer is no refusal.
 * @param aYield The coroutine, which waits for the result.
 * @return Whether the connection was refused.
 */
bool
refusesConnections(const state::Endpoint& aEndpoint,
                   std::chrono::milliseconds aTimeout,
                   const boost::asio::yield_context& aYield);

} // namespace auburnhaven::transport
