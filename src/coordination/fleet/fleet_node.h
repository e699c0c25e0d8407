// One daemon as a part of the whole system.
#pragma once

#include "coordination/fleet/config_follower.h"
#include "coordination/fleet/config_store.h"
#include "coordination/fleet/directory.h"
#include "coordination/fleet/gossip_table.h"
#include "coordination/fleet/link_clock.h"
#include "coordination/fleet/membership.h"
#include "coordination/fleet/observer.h"
#include "coordination/fleet/peer_network_port.h"
#include "coordination/fleet/store_limiter.h"
#include "coordination/fleet/zone_bridge.h"

#include <cstdint>
#include <random>
#include <vector>

namespace auburnhaven::coordination {

inline constexpr std::chrono::milliseconds kFleetTickPeriod{
  100
}; ///< Time between two calls of FleetNode::tick().

/** Interfaces that a daemon's part in the system needs. */
struct FleetPorts
{
  const state::Clock& clock_; ///< Source of time.
  PeerNetwork& network_;      ///< Messages between daemons.
  Store& store_;              ///< The platform's key-value service.
  EngineClient& engines_;     ///< Asks VMs.
  VmList& list_;              ///< The platform's list of VMs.
};

/** Which daemons have which configuration in force. */
struct FleetProgress
{
  std::vector<DaemonProgress> daemons_; ///< Daemons of the own zone.
  std::vector<ZoneProgress> zones_;     ///< The other zones.
  bool operator==(const FleetProgress&) const = default;
};

/**
 * Wires membership, shared entries, observation, configuration, links to other
 * zones and the store's limit. Control thread only.
 */
class FleetNode
{
public:
  /**
   * @param aSettings Settings of this daemon.
   * @param aPorts Interfaces; must outlive this object.
   * @param aCheck Checks a configuration before it is committed.
   * @param aSeed Seed of the random numbers.
   */
  FleetNode(const FleetSettings& aSettings,
            const FleetPorts& aPorts,
            ConfigCheck aCheck,
            std::uint64_t aSeed);
  FleetNode(const FleetNode&) = delete;
  FleetNode& operator=(const FleetNode&) = delete;

  /** Does all periodic work. Call every kFleetTickPeriod. */
  void tick();
  /** Announces that this daemon leaves; tick() does nothing afterwards. */
  void stop();

  /** @return The store under the limit; for all other parts of the daemon. */
  Store& store() { return limiter_; }
  /** @return The shared entries. */
  SharedTable& table() { return table_; }
  /** @return What is known of the VMs of the zone. */
  const Observation& observation() const { return observer_; }
  /** @return Daemons of the own zone with their liveness. */
  const std::map<state::DaemonId, Member>& members() const
  {
    return membership_.members();
  }
  /** @return Sorted live daemons of the own zone. */
  const std::vector<state::DaemonId>& liveMembers() const
  {
    return membership_.live();
  }
  /** @return Live daemons of each other zone that is heard of; bounded. */
  std::map<state::ZoneId, std::vector<state::GatewayPeer>> otherZones() const
  {
    return bridge_.otherZones();
  }
  /** @return Commits and shows changes of the configuration. */
  ConfigStore& configStore() { return configStore_; }
  /** @return The configuration in force. */
  const state::ConfigurationPtr& configuration() const
  {
    return follower_.inForce();
  }
  /** @param aHandler Called for each configuration that comes into force. */
  void onConfiguration(ConfigFollower::ForceHandler aHandler)
  {
    follower_.onForce(std::move(aHandler));
  }
  /** @return Which daemons have which configuration in force. */
  FleetProgress progress() const;

  /** @return The part that follows the configuration, for measurements. */
  const ConfigFollower& follower() const { return follower_; }
  /** @return The membership, for measurements. */
  const Membership& membership() const { return membership_; }
  /** @return The observer, for measurements. */
  const Observer& observer() const { return observer_; }
  /** @return The limiter, for measurements. */
  const StoreLimiter& limiter() const { return limiter_; }
  /** @return The table, for measurements. */
  const GossipTable& gossipTable() const { return table_; }

private:
  void announce();
  void takeDaemon(const SharedEntry& aEntry);
  void limitStore();
  void beat();
  void gossip();
  bool isChosen(const GossipLink& aLink) const;
  void sendGossip(const GossipLink& aTo);
  void sendDigest(const GossipLink& aTo);
  void compareWithOne();
  void join();
  void askToJoin(const state::Endpoint& aTo);
  void retire();
  std::vector<state::Endpoint> joinTargets() const;
  std::vector<GossipLink> allLinks() const;
  void send(const state::Endpoint& aTo, PeerBody aBody);
  void receive(const state::Endpoint& aFrom, const PeerMessage& aMessage);
  void take(const GossipLink& aFrom,
            const GossipMessage& aMessage,
            std::optional<state::Duration> aTransit);
  void take(const GossipLink& aFrom, const DigestMessage& aMessage);
  void take(const GossipLink& aFrom, const BucketMessage& aMessage);
  void take(const GossipLink& aFrom, const EntryRequestMessage& aMessage);
  void take(const GossipLink& aFrom, const JoinMessage& aMessage);
  void take(const GossipLink& aFrom, const WelcomeMessage& aMessage);
  void take(const GossipLink& aFrom, const ZoneMessage& aMessage);

  FleetSettings settings_;       ///< Settings of this daemon.
  const state::Clock& clock_;    ///< Source of time.
  PeerNetwork& network_;         ///< Messages between daemons.
  std::mt19937_64 random_;       ///< Source of random numbers.
  LinkClock linkClock_;          ///< Bounds transit times.
  StoreLimiter limiter_;         ///< The store under its limit.
  Membership membership_;        ///< Daemons of the zone.
  GossipTable table_;            ///< Shared entries.
  Observer observer_;            ///< VMs of the zone.
  ConfigFollower follower_;      ///< Follows the configuration.
  ConfigStore configStore_;      ///< Commits changes.
  ZoneBridge bridge_;            ///< Links to other zones.
  Directory directory_;          ///< List of daemons in the store.
  std::uint64_t announced_ = 0;  ///< Version of the own kDaemon entry.
  std::set<GossipLink> greeted_; ///< Links whose digests have been compared.
  double declared_ = 0;          ///< Declared demand of the store.
  bool stopped_ = false;         ///< Whether stop() was called.
  state::TimePoint declareAt_{}; ///< When to look at the demand again.
  state::TimePoint beatAt_{};    ///< When to beat.
  state::TimePoint gossipAt_{};  ///< When to send gossip.
  state::TimePoint digestAt_{};  ///< When to compare digests.
  state::TimePoint joinAt_{};    ///< When to contact lost daemons.
  state::TimePoint retireAt_{};  ///< When to look for entries of lost daemons.
};

} // namespace auburnhaven::coordination
