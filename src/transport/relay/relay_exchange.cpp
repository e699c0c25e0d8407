// One request on its way through the relay.

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

constexpr std::string_view kPart = "request"; ///< Part of the program in logs.
constexpr milliseconds kShortestSend(
  15); ///< Least time left in which a request is still sent on.
constexpr std::size_t kMaxAnswerBytes =
  std::size_t{ 8 } * 1024 * 1024; ///< Largest answer that is not a stream.
constexpr std::size_t kMaxEventBytes =
  std::size_t{ 256 } * 1024; ///< Largest event of a stream.
constexpr std::size_t kMaxRejectionBytes =
  std::size_t{ 16 } * 1024; ///< Largest body of a rejection that is read.
constexpr milliseconds kRejectionLimit(
  100); ///< Time for the body of a rejection; it only spares a connection.

constexpr std::uint32_t kUnauthorized = 401;   ///< No account has the key.
constexpr std::uint32_t kNotFound = 404;       ///< There is no such route.
constexpr std::uint32_t kBadGateway = 502;     ///< May have run; no answer.
constexpr std::uint32_t kUnavailable = 503;    ///< Has not run.
constexpr std::uint32_t kGatewayTimeout = 504; ///< May have run; out of time.

/** @return A duration in whole milliseconds. */
milliseconds
toMs(state::Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration);
}

/** @return A duration in milliseconds with fractions, for logs. */
double
logMs(state::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/** @return The service that takes the next request of a route. */
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

/** @return Whether a status is a success. */
bool
isSuccess(std::uint32_t aStatus)
{
  return aStatus / 100 == 2;
}

/** @return A wait as the value of Retry-After. */
std::string
secondsText(state::Duration aWait)
{
  char text[32];
  std::snprintf(
    text, sizeof text, "%.3f", std::chrono::duration<double>(aWait).count());
  return text;
}

} // namespace

RelayExchange::RelayExchange(const RelayParts& aParts,
                             const RelaySettings& aSettings,
                             HttpClient& aClient,
                             const HttpRequest& aRequest,
                             HttpResponder& aResponder,
                             const boost::asio::yield_context& aYield)
  : parts_(aParts)
  , settings_(aSettings)
  , client_(aClient)
  , request_(aRequest)
  , responder_(aResponder)
  , yield_(aYield)
  , info_(aParts.dialect_.read(aRequest))
  , routes_(aParts.routes_.get())
  , startedAt_(aParts.clock_.now())
{
}

void
RelayExchange::run()
{
  if (!findRoute()) {
    return;
  }
  const milliseconds limit =
    std::min(info_.patience_.value_or(route_->timeout_), route_->timeout_);
  deadline_ = startedAt_ + limit;
  need_.service_ = pickService(*route_);
  const state::ServiceSpec* service =
    state::findService(routes_->config(), need_.service_);
  if (service != nullptr && service->engine_) {
    need_.model_ = info_.model_;
  }
  need_.tokens_ = info_.tokens_;
  need_.latencyTarget_ = route_->latencyTarget_;
  parts_.budget_.requestStarted();
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
  answer(kUnavailable, "the daemon stops", state::Duration{});
}

void
RelayExchange::refuseAsOutdated()
{
  answer(kUnavailable,
         "a change of the configuration is lacking",
         settings_.outdatedRetryAfter_);
}

