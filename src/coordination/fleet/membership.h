// Which daemons of the own zone live, and which of them this one has links to.
#pragma once

#include "coordination/fleet/fleet_settings_type.h"
#include "coordination/fleet/peer_message_type.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace auburnhaven::coordination {

/** What is believed of a daemon. */
enum class Liveness : std::uint8_t
{
  kLive,    ///< Its heartbeats arrive.
  kSuspect, ///< Its heartbeats are late; it is asked directly.
  kDead,    ///< Its heartbeats have stopped.
};

/** A daemon of the own zone. */
struct Member
{
  PeerAddress address_;                 ///< Its address.
  Liveness liveness_ = Liveness::kLive; ///< What is believed of it.
  state::TimePoint heardAt_{}; ///< When a new heartbeat of it last arrived.
  state::Duration interval_ =
    kMaxBeatPeriod; ///< Time between its heartbeats, averaged.
  Heartbeat beat_;  ///< Its newest heartbeat.
};

/** Counts of what membership has seen. */
struct MembershipCounts
{
  std::uint64_t deaths_ = 0; ///< Verdicts that a daemon is dead.
  std::uint64_t recoveries_ =
    0; ///< Daemons that came back after such a verdict.
};

/**
 * The daemons of a zone by their heartbeats. Heartbeats spread over a graph of
 * bounded degree: each daemon has links to its neighbours in two rings, ordered
 * by two hashes, over the live daemons. A late heartbeat makes a daemon
 * suspect; any newer heartbeat, also in answer to a direct question, refutes
 * that. Control thread only.
 */
class Membership
{
public:
  using HeartbeatHandler =
    std::function<void(const Member&)>; ///< Takes a newer heartbeat.

  /**
   * @param aSettings Settings of this daemon.
   * @param aClock Source of time.
   */
  Membership(const FleetSettings& aSettings, const state::Clock& aClock);

  /**
   * Takes in an address; a greater incarnation replaces a lesser one.
   * @param aAddress The address.
   */
  void introduce(const PeerAddress& aAddress);
  /**
   * Takes a daemon out that has announced that it leaves.
   * @param aId The daemon.
   * @param aIncarnation Incarnation that leaves.
   */
  void leave(const state::DaemonId& aId, state::Incarnation aIncarnation);
  /**
   * Takes in a heartbeat.
   * @param aFrom Peer that passed it on.
   * @param aBeat The heartbeat, its time corrected for the transit.
   */
  void receive(const state::Endpoint& aFrom, const Heartbeat& aBeat);
  /**
   * Notes that a daemon of the zone has chosen a link to this one, which makes
   * it a link for a while.
   * @param aFrom The daemon.
   */
  void addInboundLink(const state::Endpoint& aFrom);
  /**
   * Makes the next heartbeat of this daemon.
   * @param aBeat What it attests; session and count are filled in.
   */
  void publish(Heartbeat aBeat);
  /** Judges all daemons by their heartbeats. Call at each tick. */
  void tick();
  /**
   * Takes the heartbeats that a peer may not have yet.
   * @param aTo The peer.
   * @return Heartbeats to send to it.
   */
  std::vector<Heartbeat> collect(const state::Endpoint& aTo);
  /** @param aHandler Called for each newer heartbeat of another daemon. */
  void onHeartbeat(HeartbeatHandler aHandler)
  {
    beatHandler_ = std::move(aHandler);
  }

  /** @return All known daemons of the zone, this one included. */
  const std::map<state::DaemonId, Member>& members() const { return members_; }
  /** @return Sorted live daemons, suspects excluded, this one included. */
  const std::vector<state::DaemonId>& live() const { return live_; }
  /**
   * @param aLink A link.
   * @return Whether this daemon has chosen it.
   */
  bool chosen(const state::Endpoint& aLink) const
  {
    return chosen_.contains(aLink);
  }
  /** @return Endpoints that this daemon sends gossip to. */
  const std::vector<state::Endpoint>& links() const { return links_; }
  /** @return Suspects that this daemon shall ask directly. */
  std::vector<state::Endpoint> suspectsToProbe() const;
  /** @return Endpoints of daemons believed dead, for attempts to rejoin. */
  std::vector<state::Endpoint> deadEndpoints() const;
  /** @return Counts since the start. */
  const MembershipCounts& counts() const { return counts_; }

private:
  void judge(Member& aMember);
  void rebuild();
  void addRingNeighbours(std::uint64_t aSeed,
                         std::set<state::Endpoint>& aLinks);
  void spread(const state::DaemonId& aId, const state::Endpoint& aExcept);

  const FleetSettings& settings_;                 ///< Settings of this daemon.
  const state::Clock& clock_;                     ///< Source of time.
  std::map<state::DaemonId, Member> members_;     ///< All known daemons.
  std::map<SessionId, state::DaemonId> sessions_; ///< Daemon of each session.
  std::vector<state::DaemonId> live_;             ///< Sorted live daemons.
  std::set<state::Endpoint> chosen_;              ///< Neighbours in the rings.
  std::vector<state::Endpoint> links_;            ///< Where gossip goes.
  std::map<state::Endpoint, std::set<state::DaemonId>>
    pending_; ///< Heartbeats not yet sent on each link.
  std::map<state::Endpoint, state::TimePoint>
    inbound_;                    ///< Peers that sent gossip, and when.
  bool changed_ = true;          ///< Whether live_ and links_ are out of date.
  state::TimePoint lastTick_{};  ///< When tick() last ran.
  MembershipCounts counts_;      ///< Counts since the start.
  HeartbeatHandler beatHandler_; ///< Takes newer heartbeats.
};

/**
 * Names a start of a daemon. Pure; thread-safe.
 * @param aAddress The daemon.
 * @return Hash of its identifier, endpoint and incarnation.
 */
SessionId
sessionOf(const PeerAddress& aAddress);

} // namespace auburnhaven::coordination
