// Reads stored answers from the records and messages that hold them.
#pragma once

#include "coordination/request/request_type.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <memory>

namespace auburnhaven::coordination {

/**
 * Reads a status code, a content type and a body. Thread-safe.
 * @param aFields JSON array.
 * @param aFirst Index of the status code in it.
 * @return The answer, or nullptr if HTTP does not define the status code, so
 * that nobody can interpret the answer.
 * @throws nlohmann::json::exception if a field lacks or has another type.
 */
std::shared_ptr<const StoredAnswer>
readStoredAnswer(const nlohmann::json& aFields, std::size_t aFirst);

} // namespace auburnhaven::coordination
