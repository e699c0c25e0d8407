// Text form of binary values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace auburnhaven::protocol {

/**
 * @param aValue Any bytes.
 * @return Their base64 form with padding. Thread-safe.
 */
std::string
encodeBase64(std::string_view aValue);

/**
 * @param aText Base64 with padding.
 * @return The bytes, or nothing when the text is not base64. Thread-safe.
 */
std::optional<std::string>
decodeBase64(std::string_view aText);

/**
 * Makes a value safe to put into a JSON string. Thread-safe.
 * @param aValue Any bytes.
 * @return The value itself when it is printable ASCII and not marked, else its
 * base64 form with a mark before it.
 */
std::string
toText(std::string_view aValue);

/**
 * Takes back what toText() did. Thread-safe.
 * @param aText Text, marked or not.
 * @return The value, or nothing when the marked text is not base64.
 */
std::optional<std::string>
fromText(std::string_view aText);

} // namespace auburnhaven::protocol
