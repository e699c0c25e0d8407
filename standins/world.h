// All stand-ins of one run on successive loopback ports.
#pragma once

#include "engine_standin.h"
#include "service_standin.h"
#include "store_standin.h"
#include "vm_list_standin.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace auburnhaven::standins {

/** What a run consists of. */
struct WorldOptions
{
  std::uint16_t basePort_ = 21000;                     ///< First port.
  std::vector<std::string> zones_ = { "a", "b", "c" }; ///< Zones.
  std::uint32_t domainsPerZone_ = 1;  ///< Fabric domains of a zone.
  std::uint32_t vmsPerDomain_ = 10;   ///< VMs of a fabric domain.
  std::uint32_t servicesPerZone_ = 1; ///< Plain service VMs of a zone.
  bool checksFencing_ = true;         ///< Whether engines refuse old numbers.
  double weightLoadsPerSecond_ = 20;  ///< Loads that start in a second.
  std::uint32_t threads_ = 2;         ///< Threads.
  EngineOptions engine_;              ///< How engines behave.
};

inline constexpr std::uint16_t kWeightStorePort = 0; ///< Offset of its port.
inline constexpr std::uint16_t kVmListPort = 1;      ///< Offset of its port.
inline constexpr std::uint16_t kStorePort = 2;    ///< Offset; one port a zone.
inline constexpr std::uint16_t kServicePort = 20; ///< Offset of the first one.
inline constexpr std::uint16_t kEnginePort = 100; ///< Offset of the first one.

/** @return All VMs with engines, zone by zone, domain by domain. */
std::vector<state::VmInfo>
makeVms(const WorldOptions& aOptions);

/** Hosts all stand-ins of a run. */
class World
{
public:
  /** @param aOptions What the run consists of. */
  explicit World(const WorldOptions& aOptions);
  ~World();
  /** Serves until SIGTERM or SIGINT. */
  void run();

private:
  void hostEngines();  ///< Starts the engines, spread over the threads.
  void hostPlatform(); ///< Starts store, VM list, weights and services.

  WorldOptions options_;           ///< What the run consists of.
  std::vector<state::VmInfo> vms_; ///< All VMs with engines.
  std::vector<std::unique_ptr<asio::io_context>>
    contexts_;           ///< Event loop of each thread.
  PresenceBoard board_;  ///< Presence of the engines.
  WeightStore weights_;  ///< The weight store.
  VmListStandin vmList_; ///< The VM list.
  std::vector<std::unique_ptr<StoreStandin>> stores_;     ///< Store fronts.
  std::vector<std::unique_ptr<ServiceStandin>> services_; ///< Services.
  std::vector<std::unique_ptr<EngineStandin>> engines_;   ///< Engines.
};

} // namespace auburnhaven::standins
