// One attempt at a target as a stream of events.
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

/** What happened in an attempt. */
enum class TargetEventKind : std::uint8_t
{
  kToken,       ///< A token arrived.
  kWhole,       ///< The whole answer has arrived.
  kRefused,     ///< The target said that it did not run the request.
  kUnreachable, ///< Certainly not run, and the target takes nothing at present.
  kCutShort,    ///< The connection broke, or the target broke its interface.
  kTimedOut,    ///< Nothing arrived in time.
};

/** One event of an attempt. */
struct TargetEvent
{
  TargetEventKind kind_ = TargetEventKind::kCutShort; ///< What happened.
  std::uint64_t offset_ = 0; ///< Offset of the token, or length when whole.
  std::string text_;         ///< Text of the token.
  std::shared_ptr<const coordination::StoredAnswer>
    answer_; ///< Answer of a plain service, when whole.
};

/** What an attempt sends to its target. */
struct TargetCall
{
  coordination::RequestInfo info_; ///< The request.
  state::AttemptId attempt_;       ///< The attempt.
  std::uint64_t resumeOffset_ = 0; ///< First token wanted.
  std::int32_t priority_ = 0;      ///< Priority at the engine.
  std::string payload_;            ///< Prompt, or body for a plain service.
  std::string contentType_;        ///< Type of a plain service's body.
  state::Duration timeout_{};      ///< Longest wait for the next event.
};

/** One attempt at a target. Used by one coroutine on one traffic thread. */
class TargetStream
{
public:
  virtual ~TargetStream() = default;
  /**
   * Waits for the next event; the first call sends the request.
   * @param aYield The coroutine.
   * @return The event; any other than kToken is the last one.
   */
  virtual TargetEvent next(const boost::asio::yield_context& aYield) = 0;
  /** Ends the attempt; a waiting next() returns soon. On the same thread. */
  virtual void abort() = 0;
};

/** Tokens of a model engine in this daemon's zone. */
class EngineStream : public TargetStream
{
public:
  /**
   * @param aClient Client of the traffic thread; outlives the stream.
   * @param aChoice The target.
   * @param aCall What to send.
   */
  EngineStream(HttpClient& aClient,
               const coordination::Choice& aChoice,
               const TargetCall& aCall);
  TargetEvent next(const boost::asio::yield_context& aYield) override;
  void abort() override;

private:
  TargetEvent open(const boost::asio::yield_context& aYield);
  TargetEvent read(const boost::asio::yield_context& aYield);

  HttpClient& client_;             ///< Client of the traffic thread.
  state::Endpoint endpoint_;       ///< The target.
  HttpClientRequest request_;      ///< What to send.
  HttpTimeouts timeouts_;          ///< Time limits.
  HttpAborter aborter_;            ///< Ends the call from outside.
  std::unique_ptr<HttpCall> call_; ///< The call, once open.
};

/** One call of a plain service in this daemon's zone. */
class ServiceStream : public TargetStream
{
public:
  /**
   * @param aClient Client of the traffic thread; outlives the stream.
   * @param aChoice The target.
   * @param aCall What to send.
   */
  ServiceStream(HttpClient& aClient,
                const coordination::Choice& aChoice,
                const TargetCall& aCall);
  TargetEvent next(const boost::asio::yield_context& aYield) override;
  void abort() override;

private:
  HttpClient& client_;        ///< Client of the traffic thread.
  state::Endpoint endpoint_;  ///< The target.
  HttpClientRequest request_; ///< What to send.
  HttpTimeouts timeouts_;     ///< Time limits.
  HttpAborter aborter_;       ///< Ends the call from outside.
};

/**
 * @param aClient Client of the traffic thread; outlives the stream.
 * @param aChoice Target in this daemon's zone.
 * @param aCall What to send.
 * @return The stream for the kind of target.
 */
std::unique_ptr<TargetStream>
openLocalStream(HttpClient& aClient,
                const coordination::Choice& aChoice,
                const TargetCall& aCall);

} // namespace auburnhaven::transport
