// Interface to the network between daemons.
#pragma once

#include "coordination/fleet/peer_message_type.h"

#include <functional>

namespace auburnhaven::coordination {

/** Sends and receives messages between daemons. A message arrives at most once,
 * and may be delayed or lost. Control thread only. */
class PeerNetwork
{
public:
  using MessageHandler = std::function<void(
    const state::Endpoint&,
    const PeerMessage&)>; ///< Called with the sender's listening
                          ///< endpoint and the message.

  virtual ~PeerNetwork() = default;
  /**
   * Sends a message; failures are not reported.
   * @param aTo Listening endpoint of the peer.
   * @param aMessage Message, with times of the local clock.
   */
  virtual void send(const state::Endpoint& aTo,
                    const PeerMessage& aMessage) = 0;
  /**
   * Sets the handler of arriving messages. Times in the messages are computed
   * from their ages as if the transit time were zero.
   * @param aHandler Called on the control thread.
   */
  virtual void onMessage(MessageHandler aHandler) = 0;
};

} // namespace auburnhaven::coordination
