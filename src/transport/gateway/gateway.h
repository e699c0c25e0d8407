// Answers callers' requests.
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

/** What a gateway is told of itself. */
struct GatewaySettings
{
  std::string
    idPrefix_; ///< Start of request identifiers, unique to the process.
  std::chrono::milliseconds requestTimeout_{ 300000 }; ///< Longest time for a
                                                       ///< request.
  std::uint32_t maxInFlight_ = 16384; ///< Requests handled at once.
};

/** Told how each request of a serving group ended. Thread-safe. */
class RequestObserver
{
public:
  virtual ~RequestObserver() = default;
  /**
   * @param aInfo The request.
   * @param aResult How it ended.
   * @param aNow When.
   */
  virtual void requestEnded(const coordination::RequestInfo& aInfo,
                            const RequestResult& aResult,
                            state::TimePoint aNow) = 0;
};

/** Routes callers' requests to their handlers. Thread-safe. */
class Gateway : public HttpHandler
{
public:
  /**
   * @param aSettings What the gateway is told of itself.
   * @param aParts Shared parts; outlive the gateway.
   * @param aViews Newest snapshot.
   * @param aMetrics Metrics.
   * @param aObserver Told how requests end.
   */
  Gateway(GatewaySettings aSettings,
          const RunnerDependencies& aParts,
          ConfigViewHolder& aViews,
          Metrics& aMetrics,
          RequestObserver& aObserver);

  void handle(std::size_t aThread,
              const HttpRequest& aRequest,
              HttpResponder& aResponder,
              const boost::asio::yield_context& aYield) override;

  /** @param aReady Whether the daemon takes new work. Safe from any thread. */
  void setReady(bool aReady) { ready_ = aReady; }

private:
  /** One request on its way through the gateway. */
  struct Exchange
  {
    std::size_t thread_;                      ///< Index of the traffic thread.
    const HttpRequest& request_;              ///< The request.
    HttpResponder& responder_;                ///< Takes the response.
    const boost::asio::yield_context& yield_; ///< The coroutine.
    std::string ownId_;     ///< Identifier of this process for the request.
    std::string requestId_; ///< Identifier for the caller.
    ConfigViewPtr view_;    ///< Snapshot to answer by.
  };
  /** One route. */
  struct Route
  {
    std::string_view method_;            ///< Method.
    std::string_view path_;              ///< Path, or its start.
    bool prefix_;                        ///< Whether path_ is a start.
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
  void answerOutcome(Exchange& aExchange,
                     const coordination::Outcome& aOutcome);
  protocol::ErrorBody errorBody(const Exchange& aExchange,
                                const coordination::Outcome& aOutcome) const;
  void streamChat(Exchange& aExchange,
                  TargetCall aCall,
                  const std::string& aModel);
  void plainChat(Exchange& aExchange,
                 TargetCall aCall,
                 const std::string& aModel);
  void runService(Exchange& aExchange, TargetCall aCall);
  coordination::RequestInfo newInfo(const Exchange& aExchange,
                                    const state::AccountId& aAccount);
  void note(const coordination::RequestInfo& aInfo,
            const RequestResult& aResult);
  HttpResponse response(const Exchange& aExchange, std::uint32_t aStatus) const;

  const GatewaySettings settings_;           ///< What it is told of itself.
  RunnerDependencies parts_;                 ///< Shared parts.
  ConfigViewHolder& views_;                  ///< Newest snapshot.
  Metrics& metrics_;                         ///< Metrics.
  RequestObserver& observer_;                ///< Told how requests end.
  std::atomic<bool> ready_{ false };         ///< Whether it takes new work.
  std::atomic<std::uint64_t> nextId_{ 1 };   ///< Number of the next request.
  std::atomic<std::uint32_t> inFlight_{ 0 }; ///< Requests being handled.
};

} // namespace auburnhaven::transport
