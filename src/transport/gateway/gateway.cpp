// Routing, authentication and error responses of the gateway.

#include "transport/gateway/gateway.h"

#include "protocol/chat_codec.h"
#include "transport/gateway/request_timeout_func.h"
#include "transport/scoped_count.h"
#include "transport/table/refusal_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace auburnhaven::transport {

using coordination::OutcomeKind;

namespace {

constexpr std::size_t kMaxRequestIdBytes = 128; ///< Longest X-Request-Id header
                                                ///< that is accepted.
constexpr std::string_view kBearerPrefix = "Bearer ";

/** @return Whether a caller's request ID is not empty, short enough and
 * consists of printable ASCII without spaces, quotes and backslashes, so that
 * it can be echoed in headers and JSON. */
bool
isUsableId(std::string_view aId)
{
  return !aId.empty() && aId.size() <= kMaxRequestIdBytes &&
         std::all_of(aId.begin(), aId.end(), [](char aByte) {
           return aByte > ' ' && aByte < '\x7f' && aByte != '"' &&
                  aByte != '\\';
         });
}

/** @return Value of a Retry-After header: seconds, rounded up, at least 1. */
std::string
retrySeconds(state::Duration aWait)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aWait).count();
  return std::to_string(std::max<std::int64_t>(1, seconds));
}

/** @return Name of an outcome, other than kAnswered, in an error body. */
const char*
outcomeName(OutcomeKind aKind)
{
  return aKind == OutcomeKind::kNotRun ? "not_run" : "unknown";
}

/** @return HTTP status of an error response. A request that certainly did not
 * run gets 503 instead of 502 or 504, because the caller may retry it. */
std::uint32_t
statusFor(const RefusalRow& aRow, OutcomeKind aKind)
{
  const bool gatewayFault = aRow.status_ == 502 || aRow.status_ == 504;
  return aKind == OutcomeKind::kNotRun && gatewayFault ? 503 : aRow.status_;
}

} // namespace

const Gateway::Route Gateway::kRoutes[] = {
  { "GET", "/healthz", false, &Gateway::health },
  { "GET", "/readyz", false, &Gateway::ready },
  { "GET", "/metrics", false, &Gateway::metrics },
  { "GET", "/v1/models", false, &Gateway::models },
  { "POST", "/v1/chat/completions", false, &Gateway::chat },
  { "POST", "/v1/services/", true, &Gateway::service },
};

Gateway::Gateway(GatewaySettings aSettings,
                 const RunnerDependencies& aDependencies,
                 ConfigViewHolder& aViews,
                 Metrics& aMetrics,
                 RequestObserver& aObserver)
  : settings_(std::move(aSettings))
  , dependencies_(aDependencies)
  , views_(aViews)
  , metrics_(aMetrics)
  , observer_(aObserver)
{
}

void
Gateway::handle(std::size_t aThread,
                const HttpRequest& aRequest,
                HttpResponder& aResponder,
                const boost::asio::yield_context& aYield)
{
  const std::string_view given = aRequest.header("X-Request-Id");
  const std::string internalId =
    settings_.idPrefix_ + std::to_string(nextId_++);
  const std::string id = isUsableId(given) ? std::string(given) : internalId;
  Exchange exchange{ aThread,    aRequest, aResponder,  aYield,
                     internalId, id,       views_.get() };
  const ScopedCount inFlight(inFlight_);
  if (inFlight.before() >= settings_.maxInFlight_) {
    refuse(exchange,
           503,
           "too_many_requests",
           "the daemon handles too many requests");
    return;
  }
  bool pathKnown = false;
  for (const Route& route : kRoutes) {
    const bool matches = route.isPrefix_
                           ? aRequest.path_.starts_with(route.path_)
                           : aRequest.path_ == route.path_;
    if (matches && route.method_ == aRequest.method_) {
      (this->*route.handle_)(exchange);
      return;
    }
    pathKnown = pathKnown || matches;
  }
  if (pathKnown) {
    refuse(
      exchange, 405, "method_not_allowed", "this path takes another method");
  } else {
    refuse(exchange, 404, "unknown_path", "there is nothing at this path");
  }
}

void
Gateway::health(Exchange& aExchange)
{
  HttpResponse answer = response(aExchange, 200);
  answer.body_ = R"({"alive":true})";
  aExchange.responder_.send(answer, aExchange.yield_);
}

void
Gateway::ready(Exchange& aExchange)
{
  const bool isReady = ready_;
  HttpResponse answer = response(aExchange, isReady ? 200 : 503);
  answer.body_ = isReady ? R"({"ready":true})" : R"({"ready":false})";
  aExchange.responder_.send(answer, aExchange.yield_);
}

