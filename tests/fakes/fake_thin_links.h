// Encoded messages between daemons whose links have a bandwidth.
#pragma once

#include "fakes/fake_clock.h"
#include "protocol/byte_links_port.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace auburnhaven::fakes {

/**
 * Carries messages between VMs, each behind one link that sends and takes
 * messages one after the other. Not thread-safe.
 */
class ThinNetwork
{
public:
  using Handler = protocol::ByteLinks::MessageHandler; ///< Takes messages.

  /** @param aClock Clock of the test. */
  explicit ThinNetwork(const FakeClock& aClock)
    : clock_(aClock)
  {
  }

  /** Attaches a daemon. @param aAt Its endpoint. @param aMbit Bandwidth of its
   * link in megabits a second. @param aHandler Takes its messages. */
  void attach(const state::Endpoint& aAt, double aMbit, Handler aHandler)
  {
    constexpr double kBitsPerByte = 8;
    constexpr double kMicrosPerSecond = 1e6;
    links_[aAt].perByte_ = std::chrono::duration<double, std::micro>(
      kBitsPerByte * kMicrosPerSecond / (aMbit * 1e6));
    links_[aAt].handler_ = std::move(aHandler);
  }

  void send(const state::Endpoint& aFrom,
            const state::Endpoint& aTo,
            std::string aMessage)
  {
    Link& from = links_[aFrom];
    Link& to = links_[aTo];
    from.freeAt_ =
      std::max(from.freeAt_, clock_.now()) + timeOf(from, aMessage);
    from.longestWait_ =
      std::max(from.longestWait_, from.freeAt_ - clock_.now());
    to.freeInAt_ = std::max(to.freeInAt_, from.freeAt_) + timeOf(to, aMessage);
    queue_.emplace(to.freeInAt_, Flight{ aFrom, aTo, std::move(aMessage) });
  }

  /** Hands over the messages that have arrived. */
  void step()
  {
    while (!queue_.empty() && queue_.begin()->first <= clock_.now()) {
      const Flight flight = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      if (links_[flight.to_].handler_) {
        links_[flight.to_].handler_(flight.from_, flight.message_);
      }
    }
  }

  /** @return Longest time that a message took to leave a VM. */
  state::Duration longestWait(const state::Endpoint& aFrom)
  {
    return links_[aFrom].longestWait_;
  }

private:
  /** The link of a VM. */
  struct Link
  {
    std::chrono::duration<double, std::micro> perByte_{ 0 }; ///< Its speed.
    state::TimePoint freeAt_{};     ///< When it has sent all.
    state::TimePoint freeInAt_{};   ///< When it has taken all.
    state::Duration longestWait_{}; ///< Longest time until a message had left.
    Handler handler_;               ///< Takes messages.
  };
  /** A message under way. */
  struct Flight
  {
    state::Endpoint from_; ///< Sender.
    state::Endpoint to_;   ///< Receiver.
    std::string message_;  ///< The message.
  };

  static state::Duration timeOf(const Link& aLink, const std::string& aMessage)
  {
    return std::chrono::duration_cast<state::Duration>(
      aLink.perByte_ * static_cast<double>(aMessage.size()));
  }

  const FakeClock& clock_;                        ///< Clock of the test.
  std::map<state::Endpoint, Link> links_;         ///< Links by daemon.
  std::multimap<state::TimePoint, Flight> queue_; ///< Messages under way.
};

/** One daemon's links through the network. Not thread-safe. */
class ThinLinks : public protocol::ByteLinks
{
public:
  /** @param aNetwork The network; outlives this. @param aOwn Endpoint of the
   * daemon. @param aMbit Bandwidth of its link in megabits a second. */
  ThinLinks(ThinNetwork& aNetwork, state::Endpoint aOwn, double aMbit)
    : network_(aNetwork)
    , own_(std::move(aOwn))
    , mbit_(aMbit)
  {
  }

  void send(const state::Endpoint& aTo, std::string aMessage) override
  {
    network_.send(own_, aTo, std::move(aMessage));
  }

  void onMessage(MessageHandler aHandler) override
  {
    network_.attach(own_, mbit_, std::move(aHandler));
  }

private:
  ThinNetwork& network_; ///< The network.
  state::Endpoint own_;  ///< Endpoint of the daemon.
  double mbit_;          ///< Bandwidth.
};

} // namespace auburnhaven::fakes
