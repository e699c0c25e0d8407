// Relays one request to targets and its response to the caller.
#pragma once

#include "transport/relay/relay_attempt.h"
#include "transport/relay/relay_handler.h"
#include "transport/relay/request_identity.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::transport {

/**
 * Relays one request: finds its route and client account, sends it to targets
 * as far as the route's kind allows retries, and sends the caller one final
 * response. A silent target keeps the request until its deadline; meanwhile a
 * second target may be tried, and the first response wins. Used by one
 * coroutine.
 */
class RelayExchange
{
public:
  /**
   * @param aDependencies Dependencies; must outlive this object.
   * @param aSettings Timeouts and limits; must outlive this object.
   * @param aClient HTTP client of the thread.
   * @param aRequest The caller's request.
   * @param aResponder Sends the response to the caller.
   * @param aYield Coroutine of the request.
   */
  RelayExchange(const RelayDependencies& aDependencies,
                const RelaySettings& aSettings,
                HttpClient& aClient,
                const HttpRequest& aRequest,
                HttpResponder& aResponder,
                const boost::asio::yield_context& aYield);
  RelayExchange(const RelayExchange&) = delete;
  RelayExchange& operator=(const RelayExchange&) = delete;

  /** Relays the request and sends the response. Call either this or one of the
   * functions that refuse it, and only once. */
  void run();
  /** Refuses the request as not run, because this daemon might apply an
   * outdated configuration. The caller can use another daemon or retry later.
   */
  void refuseAsOutdated();
  /** Refuses the request as not run, because this daemon shuts down. The caller
   * can use another daemon at once. */
  void refuseAsStopping();
  /**
   * Logs how far the request has come. Call on its thread while its coroutine
   * is suspended.
   * @param aEvent Event of the log record.
   */
  void logProgress(std::string_view aEvent) const;
  /** Ends a wait for news, so that the request checks whether it may go on.
   * Call on its thread while its coroutine is suspended. */
  void wake() const;
  /** Gives the request up because the daemon stops: the caller gets the final
   * response at once. Call on its thread while its coroutine is suspended. */
  void giveUpAsStopping();

private:
  using AttemptPtr = std::unique_ptr<RelayAttempt>; ///< A send in flight.

  bool findRoute();
  void serve();
  void tryNextTarget();
  void followAttempts();
  /** @return Whether its turn ended while there may be more to read; then
   * there is a send in flight. */
  bool pollAttempts();
  void takeProgress(RelayAttempt& aAttempt, AttemptProgress aProgress);
  void forwardEvents(RelayAttempt& aAttempt);
  void deliver(RelayAttempt& aAttempt);
  void conclude(const RelayAttempt& aAttempt);
  void supersedeOthers(const RelayAttempt& aWinner);
  void endAttempts(SendEnder aEnder);
  bool isBackupDue() const;
  void startBackup();
  void start(const coordination::TargetDecision& aTarget);
  coordination::TargetDecision chooseTarget();
  void readmitRejecting();
  bool acquireRetry(const coordination::TargetDecision& aTarget);
  HttpClientRequest requestFor(
    const coordination::TargetDecision& aTarget) const;
  bool mayStillRead() const;
  /** Lets others run, and waits for news unless there may be more to read. */
  void goOn(bool aMayHaveMore);
  void waitForNews(state::TimePoint aUntil);
  state::TimePoint nextCheck() const;
  bool mayRetry(SendOutcome aSendOutcome) const;
  bool isStream() const;
  bool isRetrySafe() const;
  bool canRetryElsewhere(const state::VmId& aTarget) const;
  std::optional<state::Duration> silenceLimit(
    const RelayAttempt& aAttempt) const;
  std::chrono::milliseconds timeLeft() const;
  void refuse(const coordination::TargetDecision& aDecision);
  bool isQuarantined() const;
  void refuseAsQuarantined();
  void endUnansweredAttempts();
  void giveUp();
  void sendError(std::uint32_t aStatus,
                 std::string_view aMessage,
                 std::optional<state::Duration> aRetryAfter = std::nullopt);
  void logOutcome(state::LogWeight aWeight, std::string_view aOutcome);
  void logSend(const RelayAttempt& aAttempt,
               SendOutcome aSendOutcome,
               SendEnder aEnder);

  const RelayDependencies& dependencies_; ///< Dependencies.
  const RelaySettings& settings_;         ///< Timeouts and limits.
  HttpClient& client_;                    ///< HTTP client of the thread.
  const HttpRequest& request_;            ///< The caller's request.
  HttpResponder& responder_;              ///< Sends the response to the caller.
  const boost::asio::yield_context& yield_; ///< The coroutine.
  const RelayRequestInfo info_;             ///< Contents of its headers.
  state::AccountId account_;                ///< Client account; empty for none.
  const RequestIdentity identity_;          ///< What tells it from others.
  RouteTablePtr routes_;                    ///< Routes in force at its start.
  const state::Route* route_ = nullptr;     ///< Route of the request.
  coordination::TargetNeed need_;           ///< Requirements for its target.
  state::TimePoint startedAt_;              ///< When relaying began.
  state::TimePoint deadline_{};             ///< Latest time for the response.
  state::TimePoint readUntil_{};            ///< Latest time at which what has
                                            ///< arrived of it is read.
  state::TimePoint firstEventAt_{};         ///< When its first event was sent.
  std::vector<AttemptPtr> attempts_;        ///< Sends in flight, oldest first.
  std::vector<state::VmId> rejectedBy_; ///< Targets that rejected the request.
  std::vector<state::VmId> sentTo_;     ///< Targets that may have received it.
  state::TimePoint nextTryAt_{};        ///< Earliest time for another target
                                        ///< once a stream has begun or while a
                                        ///< send is in flight.
  std::shared_ptr<boost::asio::steady_timer>
    wait_;                         ///< Wait for news; null when there is none.
  HttpAborter* aborter_ = nullptr; ///< Aborts the request that is being sent;
                                   ///< null when there is none.
  StreamPosition position_;        ///< How far the caller's stream has come.
  std::uint32_t sends_ = 0;        ///< Sends to targets.
  std::uint32_t arrivals_ = 0;     ///< Sends that may have reached a target.
  std::uint32_t runs_ = 0;       ///< Ended sends that may have run the request.
  std::uint32_t rejections_ = 0; ///< Sends that certainly did not run it.
  std::uint32_t forwardedEvents_ = 0; ///< Events written to the caller.
  bool staleConnection_ = false; ///< Whether the last send failed on a reused
                                 ///< connection that its target had closed.
  bool streaming_ = false;       ///< Whether a streamed response has begun.
  bool stopping_ = false; ///< Whether the daemon has no time left for it.
  bool answered_ = false; ///< Whether the final response was sent, or the
                          ///< caller has left.
  std::optional<HttpResponse> failure_; ///< Last error response of a
                                        ///< target.
  std::string lastDetail_; ///< Reason for the last outcome, for logs.
};

} // namespace auburnhaven::transport
