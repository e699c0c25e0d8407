// Answers readiness checks and exposes metrics.
#pragma once

#include "transport/http_server.h"
#include "transport/metrics.h"

#include <atomic>
#include <string>

namespace auburnhaven::transport {

/** Answers the load balancer's readiness checks and exposes metrics. */
class StatusHandler : public HttpHandler
{
public:
  /**
   * @param aReadyPath Path of the readiness check.
   * @param aMetrics Metrics; must outlive this object.
   */
  StatusHandler(std::string aReadyPath, const Metrics& aMetrics);

  void handle(std::size_t aThread,
              const HttpRequest& aRequest,
              HttpResponder& aResponder,
              const boost::asio::yield_context& aYield) override;
  /**
   * Sets the result of readiness checks; not ready at first. Thread-safe.
   * @param aReady Whether the load balancer may send new connections.
   */
  void setReady(bool aReady) { ready_ = aReady; }
  /** @return Whether the readiness check succeeds. Thread-safe. */
  bool isReady() const { return ready_; }

private:
  const std::string readyPath_;      ///< Path of the readiness check.
  const Metrics& metrics_;           ///< Metrics.
  std::atomic<bool> ready_{ false }; ///< Result of the readiness check.
};

} // namespace auburnhaven::transport
