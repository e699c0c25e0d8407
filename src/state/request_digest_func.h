// Digests of whole requests, which stand beside the parts of prompts.
#pragma once

#include "state/id_type.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace auburnhaven::state {

/**
 * A request as a whole counts as one more part, which only the same request
 * has. Its digest is strong, so that no caller can make another one's.
 * Thread-safe.
 * @param aFields What makes the request what it is, in a fixed order.
 * @return The part.
 */
PromptPartId
wholeRequestPart(const std::vector<std::string_view>& aFields);

/** @param aPart A part. @return Whether it stands for a whole request; parts
 * that callers name never do. Thread-safe. */
bool
isWholeRequest(PromptPartId aPart);

/** @param aNumber Any number. @return It as a part of a prompt. Thread-safe. */
PromptPartId
namedPart(std::uint64_t aNumber);

} // namespace auburnhaven::state
