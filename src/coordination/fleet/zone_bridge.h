// Links to other availability zones and the known state of these zones.
#pragma once

#include "coordination/fleet/config_follower.h"
#include "coordination/fleet/gossip_table.h"
#include "coordination/fleet/membership.h"
#include "state/serving_view_type.h"

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace auburnhaven::coordination {

/** Generation that another zone has in force. */
struct ZoneProgress
{
  state::ZoneId zone_;     ///< The zone.
  std::uint32_t live_ = 0; ///< Live daemons there.
  state::Generation
    generation_; ///< Least generation in force at any live daemon there.
  std::vector<state::DaemonId>
    behind_; ///< Daemons behind the greatest generation there; bounded.
  bool reachable_ = false; ///< Whether news of the zone is recent.
  bool operator==(const ZoneProgress&) const = default;
};

/**
 * Keeps a link to each other zone for which rendezvous hashing chooses this
 * daemon as the gateway; a second daemon is the standby. The link carries the
 * entries that are shared between zones. Control thread only.
 */
class ZoneBridge
{
public:
  using SendHandler = std::function<void(const state::Endpoint&,
                                         PeerBody)>; ///< Sends a message.

  /**
   * All references must outlive this object.
   * @param aSettings Settings of this daemon.
   * @param aClock Source of time.
   * @param aMembership Daemons of the own zone.
   * @param aTable Shared entries.
   * @param aRandom Source of random numbers.
   * @param aSend Sends a message to a daemon.
   */
  ZoneBridge(const FleetSettings& aSettings,
             const state::Clock& aClock,
             const Membership& aMembership,
             GossipTable& aTable,
             std::mt19937_64& aRandom,
             SendHandler aSend);

  /** Requests summaries from the zones for which this daemon is gateway or
   * standby. Call at each tick. */
  void tick();
  /**
   * Publishes the summary of another zone in the table, and replies if asked.
   * @param aFrom Endpoint of the sender.
   * @param aMessage Summary of the zone, and whether it wants a reply.
   */
  void receive(const state::Endpoint& aFrom, const ZoneMessage& aMessage);
  /**
   * Adds an inbound link to a daemon of another zone that has a link to this
   * one. It lapses unless it is renewed; the number of inbound links is
   * bounded.
   * @param aFrom Endpoint of the daemon.
   */
  void addInboundLink(const state::Endpoint& aFrom);
  /** @return Links that this daemon keeps as the gateway to other zones. */
  std::vector<state::Endpoint> chosenLinks() const;
  /** @return All links to other zones, inbound links included. */
  std::vector<state::Endpoint> links() const;
  /** @return Some live daemons of each reachable other zone. */
  std::map<state::ZoneId, std::vector<state::GatewayPeer>> otherZones() const;
  /** @return Generation in force in each known other zone. */
  std::vector<ZoneProgress> progress() const;

private:
  /** State of the exchange with one other zone. */
  struct Contact
  {
    state::TimePoint nextRequestAt_{}; ///< When to request its summary next.
    state::TimePoint heardAt_{};       ///< When a message from it last arrived.
  };

  void requestSummary(const state::ZoneId& aZone,
                      Contact& aContact,
                      std::size_t aRank);
  ZoneSummary summaryFor(const state::ZoneId& aZone) const;
  std::vector<PeerAddress> rosterOf(const state::ZoneId& aZone) const;
  void publish(const std::string& aName,
               const ZoneSummary& aSummary,
               state::Duration aMaxAge);

  const FleetSettings& settings_;             ///< Settings of this daemon.
  const state::Clock& clock_;                 ///< Source of time.
  const Membership& membership_;              ///< Daemons of the own zone.
  GossipTable& table_;                        ///< Shared entries.
  std::mt19937_64& random_;                   ///< Source of random numbers.
  SendHandler send_;                          ///< Sends a message.
  std::map<state::ZoneId, Contact> contacts_; ///< Exchange with each zone.
  std::map<state::Endpoint, state::TimePoint>
    inboundLinks_; ///< Inbound links and when each was last renewed.
};

} // namespace auburnhaven::coordination
