// One send of a relayed request to one target.

#include "transport/relay/relay_attempt.h"

#include "transport/connect_probe.h"

#include <boost/beast/core/string.hpp>

#include <utility>

namespace auburnhaven::transport {

namespace {

using coordination::SendResult;
using std::chrono::milliseconds;

constexpr std::size_t kMaxResponseBytes =
  std::size_t{ 8 } * 1024 * 1024; ///< Largest response that is not a stream.
constexpr std::size_t kMaxErrorBytes =
  std::size_t{ 64 } * 1024; ///< Largest response with an error status.
constexpr std::string_view kGivenUp =
  "response is given up, too many bytes are held"; ///< Why an attempt ends.
constexpr std::size_t kMaxEventBytes =
  std::size_t{ 256 } * 1024; ///< Largest event of a stream.
constexpr std::size_t kMaxRejectionBytes =
  std::size_t{ 16 } * 1024; ///< Largest body of a rejection that is read.
constexpr milliseconds kRejectionBodyTimeout(
  100); ///< Timeout for the body of a rejection, which is read only to reuse
        ///< the connection.

constexpr milliseconds kListenTimeout(
  150); ///< For a connection that shows that a target has not ended.
constexpr milliseconds kProvenAnswerTime(
  300); ///< How long a target must go on with an answer to show that it can
        ///< serve the request.

/** @return Whether a status code is 2xx. */
bool
isSuccess(std::uint32_t aStatus)
{
  return aStatus / 100 == 2;
}

/** @return Media type of a Content-Type header, without parameters. */
std::string_view
mediaType(std::string_view aContentType)
{
  aContentType = aContentType.substr(0, aContentType.find(';'));
  return aContentType.substr(0, aContentType.find_last_not_of(" \t") + 1);
}

} // namespace

RelayAttempt::RelayAttempt(const RelayDependencies& aDependencies,
                           const RelayRequestInfo& aInfo,
                           coordination::TargetDecision aTarget,
                           bool aStream,
                           const StreamPosition& aPosition,
                           const RequestIdentity& aIdentity)
  : dependencies_(aDependencies)
  , info_(aInfo)
  , identity_(aIdentity)
  , target_(std::move(aTarget))
  , stream_(aStream)
  , call_(HttpFailure{ HttpFailureKind::kAborted, false, "not sent" })
  , memory_(aDependencies.responses_)
  , events_(aPosition)
  , lastNewsAt_(aDependencies.clock_.now())
{
}

RelayAttempt::~RelayAttempt()
{
  if (recorded_) {
    dependencies_.activity_->noteEnd(target_.vm_);
  }
  dependencies_.targets_.finish(target_.vm_, result_);
}

void
RelayAttempt::send(HttpClient& aClient,
                   const HttpClientRequest& aRequest,
                   const HttpTimeouts& aTimeouts,
                   const boost::asio::yield_context& aYield,
                   HttpAborter& aAborter)
{
  call_ =
    aClient.send(target_.endpoint_, aRequest, aTimeouts, aYield, &aAborter);
}

bool
RelayAttempt::mayHaveArrived() const
{
  return call_.awaitsHead() || call_.hasResponse() ||
         call_.failure().bytesMayHaveArrived_;
}

void
RelayAttempt::noteForwarded(StreamPosition& aPosition)
{
  lastNewsAt_ = dependencies_.clock_.now();
  const bool isTorn =
    aPosition.isTorn_ && aPosition.events_ == events_.position().events_;
  aPosition = events_.position();
  aPosition.isTorn_ = isTorn;
  aPosition.status_ = call_.status();
  aPosition.mediaType_ = mediaType(call_.header("Content-Type"));
}

bool
RelayAttempt::mayEnd(bool aGoesOn)
{
  const bool mayEnd = events_.newEventCount() > 0 ||
                      (!aGoesOn && !events_.endsEarly()) || !stream_;
  if (!mayEnd) {
    end(SendOutcome::kUnknown, "stream ended before its last event");
  }
  return mayEnd;
}

AttemptProgress
RelayAttempt::poll(const boost::asio::yield_context& aYield, ReadTurn& aTurn)
{
  if (!call_.hasResponse()) {
    if (call_.awaitsHead()) {
      call_.pollHead();
    }
    if (call_.awaitsHead()) {
      return AttemptProgress::kNone;
    }
    const AttemptProgress progress =
      call_.hasResponse() ? takeHead(aYield) : endWithoutResponse();
    if (progress != AttemptProgress::kNone) {
      return progress;
    }
  }
  return stream_ && isSuccess(response_.status_) ? pollStream(aYield, aTurn)
                                                 : pollBody(aYield, aTurn);
}

AttemptProgress
RelayAttempt::end(SendOutcome aOutcome, std::string aDetail)
{
  outcome_ = aOutcome;
  detail_ = std::move(aDetail);
  result_ = isRejected() ? SendResult::kRejected : SendResult::kFailed;
  if (staleConnection_) {
    result_ = SendResult::kAnswered;
  }
  return AttemptProgress::kFailed;
}

AttemptProgress
RelayAttempt::endWithoutResponse()
{
  const HttpFailure& failure = call_.failure();
  lostConnection_ =
    failure.kind_ == HttpFailureKind::kClosed && mayHaveArrived();
  staleConnection_ =
    failure.kind_ == HttpFailureKind::kClosed && failure.keptConnection_;
  return end(mayHaveArrived() ? SendOutcome::kUnknown : SendOutcome::kNotRun,
             failure.message_);
}

void
RelayAttempt::noteTargetInfo(const RelayResponseInfo& aInfo)
{
  if (aInfo.load_) {
    dependencies_.targets_.noteLoad(target_.vm_, *aInfo.load_);
  }
  if (aInfo.leaving_) {
    dependencies_.targets_.noteLeaving(target_.vm_);
  }
  // A rejection without a limit does not tell that the limit has ended.
  if (aInfo.requestLimit_ || !aInfo.notRun_) {
    dependencies_.targets_.noteLimit(target_.vm_, aInfo.requestLimit_);
  }
  if (aInfo.requestedPause_) {
    dependencies_.targets_.notePause(target_.vm_, *aInfo.requestedPause_);
  }
}

AttemptProgress
RelayAttempt::takeHead(const boost::asio::yield_context& aYield)
{
  const RelayResponseInfo info =
    dependencies_.dialect_.parseResponse(info_, call_);
  const bool success = isSuccess(call_.status());
  const std::string status = "status " + std::to_string(call_.status());
  if (!info.matchesRequest_) {
    call_.abort();
    return end(SendOutcome::kUnknown,
               "response with " + status + " does not match the request");
  }
  noteTargetInfo(info);
  if (info.notRun_ && !success) {
    call_.limitTime(kRejectionBodyTimeout);
    call_.readAll(kMaxRejectionBytes, aYield);
    return end(SendOutcome::kNotRun,
               "target rejected the request with " + status);
  }
  if (info.deniesRun_) {
    call_.abort();
    return end(SendOutcome::kUnknown,
               "response with " + status + " does not say that it did not run");
  }
  if (success && !info.signed_) {
    call_.abort();
    return end(SendOutcome::kUnknown, "response is not signed");
  }
  if (const std::string_view fault = headFault(); !fault.empty()) {
    call_.abort();
    return end(SendOutcome::kUnknown, std::string(fault));
  }
  response_ = readResponseHead();
  begunAt_ = stream_ ? begunAt_ : dependencies_.clock_.now();
  if (events_.position().hasBegun_ && !success) {
    // The caller has the head of another response, and no use for the body.
    call_.abort();
    return endWithError();
  }
  return AttemptProgress::kNone;
}

std::string_view
RelayAttempt::headFault() const
{
  // Requests allow no encoding, so that an encoded body is not the target's.
  if (!call_.header("Content-Encoding").empty()) {
    return "response has an encoding";
  }
  const StreamPosition& position = events_.position();
  const std::string_view type = mediaType(call_.header("Content-Type"));
  const bool sameHead =
    call_.status() == position.status_ &&
    boost::beast::iequals({ type.data(), type.size() }, position.mediaType_);
  if (position.hasBegun_ && isSuccess(call_.status()) && !sameHead) {
    return "response does not continue the stream";
  }
  return {};
}

AttemptProgress
RelayAttempt::endWithError()
{
  return end(SendOutcome::kRan,
             "target failed with status " + std::to_string(response_.status_));
}

HttpResponse
RelayAttempt::readResponseHead() const
{
  HttpResponse response;
  response.status_ = call_.status();
  response.contentType_.clear();
  for (HttpField& field : call_.headers()) {
    if (!isConnectionHeader(field.name_)) {
      response.headers_.push_back(
        { std::move(field.name_), std::move(field.value_) });
    }
  }
  return response;
}

bool
RelayAttempt::isWhole(HttpReadStatus aStatus,
                      const boost::asio::yield_context& aYield)
{
  // The connections of a process that ends are closed as those of one that has
  // finished its answer.
  const bool ended =
    aStatus == HttpReadStatus::kEndOfConnection &&
    refusesConnections(target_.endpoint_, kListenTimeout, aYield);
  lostConnection_ = aStatus == HttpReadStatus::kCutShort || ended;
  return aStatus == HttpReadStatus::kEnd ||
         (aStatus == HttpReadStatus::kEndOfConnection && !ended);
}

AttemptProgress
RelayAttempt::pollBody(const boost::asio::yield_context& aYield,
                       ReadTurn& aTurn)
{
  if (memory_.isGivenUp()) {
    return endBody(std::string(kGivenUp));
  }
  const HttpPiece piece = call_.poll();
  if (piece.status_ == HttpReadStatus::kData) {
    aTurn.note(piece.data_.size());
    const std::string_view fault = addToBody(piece.data_);
    return fault.empty() ? AttemptProgress::kTaken
                         : endBody(std::string(fault));
  }
  if (piece.status_ == HttpReadStatus::kPending) {
    return AttemptProgress::kNone;
  }
  if (!isWhole(piece.status_, aYield)) {
    return endBody("response is incomplete");
  }
  memory_.complete();
  return isSuccess(response_.status_) ? complete() : endWithError();
}

std::string_view
RelayAttempt::addToBody(std::string_view aData)
{
  const std::size_t limit =
    isSuccess(response_.status_) ? kMaxResponseBytes : kMaxErrorBytes;
  if (response_.body_.size() + aData.size() > limit) {
    return "response exceeds the size limit";
  }
  response_.body_.append(aData);
  return memory_.hold(response_.body_.capacity()) ? std::string_view()
                                                  : kGivenUp;
}

AttemptProgress
RelayAttempt::endBody(std::string aDetail)
{
  call_.abort();
  response_.body_ = std::string();
  return end(SendOutcome::kUnknown, std::move(aDetail));
}

AttemptProgress
RelayAttempt::pollStream(const boost::asio::yield_context& aYield,
                         ReadTurn& aTurn)
{
  if (!events_.fault().empty()) {
    call_.abort();
    return end(SendOutcome::kUnknown, events_.fault());
  }
  const HttpPiece piece = call_.poll();
  if (piece.status_ == HttpReadStatus::kPending) {
    return AttemptProgress::kNone;
  }
  if (piece.status_ == HttpReadStatus::kData) {
    aTurn.note(piece.data_.size());
    return takeEvents(piece.data_);
  }
  if (isWhole(piece.status_, aYield) && !events_.hasPartialEvent()) {
    return complete();
  }
  call_.abort();
  return end(SendOutcome::kUnknown, "stream ended prematurely");
}

AttemptProgress
RelayAttempt::takeEvents(std::string_view aData)
{
  events_.add(aData);
  recordActivity();
  const state::TimePoint now = dependencies_.clock_.now();
  begunAt_ = begunAt_ == state::TimePoint{} ? now : begunAt_;
  if (now - begunAt_ >= kProvenAnswerTime) {
    noteAnswer();
  }
  if (events_.partialEventBytes() > kMaxEventBytes) {
    call_.abort();
    return end(SendOutcome::kUnknown, "event exceeds the size limit");
  }
  return AttemptProgress::kEvents;
}

AttemptProgress
RelayAttempt::complete()
{
  result_ = SendResult::kAnswered;
  noteAnswer();
  if (dependencies_.crashes_ != nullptr && !info_.sharedParts_.empty()) {
    dependencies_.crashes_->noteWholeAnswer(info_.sharedParts_, begunAt_);
  }
  return AttemptProgress::kComplete;
}

void
RelayAttempt::noteAnswer()
{
  const bool isWanted =
    dependencies_.crashes_ != nullptr && dependencies_.crashes_->hasSuspects();
  if (answerNoted_ || !isWanted) {
    return;
  }
  answerNoted_ = true;
  dependencies_.crashes_->noteAnswer(identity_.parts(), begunAt_);
}

void
RelayAttempt::recordActivity()
{
  if (dependencies_.activity_ == nullptr) {
    return;
  }
  if (recorded_) {
    dependencies_.activity_->noteEvent(target_.vm_);
  } else {
    dependencies_.activity_->noteBegin(target_.vm_);
  }
  recorded_ = true;
}

} // namespace auburnhaven::transport
