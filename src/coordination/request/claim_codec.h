// Text form of claim operations and results between daemons.
#pragma once

#include "coordination/request/claim_type.h"

#include <optional>
#include <string>

namespace auburnhaven::coordination {

/**
 * Thread-safe.
 * @param aOperation An operation.
 * @return Its text form.
 */
std::string
encodeClaimOperation(const ClaimOperation& aOperation);

/**
 * Thread-safe.
 * @param aText Text form of an operation.
 * @return The operation, or nothing when the text is not one.
 */
std::optional<ClaimOperation>
decodeClaimOperation(const std::string& aText);

/**
 * Thread-safe.
 * @param aResult A result; the end of the dispatch window is left out, since
 * it holds only for the clock of the claim's holder.
 * @return Its text form.
 */
std::string
encodeClaimResult(const ClaimResult& aResult);

/**
 * Thread-safe.
 * @param aText Text form of a result.
 * @return The result, or nothing when the text is not one.
 */
std::optional<ClaimResult>
decodeClaimResult(const std::string& aText);

} // namespace auburnhaven::coordination
