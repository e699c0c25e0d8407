// Answers readiness checks and exposes metrics.

#include "transport/relay/status_handler.h"

#include <utility>

namespace auburnhaven::transport {

namespace {

constexpr std::uint32_t kNotFound = 404;    ///< Unknown path.
constexpr std::uint32_t kUnavailable = 503; ///< Not ready.

} // namespace

StatusHandler::StatusHandler(std::string aReadyPath, const Metrics& aMetrics)
  : readyPath_(std::move(aReadyPath))
  , metrics_(aMetrics)
{
}

void
StatusHandler::handle(std::size_t /*aThread*/,
                      const HttpRequest& aRequest,
                      HttpResponder& aResponder,
                      const boost::asio::yield_context& aYield)
{
  HttpResponse response;
  if (aRequest.path_ == readyPath_) {
    response.status_ = ready_ ? 200 : kUnavailable;
    response.body_ = ready_ ? R"({"ready":true})" : R"({"ready":false})";
  } else if (aRequest.path_ == "/metrics") {
    response.contentType_ = "text/plain; version=0.0.4";
    response.body_ = metrics_.expose();
  } else {
    response.status_ = kNotFound;
  }
  aResponder.send(response, aYield);
}

} // namespace auburnhaven::transport
