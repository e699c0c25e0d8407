// Text form of domain summaries.
#pragma once

#include "coordination/group/domain_summary_type.h"
#include "state/error_type.h"

#include <string>
#include <string_view>

namespace auburnhaven::coordination {

/**
 * Encodes a summary as JSON text. Equal summaries give equal text. Thread-safe.
 * @param aSummary The summary.
 * @return The text.
 */
std::string
encodeDomainSummary(const DomainSummary& aSummary);

/**
 * Decodes a summary. Thread-safe.
 * @param aText The text.
 * @return The summary, or InputErrors.
 */
state::leaf::result<DomainSummary>
decodeDomainSummary(std::string_view aText);

} // namespace auburnhaven::coordination
