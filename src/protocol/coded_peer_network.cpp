// Typed messages between daemons over links that carry bytes.

#include "protocol/coded_peer_network.h"

#include "protocol/peer_codec.h"

#include <utility>

namespace auburnhaven::protocol {

CodedPeerNetwork::CodedPeerNetwork(ByteLinks& aLinks,
                                   const state::Clock& aClock)
  : links_(aLinks)
  , clock_(aClock)
{
  links_.onMessage(
    [this](const state::Endpoint& aFrom, const std::string& aBytes) {
      const std::optional<coordination::PeerMessage> message =
        decodePeerMessage(aBytes, clock_.now());
      if (!message) {
        ++undecoded_;
      } else if (handler_) {
        handler_(aFrom, *message);
      }
    });
}

void
CodedPeerNetwork::send(const state::Endpoint& aTo,
                       const coordination::PeerMessage& aMessage)
{
  std::string bytes = encodePeerMessage(aMessage, clock_.now());
  if (bytes.size() > kMaxPeerMessageBytes) {
    ++oversized_;
    return;
  }
  links_.send(aTo, std::move(bytes));
}

void
CodedPeerNetwork::onMessage(MessageHandler aHandler)
{
  handler_ = std::move(aHandler);
}

} // namespace auburnhaven::protocol
