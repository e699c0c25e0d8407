// Encodes and decodes claim operations and results sent between daemons.
#pragma once

#include "coordination/request/claim_type.h"

#include <optional>
#include <string>

namespace auburnhaven::coordination {

/** @return JSON text of an operation. Thread-safe. */
std::string
encodeClaimOperation(const ClaimOperation& aOperation);

/**
 * @param aText Text made by encodeClaimOperation().
 * @return The operation, or std::nullopt if the text is not valid. Thread-safe.
 */
std::optional<ClaimOperation>
decodeClaimOperation(const std::string& aText);

/**
 * @param aResult Result to encode. dispatchUntil_ is left out because it is a
 * monotonic time that is valid only on the daemon that holds the claim.
 * @return JSON text of the result. Thread-safe.
 */
std::string
encodeClaimResult(const ClaimResult& aResult);

/**
 * @param aText Text made by encodeClaimResult().
 * @return The result, or std::nullopt if the text is not valid. Thread-safe.
 */
std::optional<ClaimResult>
decodeClaimResult(const std::string& aText);

} // namespace auburnhaven::coordination
