// One connection of the HTTP server.
#pragma once

#include "transport/http_server.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace auburnhaven::transport {

/** What a session needs from its server. */
struct HttpSessionContext
{
  std::size_t thread_ = 0;                 ///< Index of the traffic thread.
  HttpServerLimits limits_;                ///< Limits.
  HttpHandler* handler_ = nullptr;         ///< Answers the requests.
  std::shared_ptr<HttpServerState> state_; ///< Shared with the server.
};

/**
 * Starts a session for an accepted connection on its thread.
 * @param aSocket The connection, bound to the thread's event loop.
 * @param aContext What the session needs.
 */
void
startHttpSession(boost::asio::ip::tcp::socket aSocket,
                 HttpSessionContext aContext);

} // namespace auburnhaven::transport
