// Links between availability zones and what is known of the other zones.
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

/** Configuration that another zone has in force. */
struct ZoneProgress
{
  state::ZoneId zone_;           ///< The zone.
  std::uint32_t live_ = 0;       ///< Live daemons there.
  state::Generation generation_; ///< Least generation in force there.
  std::vector<state::DaemonId>
    behind_;               ///< Daemons that have only that one; bounded.
  bool reachable_ = false; ///< Whether the zone is heard of now.
  bool operator==(const ZoneProgress&) const = default;
};

/**
 * Keeps one link to each other zone when rendezvous hashing makes this daemon
 * the gateway to it; a second daemon stands by. Entries for all zones cross
 * that link. Control thread only.
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

  /** Contacts the zones whose gateway this daemon is. Call at each tick. */
  void tick();
  /**
   * Takes what another zone tells.
   * @param aFrom Who sent it.
   * @param aMessage The message.
   */
  void receive(const state::Endpoint& aFrom, const ZoneMessage& aMessage);
  /**
   * Notes that a daemon of another zone has chosen a link to this one.
   * @param aFrom The daemon.
   */
  void addInboundLink(const state::Endpoint& aFrom);
  /** @return Links to other zones that this daemon has chosen. */
  std::vector<state::Endpoint> chosenLinks() const;
  /** @return All links to other zones. */
  std::vector<state::Endpoint> links() const;
  /** @return Live daemons of each other zone that is heard of; bounded. */
  std::map<state::ZoneId, std::vector<state::GatewayPeer>> otherZones() const;
  /** @return Configuration in force in each other zone that is known. */
  std::vector<ZoneProgress> progress() const;

private:
  /** Contact with one other zone. */
  struct Contact
  {
    state::TimePoint askAt_{};   ///< When to ask it next.
    state::TimePoint heardAt_{}; ///< When it last told something.
  };

  void ask(const state::ZoneId& aZone, Contact& aContact, std::size_t aRank);
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
  std::map<state::ZoneId, Contact> contacts_; ///< Contact with each zone.
  std::map<state::Endpoint, state::TimePoint>
    inbound_; ///< Foreign daemons that send gossip, and when.
};

} // namespace auburnhaven::coordination
