// Encoded messages between daemons in one process.
#pragma once

#include "fakes/fake_switch.h"
#include "protocol/byte_links_port.h"

#include <string>
#include <utility>

namespace auburnhaven::fakes {

/** Switch for encoded messages. */
using ByteSwitch = FakeSwitch<std::string>;

/** One daemon's links through the switch. Not thread-safe. */
class FakeByteLinks : public protocol::ByteLinks
{
public:
  /**
   * @param aSwitch The switch; must outlive this object.
   * @param aOwn Endpoint of the daemon.
   */
  FakeByteLinks(ByteSwitch& aSwitch, state::Endpoint aOwn)
    : switch_(aSwitch)
    , own_(std::move(aOwn))
  {
  }
  ~FakeByteLinks() override { switch_.attach(own_, nullptr); }
  FakeByteLinks(const FakeByteLinks&) = delete;
  FakeByteLinks& operator=(const FakeByteLinks&) = delete;

  void send(const state::Endpoint& aTo, std::string aMessage) override
  {
    switch_.send(own_, aTo, std::move(aMessage));
  }

  void onMessage(MessageHandler aHandler) override
  {
    switch_.attach(own_,
                   [handler = std::move(aHandler)](const state::Endpoint& aFrom,
                                                   const std::string& aMessage,
                                                   state::Duration) {
                     handler(aFrom, aMessage);
                   });
  }

private:
  ByteSwitch& switch_;  ///< The switch.
  state::Endpoint own_; ///< Endpoint of the daemon.
};

} // namespace auburnhaven::fakes
