// Reads the settings file of a relay daemon.

#include "app/relay_settings_file.h"

#include "app/figure_reader.h"
#include "app/file_func.h"
#include "app/settings_reference.h"

#include <array>
#include <ratio>

namespace auburnhaven::app {

namespace {

constexpr FieldRange kKeyLength{ 16, 256 };       ///< Length of keys.
constexpr FieldRange kMilliseconds{ 0, 3600000 }; ///< Up to one hour.
constexpr FieldRange kSeconds{ 0, 3600 };         ///< Up to one hour.
constexpr FieldRange kWindow{ 1, 1000000000 };    ///< Seconds. A window that
                                                  ///< is cut short would allow
                                                  ///< more.
constexpr FieldRange kRatio{ 0, 10 };             ///< Repeated sends a request.
constexpr FieldRange kProcessor{ 0, 1024 };       ///< Cores.
constexpr FieldRange kCount{ 0, 1000000 };        ///< Repeated sends.
constexpr FieldRange kBandwidth{ 1, 1000000 };    ///< Megabits a second.

constexpr auto kRequired = FieldNeed::kRequired;
constexpr auto kOptional = FieldNeed::kOptional;

// Times within which the daemon must act, in the unit of the name.
using LimitMs = TimeFigure<std::milli, state::Rounding::kDown>;
using LimitSeconds = TimeFigure<std::ratio<1>, state::Rounding::kDown>;
// Times that must have passed before it acts.
using WaitMs = TimeFigure<std::milli, state::Rounding::kUp>;
using WaitSeconds = TimeFigure<std::ratio<1>, state::Rounding::kUp>;

constexpr std::array kListenerFields = {
  field<&RelayListeners::callers_>("callers",
                                   kRequired,
                                   kNonEmpty,
                                   "HTTP for callers"),
  field<&RelayListeners::status_>("status",
                                  kRequired,
                                  kNonEmpty,
                                  "HTTP for readiness and metrics"),
  field<&RelayListeners::peers_>("peers",
                                 kRequired,
                                 kNonEmpty,
                                 "streams of other daemons"),
  field<&RelayListeners::digests_>("digests",
                                   kRequired,
                                   kNonEmpty,
                                   "datagrams of coordinators; the same port "
                                   "on all VMs"),
};

constexpr std::array kRetryFields = {
  field<&RelayRetryLimits::ratio_, DecimalFigure>(
    "ratio",
    kOptional,
    kRatio,
    "repeated sends for each request"),
  field<&RelayRetryLimits::extra_, CountFigure>(
    "extra",
    kOptional,
    kCount,
    "repeated sends beyond that in a window"),
  field<&RelayRetryLimits::window_, WaitSeconds>("window_s",
                                                 kOptional,
                                                 kWindow,
                                                 "window of the limit"),
};

} // namespace

template<>
std::span<const FieldDescriptor<RelayListeners>>
fieldsOf<RelayListeners>()
{
  return kListenerFields;
}

template<>
std::span<const FieldDescriptor<RelayRetryLimits>>
fieldsOf<RelayRetryLimits>()
{
  return kRetryFields;
}

namespace {

constexpr std::array kFields = {
  field<&RelayDaemonSettings::daemon_>("daemon",
                                       kRequired,
                                       kNonEmpty,
                                       "name of the daemon, unique in the "
                                       "system"),
  field<&RelayDaemonSettings::zone_>("zone",
                                     kRequired,
                                     kNonEmpty,
                                     "availability zone of the daemon"),
  field<&RelayDaemonSettings::zones_>("zones",
                                      kRequired,
                                      kNonEmpty,
                                      "all availability zones"),
  field<&RelayDaemonSettings::store_>("store",
                                      kRequired,
                                      kNonEmpty,
                                      "address of the key-value service"),
  field<&RelayDaemonSettings::listeners_>("listeners",
                                          kRequired,
                                          kNonEmpty,
                                          "where the daemon listens"),
  field<&RelayDaemonSettings::seedPeers_, EndpointHints>(
    "seed_peers",
    kOptional,
    kAnyLength,
    "peer listeners of daemons to ask "
    "first"),
  field<&RelayDaemonSettings::peerKey_>("peer_key",
                                        kRequired,
                                        kKeyLength,
                                        "key shared by all daemons"),
  field<&RelayDaemonSettings::readyPath_>("ready_path",
                                          kOptional,
                                          kNonEmpty,
                                          "path of the question for readiness"),
  field<&RelayDaemonSettings::processorShare_, DecimalFigure>(
    "processor_share",
    kOptional,
    kProcessor,
    "part of a core that the daemon "
    "has"),
  field<&RelayDaemonSettings::newsLimit_, LimitMs>(
    "news_limit_ms",
    kOptional,
    kMilliseconds,
    "after which a change in the store "
    "must be in force everywhere"),
  field<&RelayDaemonSettings::linkMbps_, DecimalFigure>(
    "link_mbps",
    kOptional,
    kBandwidth,
    "bandwidth of the VM's link, in "
    "megabits a second"),
  field<&RelayDaemonSettings::firstStart_, FlagFigure>(
    "first_start",
    kOptional,
    kNonEmpty,
    "whether the whole system starts for "
    "the first time"),
  field<&RelayDaemonSettings::formationTime_>(
    "formation_time_ms",
    kOptional,
    kMilliseconds,
    "after a first start: time before callers come"),
  field<&RelayDaemonSettings::stallLimit_, WaitMs>(
    "stall_limit_ms",
    kOptional,
    kMilliseconds,
    "after which a copy without one of "
    "its members is broken"),
  field<&RelayDaemonSettings::stopLimit_, LimitSeconds>(
    "stop_limit_s",
    kOptional,
    kSeconds,
    "longest time of a graceful stop"),
  field<&RelayDaemonSettings::balancerLag_>(
    "balancer_lag_ms",
    kOptional,
    kMilliseconds,
    "how long callers still come after readiness fails"),
  field<&RelayDaemonSettings::retries_>("retries",
                                        kOptional,
                                        kNonEmpty,
                                        "limit of repeated sends over all "
                                        "daemons"),
};

} // namespace

template<>
std::span<const FieldDescriptor<RelayDaemonSettings>>
fieldsOf<RelayDaemonSettings>()
{
  return kFields;
}

state::leaf::result<RelaySettingsFile>
parseRelaySettings(const std::string& aText, const std::string& aSource)
{
  FaultList faults(aSource);
  RelayDaemonSettings settings;
  const std::optional<toml::table> table = parseToml(aText, faults);
  if (table) {
    readTable(*table, settings, faults);
  }
  if (!faults.empty()) {
    return state::leaf::new_error(state::InputErrors{ faults.sorted() });
  }
  return RelaySettingsFile{ std::move(settings), faults.notes() };
}

state::leaf::result<RelaySettingsFile>
readRelaySettings(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, readFile(aPath));
  return parseRelaySettings(text, aPath);
}

std::string
relaySettingsReference()
{
  std::string text = referenceHead();
  appendRows<RelayDaemonSettings>("", text);
  appendRows<RelayListeners>("listeners.", text);
  appendRows<RelayRetryLimits>("retries.", text);
  return text;
}

} // namespace auburnhaven::app
