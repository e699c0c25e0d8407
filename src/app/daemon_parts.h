// Parts of the daemon that live on the control thread.
#pragma once

#include "app/settings_type.h"
#include "coordination/fleet/fleet_node.h"
#include "coordination/group/group_manager.h"
#include "coordination/request/claim_service.h"
#include "coordination/request/limit_distributor.h"
#include "protocol/claim_messenger.h"
#include "protocol/coded_peer_network.h"
#include "protocol/link_channels.h"
#include "transport/control_loop.h"
#include "transport/engine_client.h"
#include "transport/http_client.h"
#include "transport/peer_links.h"
#include "transport/service_caller.h"
#include "transport/store_client.h"
#include "transport/system_clock.h"
#include "transport/vm_list_client.h"
#include "transport/watched_store.h"

namespace auburnhaven::app {

/** All control state, wired. Control thread only, but for control_. */
struct ControlParts
{
  /**
   * @param aSettings Settings of the daemon.
   * @param aClock Clock; outlives this object.
   * @param aIncarnation Start of this process.
   * @param aLimiter Limits of the accounts; outlives this object.
   */
  ControlParts(const Settings& aSettings,
               transport::SystemClock& aClock,
               state::Incarnation aIncarnation,
               coordination::AccountLimiter& aLimiter);

  /**
   * @param aDaemon A daemon of the own zone.
   * @return Its listening endpoint for peers, or nothing when unknown.
   */
  std::optional<state::Endpoint> endpointOf(
    const state::DaemonId& aDaemon) const;

  transport::ControlLoop control_;       ///< Event loop of the control thread.
  transport::HttpClient client_;         ///< HTTP of the control thread.
  transport::ServiceCaller caller_;      ///< Short calls.
  transport::StoreClient store_;         ///< The store, without limit.
  transport::WatchedStore watch_;        ///< Notes whether it answers.
  transport::HttpEngineClient engines_;  ///< Orders and reports.
  transport::HttpVmList vmList_;         ///< The platform's VM list.
  transport::PeerLinks links_;           ///< Links to other daemons.
  protocol::LinkChannels channels_;      ///< Channels on the links.
  protocol::CodedPeerNetwork network_;   ///< Messages on the links.
  coordination::FleetNode fleet_;        ///< The daemon in the system.
  coordination::GroupManager groups_;    ///< Serving groups.
  protocol::ClaimMessenger claimPeers_;  ///< Claims of other daemons.
  coordination::ClaimService claims_;    ///< Claims of idempotency keys.
  coordination::LimitDistributor usage_; ///< Division of account limits.
};

} // namespace auburnhaven::app
