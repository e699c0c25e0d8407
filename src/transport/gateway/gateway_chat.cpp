// Chat completion requests of the gateway.

#include "transport/gateway/gateway.h"

#include "protocol/chat_codec.h"
#include "transport/gateway/responder_sink.h"
#include "transport/table/refusal_table.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::transport {

namespace {

/** Streams tokens to the caller as server-sent events. */
class EventSink : public ResponderSink
{
public:
  /**
   * The response starts with the first token, so that a request that fails
   * before it can still be answered with an error status.
   * @param aResponder Sends the response; outlives the sink.
   * @param aHead Status and headers of the response.
   * @param aRequestId Request ID for the events.
   * @param aModel Model name for the events.
   */
  EventSink(HttpResponder& aResponder,
            HttpResponse aHead,
            std::string aRequestId,
            std::string aModel)
    : ResponderSink(aResponder)
    , head_(std::move(aHead))
    , requestId_(std::move(aRequestId))
    , model_(std::move(aModel))
    , events_(requestId_, model_)
  {
    head_.contentType_ = "text/event-stream";
    head_.headers_.push_back({ "Cache-Control", "no-cache" });
  }

  bool passToken(std::string_view aText,
                 const boost::asio::yield_context& aYield) override
  {
    if (!start(aYield)) {
      return false;
    }
    return responder().writeChunk(events_.encode(aText), aYield);
  }

  /** Marks the answer as complete and ends the response. */
  void end(const boost::asio::yield_context& aYield)
  {
    if (start(aYield) &&
        responder().writeChunk(protocol::encodeChatEnd(requestId_, model_),
                               aYield)) {
      responder().endStream(aYield);
    }
  }

  /**
   * Sends an error event and closes the connection without ending the stream,
   * so that the caller cannot take the partial answer for a complete one.
   */
  void abort(const protocol::ErrorBody& aError,
             const boost::asio::yield_context& aYield)
  {
    responder().writeChunk(protocol::encodeErrorEvent(aError), aYield);
    responder().cut();
  }

  /** @return Whether the response was started. */
  bool started() const { return started_; }

private:
  /** Starts the response unless it was started before.
   * @return Whether the caller is still connected. */
  bool start(const boost::asio::yield_context& aYield)
  {
    if (started_) {
      return true;
    }
    started_ = true;
    return responder().startStream(head_, aYield);
  }

  HttpResponse head_;                 ///< Status and headers.
  std::string requestId_;             ///< Request ID for the events.
  std::string model_;                 ///< Model name for the events.
  protocol::ChatEventEncoder events_; ///< Encodes tokens as events.
  bool started_ = false;              ///< Whether the response was started.
};

/** Collects the tokens of an answer that is sent as one response. */
class TextSink : public ResponderSink
{
public:
  using ResponderSink::ResponderSink;

  bool passToken(std::string_view aText,
                 const boost::asio::yield_context& /*aYield*/) override
  {
    text_ += aText;
    return !responder().callerGone();
  }
  /** @return Text received so far. */
  const std::string& text() const { return text_; }

private:
  std::string text_; ///< Text received so far.
};

/** @return All validation errors of a body as one message. */
std::string
describe(const state::InputErrors& aErrors)
{
  std::string text;
  for (const state::InputError& error : aErrors.errors_) {
    text += text.empty() ? "" : "; ";
    text += error.key_.empty() ? "body" : error.key_;
    text += " " + error.message_;
  }
  return text;
}

/** @return The kind of work with this name, or the group's first one if the
 * name is empty; null if there is none. */
const state::WorkKind*
findKind(const state::ServingGroup& aGroup, const std::string& aName)
{
  const auto found = std::find_if(
    aGroup.kinds_.begin(), aGroup.kinds_.end(), [&](const auto& aKind) {
      return aName.empty() || aKind.id_.value() == aName;
    });
  return found == aGroup.kinds_.end() ? nullptr : &*found;
}

/** @return The decoded request; on an error nullopt, with aFault set to the
 * message. */
std::optional<protocol::ChatRequest>
readChat(const std::string& aBody, std::string& aFault)
{
  return state::leaf::try_handle_all(
    [&]() -> state::leaf::result<std::optional<protocol::ChatRequest>> {
      BOOST_LEAF_AUTO(request, protocol::decodeChatRequest(aBody));
      return std::optional<protocol::ChatRequest>(std::move(request));
    },
    [&](const state::InputErrors& aErrors) {
      aFault = describe(aErrors);
      return std::optional<protocol::ChatRequest>();
    },
    [&] {
      aFault = "the body cannot be read";
      return std::optional<protocol::ChatRequest>();
    });
}

} // namespace

