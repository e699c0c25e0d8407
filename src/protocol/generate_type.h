// Messages of the model engines' generate call.
#pragma once

#include "state/id_type.h"

#include <cstdint>
#include <string>

namespace auburnhaven::protocol {

/** A call that generates tokens. */
struct GenerateRequest
{
  state::RequestId id_;          ///< Request and attempt, unique at the engine.
  std::string prompt_;           ///< Prompt.
  std::uint32_t maxTokens_ = 0;  ///< Longest answer in tokens.
  std::int32_t priority_ = 0;    ///< Greater goes first.
  std::uint64_t resumeFrom_ = 0; ///< Offset of the first token wanted.
  state::CopyId copy_;           ///< Copy that the caller means.
  state::FencingNumber fencing_; ///< Assignment that the caller knows.
  bool operator==(const GenerateRequest&) const = default;
};

/** Kind of a line of the answer. */
enum class GenerateLineKind : std::uint8_t
{
  kToken,     ///< A token.
  kDone,      ///< End of a whole answer.
  kMalformed, ///< Not a line of the interface.
};

/** A line of the answer. */
struct GenerateLine
{
  GenerateLineKind kind_ = GenerateLineKind::kMalformed; ///< Kind.
  std::uint64_t offset_ = 0; ///< Offset of the token, or length at the end.
  std::string text_;         ///< Text of the token.
  bool operator==(const GenerateLine&) const = default;
};

} // namespace auburnhaven::protocol
