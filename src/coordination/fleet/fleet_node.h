// Wires the parts with which one daemon takes part in the fleet.
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

/** External interfaces that a FleetNode uses. */
struct FleetPorts
{
  const state::Clock& clock_; ///< Source of time.
  PeerNetwork& network_;      ///< Sends and receives messages between daemons.
  Store& store_;              ///< The platform's key-value service.
  EngineClient& engines_;     ///< Fetches the reports of VMs.
  VmList& list_;              ///< The platform's list of VMs.
};

/** Generation of the configuration in force at each daemon and zone. */
struct FleetProgress
{
  std::vector<DaemonProgress> daemons_; ///< Daemons of the own zone.
  std::vector<ZoneProgress> zones_;     ///< The other zones.
  bool operator==(const FleetProgress&) const = default;
};

/**
 * Runs membership, the gossip table, VM observation, configuration, links to
 * other zones and the rate limit of the store for one daemon. Control thread
 * only.
 */
class FleetNode
{
public:
  /**
   * @param aSettings Settings of this daemon.
   * @param aPorts Interfaces; must outlive this object.
   * @param aCheck Validates a configuration before it is committed.
   * @param aSeed Seed of the random number generator.
   */
  FleetNode(const FleetSettings& aSettings,
            const FleetPorts& aPorts,
            ConfigCheck aCheck,
            std::uint64_t aSeed);
  FleetNode(const FleetNode&) = delete;
  FleetNode& operator=(const FleetNode&) = delete;

  /** Does all periodic work. Call every kFleetTickPeriod. */
  void tick();
  /** Announces that this daemon leaves the fleet. Afterwards tick() does
   * nothing and arriving messages are ignored. */
  void stop();

  /** @return The rate-limited store, which all other parts of the daemon use.
   */
  Store& store() { return limiter_; }
  /** @return The table of shared entries. */
  SharedTable& table() { return table_; }
  /** @return VMs of the zone and their newest reports. */
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
  /** @return Some live daemons of each reachable other zone. */
  std::map<state::ZoneId, std::vector<state::GatewayPeer>> otherZones() const
  {
    return bridge_.otherZones();
  }
  /** @return Service that commits and lists configuration changes. */
  ConfigStore& configStore() { return configStore_; }
  /** @return The configuration in force. */
  const state::ConfigurationPtr& configuration() const
  {
    return follower_.inForce();
  }
  /** @param aHandler Called for each configuration that comes into force. */
  void onConfiguration(ConfigFollower::ActivationHandler aHandler)
  {
    follower_.onActivation(std::move(aHandler));
  }
  /** @return Generation in force at each daemon and zone. */
  FleetProgress progress() const;

  /** @return The configuration follower, for measurements. */
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
  void handleDaemonEntry(const SharedEntry& aEntry);
  void updateStoreLimit();
  void publishHeartbeat();
  void gossip();
  bool isChosen(const GossipLink& aLink) const;
  void sendGossip(const GossipLink& aTo);
  void sendDigest(const GossipLink& aTo);
  void sendDigestToRandomLink();
  void join();
  void sendJoin(const state::Endpoint& aTo);
  void removeLostDaemons();
  std::vector<state::Endpoint> joinTargets() const;
  std::vector<GossipLink> allLinks() const;
  void send(const state::Endpoint& aTo, PeerBody aBody);
  void receive(const state::Endpoint& aFrom, const PeerMessage& aMessage);
  void handle(const GossipLink& aFrom,
              const GossipMessage& aMessage,
              std::optional<state::Duration> aTransit);
  void handle(const GossipLink& aFrom, const DigestMessage& aMessage);
  void handle(const GossipLink& aFrom, const BucketMessage& aMessage);
  void handle(const GossipLink& aFrom, const EntryRequestMessage& aMessage);
  void handle(const GossipLink& aFrom, const JoinMessage& aMessage);
  void handle(const GossipLink& aFrom, const WelcomeMessage& aMessage);
  void handle(const GossipLink& aFrom, const ZoneMessage& aMessage);

  FleetSettings settings_;    ///< Settings of this daemon.
  const state::Clock& clock_; ///< Source of time.
  PeerNetwork& network_;      ///< Sends and receives messages between daemons.
  std::mt19937_64 random_;    ///< Source of random numbers.
  LinkClock linkClock_;       ///< Bounds the transit times of messages.
  StoreLimiter limiter_;      ///< The rate-limited store.
  Membership membership_;     ///< Daemons of the zone.
  GossipTable table_;         ///< Shared entries.
  Observer observer_;         ///< VMs of the zone.
  ConfigFollower follower_;   ///< Applies configuration changes.
  ConfigStore configStore_;   ///< Commits configuration changes.
  ZoneBridge bridge_;         ///< Links to other zones.
  Directory directory_;       ///< Directory of daemons in the store.
  std::uint64_t announcementVersion_ = 0; ///< Version of the own kDaemon entry.
  std::set<GossipLink> digestSent_;       ///< Links that were sent a digest.
  double declaredDemand_ = 0; ///< Published demand, in store calls per second;
                              ///< 0 while the even share suffices.
  bool stopped_ = false;      ///< Whether stop() was called.
  state::TimePoint nextDemandAt_{};    ///< When to check the store demand next.
  state::TimePoint nextHeartbeatAt_{}; ///< When the next heartbeat is due.
  state::TimePoint nextGossipAt_{};    ///< When the next gossip round is due.
  state::TimePoint nextDigestAt_{};    ///< When to send the next digest.
  state::TimePoint
    nextJoinAt_{}; ///< When to contact unknown or dead daemons next.
  state::TimePoint
    nextCleanupAt_{}; ///< When to look for entries of lost daemons next.
};

} // namespace auburnhaven::coordination
