// Stream of the events of one attempt at a target.
#pragma once

#include "coordination/request/request_type.h"
#include "coordination/request/target_chooser.h"
#include "transport/http_client.h"

#include <boost/asio/spawn.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::transport {

/** Kind of an event of an attempt. */
enum class TargetEventKind : std::uint8_t
{
  kToken,      ///< A token was received.
  kWhole,      ///< The complete answer was received.
  kRefused,    ///< The target reported that it did not run the request.
  kNotReached, ///< The request certainly did not run, and the target accepts
               ///< no requests at present.
  kCutShort,   ///< The connection failed, or the target violated the protocol.
  kTimedOut,   ///< The next event did not arrive in time.
};

/** One event of an attempt. */
struct TargetEvent
{
  TargetEventKind kind_ = TargetEventKind::kCutShort; ///< Kind.
  std::uint64_t offset_ =
    0; ///< Offset of the token; for kWhole the number of tokens of the answer.
  std::string text_; ///< Text of the token, for kToken.
  std::shared_ptr<const coordination::StoredAnswer>
    answer_; ///< Answer of a plain service, for kWhole.
};

/** Request that an attempt sends to its target. */
struct TargetCall
{
  coordination::RequestInfo info_; ///< Request attributes.
  state::AttemptId attempt_;       ///< Attempt ID.
  std::uint64_t resumeOffset_ = 0; ///< Offset of the first token to send.
  std::int32_t priority_ = 0;      ///< Scheduling priority at the engine.
  std::string payload_;       ///< Prompt, or request body for a plain service.
  std::string contentType_;   ///< Content type of a plain service's body.
  state::Duration timeout_{}; ///< Maximum wait for the next event.
};

/** One attempt at a target. Not thread-safe: one coroutine on one traffic
 * thread owns it. */
class TargetStream
{
public:
  virtual ~TargetStream() = default;
  /**
   * Waits for the next event; the first call sends the request.
   * @param aYield Coroutine that is suspended until the event.
   * @return The event. An event other than kToken ends the attempt; do not call
   * next() again after it.
   */
  virtual TargetEvent next(const boost::asio::yield_context& aYield) = 0;
  /** Cancels the attempt, so that a pending next() returns soon. Call on the
   * thread of the attempt. */
  virtual void abort() = 0;
};

/** Attempt at a model engine in this daemon's zone. */
class EngineStream : public TargetStream
{
public:
  /**
   * @param aClient HTTP client of the traffic thread; outlives the stream.
   * @param aChoice Target of the attempt.
   * @param aCall Request to send.
   */
  EngineStream(HttpClient& aClient,
               const coordination::Choice& aChoice,
               const TargetCall& aCall);
  TargetEvent next(const boost::asio::yield_context& aYield) override;
  void abort() override;

private:
  TargetEvent open(const boost::asio::yield_context& aYield);
  TargetEvent read(const boost::asio::yield_context& aYield);

  HttpClient& client_;             ///< HTTP client of the traffic thread.
  state::Endpoint endpoint_;       ///< Endpoint of the target.
  HttpClientRequest request_;      ///< HTTP request to send.
  HttpTimeouts timeouts_;          ///< Timeouts of the call.
  HttpAborter aborter_;            ///< Aborts the call.
  std::unique_ptr<HttpCall> call_; ///< The call, once its response started.
};

/** Attempt at a plain service in this daemon's zone. */
class ServiceStream : public TargetStream
{
public:
  /**
   * @param aClient HTTP client of the traffic thread; outlives the stream.
   * @param aChoice Target of the attempt.
   * @param aCall Request to send.
   */
  ServiceStream(HttpClient& aClient,
                const coordination::Choice& aChoice,
                const TargetCall& aCall);
  TargetEvent next(const boost::asio::yield_context& aYield) override;
  void abort() override;

private:
  HttpClient& client_;        ///< HTTP client of the traffic thread.
  state::Endpoint endpoint_;  ///< Endpoint of the target.
  HttpClientRequest request_; ///< HTTP request to send.
  HttpTimeouts timeouts_;     ///< Timeouts of the call.
  HttpAborter aborter_;       ///< Aborts the call.
};

/**
 * @param aClient HTTP client of the traffic thread; outlives the stream.
 * @param aChoice Target in this daemon's zone.
 * @param aCall Request to send.
 * @return An EngineStream or, if aCall names a plain service, a ServiceStream.
 */
std::unique_ptr<TargetStream>
openLocalStream(HttpClient& aClient,
                const coordination::Choice& aChoice,
                const TargetCall& aCall);

} // namespace auburnhaven::transport
