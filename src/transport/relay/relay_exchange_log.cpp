// Log records of a relayed request.

#include "transport/relay/relay_exchange.h"

namespace auburnhaven::transport {

namespace {

constexpr std::string_view kPart = "request"; ///< Part that log records name.

/** @return A duration in fractional milliseconds, for logs. */
double
logMs(state::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace

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
  const state::TimePoint now = dependencies_.clock_.now();
  const RelayAttempt* attempt =
    attempts_.empty() ? nullptr : attempts_.front().get();
  dependencies_.log_.write(
    state::LogWeight::kChange,
    kPart,
    aEvent,
    { state::logField("id", std::string_view(info_.id_)),
      state::logField("open_ms", logMs(now - startedAt_)),
      state::logField("target",
                      attempt != nullptr
                        ? std::string_view(attempt->target().vm_.value())
                        : std::string_view()),
      state::logField("silent_ms",
                      attempt != nullptr ? logMs(now - attempt->lastNewsAt())
                                         : -1.0),
      state::logField("sends", sends_),
      state::logField("runs", runs_),
      state::logField("rejections", rejections_),
      state::logField("events", forwardedEvents_),
      state::logField("caller", nameOf(responder_.callerEnd())),
      state::logField("detail", std::string_view(lastDetail_)) });
}

void
RelayExchange::logSend(const RelayAttempt& aAttempt,
                       SendOutcome aSendOutcome,
                       SendEnder aEnder)
{
  const bool good = aSendOutcome == SendOutcome::kDelivered ||
                    aSendOutcome == SendOutcome::kOver;
  const coordination::TargetDecision& target = aAttempt.target();
  const state::Duration silence =
    dependencies_.clock_.now() - aAttempt.lastNewsAt();
  const std::string parts =
    good ? std::string() : state::textOf(identity_.parts());
  dependencies_.log_.write(
    good ? state::LogWeight::kRoutine : state::LogWeight::kChange,
    kPart,
    "send ended",
    { state::logField("id", std::string_view(info_.id_)),
      state::logField("target", std::string_view(target.vm_.value())),
      state::logField("end", nameOf(aSendOutcome)),
      state::logField("ended_by", nameOf(aEnder)),
      state::logField("silent_ms", logMs(silence)),
      state::logField("events", forwardedEvents_),
      state::logField("time_left_ms", logMs(timeLeft())),
      state::logField("candidates", target.candidates_),
      state::logField("load", target.load_.running_ + target.load_.waiting_),
      state::logField("load_age_ms",
                      target.loadAge_ ? logMs(*target.loadAge_) : -1.0),
      state::logField("expected_ms", logMs(target.expected_)),
      state::logField("parts", std::string_view(parts)),
      state::logField("detail", std::string_view(aAttempt.detail())) });
}

} // namespace auburnhaven::transport
