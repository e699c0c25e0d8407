// Attempts made through daemons of other availability zones.
#pragma once

#include "state/endpoint_type.h"
#include "transport/forward_type.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>

namespace auburnhaven::transport {

class ForwardSession;

/**
 * Opens attempts over one kept session per daemon. One per traffic thread, all
 * calls on it; streams may outlive the client.
 */
class ForwardClient
{
public:
  /**
   * @param aContext Event loop of the traffic thread.
   * @param aSettings Settings.
   */
  ForwardClient(boost::asio::io_context& aContext, ForwardSettings aSettings);
  ~ForwardClient();
  ForwardClient(const ForwardClient&) = delete;
  ForwardClient& operator=(const ForwardClient&) = delete;

  /**
   * @param aGateway Where a daemon of the target's zone takes forwarded
   * requests.
   * @param aRequest The request.
   * @return The attempt, not yet sent. kNotReached is told only when the
   * target certainly got nothing of it.
   */
  std::unique_ptr<TargetStream> open(const state::Endpoint& aGateway,
                                     ForwardedRequest aRequest);

private:
  boost::asio::io_context& context_; ///< Event loop of the thread.
  ForwardSettings settings_;         ///< Settings.
  std::map<state::Endpoint, std::shared_ptr<ForwardSession>>
    sessions_; ///< Newest session with each daemon.
};

} // namespace auburnhaven::transport
