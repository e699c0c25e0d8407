// Tells coordinators and dispatchers which replicas send no stream events.
#pragma once

#include "coordination/routing/stream_activity.h"
#include "coordination/routing/target_pool.h"
#include "protocol/activity_codec.h"
#include "transport/datagram_socket.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburnhaven::transport {

/**
 * Exchanges what the daemons see of the streams from replicas. A daemon whose
 * streams from a replica are all silent tells all coordinators; a coordinator
 * that doubts a replica asks all daemons. Control thread only.
 */
class ActivityExchange
{
public:
  /** Receives a notice and the time of which its ages were counted at the
   * earliest; asked_ tells whether it answers a question of this daemon. */
  using NoticeHandler = std::function<
    void(const protocol::ActivityNotice&, state::TimePoint, bool)>;

  /**
   * @param aClock Clock; outlives this object.
   * @param aSocket Sends datagrams; outlives this object.
   * @param aActivity Streams of this daemon; outlives this object.
   * @param aTargets Knows the coordinators and the pace of replicas; outlives
   * this object.
   * @param aSelf Datagram endpoint of this daemon.
   * @param aHandler Receives notices, also those of this daemon.
   */
  ActivityExchange(const state::Clock& aClock,
                   DatagramSocket& aSocket,
                   const coordination::StreamActivity& aActivity,
                   coordination::TargetPool& aTargets,
                   state::Endpoint aSelf,
                   NoticeHandler aHandler);

  /** Tells the coordinators of replicas that have fallen silent. */
  void tick();
  /**
   * Asks for the events of replicas, at most every 100 ms.
   * @param aHeads Heads of the replicas; nothing is sent when empty.
   * @param aDaemons Datagram endpoints of the other daemons.
   */
  void ask(const std::vector<state::VmId>& aHeads,
           const std::vector<state::Endpoint>& aDaemons);
  /**
   * Takes a datagram.
   * @param aFrom Its sender.
   * @param aDatagram Any bytes.
   * @return Whether it was one of this exchange.
   */
  bool take(const state::Endpoint& aFrom, const std::string& aDatagram);

private:
  const state::Clock& clock_;                      ///< Clock.
  DatagramSocket& socket_;                         ///< Sends datagrams.
  const coordination::StreamActivity& activity_;   ///< Streams of this daemon.
  coordination::TargetPool& targets_;              ///< Target pool.
  state::Endpoint self_;                           ///< This daemon.
  NoticeHandler handler_;                          ///< Receives notices.
  std::uint64_t asked_ = 0;                        ///< Questions asked.
  state::TimePoint askedAt_{};                     ///< Time of the latest one.
  std::map<state::VmId, state::TimePoint> toldAt_; ///< Latest notice on each
                                                   ///< silent replica.
};

} // namespace auburnhaven::transport
