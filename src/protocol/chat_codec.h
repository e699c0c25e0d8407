// JSON of the callers' chat interface.
#pragma once

#include "protocol/chat_type.h"
#include "state/error_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::protocol {

/**
 * Reads a chat completion request. Thread-safe.
 * @param aBody JSON body.
 * @return The request, or InputErrors naming each wrong field.
 */
state::leaf::result<ChatRequest>
decodeChatRequest(std::string_view aBody);

/**
 * @param aRequestId The request.
 * @param aModel Model name.
 * @param aText The whole answer.
 * @param aTokens Tokens of the answer.
 * @return Body of a plain answer.
 */
std::string
encodeChatAnswer(std::string_view aRequestId,
                 std::string_view aModel,
                 std::string_view aText,
                 std::uint64_t aTokens);

/**
 * Makes the server-sent events of one streamed answer; what all of them share
 * is encoded once. Immutable, so thread-safe.
 */
class ChatEventEncoder
{
public:
  /**
   * @param aRequestId The request.
   * @param aModel Model name.
   */
  ChatEventEncoder(std::string_view aRequestId, std::string_view aModel);
  /**
   * @param aText Text of the event.
   * @return One server-sent event with a part of the answer.
   */
  std::string encode(std::string_view aText) const;

private:
  std::string head_; ///< Event up to the text.
  std::string tail_; ///< Event after the text.
};

/**
 * @param aRequestId The request.
 * @param aModel Model name.
 * @return The server-sent events that end a whole answer.
 */
std::string
encodeChatEnd(std::string_view aRequestId, std::string_view aModel);

/**
 * @param aError The error.
 * @return Body of an error response.
 */
std::string
encodeError(const ErrorBody& aError);

/**
 * @param aError The error.
 * @return Server-sent event that tells that a started answer will not become
 * whole.
 */
std::string
encodeErrorEvent(const ErrorBody& aError);

/**
 * @param aModels Model names.
 * @return Body of the list of models.
 */
std::string
encodeModelList(const std::vector<std::string>& aModels);

} // namespace auburnhaven::protocol
