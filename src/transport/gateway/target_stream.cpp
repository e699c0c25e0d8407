// Stream of the events of one attempt at a target.

#include "transport/gateway/target_stream.h"

#include "protocol/generate_codec.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace auburnhaven::transport {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout(1000); ///< Maximum time to connect.
constexpr std::size_t kMaxServiceAnswer =
  8ULL * 1024 * 1024; ///< Largest answer of a plain service, in bytes.

constexpr std::uint32_t kOkStatus = 200; ///< The response body is the answer.
constexpr std::uint32_t kNotServingStatus = 409; ///< The target is not a member
                                                 ///< of that copy or not ready.
constexpr std::uint32_t kFullStatus = 503; ///< The target has no free slot.

/** @return Timeouts of a call that waits up to aTimeout, but at least 1 ms, for
 * each event. */
HttpTimeouts
timeoutsFor(state::Duration aTimeout)
{
  const auto limit = std::max(
    milliseconds(1), std::chrono::duration_cast<milliseconds>(aTimeout));
  return { std::min(kConnectTimeout, limit), limit, limit };
}

/** Makes a call use a connection of its own. On a reused connection, a delayed
 * duplicate of an answer could not be distinguished from the answer to the next
 * request. */
void
disableConnectionReuse(HttpClientRequest& aRequest)
{
  aRequest.freshConnection_ = true;
  aRequest.keptConnections_ = 0;
}

/** @return Request ID of an attempt, unique at its target. */
std::string
attemptRequestId(const TargetCall& aCall)
{
  return aCall.info_.id_.value() + "." + std::to_string(aCall.attempt_.value());
}

/** @return Event for a call that failed without a response. */
TargetEvent
failureEvent(const HttpFailure& aFailure)
{
  TargetEvent event;
  if (!aFailure.bytesMayHaveArrived_) {
    event.kind_ = TargetEventKind::kNotReached;
  } else if (aFailure.kind_ == HttpFailureKind::kTimeout) {
    event.kind_ = TargetEventKind::kTimedOut;
  }
  return event;
}

/** @return Event for a response body that ended early. */
TargetEvent
bodyEvent(HttpReadStatus aStatus)
{
  TargetEvent event;
  if (aStatus == HttpReadStatus::kTimeout) {
    event.kind_ = TargetEventKind::kTimedOut;
  }
  return event;
}

/** @return Event for an engine's HTTP status other than 200. */
TargetEvent
statusEvent(std::uint32_t aStatus)
{
  TargetEvent event;
  if (aStatus == kNotServingStatus) {
    event.kind_ = TargetEventKind::kNotReached;
  } else if (aStatus == kFullStatus) {
    event.kind_ = TargetEventKind::kRefused;
  }
  return event;
}

} // namespace

EngineStream::EngineStream(HttpClient& aClient,
                           const coordination::Choice& aChoice,
                           const TargetCall& aCall)
  : client_(aClient)
  , endpoint_(aChoice.endpoint_)
  , timeouts_(timeoutsFor(aCall.timeout_))
{
  const protocol::GenerateRequest generate{ state::RequestId(
                                              attemptRequestId(aCall)),
                                            aCall.payload_,
                                            aCall.info_.maxTokens_,
                                            aCall.priority_,
                                            aCall.resumeOffset_,
                                            aChoice.copy_,
                                            aChoice.fencing_ };
  request_ = { "POST",
               "/v1/generate",
               { { "Content-Type", "application/json" } },
               protocol::encodeGenerate(generate) };
  disableConnectionReuse(request_);
}

TargetEvent
EngineStream::next(const boost::asio::yield_context& aYield)
{
  if (!call_) {
    TargetEvent failure = open(aYield);
    if (!call_) {
      return failure;
    }
  }
  return read(aYield);
}

TargetEvent
EngineStream::open(const boost::asio::yield_context& aYield)
{
  HttpCall call =
    client_.open(endpoint_, request_, timeouts_, aYield, &aborter_);
  if (!call.hasResponse()) {
    return failureEvent(call.failure());
  }
  if (call.status() != kOkStatus) {
    return statusEvent(call.status());
  }
  call_ = std::make_unique<HttpCall>(std::move(call));
  return {};
}

TargetEvent
EngineStream::read(const boost::asio::yield_context& aYield)
{
  const HttpPiece piece = call_->readLine(aYield);
  if (piece.status_ != HttpReadStatus::kData) {
    return bodyEvent(piece.status_);
  }
  protocol::GenerateLine line = protocol::decodeGenerateLine(piece.data_);
  TargetEvent event;
  event.offset_ = line.offset_;
  if (line.kind_ == protocol::GenerateLineKind::kToken) {
    event.kind_ = TargetEventKind::kToken;
    event.text_ = std::move(line.text_);
  } else if (line.kind_ == protocol::GenerateLineKind::kDone) {
    event.kind_ = TargetEventKind::kWhole;
    // A connection can be kept only after its body was read to the end.
    call_->readLine(aYield);
  }
  return event;
}

void
EngineStream::abort()
{
  aborter_.abort();
  if (call_) {
    call_->abort();
  }
}

ServiceStream::ServiceStream(HttpClient& aClient,
                             const coordination::Choice& aChoice,
                             const TargetCall& aCall)
  : client_(aClient)
  , endpoint_(aChoice.endpoint_)
  , timeouts_(timeoutsFor(aCall.timeout_))
{
  request_.method_ = "POST";
  request_.path_ = "/v1/services/" + aCall.info_.service_.value() + "/" +
                   aCall.info_.operation_;
  request_.headers_ = { { "Content-Type", aCall.contentType_ },
                        { "X-Request-Id", attemptRequestId(aCall) } };
  if (!aCall.info_.idempotencyKey_.empty()) {
    request_.headers_.push_back(
      { "Idempotency-Key", aCall.info_.idempotencyKey_ });
  }
  request_.body_ = aCall.payload_;
  disableConnectionReuse(request_);
  timeouts_.whole_ = timeouts_.response_;
}

TargetEvent
ServiceStream::next(const boost::asio::yield_context& aYield)
{
  HttpCall call =
    client_.open(endpoint_, request_, timeouts_, aYield, &aborter_);
  if (!call.hasResponse()) {
    return failureEvent(call.failure());
  }
  TargetEvent event;
  const bool refused =
    call.status() == 503 && call.header("X-Not-Run") == "true";
  coordination::StoredAnswer answer;
  answer.status_ = static_cast<std::uint16_t>(call.status());
  answer.contentType_ = std::string(call.header("Content-Type"));
  HttpBody body = call.readAll(kMaxServiceAnswer, aYield);
  if (refused) {
    event.kind_ = TargetEventKind::kRefused;
    return event;
  }
  if (body.status_ != HttpReadStatus::kEnd) {
    return bodyEvent(body.status_);
  }
  answer.body_ = std::move(body.data_);
  event.kind_ = TargetEventKind::kWhole;
  event.answer_ =
    std::make_shared<const coordination::StoredAnswer>(std::move(answer));
  return event;
}

void
ServiceStream::abort()
{
  aborter_.abort();
}

std::unique_ptr<TargetStream>
openLocalStream(HttpClient& aClient,
                const coordination::Choice& aChoice,
                const TargetCall& aCall)
{
  if (aCall.info_.service_.empty()) {
    return std::make_unique<EngineStream>(aClient, aChoice, aCall);
  }
  return std::make_unique<ServiceStream>(aClient, aChoice, aCall);
}

} // namespace auburnhaven::transport
