// Interface to kept links that carry encoded messages between daemons.
#pragma once

#include "state/endpoint_type.h"

#include <cstddef>
#include <functional>
#include <string>

namespace auburnhaven::protocol {

inline constexpr std::size_t kMaxPeerMessageBytes =
  1024UL * 1024; ///< Largest encoded message.

/**
 * Encoded messages between daemons over kept streams. A message arrives once,
 * late, or not at all. Control thread only.
 */
class ByteLinks
{
public:
  /** Takes the listening endpoint of the sender and the encoded message. */
  using MessageHandler =
    std::function<void(const state::Endpoint&, const std::string&)>;

  virtual ~ByteLinks() = default;
  /**
   * Sends a message; opens a link when there is none. Drops the message when
   * the peer cannot be reached or its queue is full.
   * @param aTo Listening endpoint of the peer.
   * @param aMessage Encoded message, at most kMaxPeerMessageBytes.
   */
  virtual void send(const state::Endpoint& aTo, std::string aMessage) = 0;
  /**
   * Sets who takes arriving messages.
   * @param aHandler Called on the control thread.
   */
  virtual void onMessage(MessageHandler aHandler) = 0;
};

} // namespace auburnhaven::protocol
