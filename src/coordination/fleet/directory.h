// Bounded list of a zone's daemons in the store, by which new ones find it.
#pragma once

#include "coordination/fleet/membership.h"
#include "coordination/store_port.h"

#include <optional>
#include <vector>

namespace auburnhaven::coordination {

/** Reads and keeps the list under one key of the zone. Control thread only. */
class Directory
{
public:
  /**
   * All arguments must outlive this object.
   * @param aSettings Settings of this daemon.
   * @param aClock Source of time.
   * @param aMembership Daemons of the zone.
   * @param aStore The store.
   */
  Directory(const FleetSettings& aSettings,
            const state::Clock& aClock,
            const Membership& aMembership,
            Store& aStore);

  /** Reads or writes the list when it is due. Call at each tick. */
  void tick();
  /** @return Daemons of the list as last read. */
  const std::vector<PeerAddress>& listed() const { return listed_; }

private:
  void read();
  void take(const StoreReply& aReply);
  std::vector<PeerAddress> wanted() const;
  bool isOld() const;

  const FleetSettings& settings_;   ///< Settings of this daemon.
  const state::Clock& clock_;       ///< Source of time.
  const Membership& membership_;    ///< Daemons of the zone.
  Store& store_;                    ///< The store.
  std::string key_;                 ///< Key of the list.
  std::vector<PeerAddress> listed_; ///< The list as last read.
  bool waiting_ = false;            ///< Whether the store owes an answer.
  bool answered_ = false;           ///< Whether the list has been read.
  state::TimePoint readAt_{};       ///< When to read it again.
};

} // namespace auburnhaven::coordination
