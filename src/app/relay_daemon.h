// The relay daemon: wiring, periodic work and graceful stop.
#pragma once

#include "app/lease_extender.h"
#include "app/relay_settings_type.h"
#include "app/stop_timer.h"
#include "coordination/leader_lease.h"
#include "coordination/replica/zone_leadership.h"
#include "coordination/request/response_memory.h"
#include "coordination/request/retry_budget.h"
#include "coordination/routing/daemon_registry.h"
#include "coordination/routing/store_follower.h"
#include "coordination/routing/target_pool.h"
#include "coordination/routing/zone_digest_monitor.h"
#include "platform/engine_client.h"
#include "platform/kv_store.h"
#include "platform/request_dialect.h"
#include "platform/routing_codec.h"
#include "protocol/config_exchange.h"
#include "transport/control_loop.h"
#include "transport/datagram_socket.h"
#include "transport/event_log_writer.h"
#include "transport/http_client.h"
#include "transport/peer_links.h"
#include "transport/relay/activity_exchange.h"
#include "transport/relay/quarantine_service.h"
#include "transport/relay/relay_handler.h"
#include "transport/relay/status_handler.h"
#include "transport/service_caller.h"
#include "transport/system_clock.h"
#include "transport/traffic_pool.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>

namespace auburnhaven::app {

/** One relay daemon. Used by the thread that makes it. */
class RelayDaemon
{
public:
  /** @param aFile Checked settings; the log tells its notes. */
  explicit RelayDaemon(const RelaySettingsFile& aFile);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon&) = delete;
  RelayDaemon& operator=(const RelayDaemon&) = delete;

  /**
   * Runs until SIGTERM or SIGINT, then stops without cutting off a request.
   * @return Exit status.
   */
  int run();

private:
  void logSettings();
  std::string startServers();
  void connectParts();
  void tick();
  void takeDatagram(const state::Endpoint& aFrom, const std::string& aDatagram);
  void takeDigest(const coordination::ZoneDigest& aDigest);
  void sendDigest(coordination::ZoneLeadership& aDuty);
  void askForActivity();
  void takeActivity(const protocol::ActivityNotice& aNotice,
                    state::TimePoint aCountedAt,
                    bool aAsked);
  std::vector<state::Endpoint> otherDaemons() const;
  void sendToDaemons(const coordination::ZoneDigest& aDigest);
  void handBack(coordination::ZoneLeadership& aDuty);
  void noteStoreCalls();
  void checkLack();
  void takeConfig();
  void takeInstances();
  void takeOwnKey(const std::string& aKey,
                  const std::optional<std::string>& aValue);
  void setRetryLimits();
  void updateView();
  void updatePeers();
  void noteSignals();
  void stop();
  void logOpenRequests();
  void onTrafficThreads(const std::function<void(std::size_t)>& aWork);
  /** Ends the own registration. Not before the requests have ended: daemons ask
   * only registered ones for stream evidence, and send only these digests. */
  void endRegistration();
  void endStopPhase(StopTimer& aStop, std::string_view aPhase);
  void logStopped(const StopTimer& aStop);

  const RelayDaemonSettings settings_; ///< Settings.
  const std::vector<state::InputError>
    settingsNotes_;                 ///< What their file held instead.
  transport::SystemClock clock_;    ///< Clock.
  const std::uint64_t seed_;        ///< Seed of random numbers.
  transport::EventLogWriter log_;   ///< Log.
  transport::Metrics metrics_;      ///< Metrics.
  transport::ControlLoop control_;  ///< Event loop of the control thread.
  transport::HttpClient client_;    ///< HTTP of the control thread.
  transport::ServiceCaller caller_; ///< Short calls.
  platform::KvStore store_;         ///< The store.
  platform::PlatformEngineClient engines_; ///< The engines.
  platform::PlatformRoutingCodec codec_;   ///< Reads values of the store.
  coordination::StoreFollower follower_;   ///< Follows the store.
  coordination::DaemonRegistry registry_;  ///< Daemons of the system.
  coordination::LeaderLease registration_; ///< Own entry among them.
  coordination::ZoneDigestMonitor
    hearing_;                         ///< Zones whose coordinators are heard.
  transport::DatagramSocket digests_; ///< Digests of the zones.
  state::TimePoint digestAt_{};       ///< When to send digests.
  std::uint64_t digestCount_ = 0;     ///< Digests sent.
  std::map<state::ZoneId, std::uint64_t>
    sentOpenChanges_; ///< Changes to the open replicas of each zone that its
                      ///< latest digest covers.
  double earnedEachTick_ = 0;  ///< Repeated sends that a control tick earns.
  state::TimePoint usageAt_{}; ///< When to record the calls to the store.
  std::map<platform::StoreCallKey, std::uint64_t>
    notedCalls_;                      ///< Calls to the store as last recorded.
  state::Revision sharedRevision_;    ///< Newest change of the store announced.
  transport::PeerLinks links_;        ///< Links to other daemons.
  protocol::ConfigExchange exchange_; ///< Configuration from peers.
  std::map<state::ZoneId, std::unique_ptr<coordination::ZoneLeadership>>
    duties_;                               ///< Coordination of each zone.
  coordination::TargetPool targets_;       ///< Choice of targets.
  coordination::StreamActivity activity_;  ///< Events of the streams relayed.
  transport::ActivityExchange activities_; ///< Tells and asks for such events.
  transport::QuarantineService
    quarantine_;           ///< Keeps requests that end targets away from them.
  LeaseExtender extender_; ///< Extends the authority of coordinators.
  coordination::RetryBudget budget_;       ///< Budget of repeated sends.
  coordination::ResponseMemory responses_; ///< Responses that arrive.
  platform::RequestDialect dialect_;       ///< Request headers.
  transport::SnapshotHolder<coordination::RouteTable> routes_; ///< Routes.
  transport::RelayHandler relay_;   ///< Answers callers.
  transport::StatusHandler status_; ///< Answers the balancer.
  // The end of the pool ends requests that are still open, which use what is
  // declared above.
  transport::TrafficPool traffic_; ///< Traffic thread.
  std::vector<std::unique_ptr<transport::HttpClient>>
    trafficClients_;                      ///< HTTP of each traffic thread.
  transport::PlacementClient placements_; ///< Asks for places at copies.
  std::unique_ptr<transport::HttpServer> callers_;  ///< Callers' listener.
  std::unique_ptr<transport::HttpServer> balancer_; ///< Status listener.
  std::thread controlThread_;                       ///< The control thread.
  bool outdated_ = false; ///< Control thread: whether requests are refused for
                          ///< want of a change.
  bool stopping_ = false; ///< Control thread: whether it stops.
};

} // namespace auburnhaven::app
