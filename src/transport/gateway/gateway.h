// HTTP front end that authenticates, routes and answers callers' requests.
#pragma once

#include "protocol/chat_type.h"
#include "transport/gateway/config_view.h"
#include "transport/gateway/request_runner.h"
#include "transport/http_server.h"
#include "transport/metrics.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace auburnhaven::transport {

/** Settings of a gateway. */
struct GatewaySettings
{
  std::string
    idPrefix_; ///< Prefix of internal request IDs, unique to the process.
  std::chrono::milliseconds requestTimeout_{ 300000 }; ///< Maximum duration of
                                                       ///< a request.
  std::uint32_t maxInFlight_ = 16384; ///< Maximum number of concurrent
                                      ///< requests.
};

/** Is notified of the result of each request. Thread-safe. */
class RequestObserver
{
public:
  virtual ~RequestObserver() = default;
  /**
   * Called once for each request that passed authentication and validation,
   * before its response ends.
   * @param aInfo Attributes of the request.
   * @param aResult Result of the request.
   * @param aNow Time at which the request ended.
   */
  virtual void requestEnded(const coordination::RequestInfo& aInfo,
                            const RequestResult& aResult,
                            state::TimePoint aNow) = 0;
};

/**
 * Serves the public HTTP interface: health, metrics, model list, chat
 * completions and plain services. Thread-safe.
 */
class Gateway : public HttpHandler
{
public:
  /**
   * @param aSettings Settings.
   * @param aDependencies Objects shared by all requests; outlive the gateway.
   * @param aViews Holder of the latest configuration; outlives the gateway.
   * @param aMetrics Receives the request metrics; outlives the gateway.
   * @param aObserver Notified of each result; outlives the gateway.
   */
  Gateway(GatewaySettings aSettings,
          const RunnerDependencies& aDependencies,
          ConfigViewHolder& aViews,
          Metrics& aMetrics,
          RequestObserver& aObserver);

  void handle(std::size_t aThread,
              const HttpRequest& aRequest,
              HttpResponder& aResponder,
              const boost::asio::yield_context& aYield) override;

  /** @param aReady Whether the daemon accepts new requests, as reported by
   * /readyz. Thread-safe. */
  void setReady(bool aReady) { ready_ = aReady; }

private:
  /** A request being handled. */
  struct Exchange
  {
    std::size_t thread_;                      ///< Index of the traffic thread.
    const HttpRequest& request_;              ///< The request.
    HttpResponder& responder_;                ///< Sends the response.
    const boost::asio::yield_context& yield_; ///< Coroutine of the request.
    std::string internalId_;                  ///< ID assigned by this process.
    std::string requestId_;                   ///< ID reported to the caller.
    ConfigViewPtr view_; ///< Configuration for the request.
  };
  /** A route of the HTTP interface. */
  struct Route
  {
    std::string_view method_;            ///< HTTP method.
    std::string_view path_;              ///< Path or path prefix.
    bool isPrefix_;                      ///< Whether path_ is a prefix.
    void (Gateway::*handle_)(Exchange&); ///< Handler.
  };
  static const Route kRoutes[];

  void health(Exchange& aExchange);
  void ready(Exchange& aExchange);
  void metrics(Exchange& aExchange);
  void models(Exchange& aExchange);
  void chat(Exchange& aExchange);
  void service(Exchange& aExchange);

  const state::ClientAccount* authenticate(Exchange& aExchange);
  void refuse(Exchange& aExchange,
              std::uint32_t aStatus,
              const std::string& aCode,
              const std::string& aMessage);
  void sendOutcome(Exchange& aExchange, const coordination::Outcome& aOutcome);
  protocol::ErrorBody errorBody(const Exchange& aExchange,
                                const coordination::Outcome& aOutcome) const;
  void streamChat(Exchange& aExchange,
                  TargetCall aCall,
                  const std::string& aModel);
  void bufferChat(Exchange& aExchange,
                  TargetCall aCall,
                  const std::string& aModel);
  void runService(Exchange& aExchange, TargetCall aCall);
  coordination::RequestInfo newInfo(const Exchange& aExchange,
                                    const state::AccountId& aAccount);
  void recordResult(const coordination::RequestInfo& aInfo,
                    const RequestResult& aResult);
  HttpResponse response(const Exchange& aExchange, std::uint32_t aStatus) const;

  const GatewaySettings settings_;         ///< Settings.
  RunnerDependencies dependencies_;        ///< Objects shared by all requests.
  ConfigViewHolder& views_;                ///< Latest configuration.
  Metrics& metrics_;                       ///< Request metrics.
  RequestObserver& observer_;              ///< Notified of each result.
  std::atomic<bool> ready_{ false };       ///< Whether /readyz succeeds.
  std::atomic<std::uint64_t> nextId_{ 1 }; ///< Number of the next request.
  std::atomic<std::uint32_t> inFlight_{ 0 }; ///< Requests in flight.
};

} // namespace auburnhaven::transport
