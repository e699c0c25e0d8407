// Immutable snapshot that traffic threads route by.
#pragma once

#include "state/config_type.h"
#include "state/vm_type.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnhaven::state {

/** A copy as the traffic threads see it. */
struct ServingCopy
{
  CopyId id_;   ///< The copy.
  ZoneId zone_; ///< Zone of its VMs.
  VmId head_;   ///< VM that takes the requests.
  Endpoint
    endpoint_; ///< Where the head takes requests; only for daemons of the zone.
  FencingNumber fencing_;    ///< Number of the assignment.
  bool open_ = false;        ///< Whether it takes new work.
  std::string closedReason_; ///< Why it does not, empty when open.
  EngineLoad load_;          ///< Load last reported by the head.
  TimePoint
    loadObservedAt_{}; ///< Local time, not later than the report of the load.
  TimePoint evidenceUntil_{}; ///< Local time at which the evidence of the copy
                              ///< runs out.
  std::uint32_t slowdownPermille_ =
    1000; ///< Slowness against its peers; 1000 is as fast as they are.
  bool operator==(const ServingCopy&) const = default;
};

/** A daemon that takes forwarded requests for targets of its own zone. */
struct GatewayPeer
{
  DaemonId id_;       ///< The daemon.
  ZoneId zone_;       ///< Its availability zone.
  Endpoint endpoint_; ///< Where it takes streams from peers.
  bool operator==(const GatewayPeer&) const = default;
};

/** Snapshot passed from the control thread to the traffic threads. */
struct ServingView
{
  ConfigurationPtr configuration_; ///< Configuration in force.
  std::map<GroupId, std::vector<ServingCopy>>
    copies_;                     ///< All known copies of each group.
  std::vector<VmId> leavingVms_; ///< Sorted; VMs that get no new work.
  std::map<ZoneId, std::vector<GatewayPeer>>
    gateways_; ///< Daemons of other zones.
  bool operator==(const ServingView&) const = default;
};

using ServingViewPtr = std::shared_ptr<const ServingView>; ///< Shared snapshot.

} // namespace auburnhaven::state
