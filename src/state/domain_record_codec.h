// Text form of domain records as the store and the daemons exchange it.
#pragma once

#include "state/domain_record_type.h"
#include "state/error_type.h"

#include <string>
#include <string_view>

namespace auburnhaven::state {

/**
 * Encodes a record as JSON text without spaces. Equal records give equal text.
 * Thread-safe.
 * @param aRecord The record.
 * @return The text.
 */
std::string
encodeDomainRecord(const DomainRecord& aRecord);

/**
 * Decodes a record and checks its invariants. Thread-safe.
 * @param aText The text.
 * @param aSource Where the text came from, for errors.
 * @return The record, or InputErrors.
 */
leaf::result<DomainRecord>
decodeDomainRecord(std::string_view aText, const std::string& aSource);

} // namespace auburnhaven::state
