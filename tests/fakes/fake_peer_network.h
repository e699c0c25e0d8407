// Typed messages between daemons in one process.
#pragma once

#include "coordination/fleet/peer_network_port.h"
#include "fakes/fake_switch.h"

#include <utility>
#include <variant>

namespace auburnhaven::fakes {

/** Switch for typed messages. */
using PeerSwitch = FakeSwitch<coordination::PeerMessage>;

/** One daemon's connection to the switch. Not thread-safe. */
class FakePeerNetwork : public coordination::PeerNetwork
{
public:
  /**
   * @param aSwitch The switch; must outlive this object.
   * @param aOwn Endpoint of the daemon.
   */
  FakePeerNetwork(PeerSwitch& aSwitch, state::Endpoint aOwn)
    : switch_(aSwitch)
    , own_(std::move(aOwn))
  {
  }
  ~FakePeerNetwork() override { switch_.attach(own_, nullptr); }
  FakePeerNetwork(const FakePeerNetwork&) = delete;
  FakePeerNetwork& operator=(const FakePeerNetwork&) = delete;

  void send(const state::Endpoint& aTo,
            const coordination::PeerMessage& aMessage) override
  {
    switch_.send(own_, aTo, aMessage);
  }

  void onMessage(MessageHandler aHandler) override
  {
    switch_.attach(
      own_,
      [handler = std::move(aHandler)](const state::Endpoint& aFrom,
                                      const coordination::PeerMessage& aMessage,
                                      state::Duration aUnderWay) {
        handler(aFrom, moved(aMessage, aUnderWay));
      });
  }

private:
  /** Makes times what a codec would make of their ages on arrival. */
  static coordination::PeerMessage moved(coordination::PeerMessage aMessage,
                                         state::Duration aUnderWay)
  {
    if (auto* gossip =
          std::get_if<coordination::GossipMessage>(&aMessage.body_)) {
      for (coordination::Heartbeat& beat : gossip->beats_) {
        beat.observedAt_ += aUnderWay;
      }
      for (coordination::WireEntry& entry : gossip->entries_) {
        entry.entry_.observedAt_ += aUnderWay;
      }
    }
    return aMessage;
  }

  PeerSwitch& switch_;  ///< The switch.
  state::Endpoint own_; ///< Endpoint of the daemon.
};

} // namespace auburnhaven::fakes
