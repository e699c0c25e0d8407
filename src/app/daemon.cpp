// The entry daemon: wiring, periodic work and graceful stop.

#include "app/daemon.h"

#include "app/command_line.h"
#include "app/serve.h"

#include <glog/logging.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <random>
#include <thread>
#include <utility>

namespace auburnhaven::app {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kControlTick(100);   ///< Period of the control work.
constexpr milliseconds kClaimTick(10);      ///< Period of claim commits.
constexpr milliseconds kAdmissionTick(50);  ///< Period of queue checks.
constexpr std::uint64_t kViewTicks = 2;     ///< Control ticks a new snapshot.
constexpr std::uint64_t kMetricsTicks = 10; ///< Control ticks new gauges.
constexpr milliseconds kQuietTime(200); ///< Time without requests at the stop.
constexpr milliseconds kClaimFlush(5000);   ///< Longest wait for claims' ends.
constexpr milliseconds kHandBackWait(3000); ///< Longest wait for lease returns.
constexpr milliseconds kAbandonWait(
  200); ///< Longest wait for the ends of requests that outlast the stop.
constexpr milliseconds kLeaveWait(300); ///< Time for the last messages.

/** @return Start of this process in milliseconds of wall time. */
state::Incarnation
newIncarnation(const state::Clock& aClock)
{
  return state::Incarnation(
    static_cast<std::uint64_t>(aClock.wallNow().time_since_epoch().count()));
}

/** @return Settings of the gateway. */
transport::GatewaySettings
gatewaySettings(const Settings& aSettings, state::Incarnation aIncarnation)
{
  return { aSettings.daemon_.value() + "-" +
             std::to_string(aIncarnation.value()) + "-",
           aSettings.limits_.requestTimeout_,
           aSettings.limits_.requestsInFlight_ };
}

/** @return Limits of the callers' listener. */
transport::HttpServerLimits
serverLimits(const LimitSettings& aLimits)
{
  transport::HttpServerLimits limits;
  limits.maxHeaderBytes_ = aLimits.headerBytes_;
  limits.maxBodyBytes_ = aLimits.bodyBytes_;
  limits.headerTimeout_ = aLimits.headerTimeout_;
  limits.bodyTimeout_ = aLimits.bodyTimeout_;
  limits.idleTimeout_ = aLimits.idleTimeout_;
  limits.maxConnections_ = aLimits.connections_;
  return limits;
}

/** @return Settings of forwarded requests. */
transport::ForwardSettings
forwardSettings(const Settings& aSettings)
{
  transport::ForwardSettings forward;
  forward.listen_ = transport::forwardEndpointOf(aSettings.listeners_.peers_);
  forward.key_ = aSettings.peerKey_;
  return forward;
}

/** @return Signals that end the daemon. */
sigset_t
stopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

PromiseObserver::PromiseObserver(coordination::SloTracker& aTracker,
                                 const state::Clock& aClock)
  : tracker_(aTracker)
  , clock_(aClock)
{
}

void
PromiseObserver::requestEnded(const coordination::RequestInfo& aInfo,
                              const transport::RequestResult& aResult,
                              state::TimePoint aNow)
{
  if (aInfo.group_.empty()) {
    return;
  }
  const transport::RequestTimes& times = aResult.times_;
  coordination::SloSample sample;
  sample.group_ = aInfo.group_;
  sample.account_ = aInfo.account_;
  sample.arrivedAt_ =
    clock_.wallNow() -
    std::chrono::duration_cast<milliseconds>(aNow - times.startedAt_);
  if (times.admittedAt_ != state::TimePoint{}) {
    sample.queued_ = times.admittedAt_ - times.startedAt_;
  }
  if (times.tokens_ > 0) {
    sample.firstToken_ = times.firstTokenAt_ - times.startedAt_;
  }
  sample.betweenTokens_ = times.meanGap_;
  sample.outcome_ = aResult.outcome_;
  tracker_.record(sample);
}

Daemon::Daemon(Settings aSettings)
  : settings_(std::move(aSettings))
  , incarnation_(newIncarnation(clock_))
  , observer_(promises_, clock_)
  , parts_(settings_, clock_, incarnation_, limiter_)
  , traffic_(settings_.trafficThreads_)
  , chooser_(settings_.zone_,
             [engine = std::mt19937_64(incarnation_.value())]() mutable {
               return engine();
             })
  , admission_(limiter_)
  , claimDesk_(parts_.control_, parts_.claims_)
  , opener_(
      std::make_unique<TargetOpener>(traffic_, forwardSettings(settings_)))
  , gateway_(gatewaySettings(settings_, incarnation_),
             { clock_, chooser_, admission_, budget_, claimDesk_, *opener_ },
             views_,
             metrics_,
             observer_)
  , admin_(settings_, parts_, promises_, clock_)
  , forwardHandler_(*opener_, targets_)
  , forwards_(traffic_, forwardSettings(settings_), forwardHandler_)
{
}

Daemon::~Daemon() = default;

int
Daemon::run()
{
  const sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const std::string fault = startServers();
  if (!fault.empty()) {
    LOG(ERROR) << "daemon: " << fault;
    return kExitFailed;
  }
  schedule();
  controlThread_ = std::thread([this] { parts_.control_.run(); });
  traffic_.start();
  LOG(INFO) << "daemon: " << settings_.daemon_ << " started in zone "
            << settings_.zone_;
  awaitSignal();
  stop();
  return kExitOk;
}

std::string
Daemon::startServers()
{
  callers_ =
    std::make_unique<transport::HttpServer>(traffic_,
                                            settings_.listeners_.callers_,
                                            serverLimits(settings_.limits_),
                                            gateway_);
  std::string fault = callers_->start();
  if (!fault.empty()) {
    return "cannot listen for callers: " + fault;
  }
  operators_ =
    std::make_unique<transport::HttpServer>(traffic_,
                                            settings_.listeners_.operators_,
                                            transport::HttpServerLimits(),
                                            admin_);
  fault = operators_->start();
  if (!fault.empty()) {
    return "cannot listen for operators: " + fault;
  }
  fault = forwards_.start();
  if (!fault.empty()) {
    return "cannot listen for forwarded requests: " + fault;
  }
  fault = parts_.links_.start();
  if (!fault.empty()) {
    return "cannot listen for peers: " + fault;
  }
  return {};
}

void
Daemon::schedule()
{
  parts_.fleet_.onConfiguration(
    [this](const state::ConfigurationPtr& aConfiguration) {
      takeConfiguration(aConfiguration);
    });
  parts_.control_.every(kControlTick, [this] { tick(); });
  parts_.control_.every(kClaimTick, [this] { parts_.claims_.tick(); });
  parts_.control_.every(kAdmissionTick,
                        [this] { admission_.tick(clock_.now()); });
}

void
Daemon::tick()
{
  parts_.fleet_.tick();
  parts_.groups_.setZoneDaemons(parts_.fleet_.liveMembers());
  parts_.claims_.setDaemons(parts_.fleet_.liveMembers());
  parts_.groups_.tick();
  parts_.usage_.tick();
  ++ticks_;
  if (ticks_ % kViewTicks == 0) {
    publishView();
  }
  if (ticks_ % kMetricsTicks == 0) {
    publishMetrics();
  }
}

void
Daemon::takeConfiguration(const state::ConfigurationPtr& aConfiguration)
{
  LOG(INFO) << "config: generation " << aConfiguration->generation_
            << " is in force";
  limiter_.configure(*aConfiguration);
  promises_.configure(*aConfiguration);
  parts_.claims_.setRetention(aConfiguration->policy_.claimRetention_);
  parts_.groups_.setConfiguration(aConfiguration);
  publishView();
  views_.set(std::make_shared<const transport::ConfigView>(aConfiguration));
  gateway_.setReady(true);
}

state::ServingView
Daemon::makeView() const
{
  state::ServingView view;
  view.configuration_ = parts_.fleet_.configuration();
  for (state::ServingCopy& copy : parts_.groups_.copies()) {
    view.copies_[copy.id_.group_].push_back(std::move(copy));
  }
  view.leavingVms_ = parts_.groups_.leavingVms();
  view.gateways_ = parts_.fleet_.otherZones();
  return view;
}

void
Daemon::publishView()
{
  const auto view = std::make_shared<const state::ServingView>(makeView());
  chooser_.setView(view);
  targets_.set(view);
  const std::size_t daemons = parts_.fleet_.liveMembers().size();
  admission_.setView(*view, std::max<std::size_t>(1, daemons));
}

void
Daemon::publishMetrics()
{
  std::vector<std::pair<std::string, double>> gauges;
  const auto report = parts_.groups_.status();
  for (const auto& group : report.groups_) {
    const std::string label = "{group=\"" + group.id_.value() + "\"}";
    const auto downtime =
      std::chrono::duration<double, std::ratio<60>>(group.downtime_);
    gauges.emplace_back("auburnhaven_group_downtime_minutes" + label,
                        downtime.count());
    gauges.emplace_back("auburnhaven_group_open_copies" + label, group.open_);
    gauges.emplace_back("auburnhaven_group_wanted_copies" + label,
                        group.wanted_);
  }
  for (const auto& [cause, count] : report.strandedAccelerators_) {
    gauges.emplace_back(
      "auburnhaven_stranded_accelerators{cause=\"" + cause + "\"}", count);
  }
  for (const auto& standing : promises_.sloStatuses(clock_.wallNow())) {
    if (standing.worst_.total_ > 0) {
      gauges.emplace_back("auburnhaven_worst_minute_kept_permille{group=\"" +
                            standing.group_.value() + "\",account=\"" +
                            standing.account_.value() + "\"}",
                          standing.worst_.sharePermille());
    }
  }
  gauges.emplace_back("auburnhaven_zone_daemons",
                      parts_.fleet_.liveMembers().size());
  gauges.emplace_back(
    "auburnhaven_config_generation",
    static_cast<double>(parts_.fleet_.configuration()->generation_.value()));
  metrics_.replaceGauges("auburnhaven_", gauges);
}

void
Daemon::awaitSignal()
{
  const sigset_t signals = stopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  LOG(INFO) << "daemon: stopping on signal " << signal;
}

void
Daemon::stop()
{
  StopTimer stop(
    clock_, [](state::Duration aTime) { std::this_thread::sleep_for(aTime); });
  gateway_.setReady(false);
  stop.sleepUntil(settings_.balancerLag_);
  logPhase(stop, "balancer wait");
  callers_->drain();
  forwards_.drain();
  waitForRequests(stop);
  handBack();
  logPhase(stop, "hand back");
  // No request may outlive the parts that its exchange uses.
  callers_->abandon();
  stop.waitFor([this] { return callers_->counts().requests_ == 0; },
               stop.elapsed() + kAbandonWait);
  traffic_.stop();
  parts_.control_.stop();
  controlThread_.join();
  logPhase(stop, "threads");
  const transport::HttpServerCounts counts = callers_->counts();
  LOG(INFO) << "daemon: stopped " << state::countMs(stop.elapsed())
            << " ms after the signal; connections closed with bytes unsent "
            << counts.closedUnsent_ << ", unread " << counts.closedUnread_;
}

void
Daemon::waitForRequests(StopTimer& aStop)
{
  aStop.waitFor([this] { return requestsInFlight() == 0; },
                aStop.elapsed() + settings_.limits_.requestTimeout_,
                kQuietTime);
  logPhase(aStop, "requests");
  LOG_IF(WARNING, requestsInFlight() > 0)
    << "daemon: " << requestsInFlight() << " requests outlasted the stop";
  aStop.waitFor([this] { return !hasPendingClaims(); },
                aStop.elapsed() + kClaimFlush);
  logPhase(aStop, "claims");
}

void
Daemon::logPhase(StopTimer& aStop, std::string_view aPhase)
{
  LOG(INFO) << "daemon: stop phase " << aPhase << " took "
            << state::countMs(aStop.endPhase()) << " ms";
}

std::uint64_t
Daemon::requestsInFlight() const
{
  return callers_->inFlight() + forwards_.inFlight();
}

bool
Daemon::hasPendingClaims()
{
  std::promise<bool> answer;
  parts_.control_.post([&] { answer.set_value(parts_.claims_.hasPending()); });
  return answer.get_future().get();
}

void
Daemon::handBack()
{
  auto done = std::make_shared<std::promise<void>>();
  std::future<void> waiting = done->get_future();
  parts_.control_.post([this, done] {
    parts_.groups_.releaseLeases([done] { done->set_value(); });
  });
  if (waiting.wait_for(kHandBackWait) != std::future_status::ready) {
    LOG(WARNING) << "daemon: leases were not handed back in time";
  }
  parts_.control_.post([this] { parts_.fleet_.stop(); });
  std::this_thread::sleep_for(kLeaveWait);
}

} // namespace auburnhaven::app
