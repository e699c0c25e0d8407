// Several independent channels over the same links between daemons.
#pragma once

#include "protocol/byte_links_port.h"

#include <array>
#include <cstdint>
#include <string>
#include <utility>

namespace auburnhaven::protocol {

/** Channel of a message; its first byte on the link. */
enum class LinkChannel : char
{
  kFleet = 'f',  ///< Membership, shared entries and configuration.
  kClaims = 'c', ///< Claims of idempotency keys.
};

/**
 * Shares links among channels by a byte in front of each message. Messages of
 * unknown channels are dropped, so that versions may differ. Control thread
 * only.
 */
class LinkChannels
{
public:
  /** @param aLinks Links that carry all channels; outlive this object. */
  explicit LinkChannels(ByteLinks& aLinks);
  LinkChannels(const LinkChannels&) = delete;
  LinkChannels& operator=(const LinkChannels&) = delete;

  /** @return Links of the fleet's messages. */
  ByteLinks& fleet() { return fleet_; }
  /** @return Links of the claims. */
  ByteLinks& claims() { return claims_; }
  /** @return Messages of unknown channels. */
  std::uint64_t unknown() const { return unknown_; }

private:
  /** One channel as links of its own. */
  class Channel : public ByteLinks
  {
  public:
    Channel(ByteLinks& aLinks, LinkChannel aChannel)
      : links_(aLinks)
      , channel_(aChannel)
    {
    }
    void send(const state::Endpoint& aTo, std::string aMessage) override;
    void onMessage(MessageHandler aHandler) override;
    /** Takes a message of this channel. */
    void receive(const state::Endpoint& aFrom, const std::string& aMessage);
    /** @return Which channel this is. */
    LinkChannel channel() const { return channel_; }

  private:
    ByteLinks& links_;       ///< Links that carry all channels.
    LinkChannel channel_;    ///< Which channel this is.
    MessageHandler handler_; ///< Takes arriving messages.
  };

  void receive(const state::Endpoint& aFrom, const std::string& aMessage);

  Channel fleet_;             ///< Messages of the fleet.
  Channel claims_;            ///< Claims.
  std::uint64_t unknown_ = 0; ///< Messages of unknown channels.
};

} // namespace auburnhaven::protocol
