// Orders to and reports from model engines over HTTP.

#include "transport/engine_client.h"

#include "protocol/engine_codec.h"

#include <utility>

namespace auburnhaven::transport {

using coordination::OrderStatus;

namespace {

constexpr std::uint32_t kOkStatus = 200;       ///< A report.
constexpr std::uint32_t kAcceptedStatus = 202; ///< The order was taken.
constexpr std::uint32_t kConflictStatus = 409; ///< The order was fenced.
constexpr std::uint32_t kFirstError = 400;     ///< From here on, refused.

/** @return How an order ended. */
OrderStatus
orderStatus(const ServiceAnswer& aAnswer)
{
  if (aAnswer.status_ == kAcceptedStatus) {
    return OrderStatus::kAccepted;
  }
  if (aAnswer.status_ == kConflictStatus) {
    return OrderStatus::kFenced;
  }
  if (aAnswer.status_ >= kFirstError || !aAnswer.mayHaveRun_) {
    return OrderStatus::kFailed;
  }
  return OrderStatus::kUnknown;
}

/** @return The report of an answer, or nothing. */
std::optional<state::VmReport>
reportOf(const ServiceAnswer& aAnswer, state::TimePoint aAskedAt)
{
  if (aAnswer.status_ != kOkStatus) {
    return std::nullopt;
  }
  auto decoded = protocol::decodeReport(aAnswer.body_);
  if (!decoded) {
    return std::nullopt;
  }
  decoded->observedAt_ = aAskedAt;
  return std::move(*decoded);
}

} // namespace

HttpEngineClient::HttpEngineClient(ServiceCaller& aCaller,
                                   const state::Clock& aClock)
  : caller_(aCaller)
  , clock_(aClock)
{
}

void
HttpEngineClient::sendOrder(const state::VmInfo& aVm,
                            const coordination::EngineOrder& aOrder,
                            state::Duration aTimeout,
                            OrderHandler aHandler)
{
  const ServiceCall call{ makePost("/v1/orders", protocol::encodeOrder(aOrder)),
                          aTimeout,
                          false };
  caller_.start(
    [this, call, endpoint = aVm.endpoint_, handler = std::move(aHandler)](
      const boost::asio::yield_context& aYield) {
      const OrderStatus status =
        orderStatus(caller_.call(endpoint, call, aYield));
      caller_.later([handler, status] { handler(status); });
    });
}

void
HttpEngineClient::fetchReport(const state::VmInfo& aVm,
                              state::Duration aTimeout,
                              ReportHandler aHandler)
{
  const ServiceCall call{ { "GET", "/v1/report", {}, {} }, aTimeout, true };
  caller_.start(
    [this, call, endpoint = aVm.endpoint_, handler = std::move(aHandler)](
      const boost::asio::yield_context& aYield) {
      const state::TimePoint askedAt = clock_.now();
      auto report = reportOf(caller_.call(endpoint, call, aYield), askedAt);
      caller_.later([handler, result = std::move(report)] { handler(result); });
    });
}

} // namespace auburnhaven::transport
