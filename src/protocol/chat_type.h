// Messages of the callers' chat interface.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace auburnhaven::protocol {

/** A chat completion request as a caller sends it. */
struct ChatRequest
{
  std::string model_;           ///< Model name or serving group.
  std::string prompt_;          ///< All messages in order, each with its role.
  std::uint32_t maxTokens_ = 0; ///< Longest answer in tokens.
  bool stream_ = false;         ///< Whether to stream the answer.
  std::string kind_;            ///< Kind of work; empty for the default.
  bool operator==(const ChatRequest&) const = default;
};

/** What an error body states. */
struct ErrorBody
{
  std::string outcome_;   ///< "not_run" or "unknown".
  std::string code_;      ///< Reason, for programs.
  std::string message_;   ///< Reason, for people.
  std::string requestId_; ///< The request.
  bool operator==(const ErrorBody&) const = default;
};

} // namespace auburnhaven::protocol
