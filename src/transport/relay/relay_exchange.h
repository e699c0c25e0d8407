// Relays one request to targets and its response to the caller.
#pragma once

#include "transport/relay/event_splitter.h"
#include "transport/relay/relay_handler.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::transport {

/** Outcome of sending a request to a target. */
enum class SendOutcome : std::uint8_t
{
  kDelivered, ///< The caller has the complete response.
  kNotRun,    ///< The target certainly did not run the request.
  kRan,       ///< The target ran it and responded with an error.
  kUnknown,   ///< It may have run; there is no complete response.
  kOver,      ///< The caller disconnected, or the deadline passed.
};

/** @return Name of an outcome for logs. */
constexpr std::string_view
nameOf(SendOutcome aSendOutcome)
{
  constexpr std::string_view kNames[] = {
    "delivered", "not_run", "ran", "unknown", "over"
  };
  return kNames[static_cast<std::size_t>(aSendOutcome)];
}

/** Who ended a send. */
enum class SendEnder : std::uint8_t
{
  kTarget,   ///< The target, by its response or by closing its connection.
  kSilence,  ///< This daemon, since the target was silent.
  kDigest,   ///< This daemon, since a digest does not list the target.
  kCaller,   ///< The caller, by closing its connection.
  kDeadline, ///< The deadline.
};

/** @return Name of who ended a send for logs. */
constexpr std::string_view
nameOf(SendEnder aEnder)
{
  constexpr std::string_view kNames[] = {
    "target", "silence", "digest", "caller", "deadline"
  };
  return kNames[static_cast<std::size_t>(aEnder)];
}

/**
 * Relays one request: finds its route and client account, sends it to targets
 * one after the other as far as the route's kind allows retries, and sends the
 * caller one final response. Used by one coroutine.
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

private:
  class TargetMonitor;
  class StreamRecorder;

  bool findRoute();
  void serve();
  bool tryNextTarget();
  SendOutcome sendTo(const coordination::TargetDecision& aTarget);
  SendOutcome handleResponse(HttpCall& aCall,
                             const coordination::TargetDecision& aTarget);
  SendOutcome forwardWholeResponse(HttpCall& aCall, bool aSuccess);
  SendOutcome forwardStream(HttpCall& aCall,
                            const coordination::TargetDecision& aTarget);
  SendOutcome forwardEvents(const HttpCall& aCall);
  bool mayRetry(SendOutcome aSendOutcome) const;
  bool isStream() const;
  bool isRetrySafe() const;
  bool canRetryElsewhere(const state::VmId& aTarget) const;
  std::chrono::milliseconds eventTimeout(
    const coordination::TargetDecision& aTarget,
    state::TimePoint aSince,
    bool aStarted) const;
  HttpTimeouts timeouts(const coordination::TargetDecision& aTarget) const;
  std::chrono::milliseconds timeLeft() const;
  SendEnder enderAfterSilence() const;
  void refuse(const coordination::TargetDecision& aDecision);
  void giveUp();
  void sendError(std::uint32_t aStatus,
                 std::string_view aMessage,
                 std::optional<state::Duration> aRetryAfter = std::nullopt);
  void logOutcome(state::LogWeight aWeight, std::string_view aOutcome);
  void logSend(const coordination::TargetDecision& aTarget,
               SendOutcome aSendOutcome);
  HttpResponse responseOf(const HttpCall& aCall) const;

  const RelayDependencies& dependencies_; ///< Dependencies.
  const RelaySettings& settings_;         ///< Timeouts and limits.
  HttpClient& client_;                    ///< HTTP client of the thread.
  const HttpRequest& request_;            ///< The caller's request.
  HttpResponder& responder_;              ///< Sends the response to the caller.
  const boost::asio::yield_context& yield_; ///< The coroutine.
  const RelayRequestInfo info_;             ///< Contents of its headers.
  RouteTablePtr routes_;                    ///< Routes in force at its start.
  const state::Route* route_ = nullptr;     ///< Route of the request.
  state::AccountId account_;                ///< Client account; empty for none.
  coordination::TargetNeed need_;           ///< Requirements for its target.
  state::TimePoint startedAt_;              ///< When relaying began.
  state::TimePoint deadline_{};             ///< Latest time for the response.
  state::TimePoint firstEventAt_{};         ///< When its first event was sent.
  HttpAborter* aborter_ = nullptr; ///< Aborts the current send; null when there
                                   ///< is none.
  state::VmId target_;   ///< Target of the last send; empty before the first.
  EventSplitter events_; ///< Splits a streamed response.
  std::uint32_t sends_ = 0;           ///< Sends to targets.
  std::uint32_t arrivals_ = 0;        ///< Sends that may have reached a target.
  std::uint32_t runs_ = 0;            ///< Sends that may have run the request.
  std::uint32_t rejections_ = 0;      ///< Sends that certainly did not run it.
  std::uint32_t forwardedEvents_ = 0; ///< Events written to the caller.
  SendEnder endedBy_ = SendEnder::kTarget; ///< Who ended the last send.
  bool staleConnection_ = false; ///< Whether the last send failed on a reused
                                 ///< connection that its target had closed.
  bool streaming_ = false;       ///< Whether a streamed response has begun.
  std::optional<HttpResponse> failure_; ///< Last error response of a
                                        ///< target.
  std::string lastDetail_; ///< Reason for the last outcome, for logs.
};

} // namespace auburnhaven::transport
