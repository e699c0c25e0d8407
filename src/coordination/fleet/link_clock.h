// Bounds the transit time of each message without synchronized clocks.
#pragma once

#include "coordination/fleet/peer_message_type.h"

#include <map>
#include <optional>

namespace auburnhaven::coordination {

/**
 * Stamps messages and bounds their transit time. A message that echoes a stamp
 * of this daemon was sent after this daemon sent that stamp, so the time since
 * then, less the time for which the peer held the stamp, bounds its transit
 * time. No synchronized clocks are needed. Control thread only.
 */
class LinkClock
{
public:
  /** @param aClock Source of time. */
  explicit LinkClock(const state::Clock& aClock);

  /**
   * @param aTo Peer that the message goes to.
   * @return Stamp for a message sent now.
   */
  LinkStamp stamp(const state::Endpoint& aTo) const;
  /**
   * Records the stamp of a received message.
   * @param aFrom Peer that sent it.
   * @param aStamp Its stamp.
   * @return Upper bound of its transit time, or nothing when it echoes no stamp
   * of this daemon or an implausible one.
   */
  std::optional<state::Duration> recordArrival(const state::Endpoint& aFrom,
                                               const LinkStamp& aStamp);
  /** Forgets peers that have been silent for a minute. */
  void forgetSilent();

private:
  /** Last stamp received from a peer. */
  struct ReceivedStamp
  {
    std::uint32_t stampMs_ = 0;     ///< The stamp.
    state::TimePoint receivedAt_{}; ///< When it arrived.
  };

  std::uint32_t nowMs() const;

  const state::Clock& clock_; ///< Source of time.
  state::TimePoint start_;    ///< Time zero of this daemon's stamps.
  std::map<state::Endpoint, ReceivedStamp>
    received_; ///< Last stamp of each peer.
};

} // namespace auburnhaven::coordination