void
Gateway::chat(Exchange& aExchange)
{
  const state::ClientAccount* account = authenticate(aExchange);
  if (account == nullptr) {
    return;
  }
  std::string fault;
  const auto request = readChat(aExchange.request_.body_, fault);
  if (!request) {
    refuse(aExchange, 400, "bad_request", fault);
    return;
  }
  bool known = false;
  const state::ServingGroup* group =
    aExchange.view_->findGroup(request->model_, account->id_, known);
  if (group == nullptr) {
    refuse(aExchange,
           known ? 403 : 404,
           known ? "model_not_allowed" : "model_not_found",
           known ? "the account may not use this model"
                 : "there is no model or serving group of this name");
    return;
  }
  const state::WorkKind* kind = findKind(*group, request->kind_);
  if (kind == nullptr && !request->kind_.empty()) {
    refuse(aExchange,
           400,
           "unknown_kind",
           "the serving group has no such kind of work");
    return;
  }
  TargetCall call;
  call.info_ = newInfo(aExchange, account->id_);
  call.info_.group_ = group->id_;
  call.info_.stream_ = true;
  call.info_.idempotent_ = true;
  call.info_.maxTokens_ = request->maxTokens_;
  if (kind != nullptr) {
    call.info_.kind_ = kind->id_;
    call.priority_ =
      coordination::priorityAt(*kind, dependencies_.clock_.wallNow());
  }
  call.payload_ = request->prompt_;
  call.info_.prefixHashes_ =
    coordination::prefixHashes(request->prompt_, group->model_);
  if (request->stream_) {
    streamChat(aExchange, std::move(call), request->model_);
  } else {
    bufferChat(aExchange, std::move(call), request->model_);
  }
}

void
Gateway::streamChat(Exchange& aExchange,
                    TargetCall aCall,
                    const std::string& aModel)
{
  const coordination::RequestInfo info = aCall.info_;
  EventSink sink(aExchange.responder_,
                 response(aExchange, 200),
                 aExchange.requestId_,
                 aModel);
  RequestRunner runner(
    dependencies_, aExchange.thread_, std::move(aCall), sink);
  const RequestResult result = runner.run(aExchange.yield_);
  recordResult(info, result);
  if (result.outcome_.kind_ == coordination::OutcomeKind::kAnswered) {
    sink.end(aExchange.yield_);
  } else if (sink.started()) {
    sink.abort(errorBody(aExchange, result.outcome_), aExchange.yield_);
  } else {
    sendOutcome(aExchange, result.outcome_);
  }
}

void
Gateway::bufferChat(Exchange& aExchange,
                    TargetCall aCall,
                    const std::string& aModel)
{
  const coordination::RequestInfo info = aCall.info_;
  TextSink sink(aExchange.responder_);
  RequestRunner runner(
    dependencies_, aExchange.thread_, std::move(aCall), sink);
  const RequestResult result = runner.run(aExchange.yield_);
  recordResult(info, result);
  if (result.outcome_.kind_ != coordination::OutcomeKind::kAnswered) {
    sendOutcome(aExchange, result.outcome_);
    return;
  }
  HttpResponse answer = response(aExchange, 200);
  answer.body_ = protocol::encodeChatAnswer(
    aExchange.requestId_, aModel, sink.text(), result.times_.tokens_);
  aExchange.responder_.send(answer, aExchange.yield_);
}

} // namespace auburnhaven::transport
