// One request on its way through the relay.
#pragma once

#include "transport/relay/event_splitter.h"
#include "transport/relay/relay_handler.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::transport {

/** How one send of a request ended. */
enum class SendOutcome : std::uint8_t
{
  kDelivered,     ///< The caller has the whole answer.
  kNotRun,        ///< The target certainly did not run the request.
  kErrorResponse, ///< The target ran it and answered with a failure.
  kUnknown,       ///< The target may have run it; there is no whole answer.
  kAbandoned,     ///< The caller has gone away, or the time is over.
};

/** @return Name of an end for logs. */
constexpr std::string_view
nameOf(SendOutcome aSendOutcome)
{
  constexpr std::string_view kNames[] = {
    "delivered", "not_run", "ran", "unknown", "over"
  };
  return kNames[static_cast<std::size_t>(aSendOutcome)];
}

/**
 * One request on its way through the relay: finds its route and account, sends
 * it to targets one after the other as its kind allows, and gives the caller
 * one final answer. Used by one coroutine.
 */
class RelayExchange
{
public:
  /**
   * @param aDependencies What requests need.
   * @param aSettings Times.
   * @param aClient Client of the thread.
   * @param aRequest The request.
   * @param aResponder Takes the answer.
   * @param aYield The coroutine.
   */
  RelayExchange(const RelayDependencies& aDependencies,
                const RelaySettings& aSettings,
                HttpClient& aClient,
                const HttpRequest& aRequest,
                HttpResponder& aResponder,
                const boost::asio::yield_context& aYield);
  RelayExchange(const RelayExchange&) = delete;
  RelayExchange& operator=(const RelayExchange&) = delete;

  /** Answers the request. Call this or one of those that refuse, once. */
  void run();
  /** Refuses the request as not run; this daemon may act on what has been
   * changed, another one or a later time will do. */
  void refuseAsOutdated();
  /** Refuses the request as not run; another daemon can take it at once. */
  void refuseAsStopping();

private:
  class TargetMonitor;

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
  void refuse(const coordination::TargetDecision& aDecision);
  void giveUp();
  void sendError(std::uint32_t aStatus,
                 std::string_view aOutcome,
                 std::optional<state::Duration> aRetryAfter = std::nullopt);
  void logOutcome(state::LogWeight aWeight, std::string_view aOutcome);
  void logSend(const coordination::TargetDecision& aTarget,
               SendOutcome aSendOutcome);
  HttpResponse responseOf(const HttpCall& aCall) const;

  const RelayDependencies& dependencies_;   ///< What requests need.
  const RelaySettings& settings_;           ///< Times.
  HttpClient& client_;                      ///< Client of the thread.
  const HttpRequest& request_;              ///< The request.
  HttpResponder& responder_;                ///< Takes the answer.
  const boost::asio::yield_context& yield_; ///< The coroutine.
  const RelayRequestInfo info_;             ///< What the request states.
  RouteTablePtr routes_;                    ///< Routes in force.
  const state::Route* route_ = nullptr;     ///< Its route.
  state::AccountId account_;                ///< Its account.
  coordination::TargetNeed need_;           ///< What it needs of a target.
  state::TimePoint startedAt_;              ///< When it was read.
  state::TimePoint deadline_{};             ///< When it is given up.
  state::TimePoint firstEventAt_{};         ///< When its first event was sent.
  HttpAborter* aborter_ = nullptr;          ///< Ends the present send.
  EventSplitter events_;                    ///< Events of the stream.
  std::uint32_t sends_ = 0;                 ///< Sends to targets.
  std::uint32_t arrivals_ = 0;   ///< Sends that may have reached a target.
  std::uint32_t runs_ = 0;       ///< Sends that may have run.
  std::uint32_t rejections_ = 0; ///< Sends that certainly did not.
  bool staleConnection_ = false; ///< Whether the newest send met a kept
                                 ///< connection that its target had closed.
  bool streaming_ = false;       ///< Whether a streamed answer has begun.
  std::optional<HttpResponse> failure_; ///< Newest failure that a target
                                        ///< answered.
  std::string lastDetail_; ///< Why the newest send ended as it did.
};

} // namespace auburnhaven::transport
