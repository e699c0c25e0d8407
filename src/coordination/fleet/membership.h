// Failure detection among the daemons of a zone and choice of gossip links.
#pragma once

#include "coordination/fleet/fleet_settings_type.h"
#include "coordination/fleet/peer_message_type.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace auburnhaven::coordination {

/** State of a daemon as judged by its heartbeats. */
enum class Liveness : std::uint8_t
{
  kLive,    ///< Its heartbeats arrive in time.
  kSuspect, ///< Its heartbeats are late; it is probed directly.
  kDead,    ///< Its heartbeats have stopped.
};

/** A daemon of the own zone. */
struct Member
{
  PeerAddress address_;                 ///< Address and incarnation.
  Liveness liveness_ = Liveness::kLive; ///< State judged by its heartbeats.
  state::TimePoint heardAt_{};          ///< When its newest heartbeat arrived.
  state::Duration interval_ =
    kMaxHeartbeatPeriod; ///< Moving average of the time between its heartbeats.
  Heartbeat heartbeat_;  ///< Its newest heartbeat.
};

/** Counts of liveness changes. */
struct MembershipCounts
{
  std::uint64_t deaths_ = 0;     ///< Daemons judged dead.
  std::uint64_t recoveries_ = 0; ///< Dead daemons whose heartbeats resumed.
};

/**
 * Tracks the daemons of a zone by their heartbeats. Heartbeats are gossiped
 * over a graph of bounded degree: the live daemons form two rings, each ordered
 * by a hash of its own, and each daemon has links to its neighbors in both. A
 * daemon whose heartbeat is late becomes suspect. Any newer heartbeat, also one
 * sent in reply to a direct probe, makes it live again. Control thread only.
 */
class Membership
{
public:
  using HeartbeatHandler = std::function<void(
    const Member&)>; ///< Called with the daemon and its newer heartbeat.

  /**
   * Both arguments must outlive this object.
   * @param aSettings Settings of this daemon.
   * @param aClock Source of time.
   */
  Membership(const FleetSettings& aSettings, const state::Clock& aClock);

  /**
   * Adds a daemon, or replaces it if the incarnation is greater than the known
   * one. Daemons of other zones are ignored.
   * @param aAddress Address and incarnation of the daemon.
   */
  void addMember(const PeerAddress& aAddress);
  /**
   * Removes a daemon that has announced that it leaves, unless a greater
   * incarnation of it is known.
   * @param aId Daemon that leaves; this daemon itself is never removed.
   * @param aIncarnation Incarnation that leaves.
   */
  void removeMember(const state::DaemonId& aId,
                    state::Incarnation aIncarnation);
  /**
   * Applies a heartbeat and forwards it if it is newer than the known one.
   * @param aFrom Peer that sent or forwarded it.
   * @param aHeartbeat The heartbeat, with its time corrected for the transit
   * time.
   */
  void receive(const state::Endpoint& aFrom, const Heartbeat& aHeartbeat);
  /**
   * Adds an inbound link to a daemon of the zone that has a link to this one.
   * The inbound link lapses unless it is renewed; their number is bounded.
   * @param aFrom Endpoint of the daemon.
   */
  void addInboundLink(const state::Endpoint& aFrom);
  /**
   * Publishes the next heartbeat of this daemon.
   * @param aHeartbeat Its content; session and count are filled in here.
   */
  void publish(Heartbeat aHeartbeat);
  /** Updates liveness and links of all daemons. Call at each tick. */
  void tick();
  /**
   * Dequeues the heartbeats that a peer may not have yet.
   * @param aTo Endpoint of the peer.
   * @return Heartbeats to send to the peer.
   */
  std::vector<Heartbeat> collect(const state::Endpoint& aTo);
  /** @param aHandler Called for each newer heartbeat of another daemon. */
  void onHeartbeat(HeartbeatHandler aHandler)
  {
    heartbeatHandler_ = std::move(aHandler);
  }

  /** @return All known daemons of the zone, this one included. */
  const std::map<state::DaemonId, Member>& members() const { return members_; }
  /** @return Sorted live daemons, suspects excluded, this one included. */
  const std::vector<state::DaemonId>& live() const { return live_; }
  /**
   * @param aLink Endpoint of a peer.
   * @return Whether it leads to a neighbor of this daemon in one of the rings.
   */
  bool isChosenLink(const state::Endpoint& aLink) const
  {
    return ringNeighbors_.contains(aLink);
  }
  /** @return Endpoints that this daemon sends gossip to. */
  const std::vector<state::Endpoint>& links() const { return links_; }
  /** @return Endpoints of the suspects that this daemon must probe. */
  std::vector<state::Endpoint> suspectsToProbe() const;
  /** @return Endpoints of dead daemons, for attempts to rejoin. */
  std::vector<state::Endpoint> deadEndpoints() const;
  /** @return Counts since the start. */
  const MembershipCounts& counts() const { return counts_; }

private:
  void updateLiveness(Member& aMember);
  void rebuildLinks();
  void addRingNeighbors(std::uint64_t aSeed, std::set<state::Endpoint>& aLinks);
  void enqueue(const state::DaemonId& aId, const state::Endpoint& aExcept);

  const FleetSettings& settings_;                 ///< Settings of this daemon.
  const state::Clock& clock_;                     ///< Source of time.
  std::map<state::DaemonId, Member> members_;     ///< All known daemons.
  std::map<SessionId, state::DaemonId> sessions_; ///< Daemon by session.
  std::vector<state::DaemonId> live_;             ///< Sorted live daemons.
  std::set<state::Endpoint> ringNeighbors_;       ///< Neighbors in the rings.
  std::vector<state::Endpoint>
    links_; ///< Sorted endpoints that gossip is sent to.
  std::map<state::Endpoint, std::set<state::DaemonId>>
    pending_; ///< Daemons whose newest heartbeat is not yet sent, by link.
  std::map<state::Endpoint, state::TimePoint>
    inboundLinks_;            ///< Inbound links and when each was last renewed.
  bool rebuildNeeded_ = true; ///< Whether live_ and links_ are outdated.
  state::TimePoint lastTick_{}; ///< When tick() last ran.
  MembershipCounts counts_;     ///< Counts since the start.
  HeartbeatHandler
    heartbeatHandler_; ///< Called for newer heartbeats of others.
};

/**
 * Identifies one start of a daemon. Pure; thread-safe.
 * @param aAddress Address and incarnation of the daemon.
 * @return Hash of its identifier, endpoint and incarnation.
 */
SessionId
sessionOf(const PeerAddress& aAddress);

} // namespace auburnhaven::coordination
