// Digests of strings.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnhaven::state {

/**
 * SHA-256 by the OpenSSL library. Thread-safe.
 * @param aText Any bytes.
 * @return 64 hexadecimal digits in lower case.
 */
std::string
sha256Hex(std::string_view aText);

/**
 * Fast hash that is the same in every process. Thread-safe.
 * @param aText Any bytes.
 * @param aSeed Selects one of many hash functions.
 * @return 64-bit hash by the xxHash library.
 */
std::uint64_t
stableHash(std::string_view aText, std::uint64_t aSeed = 0);

} // namespace auburnhaven::state
