// Settings of one daemon, as read from its settings file.
#pragma once

#include "state/endpoint_type.h"
#include "state/id_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnhaven::app {

/** Least severe log line that is written. */
enum class LogLevel : std::uint8_t
{
  kInfo,    ///< All lines.
  kWarning, ///< Warnings and errors.
  kError,   ///< Errors only.
};

/** Where the daemon listens. All three are different endpoints. */
struct ListenerSettings
{
  state::Endpoint callers_;   ///< HTTP for callers, health and metrics.
  state::Endpoint peers_;     ///< Streams of other daemons.
  state::Endpoint operators_; ///< HTTP for operators' commands.
  bool operator==(const ListenerSettings&) const = default;
};

/** Limits that protect the daemon from its callers. */
struct LimitSettings
{
  std::uint32_t bodyBytes_ = 1024 * 1024;  ///< Largest request body.
  std::uint32_t headerBytes_ = 16 * 1024;  ///< Largest request header.
  std::uint32_t connections_ = 8192;       ///< Callers connected at once.
  std::uint32_t requestsInFlight_ = 16384; ///< Requests handled at once.
  std::chrono::milliseconds headerTimeout_{
    10000
  }; ///< Limit for the arrival of a header.
  std::chrono::milliseconds bodyTimeout_{
    30000
  }; ///< Limit for the arrival of a body.
  std::chrono::milliseconds requestTimeout_{
    300000
  }; ///< Limit for a whole request.
  std::chrono::milliseconds idleTimeout_{
    60000
  }; ///< How long a connection may wait for its next request.
  bool operator==(const LimitSettings&) const = default;
};

/** Another availability zone. */
struct OtherZoneSettings
{
  state::ZoneId zone_; ///< The zone.
  std::vector<state::Endpoint>
    peers_; ///< Peer listeners of daemons there to contact first.
  bool operator==(const OtherZoneSettings&) const = default;
};

/** Settings of one daemon. Immutable after reading. */
struct Settings
{
  state::DaemonId daemon_;              ///< Name of the daemon.
  state::ZoneId zone_;                  ///< Its availability zone.
  state::RegionId region_;              ///< Region of the zone.
  ListenerSettings listeners_;          ///< Where it listens.
  std::vector<state::Endpoint> stores_; ///< Addresses of the key-value service.
  state::Endpoint vmList_;              ///< Address of the platform's VM list.
  std::vector<state::Endpoint>
    seedPeers_;             ///< Peer listeners of daemons to contact first.
  std::string peerKey_;     ///< Key shared by all daemons.
  std::string operatorKey_; ///< Bearer key of the operators.
  std::uint32_t trafficThreads_ = 2; ///< Threads that handle requests.
  std::chrono::milliseconds evidenceLimit_{
    3000
  }; ///< Age at which evidence of a VM no longer opens its copy.
  std::chrono::milliseconds balancerLag_{
    2000
  }; ///< How long the balancer still sends requests after readiness fails.
  LogLevel logLevel_ = LogLevel::kInfo;       ///< Least severe line written.
  LimitSettings limits_;                      ///< Limits towards callers.
  std::vector<OtherZoneSettings> otherZones_; ///< The other zones.
  bool operator==(const Settings&) const = default;
};

} // namespace auburnhaven::app
