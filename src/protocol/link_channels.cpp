// Several independent channels over the same links between daemons.

#include "protocol/link_channels.h"

namespace auburnhaven::protocol {

LinkChannels::LinkChannels(ByteLinks& aLinks)
  : fleet_(aLinks, LinkChannel::kFleet)
  , claims_(aLinks, LinkChannel::kClaims)
{
  aLinks.onMessage(
    [this](const state::Endpoint& aFrom, const std::string& aMessage) {
      receive(aFrom, aMessage);
    });
}

void
LinkChannels::receive(const state::Endpoint& aFrom, const std::string& aMessage)
{
  for (Channel* channel : { &fleet_, &claims_ }) {
    if (!aMessage.empty() &&
        aMessage.front() == static_cast<char>(channel->channel())) {
      channel->receive(aFrom, aMessage.substr(1));
      return;
    }
  }
  ++unknown_;
}

void
LinkChannels::Channel::send(const state::Endpoint& aTo, std::string aMessage)
{
  aMessage.insert(aMessage.begin(), static_cast<char>(channel_));
  links_.send(aTo, std::move(aMessage));
}

void
LinkChannels::Channel::onMessage(MessageHandler aHandler)
{
  handler_ = std::move(aHandler);
}

void
LinkChannels::Channel::receive(const state::Endpoint& aFrom,
                               const std::string& aMessage)
{
  if (handler_) {
    handler_(aFrom, aMessage);
  }
}

} // namespace auburnhaven::protocol
