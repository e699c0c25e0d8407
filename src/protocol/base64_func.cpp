// Text form of binary values.

#include "protocol/base64_func.h"

#include <openssl/evp.h>

#include <algorithm>

namespace auburnhaven::protocol {

namespace {

constexpr std::string_view kMark = "base64:"; ///< Stands before base64.

/** @return Whether a byte may stand in a JSON string as it is. */
bool
isPlain(char aByte)
{
  return aByte == '\n' || aByte == '\t' || (aByte >= ' ' && aByte <= '~');
}

/** @return The bytes as the codec library takes them. */
const unsigned char*
bytesOf(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

} // namespace

std::string
encodeBase64(std::string_view aValue)
{
  std::string text((aValue.size() + 2) / 3 * 4 + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  bytesOf(aValue),
                  static_cast<int>(aValue.size()));
  text.pop_back();
  return text;
}

std::optional<std::string>
decodeBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  if (aText.empty()) {
    return std::string();
  }
  std::string value(aText.size() / 4 * 3, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(&value[0]),
                                   bytesOf(aText),
                                   static_cast<int>(aText.size()));
  if (size < 0) {
    return std::nullopt;
  }
  const std::size_t padding = aText.ends_with("==")  ? 2
                              : aText.ends_with('=') ? 1
                                                     : 0;
  value.resize(static_cast<std::size_t>(size) - padding);
  return value;
}

std::string
toText(std::string_view aValue)
{
  if (std::all_of(aValue.begin(), aValue.end(), isPlain) &&
      !aValue.starts_with(kMark)) {
    return std::string(aValue);
  }
  return std::string(kMark) + encodeBase64(aValue);
}

std::optional<std::string>
fromText(std::string_view aText)
{
  if (!aText.starts_with(kMark)) {
    return std::string(aText);
  }
  return decodeBase64(aText.substr(kMark.size()));
}

} // namespace auburnhaven::protocol
