// Settings of a relay daemon, as read from its settings file.
#pragma once

#include "state/endpoint_type.h"
#include "state/error_type.h"
#include "state/id_type.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnhaven::app {

/** Where a relay daemon listens. */
struct RelayListeners
{
  state::Endpoint callers_; ///< HTTP for callers.
  state::Endpoint status_;  ///< HTTP for readiness and metrics.
  state::Endpoint peers_;   ///< Streams of other daemons.
  state::Endpoint digests_; ///< Datagrams of coordinators; the same port on all
                            ///< VMs.
  bool operator==(const RelayListeners&) const = default;
};

/** Limit of sends beyond the first of each request, over all daemons. */
struct RelayRetryLimits
{
  double ratio_ = 0.2;        ///< Repeated sends for each request.
  std::uint32_t extra_ = 300; ///< Repeated sends beyond that in a window.
  std::chrono::milliseconds window_{ 10000 }; ///< The window.
  bool operator==(const RelayRetryLimits&) const = default;
};

/** Settings of a relay daemon. Immutable after reading. */
struct RelayDaemonSettings
{
  state::DaemonId daemon_;           ///< Name of the daemon.
  state::ZoneId zone_;               ///< Its availability zone.
  std::vector<state::ZoneId> zones_; ///< All availability zones.
  state::Endpoint store_;            ///< The platform's key-value service.
  RelayListeners listeners_;         ///< Where it listens.
  std::vector<state::Endpoint> seedPeers_; ///< Peer listeners to ask first.
  std::string peerKey_;                    ///< Key shared by all daemons.
  std::string readyPath_ = "/readyz"; ///< Path of the question for readiness.
  double processorShare_ = 1; ///< Part of a core that the daemon has; those
                              ///< with more try for duties first.
  bool firstStart_ = false;   ///< Whether the system starts for the first time.
  std::chrono::milliseconds formationTime_{
    8000
  }; ///< After a first start: time before callers come.
  std::chrono::milliseconds stallLimit_{
    6000
  }; ///< After which a copy without one of its members is broken.
  std::chrono::milliseconds stopLimit_{
    8000
  }; ///< Longest time of a graceful stop.
  std::chrono::milliseconds balancerLag_{
    2200
  }; ///< How long callers still come after readiness fails.
  std::chrono::milliseconds newsLimit_{
    2000
  }; ///< After which a change in the store must be in force everywhere.
  double linkMbps_ = 200; ///< Bandwidth of the VM's link, in megabits a second.
  RelayRetryLimits retries_; ///< Limit of repeated sends.
  bool operator==(const RelayDaemonSettings&) const = default;
};

/** Settings, and what of their file is not used as it stands. */
struct RelaySettingsFile
{
  RelayDaemonSettings settings_;         ///< The settings.
  std::vector<state::InputError> notes_; ///< Values that another one replaces,
                                         ///< or that are left out.
  bool operator==(const RelaySettingsFile&) const = default;
};

} // namespace auburnhaven::app
