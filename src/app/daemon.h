// The entry daemon: wiring, periodic work and graceful stop.
#pragma once

#include "app/admin_handler.h"
#include "app/daemon_parts.h"
#include "app/stop_timer.h"
#include "app/target_opener.h"
#include "coordination/request/slo_tracker.h"
#include "transport/gateway/gateway.h"
#include "transport/traffic_pool.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace auburnhaven::app {

/** Counts ended requests against the promise of their serving group. */
class PromiseObserver : public transport::RequestObserver
{
public:
  /**
   * @param aTracker Takes the samples; outlives this object.
   * @param aClock Wall clock; outlives this object.
   */
  PromiseObserver(coordination::SloTracker& aTracker,
                  const state::Clock& aClock);
  void requestEnded(const coordination::RequestInfo& aInfo,
                    const transport::RequestResult& aResult,
                    state::TimePoint aNow) override;

private:
  coordination::SloTracker& tracker_; ///< Takes the samples.
  const state::Clock& clock_;         ///< Wall clock.
};

/** One entry daemon. Used by the thread that makes it. */
class Daemon
{
public:
  /** @param aSettings Checked settings. */
  explicit Daemon(Settings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /**
   * Runs until SIGTERM or SIGINT, then stops without cutting off a request.
   * @return Exit status.
   */
  int run();

private:
  std::string startServers();
  void schedule();
  void tick();
  void publishView();
  void publishMetrics();
  void takeConfiguration(const state::ConfigurationPtr& aConfiguration);
  state::ServingView makeView() const;
  void awaitSignal();
  void stop();
  void handBack();
  void waitForRequests(StopTimer& aStop);
  static void logPhase(StopTimer& aStop, std::string_view aPhase);
  bool hasPendingClaims();
  std::uint64_t requestsInFlight() const;

  const Settings settings_;              ///< Settings.
  transport::SystemClock clock_;         ///< Clock.
  const state::Incarnation incarnation_; ///< Start of this process.
  transport::Metrics metrics_;           ///< Metrics.
  coordination::AccountLimiter limiter_; ///< Limits of the accounts.
  coordination::SloTracker promises_;    ///< Promised worst minutes.
  PromiseObserver observer_;             ///< Feeds the tracker.
  ControlParts parts_;                   ///< Control state.
  transport::TrafficPool traffic_;       ///< Traffic threads.
  coordination::TargetChooser chooser_;  ///< Choice of targets.
  coordination::Admission admission_;    ///< Admission.
  coordination::RetryBudget budget_;     ///< Budget for retries.
  transport::ClaimDispatcher claimDesk_; ///< Way to the claims.
  transport::ConfigViewHolder views_{
    transport::emptyConfigView()
  };                                     ///< Snapshot for the gateway.
  std::unique_ptr<TargetOpener> opener_; ///< Ways to targets.
  transport::Gateway gateway_;           ///< Answers callers.
  AdminHandler admin_;                   ///< Answers operators.
  ServingViewHolder targets_;            ///< Snapshot for forwarded requests.
  ForwardedTargets forwardHandler_;      ///< Makes attempts for other daemons.
  transport::ForwardServer forwards_;    ///< Takes forwarded requests.
  std::unique_ptr<transport::HttpServer> callers_;   ///< Callers' listener.
  std::unique_ptr<transport::HttpServer> operators_; ///< Operators' listener.
  std::thread controlThread_;                        ///< The control thread.
  std::uint64_t ticks_ = 0;                          ///< Ticks since the start.
};

} // namespace auburnhaven::app
