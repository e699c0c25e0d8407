// The relay daemon: wiring and periodic work.

#include "app/relay_daemon.h"

#include "app/command_line.h"
#include "app/relay_parts_func.h"
#include "app/retry_share_func.h"
#include "protocol/placement_codec.h"
#include "protocol/zone_digest_codec.h"
#include "state/endpoint_func.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <unistd.h>
#include <utility>

namespace auburnhaven::app {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kControlTick(40); ///< Period of the control work.
constexpr milliseconds kCoordinatorSilence(
  1000); ///< Silence of a zone's coordinator after which a daemon follows the
         ///< store by itself.
constexpr milliseconds kAnnounceTime(
  1000); ///< Longest time from a change in the store to its announcement.
constexpr milliseconds kDigestPeriod(300); ///< Between two digests of a zone.
constexpr std::chrono::seconds kUsagePeriod(
  5); ///< Between two records of the calls to the store.
constexpr std::size_t kMaxResponsesBytes =
  std::size_t{ 24 } * 1024 * 1024; ///< Responses that arrive at the same time,
                                   ///< a fifth of a small machine's memory.
constexpr double kBytesPerMegabit = 125'000;            ///< Bytes in a megabit.
constexpr char kDaemonPrefix[] = "auburnhaven/daemon/"; ///< Of registrations.
constexpr char kQuarantinePrefix[] =
  "auburnhaven/quarantine/";                 ///< Of prompt parts in quarantine.
constexpr std::string_view kPart = "daemon"; ///< Part of the program in logs.

/** @return Signals that end the daemon, and the one that announces settings. */
sigset_t
awaitedSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

RelayDaemon::RelayDaemon(const RelaySettingsFile& aFile)
  : settings_(aFile.settings_)
  , settingsNotes_(aFile.notes_)
  , seed_(std::random_device{}())
  , log_(clock_, STDOUT_FILENO)
  , client_(control_.context(), clientLimits())
  , caller_(control_.context(), client_)
  , store_(caller_, log_, { settings_.store_ })
  , engines_(caller_, clock_)
  , follower_(clock_, store_, codec_, log_, followerSettings())
  , registry_(kDaemonPrefix)
  , registration_(clock_,
                  store_,
                  registry_.keyOf(settings_.daemon_.value()),
                  state::textOf(settings_.listeners_.peers_),
                  registrationTiming())
  , hearing_(settings_.zone_, kCoordinatorSilence)
  , digests_(control_.context())
  , links_(control_.context(), linkSettings(settings_, seed_))
  , exchange_(clock_,
              links_,
              follower_,
              log_,
              { settings_.listeners_.peers_,
                seed_,
                settings_.linkMbps_ * kBytesPerMegabit })
  , targets_(clock_,
             poolSettings(settings_),
             [engine = std::mt19937_64(seed_)]() mutable { return engine(); })
  , activity_(clock_)
  , activities_(
      clock_,
      digests_,
      activity_,
      targets_,
      settings_.listeners_.digests_,
      [this](const protocol::ActivityNotice& aNotice,
             state::TimePoint aCountedAt,
             bool aAsked) { takeActivity(aNotice, aCountedAt, aAsked); })
  , quarantine_(clock_,
                control_.context(),
                digests_,
                store_,
                log_,
                settings_.listeners_.digests_,
                { kQuarantinePrefix, settings_.daemon_.value() },
                [this] {
                  onTrafficThreads([this](std::size_t aThread) {
                    relay_.wakeOpenRequests(aThread);
                  });
                })
  , extender_(clock_, digests_, duties_, registration_, log_)
  , budget_(firstRetryBudget(settings_.retries_))
  , responses_(kMaxResponsesBytes)
  , relay_({ clock_,
             targets_,
             budget_,
             dialect_,
             routes_,
             trafficClients_,
             log_,
             metrics_,
             &placements_,
             &activity_,
             &quarantine_.quarantine(),
             &quarantine_.observer(),
             &responses_ },
           {})
  , status_(settings_.readyPath_, metrics_)
  , traffic_(1)
  , placements_(traffic_.context(0),
                clock_,
                targets_,
                log_,
                settings_.listeners_.digests_)
{
  for (std::size_t thread = 0; thread < traffic_.size(); ++thread) {
    trafficClients_.push_back(std::make_unique<transport::HttpClient>(
      traffic_.context(thread), clientLimits()));
  }
  for (const state::ZoneId& zone : settings_.zones_) {
    duties_[zone] = std::make_unique<coordination::ZoneLeadership>(
      clock_, store_, engines_, log_, dutySettings(settings_, clock_, zone));
  }
}

RelayDaemon::~RelayDaemon() = default;

int
RelayDaemon::run()
{
  const sigset_t signals = awaitedSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  logSettings();
  const std::string fault = startServers();
  if (!fault.empty()) {
    log_.write(state::LogWeight::kChange,
               kPart,
               "cannot start",
               { state::logField("why", std::string_view(fault)) });
    return kExitFailed;
  }
  connectParts();
  control_.every(kControlTick, [this] { tick(); });
  controlThread_ = std::thread([this] { control_.run(); });
  traffic_.start();
  log_.write(
    state::LogWeight::kChange,
    kPart,
    "started",
    { state::logField("daemon", std::string_view(settings_.daemon_.value())),
      state::logField("zone", std::string_view(settings_.zone_.value())),
      state::logField("first_start", settings_.firstStart_) });
  noteSignals();
  stop();
  return kExitOk;
}

void
RelayDaemon::logSettings()
{
  for (const state::InputError& note : settingsNotes_) {
    log_.write(state::LogWeight::kChange,
               kPart,
               "setting is not used as it stands",
               { state::logField("key", std::string_view(note.key_)),
                 state::logField("line", note.line_),
                 state::logField("why", std::string_view(note.message_)) });
  }
  log_.write(
    state::LogWeight::kChange,
    kPart,
    "settings read",
    { state::logField("stall_limit_ms", settings_.stallLimit_.count()),
      state::logField("news_limit_ms", settings_.newsLimit_.count()),
      state::logField("stop_limit_ms", settings_.stopLimit_.count()),
      state::logField("retry_ratio", settings_.retries_.ratio_),
      state::logField("retry_extra", settings_.retries_.extra_),
      state::logField("retry_window_ms", settings_.retries_.window_.count()),
      state::logField("processor_share", settings_.processorShare_),
      state::logField("link_mbps", settings_.linkMbps_) });
}

std::string
RelayDaemon::startServers()
{
  callers_ =
    std::make_unique<transport::HttpServer>(traffic_,
                                            settings_.listeners_.callers_,
                                            transport::HttpServerLimits(),
                                            relay_);
  std::string fault = callers_->start();
  if (!fault.empty()) {
    return "cannot listen for callers: " + fault;
  }
  balancer_ =
    std::make_unique<transport::HttpServer>(traffic_,
                                            settings_.listeners_.status_,
                                            transport::HttpServerLimits(),
                                            status_);
  fault = balancer_->start();
  if (!fault.empty()) {
    return "cannot listen for status: " + fault;
  }
  fault = digests_.start(
    settings_.listeners_.digests_,
    [this](const state::Endpoint& aFrom, const std::string& aDatagram) {
      takeDatagram(aFrom, aDatagram);
    });
  if (!fault.empty()) {
    return "cannot listen for digests: " + fault;
  }
  state::Endpoint places = settings_.listeners_.digests_;
  ++places.port_;
  fault = placements_.start(places);
  if (!fault.empty()) {
    return "cannot listen for places: " + fault;
  }
  fault = links_.start();
  return fault.empty() ? fault : "cannot listen for peers: " + fault;
}

void
RelayDaemon::connectParts()
{
  follower_.onConfig(
    [this](const state::RoutingConfigPtr& /*aConfig*/) { takeConfig(); });
  follower_.onInstances(
    [this](const state::InstanceMapPtr& /*aInstances*/) { takeInstances(); });
  follower_.onRestored([this] {
    for (auto& [zone, duty] : duties_) {
      duty->noteRestored();
    }
    quarantine_.noteRestored();
    registration_.probe();
  });
  follower_.onDaemonKey(
    [this](const std::string& aKey, const std::optional<std::string>& aValue) {
      takeOwnKey(aKey, aValue);
    });
  updatePeers();
}

void
RelayDaemon::tick()
{
  follower_.tick();
  exchange_.tick();
  budget_.addRetries(earnedEachTick_);
  const bool mayTry =
    !stopping_ && follower_.hasListed() && !follower_.hasOutage();
  bool urgent = !follower_.config();
  for (auto& [zone, duty] : duties_) {
    if (relay_.requests() > 0) {
      duty->coordinator().noteTraffic();
    }
    duty->tick(mayTry && !extender_.isPromised(zone));
    urgent = urgent || duty->coordinator().isFormingReplica();
  }
  const bool coordinates =
    std::any_of(duties_.begin(), duties_.end(), [](const auto& aEntry) {
      return aEntry.second->isHeld();
    });
  const auto pace = coordinates ? coordination::FollowerUrgency::kNormal
                                : coordination::FollowerUrgency::kLow;
  follower_.setUrgency(urgent ? coordination::FollowerUrgency::kHigh : pace);
  follower_.updatePeerStatus(
    !coordinates && hearing_.allZonesFresh(clock_.now()), sharedRevision_);
  follower_.noteConfirmed(hearing_.knownAsOf());
  checkLack();
  const bool mayRegister = !stopping_ && !follower_.hasOutage();
  registration_.tick(mayRegister ? std::optional<state::Duration>(
                                     registrationTiming().retryPause_)
                                 : std::nullopt);
  activities_.tick();
  askForActivity();
  std::vector<state::Endpoint> others = otherDaemons();
  extender_.tick(others);
  quarantine_.tick({ targets_.dispatchers(), std::move(others), coordinates },
                   mayRegister);
  const bool due = clock_.now() >= digestAt_;
  if (due) {
    digestAt_ = clock_.now() + kDigestPeriod;
  }
  for (auto& [zone, duty] : duties_) {
    std::uint64_t& sent = sentOpenChanges_[zone];
    const std::uint64_t changes = duty->coordinator().openChanges();
    if (due || changes != sent) {
      sent = changes;
      sendDigest(*duty);
    }
  }
  if (clock_.now() >= usageAt_) {
    usageAt_ = clock_.now() + kUsagePeriod;
    noteStoreCalls();
  }
}

void
RelayDaemon::checkLack()
{
  // A daemon that the store does not answer goes on with what it has.
  const state::Duration behindFor = follower_.behindFor();
  const bool outdated = follower_.isBehind() && !follower_.hasOutage() &&
                        behindFor >= settings_.newsLimit_ - kAnnounceTime;
  if (outdated == outdated_) {
    return;
  }
  outdated_ = outdated;
  relay_.setOutdated(outdated);
  log_.write(
    state::LogWeight::kChange,
    kPart,
    outdated ? "requests are refused until a change is in force"
             : "no change is lacking any more",
    { state::logField(
        "lacked_ms",
        std::chrono::duration<double, std::milli>(behindFor).count()),
      state::logField("announced", follower_.announcedRevision().value()) });
}

void
RelayDaemon::noteStoreCalls()
{
  for (const auto& [kind, total] : store_.calls()) {
    std::uint64_t& noted = notedCalls_[kind];
    if (total == noted) {
      continue;
    }
    const std::uint64_t count = total - noted;
    noted = total;
    metrics_
      .counter("auburnhaven_store_calls_total{call=\"" +
               std::string(kind.call_) + "\",status=\"" +
               std::to_string(kind.status_) + "\"}")
      .add(count);
    log_.write(state::LogWeight::kRoutine,
               kPart,
               "calls to the store",
               { state::logField("call", kind.call_),
                 state::logField("status", kind.status_),
                 state::logField("count", count) });
  }
}

void
RelayDaemon::takeDatagram(const state::Endpoint& aFrom,
                          const std::string& aDatagram)
{
  if (const auto question = protocol::decodeQuestion(aDatagram)) {
    targets_.noteLimits(question->limits_);
    const coordination::TargetDecision place = targets_.place(question->need_);
    digests_.send(aFrom,
                  protocol::encodeAnswer({ question->number_,
                                           place.reason_,
                                           place.vm_,
                                           place.expected_,
                                           place.retryAfter_,
                                           place.candidates_ }));
  } else if (activities_.take(aFrom, aDatagram) ||
             extender_.take(aFrom, aDatagram) || quarantine_.take(aDatagram)) {
    return;
  } else if (auto digest =
               protocol::decodeZoneDigest(aDatagram, clock_.now())) {
    digest->sharedRevision_ = follower_.inKnownEra(digest->sharedRevision_);
    targets_.setDispatcher(digest->zone_, aFrom);
    exchange_.noteCoordinator(
      { aFrom.address_, settings_.listeners_.peers_.port_ },
      digest->sharedRevision_,
      digest->zone_ == settings_.zone_);
    takeDigest(*digest);
  }
}

void
RelayDaemon::takeDigest(const coordination::ZoneDigest& aDigest)
{
  targets_.setDigest(aDigest);
  sharedRevision_ = std::max(sharedRevision_, aDigest.sharedRevision_);
  hearing_.noteDigest(aDigest.zone_, clock_.now(), aDigest.knownAsOf_);
  extender_.noteAuthority(aDigest.zone_, aDigest.authority_);
  const auto duty = duties_.find(aDigest.zone_);
  if (aDigest.released_ && duty != duties_.end()) {
    hearing_.noteRelease(aDigest.zone_);
    duty->second->setHolder(std::nullopt);
  }
}

void
RelayDaemon::sendDigest(coordination::ZoneLeadership& aDuty)
{
  std::optional<coordination::ZoneDigest> digest = aDuty.coordinator().digest();
  if (!digest) {
    return;
  }
  digest->count_ = ++digestCount_;
  digest->sharedRevision_ = follower_.sharedRevision();
  digest->knownAsOf_ = follower_.readAsOf();
  targets_.setDigest(*digest);
  targets_.setDispatcher(digest->zone_, settings_.listeners_.digests_);
  sendToDaemons(*digest);
}

std::vector<state::Endpoint>
RelayDaemon::otherDaemons() const
{
  std::vector<state::Endpoint> others;
  for (state::Endpoint daemon : registry_.endpoints()) {
    if (daemon != settings_.listeners_.peers_) {
      daemon.port_ = settings_.listeners_.digests_.port_;
      others.push_back(daemon);
    }
  }
  return others;
}

void
RelayDaemon::sendToDaemons(const coordination::ZoneDigest& aDigest)
{
  const std::string datagram =
    protocol::encodeZoneDigest(aDigest, clock_.now());
  for (const state::Endpoint& daemon : otherDaemons()) {
    digests_.send(daemon, datagram);
  }
}

void
RelayDaemon::askForActivity()
{
  std::vector<state::VmId> heads;
  for (const auto& [zone, duty] : duties_) {
    const auto doubted = duty->coordinator().headsInDoubt();
    heads.insert(heads.end(), doubted.begin(), doubted.end());
  }
  if (!heads.empty()) {
    activities_.ask(heads, otherDaemons());
  }
}

void
RelayDaemon::takeActivity(const protocol::ActivityNotice& aNotice,
                          state::TimePoint aCountedAt,
                          bool aAsked)
{
  for (auto& [zone, duty] : duties_) {
    if (aAsked) {
      duty->coordinator().noteActivity(aNotice.replicas_, aCountedAt);
    }
  }
  if (aAsked) {
    return;
  }
  for (const coordination::ReplicaActivity& replica : aNotice.replicas_) {
    targets_.noteSilence(replica.head_, replica.streams_);
    for (auto& [zone, duty] : duties_) {
      duty->coordinator().noteSilence(replica.head_);
    }
  }
}

void
RelayDaemon::handBack(coordination::ZoneLeadership& aDuty)
{
  std::optional<coordination::ZoneDigest> last = aDuty.coordinator().digest();
  aDuty.handBack([this, last] {
    if (last) {
      coordination::ZoneDigest digest = *last;
      digest.count_ = ++digestCount_;
      digest.sharedRevision_ = follower_.sharedRevision();
      digest.knownAsOf_ = follower_.readAsOf();
      digest.released_ = true;
      sendToDaemons(digest);
    }
  });
}

void
RelayDaemon::takeConfig()
{
  const state::RoutingConfigPtr& config = follower_.config();
  routes_.set(std::make_shared<const coordination::RouteTable>(config));
  for (const state::ServiceSpec& service : config->services_) {
    for (auto& [zone, duty] : duties_) {
      if (service.engine_) {
        duty->coordinator().setService(service);
      }
    }
  }
  updateView();
  if (!stopping_) {
    status_.setReady(true);
  }
}

void
RelayDaemon::takeInstances()
{
  std::map<state::ZoneId, std::vector<state::Instance>> engines;
  for (const auto& [vm, instance] : *follower_.instances()) {
    if (instance.engine_) {
      engines[instance.zone_].push_back(instance);
    }
  }
  std::set<state::ZoneId> zones;
  for (auto& [zone, duty] : duties_) {
    duty->coordinator().setInstances(engines[zone]);
    if (!engines[zone].empty()) {
      zones.insert(zone);
    }
  }
  hearing_.setZones(std::move(zones));
  updateView();
}

void
RelayDaemon::takeOwnKey(const std::string& aKey,
                        const std::optional<std::string>& aValue)
{
  registry_.take(aKey, aValue);
  quarantine_.takeKey(aKey, aValue);
  for (auto& [zone, duty] : duties_) {
    if (duty->key() == aKey) {
      duty->setHolder(aValue);
    }
  }
  updatePeers();
  targets_.setDaemons(registry_.size());
  setRetryLimits();
}

void
RelayDaemon::setRetryLimits()
{
  const RetryShare share = shareOfRetries(settings_.retries_, registry_.size());
  budget_.setMaximum(share.maximum_);
  earnedEachTick_ =
    share.perSecond_ * std::chrono::duration<double>(kControlTick).count();
}

void
RelayDaemon::updateView()
{
  if (follower_.config()) {
    targets_.setView(
      follower_.config(), follower_.instances(), follower_.readAsOf());
  }
}

void
RelayDaemon::updatePeers()
{
  std::vector<state::Endpoint> peers = registry_.endpoints();
  peers.insert(
    peers.end(), settings_.seedPeers_.begin(), settings_.seedPeers_.end());
  for (const auto& [zone, duty] : duties_) {
    const std::string holder = duty->holder().value_or("");
    if (const auto endpoint =
          state::endpointFrom(holder.substr(0, holder.find(' ')))) {
      peers.push_back(*endpoint);
    }
  }
  exchange_.setPeers(std::move(peers));
}

void
RelayDaemon::noteSignals()
{
  const sigset_t signals = awaitedSignals();
  int signal = SIGHUP;
  while (signal == SIGHUP) {
    sigwait(&signals, &signal);
    log_.write(state::LogWeight::kChange,
               kPart,
               signal == SIGHUP ? "settings may have changed" : "stopping",
               { state::logField("signal", signal) });
  }
}

void
RelayDaemon::onTrafficThreads(const std::function<void(std::size_t)>& aWork)
{
  for (std::size_t thread = 0; thread < traffic_.size(); ++thread) {
    boost::asio::post(traffic_.context(thread),
                      [aWork, thread] { aWork(thread); });
  }
}

} // namespace auburnhaven::app
