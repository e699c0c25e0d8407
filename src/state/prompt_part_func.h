// Parts of a prompt, by which requests can be told apart and compared.
#pragma once

#include "state/id_type.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::state {

using PromptParts =
  std::vector<PromptPartId>; ///< Parts of one prompt in order.

inline constexpr std::size_t kMaxPromptParts =
  64; ///< Parts of one prompt that are considered; further ones are ignored.

/**
 * @param aName Name that a caller gave to a part, in hexadecimal; any other
 * text is a name too.
 * @return The part; the same for all spellings of a number. Thread-safe.
 */
PromptPartId
promptPartFrom(std::string_view aName);

/**
 * @param aParts Parts of a prompt.
 * @return Their numbers in hexadecimal, separated by commas. Thread-safe.
 */
std::string
textOf(const PromptParts& aParts);

/**
 * @param aText A text as of textOf().
 * @return The parts; empty when the text is malformed. Thread-safe.
 */
PromptParts
promptPartsFrom(std::string_view aText);

} // namespace auburnhaven::state
