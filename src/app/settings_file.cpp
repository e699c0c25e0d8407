// Reads the settings file of a daemon.

#include "app/settings_file.h"

#include "app/file_func.h"
#include "app/settings_reference.h"
#include "app/toml_reader.h"

#include <array>
#include <set>

namespace auburnhaven::app {

/** Log levels, written as their names. */
template<>
struct FieldCodec<LogLevel>
{
  static constexpr std::string_view kType = "string";
  static constexpr std::array<std::string_view, 3> kNames = { "info",
                                                              "warning",
                                                              "error" };
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   LogLevel& aValue,
                   FaultList& aFaults)
  {
    std::string text;
    FieldCodec<std::string>::read(aNode, aRange, text, aFaults);
    for (std::size_t index = 0; index < kNames.size(); ++index) {
      if (kNames[index] == text) {
        aValue = static_cast<LogLevel>(index);
        return;
      }
    }
    if (aNode.is_string()) {
      aFaults.add(aNode, "", "must be info, warning or error");
    }
  }
  static std::string show(LogLevel aValue)
  {
    return '"' + std::string(kNames[static_cast<std::size_t>(aValue)]) + '"';
  }
};

namespace {

constexpr FieldRange kKeyLength{ 16, 256 };               ///< Length of keys.
constexpr FieldRange kThreads{ 1, 256 };                  ///< Traffic threads.
constexpr FieldRange kMilliseconds{ 1, 3600000 };         ///< Up to one hour.
constexpr FieldRange kLagMilliseconds{ 0, 60000 };        ///< Up to one minute.
constexpr FieldRange kEvidenceMilliseconds{ 100, 60000 }; ///< Evidence limit.
constexpr FieldRange kBodyBytes{ 1024, 64LL * 1024 * 1024 }; ///< Body size.
constexpr FieldRange kHeaderBytes{ 1024, 1024LL * 1024 };    ///< Header size.
constexpr FieldRange kCount{ 1, 1000000 };                   ///< Connections.

constexpr auto kRequired = FieldNeed::kRequired;
constexpr auto kOptional = FieldNeed::kOptional;

constexpr std::array kListenerFields = {
  field<&ListenerSettings::callers_>("callers",
                                     kRequired,
                                     kNonEmpty,
                                     "HTTP for callers, health and metrics"),
  field<&ListenerSettings::peers_>(
    "peers",
    kRequired,
    kNonEmpty,
    "streams of other daemons; the next port takes "
    "forwarded requests"),
  field<&ListenerSettings::operators_>("operators",
                                       kRequired,
                                       kNonEmpty,
                                       "HTTP for operators' commands"),
};

constexpr std::array kLimitFields = {
  field<&LimitSettings::bodyBytes_>("body_bytes",
                                    kOptional,
                                    kBodyBytes,
                                    "largest request body"),
  field<&LimitSettings::headerBytes_>("header_bytes",
                                      kOptional,
                                      kHeaderBytes,
                                      "largest request header"),
  field<&LimitSettings::connections_>("connections",
                                      kOptional,
                                      kCount,
                                      "callers connected at once"),
  field<&LimitSettings::requestsInFlight_>("requests_in_flight",
                                           kOptional,
                                           kCount,
                                           "requests handled at once"),
  field<&LimitSettings::headerTimeout_>("header_timeout_ms",
                                        kOptional,
                                        kMilliseconds,
                                        "limit for the arrival of a header"),
  field<&LimitSettings::bodyTimeout_>("body_timeout_ms",
                                      kOptional,
                                      kMilliseconds,
                                      "limit for the arrival of a body"),
  field<&LimitSettings::requestTimeout_>("request_timeout_ms",
                                         kOptional,
                                         kMilliseconds,
                                         "limit for a whole request"),
  field<&LimitSettings::idleTimeout_>(
    "idle_timeout_ms",
    kOptional,
    kMilliseconds,
    "how long a connection may wait for its next request"),
};

constexpr std::array kOtherZoneFields = {
  field<&OtherZoneSettings::zone_>("zone",
                                   kRequired,
                                   kNonEmpty,
                                   "name of the availability zone"),
  field<&OtherZoneSettings::peers_>(
    "peers",
    kRequired,
    kNonEmpty,
    "peer listeners of daemons there to contact first"),
};

} // namespace

template<>
std::span<const FieldDescriptor<OtherZoneSettings>>
fieldsOf<OtherZoneSettings>()
{
  return kOtherZoneFields;
}

