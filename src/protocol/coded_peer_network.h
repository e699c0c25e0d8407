// Typed messages between daemons over links that carry bytes.
#pragma once

#include "coordination/fleet/peer_network_port.h"
#include "protocol/byte_links_port.h"

#include <cstdint>

namespace auburnhaven::protocol {

/** Encodes messages for links and decodes what arrives. Control thread only. */
class CodedPeerNetwork : public coordination::PeerNetwork
{
public:
  /**
   * @param aLinks Links that carry the bytes; must outlive this object.
   * @param aClock Source of time.
   */
  CodedPeerNetwork(ByteLinks& aLinks, const state::Clock& aClock);

  void send(const state::Endpoint& aTo,
            const coordination::PeerMessage& aMessage) override;
  void onMessage(MessageHandler aHandler) override;
  /** @return Arrived messages that could not be decoded. */
  std::uint64_t undecoded() const { return undecoded_; }
  /** @return Messages dropped because they were too large to send. */
  std::uint64_t oversized() const { return oversized_; }

private:
  ByteLinks& links_;            ///< Links that carry the bytes.
  const state::Clock& clock_;   ///< Source of time.
  MessageHandler handler_;      ///< Takes decoded messages.
  std::uint64_t undecoded_ = 0; ///< Messages that could not be decoded.
  std::uint64_t oversized_ = 0; ///< Messages too large to send.
};

} // namespace auburnhaven::protocol
