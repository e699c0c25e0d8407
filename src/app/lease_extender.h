// Extends the authority of this daemon's coordinators by datagrams.
#pragma once

#include "coordination/lease_extension.h"
#include "coordination/replica/zone_leadership.h"
#include "protocol/extension_codec.h"
#include "state/event_log.h"
#include "transport/datagram_socket.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::app {

/**
 * Sends the requests of the leases that this daemon holds to all other daemons,
 * and answers theirs. Control thread only.
 */
class LeaseExtender
{
public:
  using Leaderships =
    std::map<state::ZoneId,
             std::unique_ptr<coordination::ZoneLeadership>>; ///< By zone.

  /**
   * @param aClock Clock; outlives this object.
   * @param aSocket Sends datagrams; outlives this object.
   * @param aLeaderships Candidacies of this daemon; outlive this object.
   * @param aRegistration Lease of this daemon's registration, by which it asks
   * the store; outlives this object.
   * @param aLog Log; outlives this object.
   */
  LeaseExtender(const state::Clock& aClock,
                transport::DatagramSocket& aSocket,
                Leaderships& aLeaderships,
                coordination::LeaderLease& aRegistration,
                state::EventLog& aLog);

  /**
   * Sends the requests that are due.
   * @param aDaemons Datagram endpoints of the other registered daemons.
   */
  void tick(const std::vector<state::Endpoint>& aDaemons);
  /**
   * Takes a datagram.
   * @param aFrom Its sender.
   * @param aDatagram Any bytes.
   * @return Whether it was a request or a reply.
   */
  bool take(const state::Endpoint& aFrom, const std::string& aDatagram);
  /**
   * Hands the authority for a zone over to another daemon, if this daemon has
   * it by an extension. This daemon must release the lease right after.
   * @param aZone The zone.
   */
  void handOver(const state::ZoneId& aZone);
  /** Makes no promises any more, because this daemon stops. */
  void stop() { stopping_ = true; }
  /**
   * Notes a lease of a zone; a coordinator of this daemon with a lower number
   * ends.
   * @param aZone The zone.
   * @param aAuthority Number of the lease.
   */
  void noteAuthority(const state::ZoneId& aZone, std::uint64_t aAuthority);
  /**
   * @param aZone A zone.
   * @return Whether this daemon has promised not to acquire its lease.
   */
  bool isPromised(const state::ZoneId& aZone) const
  {
    return promises_.isPromised(aZone);
  }

private:
  /** Asks the store whether it answers this daemon.
   * @return When it last did. */
  state::TimePoint storeAnsweredAt();
  void takeOver(const protocol::HandoverMessage& aHandover);
  void logEndedExtensions();
  void log(std::string_view aEvent,
           const state::ZoneId& aZone,
           std::uint64_t aAuthority);

  transport::DatagramSocket& socket_;        ///< Sends datagrams.
  Leaderships& leaderships_;                 ///< Candidacies of this daemon.
  coordination::ExtensionPromises promises_; ///< Promises of this daemon.
  coordination::LeaderLease& registration_;  ///< Lease of its registration.
  state::EventLog& log_;                     ///< Log.
  std::set<state::ZoneId> extended_;         ///< Zones with an extension.
  std::size_t daemons_ = 1;                  ///< Registered daemons.
  bool stopping_ = false;                    ///< Whether this daemon stops.
};

} // namespace auburnhaven::app
