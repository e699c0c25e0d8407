// JSON of the callers' chat interface.

#include "protocol/chat_codec.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace auburnhaven::protocol {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::uint32_t kDefaultMaxTokens =
  256; ///< When the caller names none.
constexpr std::uint32_t kMaxTokens =
  131072; ///< Greatest that a caller may ask for.

/** Collects the faults of one request. */
class Faults
{
public:
  /** Notes a fault of a field. */
  void add(std::string aKey, std::string aMessage)
  {
    errors_.errors_.push_back(
      { "body", 0, std::move(aKey), std::move(aMessage) });
  }
  /** @return The faults. */
  const state::InputErrors& errors() const { return errors_; }
  /** @return Whether there are none. */
  bool empty() const { return errors_.errors_.empty(); }

private:
  state::InputErrors errors_; ///< The faults.
};

/** @return Text of a message's content, which is a string or a list of text
 * parts. */
std::string
contentText(const Json& aContent, const std::string& aKey, Faults& aFaults)
{
  if (aContent.is_string()) {
    return aContent.get<std::string>();
  }
  if (!aContent.is_array()) {
    aFaults.add(aKey, "must be a string or a list of text parts");
    return {};
  }
  std::string text;
  for (const Json& part : aContent) {
    if (!part.is_object() || !part.contains("text") ||
        !part["text"].is_string()) {
      aFaults.add(aKey, "has a part that is not text");
      return {};
    }
    text += part["text"].get<std::string>();
  }
  return text;
}

/** Reads the messages into one prompt. */
void
readMessages(const Json& aBody, ChatRequest& aRequest, Faults& aFaults)
{
  if (!aBody.contains("messages") || !aBody["messages"].is_array() ||
      aBody["messages"].empty()) {
    aFaults.add("messages", "must be a list with at least one message");
    return;
  }
  std::size_t index = 0;
  for (const Json& message : aBody["messages"]) {
    const std::string key = "messages[" + std::to_string(index++) + "]";
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string() || !message.contains("content")) {
      aFaults.add(key, "must have a role and a content");
      continue;
    }
    aRequest.prompt_ +=
      message["role"].get<std::string>() + ": " +
      contentText(message["content"], key + ".content", aFaults) + "\n";
  }
}

/** Reads an optional field of a given type. */
template<class Value, class Test>
void
readOptional(const Json& aBody,
             const char* aKey,
             Test aTest,
             const char* aExpected,
             Value& aValue,
             Faults& aFaults)
{
  const auto found = aBody.find(aKey);
  if (found == aBody.end() || found->is_null()) {
    return;
  }
  if (!aTest(*found)) {
    aFaults.add(aKey, aExpected);
    return;
  }
  aValue = found->template get<Value>();
}

/** Reads all fields but the messages. */
void
readFields(const Json& aBody, ChatRequest& aRequest, Faults& aFaults)
{
  const auto isString = [](const Json& aValue) { return aValue.is_string(); };
  const auto isBoolean = [](const Json& aValue) { return aValue.is_boolean(); };
  const auto isCount = [](const Json& aValue) {
    return aValue.is_number_unsigned() && aValue.get<std::uint64_t>() >= 1 &&
           aValue.get<std::uint64_t>() <= kMaxTokens;
  };
  readOptional(
    aBody, "model", isString, "must be a string", aRequest.model_, aFaults);
  readOptional(aBody,
               "stream",
               isBoolean,
               "must be true or false",
               aRequest.stream_,
               aFaults);
  readOptional(
    aBody, "kind", isString, "must be a string", aRequest.kind_, aFaults);
  aRequest.maxTokens_ = kDefaultMaxTokens;
  for (const char* key : { "max_tokens", "max_completion_tokens" }) {
    readOptional(aBody,
                 key,
                 isCount,
                 "must be a whole number from 1 to 131072",
                 aRequest.maxTokens_,
                 aFaults);
  }
  if (aRequest.model_.empty()) {
    aFaults.add("model", "is missing");
  }
}

/** @return One event of the stream. */
std::string
event(const Json& aData)
{
  return "data: " + aData.dump(-1, ' ', false, Json::error_handler_t::replace) +
         "\n\n";
}

/** @return A part of a streamed answer. */
Json
chunk(std::string_view aRequestId,
      std::string_view aModel,
      Json aDelta,
      Json aReason)
{
  return { { "id", aRequestId },
           { "object", "chat.completion.chunk" },
           { "model", aModel },
           { "choices",
             Json::array({ { { "index", 0 },
                             { "delta", std::move(aDelta) },
                             { "finish_reason", std::move(aReason) } } }) } };
}

/** @return The error in its JSON shape. */
Json
errorJson(const ErrorBody& aError)
{
  return { { "error",
             { { "outcome", aError.outcome_ },
               { "code", aError.code_ },
               { "message", aError.message_ },
               { "request_id", aError.requestId_ } } } };
}

} // namespace

state::leaf::result<ChatRequest>
decodeChatRequest(std::string_view aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  Faults faults;
  if (!body.is_object()) {
    faults.add("", "is not a JSON object");
    return state::leaf::new_error(faults.errors());
  }
  ChatRequest request;
  readFields(body, request, faults);
  readMessages(body, request, faults);
  if (!faults.empty()) {
    return state::leaf::new_error(faults.errors());
  }
  return request;
}

std::string
encodeChatAnswer(std::string_view aRequestId,
                 std::string_view aModel,
                 std::string_view aText,
                 std::uint64_t aTokens)
{
  const Json message = { { "role", "assistant" },
                         { "content", std::string(aText) } };
  const Json body = { { "id", aRequestId },
                      { "object", "chat.completion" },
                      { "model", aModel },
                      { "choices",
                        Json::array({ { { "index", 0 },
                                        { "message", message },
                                        { "finish_reason", "stop" } } }) },
                      { "usage", { { "completion_tokens", aTokens } } } };
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

ChatEventEncoder::ChatEventEncoder(std::string_view aRequestId,
                                   std::string_view aModel)
{
  static constexpr std::string_view kEmptyText = R"("content":"")";
  const std::string whole =
    event(chunk(aRequestId, aModel, { { "content", "" } }, nullptr));
  // Quotes inside of strings are escaped, so the last match is the field.
  const std::size_t end = whole.rfind(kEmptyText) + kEmptyText.size();
  head_ = whole.substr(0, end - 2);
  tail_ = whole.substr(end);
}

std::string
ChatEventEncoder::encode(std::string_view aText) const
{
  const std::string text =
    Json(aText).dump(-1, ' ', false, Json::error_handler_t::replace);
  std::string encoded;
  encoded.reserve(head_.size() + text.size() + tail_.size());
  encoded += head_;
  encoded += text;
  encoded += tail_;
  return encoded;
}

std::string
encodeChatEnd(std::string_view aRequestId, std::string_view aModel)
{
  return event(chunk(aRequestId, aModel, Json::object(), "stop")) +
         "data: [DONE]\n\n";
}

std::string
encodeError(const ErrorBody& aError)
{
  return errorJson(aError).dump();
}

std::string
encodeErrorEvent(const ErrorBody& aError)
{
  return event(errorJson(aError));
}

std::string
encodeModelList(const std::vector<std::string>& aModels)
{
  Json data = Json::array();
  for (const std::string& model : aModels) {
    data.push_back(
      { { "id", model }, { "object", "model" }, { "owned_by", "operator" } });
  }
  return Json{ { "object", "list" }, { "data", data } }.dump();
}

} // namespace auburnhaven::protocol
