// Relays one request to targets and its response to the caller.

#include "transport/relay/relay_exchange.h"

#include "state/routing_func.h"

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

constexpr milliseconds kMinSendTime(
  15); ///< Least time left at which a request is still sent to a target.
constexpr milliseconds kLateReadTime(
  50); ///< Longest time after the deadline, or after the daemon gave the
       ///< request up, in which a response that has arrived is read.

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

/** @return A service of the route, chosen at random by weight. */
const state::ServiceId&
pickService(const state::Route& aRoute)
{
  if (aRoute.services_.size() == 1) {
    return aRoute.services_.front().service_;
  }
  static thread_local std::mt19937_64 random{ std::random_device{}() };
  const std::vector<double> weights = state::serviceWeights(aRoute);
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  return aRoute.services_[pick(random)].service_;
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
  , identity_(aRequest, info_, account_)
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
  readUntil_ = deadline_ + kLateReadTime;
  need_.service_ = pickService(*route_);
  const state::ServiceSpec* service =
    state::findService(routes_->config(), need_.service_);
  if (service != nullptr && service->engine_) {
    need_.model_ = info_.model_;
  }
  need_.tokens_ = info_.tokens_;
  need_.latencyTarget_ = route_->latencyTarget_;
  dependencies_.budget_.requestStarted();
  position_.lastId_ = info_.lastEventId_;
  responder_.onCallerGone([this] {
    if (aborter_ != nullptr) {
      aborter_->abort();
    }
    if (wait_) {
      wait_->cancel();
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
  while (!answered_) {
    if (attempts_.empty()) {
      tryNextTarget();
    } else {
      followAttempts();
    }
  }
}

void
RelayExchange::tryNextTarget()
{
  if (responder_.callerGone()) {
    lastDetail_ = nameOf(responder_.callerEnd());
    logOutcome(state::LogWeight::kRoutine, "caller went away");
    answered_ = true;
    return;
  }
  if (isQuarantined()) {
    refuseAsQuarantined();
    return;
  }
  if (stopping_ || timeLeft() < kMinSendTime) {
    giveUp();
    return;
  }
  // The caller already has part of the stream, so wait for another target.
  const bool noRetry = arrivals_ > 0 && dependencies_.budget_.available() == 0;
  if (streaming_ && (noRetry || dependencies_.clock_.now() < nextTryAt_)) {
    waitForNews(std::max(nextTryAt_,
                         dependencies_.clock_.now() + settings_.resumePause_));
    return;
  }
  const TargetDecision target = chooseTarget();
  if (target.reason_ != RefusalReason::kNone) {
    if (!streaming_) {
      refuse(target);
      return;
    }
    readmitRejecting();
    nextTryAt_ = dependencies_.clock_.now() + settings_.resumePause_;
    return;
  }
  if (!acquireRetry(target)) {
    lastDetail_ = "retry budget exhausted";
    if (!streaming_ && !responder_.callerGone()) {
      giveUp();
    }
    return;
  }
  start(target);
}

TargetDecision
RelayExchange::chooseTarget()
{
  need_.timeLeft_ = timeLeft();
  return dependencies_.placements_ != nullptr
           ? dependencies_.placements_->choose(need_, yield_)
           : dependencies_.targets_.choose(need_);
}

void
RelayExchange::readmitRejecting()
{
  // Targets that were full may have room by now.
  std::erase_if(need_.excluded_, [this](const state::VmId& aVm) {
    return std::find(rejectedBy_.begin(), rejectedBy_.end(), aVm) !=
           rejectedBy_.end();
  });
  rejectedBy_.clear();
}

bool
RelayExchange::acquireRetry(const TargetDecision& aTarget)
{
  // A send counts as a retry only if an earlier one may have reached a target.
  const bool gone = responder_.callerGone();
  if (!gone && (arrivals_ == 0 || dependencies_.budget_.tryAcquireRetry())) {
    return true;
  }
  dependencies_.targets_.finish(aTarget.vm_, SendResult::kAborted);
  return false;
}

HttpClientRequest
RelayExchange::requestFor(const TargetDecision& aTarget) const
{
  const RelayForwardInfo forward{
    aTarget.vm_, account_, timeLeft(), position_.lastId_
  };
  HttpClientRequest request;
  request.method_ = request_.method_;
  request.path_ = request_.query_.empty()
                    ? request_.path_
                    : request_.path_ + '?' + request_.query_;
  request.headers_ = dependencies_.dialect_.headersFor(request_, forward);
  request.body_ = request_.body_;
  // A late copy of an earlier response to this request has the same identifier.
  const bool sentBefore =
    std::find(sentTo_.begin(), sentTo_.end(), aTarget.vm_) != sentTo_.end();
  request.freshConnection_ = !isRetrySafe() || staleConnection_ || sentBefore;
  request.keptConnections_ = aTarget.keptConnections_;
  return request;
}

void
RelayExchange::start(const TargetDecision& aTarget)
{
  ++sends_;
  const milliseconds left = std::max(milliseconds(1), timeLeft());
  const milliseconds connect = std::min(settings_.connectTimeout_, left);
  // Nobody reads the response of an earlier send meanwhile.
  const milliseconds write = attempts_.empty() ? left : connect;
  const HttpClientRequest request = requestFor(aTarget);
  staleConnection_ = false;
  auto attempt = std::make_unique<RelayAttempt>(
    dependencies_, info_, aTarget, isStream(), position_, identity_);
  HttpAborter aborter([this](const boost::asio::yield_context& aYield) {
    return responder_.confirmCaller(aYield);
  });
  aborter_ = &aborter;
  attempt->send(
    client_, request, { connect, write, left, left }, yield_, aborter);
  aborter_ = nullptr;
  if (attempt->mayHaveArrived()) {
    ++arrivals_;
    sentTo_.push_back(aTarget.vm_);
  }
  attempts_.push_back(std::move(attempt));
}

bool
RelayExchange::isQuarantined() const
{
  return dependencies_.quarantine_ != nullptr &&
         !dependencies_.quarantine_->isEmpty() &&
         dependencies_.quarantine_->blocks(identity_.parts());
}

void
RelayExchange::refuseAsQuarantined()
{
  lastDetail_ = "request is in quarantine";
  if (streaming_ || runs_ > 0 || sends_ > rejections_) {
    giveUp();
    return;
  }
  // No Retry-After: the same request would be refused again.
  answered_ = true;
  sendError(kUnavailable, "refused");
}

void
RelayExchange::wake() const
{
  if (wait_) {
    wait_->cancel();
  }
}

void
RelayExchange::giveUpAsStopping()
{
  stopping_ = true;
  readUntil_ = std::min(readUntil_, dependencies_.clock_.now() + kLateReadTime);
  lastDetail_ = "the daemon stops";
  wake();
}

bool
RelayExchange::isBackupDue() const
{
  const state::TimePoint now = dependencies_.clock_.now();
  if (attempts_.size() != 1 || now < nextTryAt_) {
    return false;
  }
  const RelayAttempt& attempt = *attempts_.front();
  const state::Duration silence = now - attempt.lastNewsAt();
  const std::optional<state::Duration> limit = silenceLimit(attempt);
  const bool silent = limit && silence >= *limit;
  const bool unlisted = silence >= settings_.monitorPeriod_ &&
                        dependencies_.targets_.isGone(attempt.target().vm_);
  return (silent || unlisted) && canRetryElsewhere(attempt.target().vm_);
}

void
RelayExchange::startBackup()
{
  nextTryAt_ = dependencies_.clock_.now() + settings_.monitorPeriod_;
  if (timeLeft() < kMinSendTime) {
    return;
  }
  need_.excluded_.push_back(attempts_.front()->target().vm_);
  const TargetDecision target = chooseTarget();
  need_.excluded_.pop_back();
  if (target.reason_ == RefusalReason::kNone && acquireRetry(target)) {
    start(target);
  }
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
         (isStream() && route_->resumable_ && position_.isNumbered_);
}

bool
RelayExchange::mayRetry(SendOutcome aSendOutcome) const
{
  if (aSendOutcome == SendOutcome::kNotRun) {
    return streaming_ || rejections_ < settings_.maxRejections_;
  }
  return isRetrySafe() && runs_ < route_->maxAttempts_;
}

milliseconds
RelayExchange::timeLeft() const
{
  return toMs(deadline_ - dependencies_.clock_.now());
}

bool
RelayExchange::canRetryElsewhere(const state::VmId& aTarget) const
{
  return isRetrySafe() && runs_ + attempts_.size() < route_->maxAttempts_ &&
         dependencies_.budget_.available() > 0 &&
         dependencies_.targets_.hasAlternative(need_, aTarget);
}

std::optional<state::Duration>
RelayExchange::silenceLimit(const RelayAttempt& aAttempt) const
{
  if (!isStream()) {
    return std::nullopt;
  }
  if (aAttempt.hasEvents()) {
    return settings_.eventGapLimit_;
  }
  return std::max<state::Duration>(settings_.firstEventLimit_,
                                   aAttempt.target().expected_ * 3);
}

void
RelayExchange::refuse(const TargetDecision& aDecision)
{
  answered_ = true;
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
  answered_ = true;
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

} // namespace auburnhaven::transport