template<>
std::span<const FieldDescriptor<ListenerSettings>>
fieldsOf<ListenerSettings>()
{
  return kListenerFields;
}

template<>
std::span<const FieldDescriptor<LimitSettings>>
fieldsOf<LimitSettings>()
{
  return kLimitFields;
}

namespace {

constexpr std::array kSettingsFields = {
  field<&Settings::daemon_>("daemon",
                            kRequired,
                            kNonEmpty,
                            "name of the daemon, unique in the system"),
  field<&Settings::zone_>("zone",
                          kRequired,
                          kNonEmpty,
                          "availability zone of the daemon"),
  field<&Settings::region_>("region",
                            kRequired,
                            kNonEmpty,
                            "region of the availability zone"),
  field<&Settings::stores_>("stores",
                            kRequired,
                            kNonEmpty,
                            "addresses of the key-value service"),
  field<&Settings::vmList_>("vm_list",
                            kRequired,
                            kNonEmpty,
                            "address of the platform's VM list"),
  field<&Settings::seedPeers_>("seed_peers",
                               kOptional,
                               kAnyLength,
                               "peer listeners of daemons to contact first"),
  field<&Settings::peerKey_>("peer_key",
                             kRequired,
                             kKeyLength,
                             "key shared by all daemons"),
  field<&Settings::operatorKey_>("operator_key",
                                 kRequired,
                                 kKeyLength,
                                 "bearer key of the operators"),
  field<&Settings::trafficThreads_>("traffic_threads",
                                    kOptional,
                                    kThreads,
                                    "threads that handle requests"),
  field<&Settings::evidenceLimit_>(
    "evidence_limit_ms",
    kOptional,
    kEvidenceMilliseconds,
    "age at which evidence of a VM no longer opens its copy"),
  field<&Settings::balancerLag_>(
    "balancer_lag_ms",
    kOptional,
    kLagMilliseconds,
    "how long the balancer still sends requests after readiness fails"),
  field<&Settings::logLevel_>("log_level",
                              kOptional,
                              kNonEmpty,
                              "info, warning or error"),
  field<&Settings::listeners_>("listeners",
                               kRequired,
                               kNonEmpty,
                               "where the daemon listens"),
  field<&Settings::limits_>("limits",
                            kOptional,
                            kNonEmpty,
                            "limits towards callers"),
  field<&Settings::otherZones_>("other_zones",
                                kOptional,
                                kAnyLength,
                                "the other availability zones"),
};

} // namespace

template<>
std::span<const FieldDescriptor<Settings>>
fieldsOf<Settings>()
{
  return kSettingsFields;
}

namespace {

/** Adds a fault when two listeners have the same endpoint. */
void
checkListeners(const toml::table& aTable,
               const ListenerSettings& aListeners,
               FaultList& aFaults)
{
  const toml::node* node = aTable.get("listeners");
  if (node == nullptr) {
    return;
  }
  std::set<state::Endpoint> seen;
  for (const auto& [key, endpoint] :
       { std::pair("callers", &aListeners.callers_),
         std::pair("peers", &aListeners.peers_),
         std::pair("operators", &aListeners.operators_) }) {
    const bool isNew = seen.insert(*endpoint).second;
    if (endpoint->port_ != 0 && !isNew) {
      aFaults.add(*node,
                  std::string("listeners.") + key,
                  "has the same address as another listener");
    }
  }
  const state::Endpoint& peers = aListeners.peers_;
  const state::Endpoint forward{ peers.address_,
                                 static_cast<std::uint16_t>(peers.port_ + 1) };
  if (peers.port_ != 0 && seen.contains(forward)) {
    aFaults.add(*node,
                "listeners.peers",
                "needs the next port too, which another listener has");
  }
}

} // namespace

state::leaf::result<Settings>
parseSettings(const std::string& aText, const std::string& aSource)
{
  FaultList faults(aSource);
  Settings settings;
  const std::optional<toml::table> table = parseToml(aText, faults);
  if (table) {
    readTable(*table, settings, faults);
    checkListeners(*table, settings.listeners_, faults);
  }
  if (!faults.empty()) {
    return state::leaf::new_error(state::InputErrors{ faults.sorted() });
  }
  return settings;
}

state::leaf::result<Settings>
readSettingsFile(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, readFile(aPath));
  return parseSettings(text, aPath);
}

std::string
settingsReference()
{
  std::string text = referenceHead();
  appendRows<Settings>("", text);
  appendRows<ListenerSettings>("listeners.", text);
  appendRows<LimitSettings>("limits.", text);
  return text;
}

} // namespace auburnhaven::app
