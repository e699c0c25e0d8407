// One send of a relayed request to one target.
#pragma once

#include "transport/read_turn.h"
#include "transport/relay/event_splitter.h"
#include "transport/relay/relay_attempt_type.h"
#include "transport/relay/relay_handler.h"
#include "transport/relay/request_identity.h"

#include <functional>
#include <string>
#include <string_view>

namespace auburnhaven::transport {

/**
 * Sends a request to one target and takes its response as it arrives. Never
 * waits for the target, so that one coroutine can follow several attempts. The
 * target pool learns of the end when the attempt is destroyed. Used by one
 * coroutine.
 */
class RelayAttempt
{
public:
  /**
   * @param aDependencies Dependencies; must outlive this object.
   * @param aInfo Contents of the request's headers; must outlive this object.
   * @param aTarget The target.
   * @param aStream Whether a success is a stream of events.
   * @param aPosition How far the caller's stream has come.
   * @param aIdentity What tells the request from others; must outlive this
   * object.
   */
  RelayAttempt(const RelayDependencies& aDependencies,
               const RelayRequestInfo& aInfo,
               coordination::TargetDecision aTarget,
               bool aStream,
               const StreamPosition& aPosition,
               const RequestIdentity& aIdentity);
  ~RelayAttempt();
  RelayAttempt(const RelayAttempt&) = delete;
  RelayAttempt& operator=(const RelayAttempt&) = delete;

  /**
   * Sends the request; poll() tells how that went. Call once.
   * @param aClient HTTP client of the thread.
   * @param aRequest The request.
   * @param aTimeouts Time limits.
   * @param aYield The coroutine.
   * @param aAborter Ends the send from outside the coroutine.
   */
  void send(HttpClient& aClient,
            const HttpClientRequest& aRequest,
            const HttpTimeouts& aTimeouts,
            const boost::asio::yield_context& aYield,
            HttpAborter& aAborter);
  /**
   * Takes the next piece of what has arrived. Do not call after kComplete or
   * kFailed.
   * @param aYield The coroutine; waits only for the body of a rejection, and
   * after a body that ended with its connection for a new connection.
   * @param aTurn Counts the piece.
   * @return What is new.
   */
  AttemptProgress poll(const boost::asio::yield_context& aYield,
                       ReadTurn& aTurn);
  /** @return The next complete event; empty when there is none. Valid until the
   * next call of poll() or nextEvent(). */
  std::string_view nextEvent() { return events_.next(); }
  /**
   * Notes that the event that nextEvent() returned last has been forwarded; the
   * time that the caller took for it is not counted as silence.
   * @param aPosition Set to what the caller has now.
   */
  void noteForwarded(StreamPosition& aPosition);
  /**
   * Checks after kComplete whether the caller's stream may end here. A response
   * without any new event is no proof of that.
   * @param aGoesOn Whether another target has shown that the stream goes on.
   * @return Whether it may; otherwise this attempt has failed.
   */
  bool mayEnd(bool aGoesOn);
  /** Calls a handler once when poll() may have news. */
  void onReadable(std::function<void()> aHandler)
  {
    call_.onReadable(std::move(aHandler));
  }
  /** Forgets the handler of onReadable(). */
  void cancelWait() { call_.cancelWait(); }
  /** @param aResult Outcome that the target pool is told. */
  void setResult(coordination::SendResult aResult) { result_ = aResult; }

  /** @return The target. */
  const coordination::TargetDecision& target() const { return target_; }
  /** @return Whether any byte of the request may have reached the target. */
  bool mayHaveArrived() const;
  /** @return Outcome after kFailed. */
  SendOutcome outcome() const { return outcome_; }
  /** @return Reason for the outcome, for logs. */
  const std::string& detail() const { return detail_; }
  /** @return Whether the target had closed the reused connection. */
  bool hadStaleConnection() const { return staleConnection_; }
  /** @return Whether the target closed or reset the connection, after the
   * request may have arrived and before its response was whole. */
  bool hasLostConnection() const { return lostConnection_; }
  /** @return Whether the target has begun to answer. */
  bool hasBegun() const { return stream_ ? hasEvents() : call_.hasResponse(); }
  /** @return Whether the target rejected the request in a response. */
  bool isRejected() const
  {
    return outcome_ == SendOutcome::kNotRun && call_.hasResponse();
  }
  /** @return When the newest event arrived, or the request was sent. */
  state::TimePoint lastNewsAt() const { return lastNewsAt_; }
  /** @return Whether an event has arrived. */
  bool hasEvents() const { return events_.eventCount() > 0; }
  /** @return Whether the target has shown that the stream goes on beyond the
   * events that were returned. */
  bool streamGoesOn() const { return events_.goesOn(); }
  /** @return Response for the caller; the body is empty for a stream. */
  const HttpResponse& response() const { return response_; }

private:
  AttemptProgress end(SendOutcome aOutcome, std::string aDetail);
  AttemptProgress endWithoutResponse();
  AttemptProgress endWithError();
  AttemptProgress takeHead(const boost::asio::yield_context& aYield);
  AttemptProgress pollStream(const boost::asio::yield_context& aYield,
                             ReadTurn& aTurn);
  AttemptProgress pollBody(const boost::asio::yield_context& aYield,
                           ReadTurn& aTurn);
  /** @return Why the body must end; empty if it may go on. */
  std::string_view addToBody(std::string_view aData);
  AttemptProgress endBody(std::string aDetail);
  bool isWhole(HttpReadStatus aStatus,
               const boost::asio::yield_context& aYield);
  AttemptProgress takeEvents(std::string_view aData);
  AttemptProgress complete();
  void noteAnswer();
  void recordActivity();
  void noteTargetInfo(const RelayResponseInfo& aInfo);
  std::string_view headFault() const;
  HttpResponse readResponseHead() const;

  const RelayDependencies& dependencies_;     ///< Dependencies.
  const RelayRequestInfo& info_;              ///< Contents of the headers.
  const RequestIdentity& identity_;           ///< The request's identity.
  const coordination::TargetDecision target_; ///< The target.
  const bool stream_;     ///< Whether a success is a stream.
  HttpCall call_;         ///< The call.
  HttpResponse response_; ///< Response for the caller.
  coordination::ResponseMemory::Share memory_;  ///< Bytes of its body.
  EventSplitter events_;                        ///< Splits a stream.
  state::TimePoint lastNewsAt_;                 ///< Newest event, or the send.
  SendOutcome outcome_ = SendOutcome::kUnknown; ///< Outcome after kFailed.
  std::string detail_;                          ///< Reason for the outcome.
  bool recorded_ = false; ///< Whether the stream counts as open in the record
                          ///< of stream activity.
  state::TimePoint begunAt_{};  ///< When the answer began; zero before.
  bool answerNoted_ = false;    ///< Whether the crash observer knows that the
                                ///< target answers.
  bool lostConnection_ = false; ///< Whether the target ended the connection too
                                ///< soon.
  bool staleConnection_ = false; ///< Whether the target had closed the reused
                                 ///< connection.
  coordination::SendResult result_ =
    coordination::SendResult::kAborted; ///< Outcome for the target pool.
};

} // namespace auburnhaven::transport
