// Bounds how long each message was under way, without agreed clocks.
#pragma once

#include "coordination/fleet/peer_message_type.h"

#include <map>
#include <optional>

namespace auburnhaven::coordination {

/**
 * Stamps messages and bounds their transit time: a message that echoes a stamp
 * of ours was sent after we sent that stamp. Control thread only.
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
   * Takes the stamp of an arrived message.
   * @param aFrom Peer that sent it.
   * @param aStamp Its stamp.
   * @return Upper bound of its transit time, or nothing when it echoes none of
   * our stamps.
   */
  std::optional<state::Duration> recordArrival(const state::Endpoint& aFrom,
                                               const LinkStamp& aStamp);
  /** Forgets peers that have been silent for a minute. */
  void forgetSilent();

private:
  /** Newest stamp of a peer. */
  struct Heard
  {
    std::uint32_t stampMs_ = 0; ///< The stamp.
    state::TimePoint at_{};     ///< When it arrived.
  };

  std::uint32_t nowMs() const;

  const state::Clock& clock_;              ///< Source of time.
  state::TimePoint start_;                 ///< Zero of our stamps.
  std::map<state::Endpoint, Heard> heard_; ///< Newest stamp of each peer.
};

} // namespace auburnhaven::coordination
