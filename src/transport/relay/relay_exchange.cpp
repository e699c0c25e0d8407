// Relays one request to targets and its response to the caller.

#include "transport/relay/relay_exchange.h"

#include "state/routing_func.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cstdio>
#include <random>
#include <utility>

namespace auburnhaven::transport {

namespace {

using coordination::RefusalReason;
using coordination::SendResult;
using coordination::TargetDecision;
using std::chrono::milliseconds;

constexpr std::string_view kPart = "request"; ///< Part that log records name.
constexpr milliseconds kMinSendTime(
  15); ///< Least time left at which a request is still sent to a target.
constexpr std::size_t kMaxResponseBytes =
  std::size_t{ 8 } * 1024 * 1024; ///< Largest response that is not a stream.
constexpr std::size_t kMaxEventBytes =
  std::size_t{ 256 } * 1024; ///< Largest event of a stream.
constexpr std::size_t kMaxRejectionBytes =
  std::size_t{ 16 } * 1024; ///< Largest body of a rejection that is read.
constexpr milliseconds kRejectionBodyTimeout(
  100); ///< Timeout for the body of a rejection, which is read only to reuse
        ///< the connection.

constexpr std::uint32_t kUnauthorized = 401; ///< No client account has the key.
constexpr std::uint32_t kNotFound = 404;     ///< No route matches.
constexpr std::uint32_t kBadGateway = 502;   ///< May have run; no response.
constexpr std::uint32_t kUnavailable = 503;  ///< Has not run.
constexpr std::uint32_t kGatewayTimeout =
  504; ///< May have run; deadline passed.

/** @return A duration in whole milliseconds. */
milliseconds
toMs(state::Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration);
}

/** @return A duration in fractional milliseconds, for logs. */
double
logMs(state::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/** @return A service of the route, chosen at random by weight. */
const state::ServiceId&
pickService(const state::Route& aRoute)
{
  if (aRoute.services_.size() == 1) {
    return aRoute.services_.front().service_;
  }
  static thread_local std::mt19937_64 random{ std::random_device{}() };
  std::vector<double> weights;
  for (const state::WeightedService& service : aRoute.services_) {
    weights.push_back(service.weight_);
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  return aRoute.services_[pick(random)].service_;
}

/** @return Whether a status code is 2xx. */
bool
isSuccess(std::uint32_t aStatus)
{
  return aStatus / 100 == 2;
}

/** @return Value of a Retry-After header, in seconds with milliseconds. */
std::string
retryAfterText(state::Duration aWait)
{
  char text[32];
  std::snprintf(
    text, sizeof text, "%.3f", std::chrono::duration<double>(aWait).count());
  return text;
}

} // namespace

RelayExchange::RelayExchange(const RelayDependencies& aDependencies,
                             const RelaySettings& aSettings,
                             HttpClient& aClient,
                             const HttpRequest& aRequest,
                             HttpResponder& aResponder,
                             const boost::asio::yield_context& aYield)
  : dependencies_(aDependencies)
  , settings_(aSettings)
  , client_(aClient)
  , request_(aRequest)
  , responder_(aResponder)
  , yield_(aYield)
  , info_(aDependencies.dialect_.read(aRequest))
  , routes_(aDependencies.routes_.get())
  , startedAt_(aDependencies.clock_.now())
{
}

void
RelayExchange::run()
{
  if (!findRoute()) {
    return;
  }
  const milliseconds limit =
    std::min(info_.callerTimeout_.value_or(route_->timeout_), route_->timeout_);
  deadline_ = startedAt_ + limit;
  need_.service_ = pickService(*route_);
  const state::ServiceSpec* service =
    state::findService(routes_->config(), need_.service_);
  if (service != nullptr && service->engine_) {
    need_.model_ = info_.model_;
  }
  need_.tokens_ = info_.tokens_;
  need_.latencyTarget_ = route_->latencyTarget_;
  dependencies_.budget_.requestStarted();
  responder_.onCallerGone([this] {
    if (aborter_ != nullptr) {
      aborter_->abort();
    }
  });
  serve();
  responder_.onCallerGone(nullptr);
}

void
RelayExchange::refuseAsStopping()
{
  sendError(kUnavailable, "the daemon stops", state::Duration{});
}

void
RelayExchange::refuseAsOutdated()
{
  sendError(kUnavailable,
            "a change of the configuration is lacking",
            settings_.outdatedRetryAfter_);
}

bool
RelayExchange::findRoute()
{
  if (!routes_) {
    sendError(kUnavailable, "no configuration yet", settings_.startRetryAfter_);
    return false;
  }
  route_ = routes_->findRoute(info_.host_, request_.path_);
  if (route_ == nullptr) {
    sendError(kNotFound, "no such route");
    return false;
  }
  const state::RoutedAccount* account = routes_->findAccount(info_.key_);
  const bool needsKey = routes_->needsKeys() && !route_->public_;
  if (needsKey && account == nullptr) {
    sendError(kUnauthorized, "unknown key");
    return false;
  }
  if (account != nullptr) {
    account_ = account->id_;
  }
  return true;
}

void
RelayExchange::serve()
{
  while (tryNextTarget()) {
  }
}

bool
RelayExchange::tryNextTarget()
{
  if (responder_.callerGone()) {
    logOutcome(state::LogWeight::kRoutine, "caller went away");
    return false;
  }
  need_.timeLeft_ = timeLeft();
  if (need_.timeLeft_ < kMinSendTime) {
    giveUp();
    return false;
  }
  const TargetDecision target =
    dependencies_.placements_ != nullptr
      ? dependencies_.placements_->choose(need_, yield_)
      : dependencies_.targets_.choose(need_);
  if (target.reason_ != RefusalReason::kNone) {
    if (!streaming_) {
      refuse(target);
      return false;
    }
    // The caller already has part of the stream, so wait for another target.
    boost::asio::steady_timer pause(yield_.get_executor(),
                                    settings_.resumePause_);
    boost::system::error_code ignored;
    pause.async_wait(yield_[ignored]);
    return true;
  }
  // A send counts as a retry only if an earlier one may have reached a target.
  if (arrivals_ > 0 && !dependencies_.budget_.tryAcquireRetry()) {
    dependencies_.targets_.finish(target.vm_, SendResult::kAborted);
    lastDetail_ = "retry budget exhausted";
    giveUp();
    return false;
  }
  ++sends_;
  target_ = target.vm_;
  const SendOutcome outcome = sendTo(target);
  logSend(target, outcome);
  if (!staleConnection_) {
    need_.excluded_.push_back(target.vm_);
  }
  if (outcome == SendOutcome::kDelivered || outcome == SendOutcome::kOver) {
    if (outcome == SendOutcome::kOver && !responder_.callerGone()) {
      giveUp();
    }
    return false;
  }
  runs_ += outcome == SendOutcome::kNotRun ? 0 : 1;
  rejections_ += outcome == SendOutcome::kNotRun ? 1 : 0;
  if (!mayRetry(outcome)) {
    giveUp();
    return false;
  }
  return true;
}

bool
RelayExchange::isStream() const
{
  return route_->kind_ == state::RouteKind::kStreaming;
}

bool
RelayExchange::isRetrySafe() const
{
  return route_->kind_ == state::RouteKind::kIdempotent ||
         (isStream() && route_->resumable_);
}

bool
RelayExchange::mayRetry(SendOutcome aSendOutcome) const
{
  if (aSendOutcome == SendOutcome::kNotRun) {
    return rejections_ < settings_.maxRejections_;
  }
  return isRetrySafe() && runs_ < route_->maxAttempts_;
}

milliseconds
RelayExchange::timeLeft() const
{
  return toMs(deadline_ - dependencies_.clock_.now());
}

HttpTimeouts
RelayExchange::timeouts(const TargetDecision& aTarget) const
{
  const milliseconds left = std::max(milliseconds(1), timeLeft());
  const milliseconds response =
    isStream() ? eventTimeout(aTarget, dependencies_.clock_.now(), false)
               : left;
  return {
    std::min(settings_.connectTimeout_, left), response, response, left
  };
}

bool
RelayExchange::canRetryElsewhere(const state::VmId& aTarget) const
{
  return isRetrySafe() && runs_ + 1 < route_->maxAttempts_ &&
         dependencies_.budget_.available() > 0 &&
         dependencies_.targets_.hasAlternative(need_, aTarget);
}

milliseconds
RelayExchange::eventTimeout(const TargetDecision& aTarget,
                            state::TimePoint aSince,
                            bool aStarted) const
{
  const milliseconds left = std::max(milliseconds(1), timeLeft());
  // Without an alternative, a slow target is kept until the deadline.
  if (!canRetryElsewhere(aTarget.vm_)) {
    return left;
  }
  const milliseconds limit = aStarted ? settings_.eventGapLimit_
                                      : std::max(settings_.firstEventLimit_,
                                                 toMs(aTarget.expected_ * 3));
  const milliseconds waited = toMs(dependencies_.clock_.now() - aSince);
  return std::clamp(limit - waited, milliseconds(1), left);
}

/** Aborts a send when the target's coordinator reports that the target no
 * longer serves. */
class RelayExchange::TargetMonitor
{
public:
  TargetMonitor(const boost::asio::any_io_executor& aExecutor,
                const coordination::TargetPool& aTargets,
                const state::VmId& aTarget,
                HttpAborter& aAborter,
                const RelaySettings& aSettings)
    : state_(std::make_shared<CheckState>(
        CheckState{ aTargets,
                    aTarget,
                    &aAborter,
                    aSettings.monitorPeriod_,
                    boost::asio::steady_timer(aExecutor) }))
  {
    scheduleCheck(state_);
  }
  ~TargetMonitor()
  {
    // Tells the timer's handler that there is nothing left to abort.
    state_->aborter_ = nullptr;
  }
  TargetMonitor(const TargetMonitor&) = delete;
  TargetMonitor& operator=(const TargetMonitor&) = delete;

  /** @return Whether it has aborted the send. */
  bool hasAborted() const { return state_->gone_; }

private:
  /** Shared with the timer's handler, which may run after the monitor is
   * destroyed. */
  struct CheckState
  {
    const coordination::TargetPool& targets_; ///< Target pool.
    state::VmId target_;                      ///< The target.
    HttpAborter*
      aborter_; ///< Aborts the send; null once the monitor is destroyed.
    milliseconds period_;             ///< Interval of the checks.
    boost::asio::steady_timer timer_; ///< Expires at the next check.
    bool gone_ = false;               ///< Whether the send was aborted.
  };

  static void scheduleCheck(const std::shared_ptr<CheckState>& aState)
  {
    aState->timer_.expires_after(aState->period_);
    aState->timer_.async_wait(
      [state = aState](const boost::system::error_code& aError) {
        if (aError || state->aborter_ == nullptr) {
          return;
        }
        if (state->targets_.isGone(state->target_)) {
          state->gone_ = true;
          state->aborter_->abort();
        } else {
          scheduleCheck(state);
        }
      });
  }

  std::shared_ptr<CheckState> state_; ///< Shared with the timer's handler.
};

SendOutcome
RelayExchange::sendTo(const TargetDecision& aTarget)
{
  RelayForwardInfo forward{ aTarget.vm_,
                            account_,
                            timeLeft(),
                            events_.lastId().value_or(info_.lastEventId_) };
  HttpClientRequest request;
  request.method_ = request_.method_;
  request.path_ = request_.query_.empty()
                    ? request_.path_
                    : request_.path_ + '?' + request_.query_;
  request.headers_ = dependencies_.dialect_.headersFor(request_, forward);
  request.body_ = request_.body_;
  request.freshConnection_ = !isRetrySafe() || staleConnection_;
  request.keptConnections_ = aTarget.keptConnections_;
  staleConnection_ = false;
  endedBy_ = SendEnder::kTarget;
  HttpAborter aborter;
  aborter_ = &aborter;
  const TargetMonitor monitor(yield_.get_executor(),
                              dependencies_.targets_,
                              aTarget.vm_,
                              aborter,
                              settings_);
  HttpCall call = client_.open(
    aTarget.endpoint_, request, timeouts(aTarget), yield_, &aborter);
  SendOutcome outcome = SendOutcome::kUnknown;
  const bool arrived =
    call.hasResponse() || call.failure().bytesMayHaveArrived_;
  arrivals_ += arrived ? 1 : 0;
  if (call.hasResponse()) {
    outcome = handleResponse(call, aTarget);
  } else {
    lastDetail_ = call.failure().message_;
    if (call.failure().kind_ == HttpFailureKind::kTimeout) {
      endedBy_ = enderAfterSilence();
    }
    staleConnection_ = call.failure().kind_ == HttpFailureKind::kClosed &&
                       call.failure().keptConnection_;
    outcome = arrived ? SendOutcome::kUnknown : SendOutcome::kNotRun;
  }
  aborter_ = nullptr;
  if (monitor.hasAborted()) {
    endedBy_ = SendEnder::kDigest;
  }
  if (responder_.callerGone()) {
    outcome = SendOutcome::kOver;
    endedBy_ = SendEnder::kCaller;
  }
  SendResult result = SendResult::kAnswered;
  if (outcome == SendOutcome::kOver) {
    result = SendResult::kAborted;
  } else if (staleConnection_) {
    result = SendResult::kAnswered;
  } else if (outcome == SendOutcome::kNotRun && call.hasResponse()) {
    result = SendResult::kRejected;
  } else if (outcome != SendOutcome::kDelivered) {
    result = SendResult::kFailed;
  }
  dependencies_.targets_.finish(aTarget.vm_, result);
  return outcome;
}

SendEnder
RelayExchange::enderAfterSilence() const
{
  return timeLeft() < kMinSendTime ? SendEnder::kDeadline : SendEnder::kSilence;
}

SendOutcome
RelayExchange::handleResponse(HttpCall& aCall, const TargetDecision& aTarget)
{
  const RelayResponseInfo info =
    dependencies_.dialect_.parseResponse(info_, aCall);
  if (info.load_) {
    dependencies_.targets_.noteLoad(aTarget.vm_, *info.load_);
  }
  if (info.leaving_) {
    dependencies_.targets_.noteLeaving(aTarget.vm_);
  }
  if (info.requestedPause_) {
    dependencies_.targets_.notePause(aTarget.vm_, *info.requestedPause_);
  }
  const bool success = isSuccess(aCall.status());
  if (info.notRun_ && !success) {
    lastDetail_ = "target rejected the request with status " +
                  std::to_string(aCall.status());
    aCall.limitTime(kRejectionBodyTimeout);
    aCall.readAll(kMaxRejectionBytes, yield_);
    return SendOutcome::kNotRun;
  }
  if (!info.matchesRequest_ || (success && !info.signed_)) {
    lastDetail_ = "response does not match the request or is not signed";
    aCall.abort();
    return SendOutcome::kUnknown;
  }
  if (success && isStream()) {
    return forwardStream(aCall, aTarget);
  }
  return forwardWholeResponse(aCall, success);
}

HttpResponse
RelayExchange::responseOf(const HttpCall& aCall) const
{
  HttpResponse response;
  response.status_ = aCall.status();
  response.contentType_.clear();
  for (HttpField& field : aCall.headers()) {
    if (!isConnectionHeader(field.name_)) {
      response.headers_.push_back(
        { std::move(field.name_), std::move(field.value_) });
    }
  }
  return response;
}

SendOutcome
RelayExchange::forwardWholeResponse(HttpCall& aCall, bool aSuccess)
{
  HttpResponse response = responseOf(aCall);
  HttpBody body = aCall.readAll(kMaxResponseBytes, yield_);
  if (body.status_ != HttpReadStatus::kEnd) {
    lastDetail_ = "response is incomplete";
    return timeLeft() < kMinSendTime ? SendOutcome::kOver
                                     : SendOutcome::kUnknown;
  }
  response.body_ = std::move(body.data_);
  if (!aSuccess) {
    lastDetail_ =
      "target failed with status " + std::to_string(response.status_);
    failure_ = std::move(response);
    return SendOutcome::kRan;
  }
  responder_.send(response, yield_);
  logOutcome(state::LogWeight::kRoutine, "answered");
  return SendOutcome::kDelivered;
}

/** Records the events of one stream. */
class RelayExchange::StreamRecorder
{
public:
  StreamRecorder(coordination::StreamActivity* aActivity,
                 const state::VmId& aTarget)
    : activity_(aActivity)
    , target_(aTarget)
  {
  }
  ~StreamRecorder()
  {
    if (activity_ != nullptr && begun_) {
      activity_->noteEnd(target_);
    }
  }
  StreamRecorder(const StreamRecorder&) = delete;
  StreamRecorder& operator=(const StreamRecorder&) = delete;

  /** Notes that events have arrived. */
  void noteEvents()
  {
    if (activity_ == nullptr) {
      return;
    }
    if (begun_) {
      activity_->noteEvent(target_);
    } else {
      activity_->noteBegin(target_);
    }
    begun_ = true;
  }

private:
  coordination::StreamActivity* activity_; ///< Record of all streams.
  const state::VmId& target_;              ///< The stream's target.
  bool begun_ = false;                     ///< Whether an event has arrived.
};

SendOutcome
RelayExchange::forwardStream(HttpCall& aCall, const TargetDecision& aTarget)
{
  state::TimePoint lastEventAt = dependencies_.clock_.now();
  bool started = false;
  StreamRecorder recorder(dependencies_.activity_, aTarget.vm_);
  for (;;) {
    // Bytes that complete no event do not extend the timeout.
    aCall.setIdleTimeout(eventTimeout(aTarget, lastEventAt, started));
    const HttpPiece piece = aCall.readChunk(yield_);
    if (responder_.callerGone()) {
      aCall.abort();
      return SendOutcome::kOver;
    }
    if (piece.status_ == HttpReadStatus::kData) {
      events_.add(piece.data_);
      recorder.noteEvents();
      const std::uint64_t before = events_.eventCount();
      const SendOutcome forwarded = forwardEvents(aCall);
      if (events_.eventCount() > before) {
        lastEventAt = dependencies_.clock_.now();
        started = true;
      }
      if (forwarded != SendOutcome::kDelivered) {
        aCall.abort();
        return forwarded;
      }
      if (events_.partialEventBytes() > kMaxEventBytes) {
        lastDetail_ = "event exceeds the size limit";
        aCall.abort();
        events_.discardPartialEvent();
        return SendOutcome::kUnknown;
      }
      continue;
    }
    const bool complete = piece.status_ == HttpReadStatus::kEnd && streaming_ &&
                          !events_.hasPartialEvent();
    if (complete) {
      responder_.endStream(yield_);
      logOutcome(state::LogWeight::kRoutine, "stream delivered");
      return SendOutcome::kDelivered;
    }
    if (piece.status_ == HttpReadStatus::kTimeout) {
      endedBy_ = enderAfterSilence();
    }
    lastDetail_ = piece.status_ == HttpReadStatus::kTimeout
                    ? "stream timed out"
                    : "stream ended prematurely";
    aCall.abort();
    events_.discardPartialEvent();
    return timeLeft() < kMinSendTime ? SendOutcome::kOver
                                     : SendOutcome::kUnknown;
  }
}

SendOutcome
RelayExchange::forwardEvents(const HttpCall& aCall)
{
  for (;;) {
    const std::string_view event = events_.next();
    if (event.empty()) {
      return timeLeft() < milliseconds(0) ? SendOutcome::kOver
                                          : SendOutcome::kDelivered;
    }
    if (!streaming_) {
      streaming_ = true;
      firstEventAt_ = dependencies_.clock_.now();
      dependencies_.metrics_.latency("auburnhaven_relay_first_event_seconds")
        .add(firstEventAt_ - startedAt_);
      if (!responder_.startStream(responseOf(aCall), yield_)) {
        return SendOutcome::kOver;
      }
    }
    if (!responder_.writeChunk(event, yield_)) {
      return SendOutcome::kOver;
    }
    ++forwardedEvents_;
  }
}

void
RelayExchange::refuse(const TargetDecision& aDecision)
{
  lastDetail_ = std::string(nameOf(aDecision.reason_)) + ", " +
                std::to_string(aDecision.candidates_) + " candidates, load " +
                std::to_string(aDecision.load_.running_) + "+" +
                std::to_string(aDecision.load_.waiting_);
  if (runs_ > 0) {
    giveUp();
  } else {
    sendError(kUnavailable, "refused", aDecision.retryAfter_);
  }
}

void
RelayExchange::giveUp()
{
  if (streaming_) {
    responder_.cut();
    logOutcome(state::LogWeight::kChange, "stream cut off");
    return;
  }
  if (failure_) {
    responder_.send(*failure_, yield_);
    logOutcome(state::LogWeight::kChange, "failure passed on");
    return;
  }
  if (runs_ == 0 && sends_ == rejections_) {
    sendError(kUnavailable, "not run", settings_.startRetryAfter_ / 2);
    return;
  }
  const bool late = timeLeft() < kMinSendTime;
  sendError(late ? kGatewayTimeout : kBadGateway,
            late ? "out of time" : "no whole answer");
}

void
RelayExchange::sendError(std::uint32_t aStatus,
                         std::string_view aMessage,
                         std::optional<state::Duration> aRetryAfter)
{
  HttpResponse response;
  response.status_ = aStatus;
  response.body_ = R"({"error":")" + std::string(aMessage) + R"("})";
  if (aRetryAfter) {
    response.headers_.push_back(
      { "Retry-After", retryAfterText(*aRetryAfter) });
  }
  responder_.send(response, yield_);
  logOutcome(state::LogWeight::kChange, aMessage);
}

void
RelayExchange::logOutcome(state::LogWeight aWeight, std::string_view aOutcome)
{
  const state::Duration took = dependencies_.clock_.now() - startedAt_;
  dependencies_.metrics_
    .counter("auburnhaven_relay_requests_total{outcome=\"" +
             std::string(aOutcome) + "\"}")
    .add();
  dependencies_.log_.write(
    aWeight,
    kPart,
    aOutcome,
    { state::logField("id", std::string_view(info_.id_)),
      state::logField("route",
                      std::string_view(route_ != nullptr ? route_->id_.value()
                                                         : request_.path_)),
      state::logField("account", std::string_view(account_.value())),
      state::logField("sends", sends_),
      state::logField("runs", runs_),
      state::logField("rejections", rejections_),
      state::logField("events", forwardedEvents_),
      state::logField("took_ms", logMs(took)),
      state::logField("first_event_ms",
                      streaming_ ? logMs(firstEventAt_ - startedAt_) : -1.0),
      state::logField("config",
                      routes_ ? routes_->config().version_.value() : 0),
      state::logField("detail", std::string_view(lastDetail_)) });
}

void
RelayExchange::logProgress(std::string_view aEvent) const
{
  dependencies_.log_.write(
    state::LogWeight::kChange,
    kPart,
    aEvent,
    { state::logField("id", std::string_view(info_.id_)),
      state::logField("open_ms",
                      logMs(dependencies_.clock_.now() - startedAt_)),
      state::logField("target", std::string_view(target_.value())),
      state::logField("sends", sends_),
      state::logField("runs", runs_),
      state::logField("rejections", rejections_),
      state::logField("events", forwardedEvents_),
      state::logField("caller_gone", responder_.callerGone()),
      state::logField("detail", std::string_view(lastDetail_)) });
}

void
RelayExchange::logSend(const TargetDecision& aTarget, SendOutcome aSendOutcome)
{
  const bool good = aSendOutcome == SendOutcome::kDelivered ||
                    aSendOutcome == SendOutcome::kOver;
  dependencies_.log_.write(
    good ? state::LogWeight::kRoutine : state::LogWeight::kChange,
    kPart,
    "send ended",
    { state::logField("id", std::string_view(info_.id_)),
      state::logField("target", std::string_view(aTarget.vm_.value())),
      state::logField("end", nameOf(aSendOutcome)),
      state::logField("ended_by", nameOf(endedBy_)),
      state::logField("events", forwardedEvents_),
      state::logField("time_left_ms", logMs(timeLeft())),
      state::logField("candidates", aTarget.candidates_),
      state::logField("load", aTarget.load_.running_ + aTarget.load_.waiting_),
      state::logField("load_age_ms",
                      aTarget.loadAge_ ? logMs(*aTarget.loadAge_) : -1.0),
      state::logField("expected_ms", logMs(aTarget.expected_)),
      state::logField("detail", std::string_view(lastDetail_)) });
}

} // namespace auburnhaven::transport