void
Gateway::metrics(Exchange& aExchange)
{
  HttpResponse answer = response(aExchange, 200);
  answer.contentType_ = "text/plain; version=0.0.4";
  answer.body_ = metrics_.expose();
  aExchange.responder_.send(answer, aExchange.yield_);
}

void
Gateway::models(Exchange& aExchange)
{
  const state::ClientAccount* account = authenticate(aExchange);
  if (account == nullptr) {
    return;
  }
  std::vector<std::string> models;
  for (const auto& [id, group] : aExchange.view_->configuration().groups_) {
    if (serves(group.accounts_, account->id_)) {
      models.push_back(id.value());
    }
  }
  HttpResponse answer = response(aExchange, 200);
  answer.body_ = protocol::encodeModelList(models);
  aExchange.responder_.send(answer, aExchange.yield_);
}

const state::ClientAccount*
Gateway::authenticate(Exchange& aExchange)
{
  const std::string_view header = aExchange.request_.header("Authorization");
  const state::ClientAccount* account =
    header.starts_with(kBearerPrefix)
      ? aExchange.view_->findAccount(header.substr(kBearerPrefix.size()))
      : nullptr;
  if (account == nullptr) {
    refuse(
      aExchange, 401, "unauthorized", "the bearer key is missing or wrong");
  }
  return account;
}

void
Gateway::refuse(Exchange& aExchange,
                std::uint32_t aStatus,
                const std::string& aCode,
                const std::string& aMessage)
{
  HttpResponse answer = response(aExchange, aStatus);
  if (aStatus == 401) {
    answer.headers_.push_back({ "WWW-Authenticate", "Bearer" });
  }
  answer.body_ =
    protocol::encodeError({ "not_run", aCode, aMessage, aExchange.requestId_ });
  aExchange.responder_.send(answer, aExchange.yield_);
  metrics_.counter("auburnhaven_refused_total{code=\"" + aCode + "\"}").add();
}

void
Gateway::sendOutcome(Exchange& aExchange, const coordination::Outcome& aOutcome)
{
  const RefusalRow& row = refusalRow(aOutcome.reason_);
  HttpResponse answer = response(aExchange, statusFor(row, aOutcome.kind_));
  if (aOutcome.retryAfter_ > state::Duration::zero()) {
    answer.headers_.push_back(
      { "Retry-After", retrySeconds(aOutcome.retryAfter_) });
  }
  answer.body_ = protocol::encodeError(errorBody(aExchange, aOutcome));
  aExchange.responder_.send(answer, aExchange.yield_);
}

protocol::ErrorBody
Gateway::errorBody(const Exchange& aExchange,
                   const coordination::Outcome& aOutcome) const
{
  return { outcomeName(aOutcome.kind_),
           coordination::refusalName(aOutcome.reason_),
           refusalRow(aOutcome.reason_).message_,
           aExchange.requestId_ };
}

coordination::RequestInfo
Gateway::newInfo(const Exchange& aExchange, const state::AccountId& aAccount)
{
  coordination::RequestInfo info;
  info.id_ = state::RequestId(aExchange.internalId_);
  info.account_ = aAccount;
  const std::chrono::milliseconds timeout =
    requestTimeout(aExchange.request_.header("X-Request-Timeout-Ms"),
                   settings_.requestTimeout_);
  info.deadline_ = dependencies_.clock_.now() + timeout;
  return info;
}

void
Gateway::recordResult(const coordination::RequestInfo& aInfo,
                      const RequestResult& aResult)
{
  const state::TimePoint now = dependencies_.clock_.now();
  static constexpr std::string_view kOutcomeNames[] = { "answered",
                                                        "not_run",
                                                        "unknown" };
  const std::string_view outcome =
    kOutcomeNames[static_cast<std::size_t>(aResult.outcome_.kind_)];
  std::string name("auburnhaven_requests_total{outcome=\"");
  name += outcome;
  name += "\",reason=\"";
  name += coordination::refusalName(aResult.outcome_.reason_);
  name += "\"}";
  metrics_.counter(name).add();
  if (aResult.times_.tokens_ > 0) {
    metrics_.counter("auburnhaven_tokens_total").add(aResult.times_.tokens_);
    metrics_.latency("auburnhaven_first_token_seconds")
      .add(aResult.times_.firstTokenAt_ - aResult.times_.startedAt_);
  }
  observer_.requestEnded(aInfo, aResult, now);
}

HttpResponse
Gateway::response(const Exchange& aExchange, std::uint32_t aStatus) const
{
  HttpResponse answer;
  answer.status_ = aStatus;
  answer.headers_.push_back({ "X-Request-Id", aExchange.requestId_ });
  return answer;
}

} // namespace auburnhaven::transport
