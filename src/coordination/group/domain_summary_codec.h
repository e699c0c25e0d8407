// Encodes domain summaries as JSON text.
#pragma once

#include "coordination/group/domain_summary_type.h"
#include "state/error_type.h"

#include <string>
#include <string_view>

namespace auburnhaven::coordination {

/**
 * @return JSON text of a summary; equal summaries have equal texts.
 * Thread-safe.
 */
std::string
encodeDomainSummary(const DomainSummary& aSummary);

/**
 * Decodes the JSON text of a summary. Thread-safe.
 * @param aText Text that encodeDomainSummary() returned.
 * @return The summary, or InputErrors when the text is malformed.
 */
state::leaf::result<DomainSummary>
decodeDomainSummary(std::string_view aText);

} // namespace auburnhaven::coordination
