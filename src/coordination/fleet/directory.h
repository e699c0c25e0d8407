// Bounded list of a zone's daemons in the store, by which new daemons discover
// the zone.
#pragma once

#include "coordination/fleet/membership.h"
#include "coordination/store_port.h"

#include <optional>
#include <vector>

namespace auburnhaven::coordination {

/**
 * Reads and maintains the list under one store key of the zone. One daemon of
 * the zone maintains the list; a daemon that knows no other daemon of its zone
 * reads it more often, to find one, and adds itself. Control thread only.
 */
class Directory
{
public:
  /**
   * All arguments must outlive this object.
   * @param aSettings Settings of this daemon.
   * @param aClock Source of time.
   * @param aMembership Membership of the zone.
   * @param aStore Store that holds the list.
   */
  Directory(const FleetSettings& aSettings,
            const state::Clock& aClock,
            const Membership& aMembership,
            Store& aStore);

  /** Reads the list when that is due, and rewrites it when it is outdated. Call
   * at each tick. */
  void tick();
  /** @return Daemons on the list as last read from the store. */
  const std::vector<PeerAddress>& listed() const { return listed_; }

private:
  void read();
  void handleReply(const StoreReply& aReply);
  std::vector<PeerAddress> chooseListed() const;
  bool isOutdated() const;

  const FleetSettings& settings_;   ///< Settings of this daemon.
  const state::Clock& clock_;       ///< Source of time.
  const Membership& membership_;    ///< Membership of the zone.
  Store& store_;                    ///< Store that holds the list.
  std::string key_;                 ///< Store key of the list.
  std::vector<PeerAddress> listed_; ///< The list as last read.
  bool replyPending_ = false;     ///< Whether a reply of the store is awaited.
  bool hasRead_ = false;          ///< Whether the list has been read before.
  state::TimePoint nextReadAt_{}; ///< When to read the list again.
};

} // namespace auburnhaven::coordination
