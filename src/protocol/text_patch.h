// Patches between texts, which also compress a text that has no base.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace auburnhaven::protocol {

/**
 * Thread-safe.
 * @param aBase A text that the receiver has; may be empty.
 * @param aText The text that it lacks.
 * @return A patch; about as large as what differs.
 */
std::string
makePatch(const std::string& aBase, const std::string& aText);

/**
 * Thread-safe.
 * @param aBase The text that the patch was made from.
 * @param aPatch Any bytes.
 * @param aMaxBytes Largest text that is made.
 * @return The text, or nothing when the bytes are no patch of this base.
 */
std::optional<std::string>
applyPatch(const std::string& aBase,
           const std::string& aPatch,
           std::size_t aMaxBytes);

} // namespace auburnhaven::protocol
