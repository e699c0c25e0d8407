// Digests of whole requests, which stand beside the parts of prompts.

#include "state/request_digest_func.h"

#include "state/digest_func.h"

#include <charconv>
#include <string>

namespace auburnhaven::state {

namespace {

constexpr std::uint64_t kWholeRequestBit =
  std::uint64_t{ 1 } << 63; ///< Set in parts that stand for whole requests.
constexpr std::size_t kDigestDigits = 16; ///< Hexadecimal digits of 64 bits.
constexpr int kHexadecimal = 16;          ///< Base of the digits.

} // namespace

PromptPartId
wholeRequestPart(const std::vector<std::string_view>& aFields)
{
  std::string text;
  for (const std::string_view field : aFields) {
    text += std::to_string(field.size());
    text += ':';
    text += field;
  }
  const std::string digest = sha256Hex(text);
  std::uint64_t number = 0;
  std::from_chars(
    digest.data(), digest.data() + kDigestDigits, number, kHexadecimal);
  return PromptPartId(number | kWholeRequestBit);
}

bool
isWholeRequest(PromptPartId aPart)
{
  return (aPart.value() & kWholeRequestBit) != 0;
}

PromptPartId
namedPart(std::uint64_t aNumber)
{
  return PromptPartId(aNumber & ~kWholeRequestBit);
}

} // namespace auburnhaven::state
