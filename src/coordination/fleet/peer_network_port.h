// Interface to the network between daemons, with typed messages.
#pragma once

#include "coordination/fleet/peer_message_type.h"

#include <functional>

namespace auburnhaven::coordination {

/** Typed messages between daemons. A message arrives once, late, or not at all.
 * Control thread only. */
class PeerNetwork
{
public:
  using MessageHandler =
    std::function<void(const state::Endpoint&,
                       const PeerMessage&)>; ///< Takes the sender's listening
                                             ///< endpoint and the message.

  virtual ~PeerNetwork() = default;
  /**
   * Sends a message.
   * @param aTo Listening endpoint of the peer.
   * @param aMessage The message.
   */
  virtual void send(const state::Endpoint& aTo,
                    const PeerMessage& aMessage) = 0;
  /**
   * Sets who takes arriving messages. Times in them have been set from their
   * ages as if they had been under way for no time.
   * @param aHandler Called on the control thread.
   */
  virtual void onMessage(MessageHandler aHandler) = 0;
};

} // namespace auburnhaven::coordination
