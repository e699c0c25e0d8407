// Answers the balancer's question for readiness, and shows metrics.
#pragma once

#include "transport/http_server.h"
#include "transport/metrics.h"

#include <atomic>
#include <string>

namespace auburnhaven::transport {

/** Answers readiness and metrics. */
class StatusHandler : public HttpHandler
{
public:
  /**
   * @param aReadyPath Path of the question for readiness.
   * @param aMetrics Metrics; outlive this object.
   */
  StatusHandler(std::string aReadyPath, const Metrics& aMetrics);

  void handle(std::size_t aThread,
              const HttpRequest& aRequest,
              HttpResponder& aResponder,
              const boost::asio::yield_context& aYield) override;
  /** @param aReady Whether new connections may come. Thread-safe. */
  void setReady(bool aReady) { ready_ = aReady; }
  /** @return Whether new connections may come. Thread-safe. */
  bool isReady() const { return ready_; }

private:
  const std::string readyPath_;      ///< Path of the question for readiness.
  const Metrics& metrics_;           ///< Metrics.
  std::atomic<bool> ready_{ false }; ///< Whether new connections may come.
};

} // namespace auburnhaven::transport