bool
RelayExchange::findRoute()
{
  if (!routes_) {
    answer(kUnavailable, "no configuration yet", settings_.startRetryAfter_);
    return false;
  }
  route_ = routes_->findRoute(info_.host_, request_.path_);
  if (route_ == nullptr) {
    answer(kNotFound, "no such route");
    return false;
  }
  const state::RoutedAccount* account = routes_->findAccount(info_.key_);
  const bool needsKey = routes_->needsKeys() && !route_->public_;
  if (needsKey && account == nullptr) {
    answer(kUnauthorized, "unknown key");
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
  while (sendOnce()) {
  }
}

bool
RelayExchange::sendOnce()
{
  if (responder_.callerGone()) {
    note(state::LogWeight::kRoutine, "caller went away");
    return false;
  }
  need_.timeLeft_ = timeLeft();
  if (need_.timeLeft_ < kShortestSend) {
    giveUp();
    return false;
  }
  const TargetDecision target = parts_.placements_ != nullptr
                                  ? parts_.placements_->choose(need_, yield_)
                                  : parts_.targets_.choose(need_);
  if (target.reason_ != RefusalReason::kNone) {
    if (!streaming_) {
      refuse(target);
      return false;
    }
    // The caller already has a part of the stream: another target may come.
    boost::asio::steady_timer pause(yield_.get_executor(),
                                    settings_.resumePause_);
    boost::system::error_code ignored;
    pause.async_wait(yield_[ignored]);
    return true;
  }
  // Only a send that follows one that may have arrived is a repetition.
  if (arrivals_ > 0 && !parts_.budget_.tryAcquireRetry()) {
    parts_.targets_.finish(target.vm_, SendResult::kAborted);
    lastDetail_ = "no budget for another send";
    giveUp();
    return false;
  }
  ++sends_;
  const SendEnd end = attempt(target);
  noteSend(target, end);
  if (!staleConnection_) {
    need_.excluded_.push_back(target.vm_);
  }
  if (end == SendEnd::kDelivered || end == SendEnd::kOver) {
    if (end == SendEnd::kOver && !responder_.callerGone()) {
      giveUp();
    }
    return false;
  }
  runs_ += end == SendEnd::kNotRun ? 0 : 1;
  rejections_ += end == SendEnd::kNotRun ? 1 : 0;
  if (!mayRepeat(end)) {
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
RelayExchange::mayRunTwice() const
{
  return route_->kind_ == state::RouteKind::kIdempotent ||
         (isStream() && route_->resumable_);
}

bool
RelayExchange::mayRepeat(SendEnd aEnd) const
{
  if (aEnd == SendEnd::kNotRun) {
    return rejections_ < settings_.maxRejections_;
  }
  return mayRunTwice() && runs_ < route_->maxAttempts_;
}

milliseconds
RelayExchange::timeLeft() const
{
  return toMs(deadline_ - parts_.clock_.now());
}

HttpTimeouts
RelayExchange::timeouts(const TargetDecision& aTarget) const
{
  const milliseconds left = std::max(milliseconds(1), timeLeft());
  const milliseconds response =
    isStream() ? eventPatience(aTarget, parts_.clock_.now(), false) : left;
  return {
    std::min(settings_.connectTimeout_, left), response, response, left
  };
}

bool
RelayExchange::couldGoElsewhere(const state::VmId& aTarget) const
{
  return mayRunTwice() && runs_ + 1 < route_->maxAttempts_ &&
         parts_.budget_.available() > 0 &&
         parts_.targets_.hasOther(need_, aTarget);
}

milliseconds
RelayExchange::eventPatience(const TargetDecision& aTarget,
                             state::TimePoint aSince,
                             bool aStarted) const
{
  const milliseconds left = std::max(milliseconds(1), timeLeft());
  // A slow target is better than none.
  if (!couldGoElsewhere(aTarget.vm_)) {
    return left;
  }
  const milliseconds limit = aStarted ? settings_.eventGapLimit_
                                      : std::max(settings_.firstEventLimit_,
                                                 toMs(aTarget.expected_ * 3));
  const milliseconds waited = toMs(parts_.clock_.now() - aSince);
  return std::clamp(limit - waited, milliseconds(1), left);
}

/** Ends a send when the target's coordinator says that it serves no more. */
class RelayExchange::TargetMonitor
{
public:
  TargetMonitor(const boost::asio::any_io_executor& aExecutor,
                const coordination::TargetPool& aTargets,
                const state::VmId& aTarget,
                HttpAborter& aAborter,
                const RelaySettings& aSettings)
    : watch_(
        std::make_shared<Watch>(Watch{ aTargets,
                                       aTarget,
                                       &aAborter,
                                       aSettings.monitorPeriod_,
                                       boost::asio::steady_timer(aExecutor) }))
  {
    wait(watch_);
  }
  ~TargetMonitor()
  {
    // The timer's handler finds nothing to end when it runs out.
    watch_->aborter_ = nullptr;
  }
  TargetMonitor(const TargetMonitor&) = delete;
  TargetMonitor& operator=(const TargetMonitor&) = delete;

private:
  /** Shared with the timer's handler, which may run after the monitor's end. */
  struct Watch
  {
    const coordination::TargetPool& targets_; ///< Knows the targets.
    state::VmId target_;                      ///< The target.
    HttpAborter* aborter_;            ///< Ends the send; null when over.
    milliseconds period_;             ///< Between two looks.
    boost::asio::steady_timer timer_; ///< Wakes the next look.
  };

  static void wait(const std::shared_ptr<Watch>& aWatch)
  {
    aWatch->timer_.expires_after(aWatch->period_);
    aWatch->timer_.async_wait(
      [watch = aWatch](const boost::system::error_code& aError) {
        if (aError || watch->aborter_ == nullptr) {
          return;
        }
        if (watch->targets_.isGone(watch->target_)) {
          watch->aborter_->abort();
        } else {
          wait(watch);
        }
      });
  }

  std::shared_ptr<Watch> watch_; ///< Shared with the timer's handler.
};

SendEnd
RelayExchange::attempt(const TargetDecision& aTarget)
{
  RelaySend send{ aTarget.vm_,
                  account_,
                  timeLeft(),
                  events_.lastId().value_or(info_.lastEventId_) };
  HttpClientRequest request;
  request.method_ = request_.method_;
  request.path_ = request_.query_.empty()
                    ? request_.path_
                    : request_.path_ + '?' + request_.query_;
  request.headers_ = parts_.dialect_.headersFor(request_, send);
  request.body_ = request_.body_;
  request.freshConnection_ = !mayRunTwice() || staleConnection_;
  request.keptConnections_ = aTarget.keptConnections_;
  staleConnection_ = false;
  HttpAborter aborter;
  aborter_ = &aborter;
  const TargetMonitor monitor(
    yield_.get_executor(), parts_.targets_, aTarget.vm_, aborter, settings_);
  HttpCall call = client_.open(
    aTarget.endpoint_, request, timeouts(aTarget), yield_, &aborter);
  SendEnd end = SendEnd::kUnknown;
  const bool arrived =
    call.hasResponse() || call.failure().bytesMayHaveArrived_;
  arrivals_ += arrived ? 1 : 0;
  if (call.hasResponse()) {
    end = takeResponse(call, aTarget);
  } else {
    lastDetail_ = call.failure().message_;
    staleConnection_ = call.failure().kind_ == HttpFailureKind::kClosed &&
                       call.failure().keptConnection_;
    end = arrived ? SendEnd::kUnknown : SendEnd::kNotRun;
  }
  aborter_ = nullptr;
  if (responder_.callerGone()) {
    end = SendEnd::kOver;
  }
  SendResult result = SendResult::kAnswered;
  if (end == SendEnd::kOver) {
    result = SendResult::kAborted;
  } else if (staleConnection_) {
    result = SendResult::kAnswered;
  } else if (end == SendEnd::kNotRun && call.hasResponse()) {
    result = SendResult::kRejected;
  } else if (end != SendEnd::kDelivered) {
    result = SendResult::kFailed;
  }
  parts_.targets_.finish(aTarget.vm_, result);
  return end;
}

SendEnd
RelayExchange::takeResponse(HttpCall& aCall, const TargetDecision& aTarget)
{
  const RelayAnswer state = parts_.dialect_.judge(info_, aCall);
  if (state.load_) {
    parts_.targets_.noteLoad(aTarget.vm_, *state.load_);
  }
  if (state.leaving_) {
    parts_.targets_.noteLeaving(aTarget.vm_);
  }
  if (state.rest_) {
    parts_.targets_.noteRest(aTarget.vm_, *state.rest_);
  }
  const bool success = isSuccess(aCall.status());
  if (state.notRun_ && !success) {
    lastDetail_ = "target rejected with " + std::to_string(aCall.status());
    aCall.limitTime(kRejectionLimit);
    aCall.readAll(kMaxRejectionBytes, yield_);
    return SendEnd::kNotRun;
  }
  if (!state.belongs_ || (success && !state.signed_)) {
    lastDetail_ = "the answer is not this request's";
    aCall.abort();
    return SendEnd::kUnknown;
  }
  if (success && isStream()) {
    return takeStream(aCall, aTarget);
  }
  return takeWhole(aCall, success);
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

SendEnd
RelayExchange::takeWhole(HttpCall& aCall, bool aSuccess)
{
  HttpResponse response = responseOf(aCall);
  HttpBody body = aCall.readAll(kMaxAnswerBytes, yield_);
  if (body.status_ != HttpReadStatus::kEnd) {
    lastDetail_ = "the answer broke off";
    return timeLeft() < kShortestSend ? SendEnd::kOver : SendEnd::kUnknown;
  }
  response.body_ = std::move(body.data_);
  if (!aSuccess) {
    lastDetail_ = "target failed with " + std::to_string(response.status_);
    failure_ = std::move(response);
    return SendEnd::kRan;
  }
  responder_.send(response, yield_);
  note(state::LogWeight::kRoutine, "answered");
  return SendEnd::kDelivered;
}

SendEnd
RelayExchange::takeStream(HttpCall& aCall, const TargetDecision& aTarget)
{
  state::TimePoint eventAt = parts_.clock_.now();
  bool started = false;
  for (;;) {
    // Bytes that make no event don't move the limit.
    aCall.setIdleTimeout(eventPatience(aTarget, eventAt, started));
    const HttpPiece piece = aCall.readChunk(yield_);
    if (responder_.callerGone()) {
      aCall.abort();
      return SendEnd::kOver;
    }
    if (piece.status_ == HttpReadStatus::kData) {
      events_.add(piece.data_);
      const std::uint64_t before = events_.count();
      const SendEnd passed = passEvents(aCall);
      if (events_.count() > before) {
        eventAt = parts_.clock_.now();
        started = true;
      }
      if (passed != SendEnd::kDelivered) {
        aCall.abort();
        return passed;
      }
      if (events_.partBytes() > kMaxEventBytes) {
        lastDetail_ = "an event exceeds its limit";
        aCall.abort();
        events_.dropPart();
        return SendEnd::kUnknown;
      }
      continue;
    }
    const bool whole =
      piece.status_ == HttpReadStatus::kEnd && streaming_ && !events_.hasPart();
    if (whole) {
      responder_.endStream(yield_);
      note(state::LogWeight::kRoutine, "stream delivered");
      return SendEnd::kDelivered;
    }
    lastDetail_ = piece.status_ == HttpReadStatus::kTimeout
                    ? "the stream fell silent"
                    : "the stream broke off";
    aCall.abort();
    events_.dropPart();
    return timeLeft() < kShortestSend ? SendEnd::kOver : SendEnd::kUnknown;
  }
}

SendEnd
RelayExchange::passEvents(const HttpCall& aCall)
{
  for (;;) {
    const std::string_view event = events_.next();
    if (event.empty()) {
      return timeLeft() < milliseconds(0) ? SendEnd::kOver
                                          : SendEnd::kDelivered;
    }
    if (!streaming_) {
      streaming_ = true;
      firstEventAt_ = parts_.clock_.now();
      parts_.metrics_.latency("auburnhaven_relay_first_event_seconds")
        .add(firstEventAt_ - startedAt_);
      if (!responder_.startStream(responseOf(aCall), yield_)) {
        return SendEnd::kOver;
      }
    }
    if (!responder_.writeChunk(event, yield_)) {
      return SendEnd::kOver;
    }
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
    answer(kUnavailable, "refused", aDecision.retryAfter_);
  }
}

void
RelayExchange::giveUp()
{
  if (streaming_) {
    responder_.cut();
    note(state::LogWeight::kChange, "stream cut off");
    return;
  }
  if (failure_) {
    responder_.send(*failure_, yield_);
    note(state::LogWeight::kChange, "failure passed on");
    return;
  }
  if (runs_ == 0 && sends_ == rejections_) {
    answer(kUnavailable, "not run", settings_.startRetryAfter_ / 2);
    return;
  }
  const bool late = timeLeft() < kShortestSend;
  answer(late ? kGatewayTimeout : kBadGateway,
         late ? "out of time" : "no whole answer");
}

void
RelayExchange::answer(std::uint32_t aStatus,
                      std::string_view aOutcome,
                      std::optional<state::Duration> aRetryAfter)
{
  HttpResponse response;
  response.status_ = aStatus;
  response.body_ = R"({"error":")" + std::string(aOutcome) + R"("})";
  if (aRetryAfter) {
    response.headers_.push_back({ "Retry-After", secondsText(*aRetryAfter) });
  }
  responder_.send(response, yield_);
  note(state::LogWeight::kChange, aOutcome);
}

void
RelayExchange::note(state::LogWeight aWeight, std::string_view aOutcome)
{
  const state::Duration took = parts_.clock_.now() - startedAt_;
  parts_.metrics_
    .counter("auburnhaven_relay_requests_total{outcome=\"" +
             std::string(aOutcome) + "\"}")
    .add();
  parts_.log_.write(
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
      state::logField("took_ms", logMs(took)),
      state::logField("first_event_ms",
                      streaming_ ? logMs(firstEventAt_ - startedAt_) : -1.0),
      state::logField("config",
                      routes_ ? routes_->config().version_.value() : 0),
      state::logField("detail", std::string_view(lastDetail_)) });
}

void
RelayExchange::noteSend(const TargetDecision& aTarget, SendEnd aEnd)
{
  const bool good = aEnd == SendEnd::kDelivered || aEnd == SendEnd::kOver;
  parts_.log_.write(
    good ? state::LogWeight::kRoutine : state::LogWeight::kChange,
    kPart,
    "send ended",
    { state::logField("id", std::string_view(info_.id_)),
      state::logField("target", std::string_view(aTarget.vm_.value())),
      state::logField("end", nameOf(aEnd)),
      state::logField("candidates", aTarget.candidates_),
      state::logField("load", aTarget.load_.running_ + aTarget.load_.waiting_),
      state::logField("load_age_ms", logMs(aTarget.loadAge_)),
      state::logField("expected_ms", logMs(aTarget.expected_)),
      state::logField("detail", std::string_view(lastDetail_)) });
}

} // namespace auburnhaven::transport
