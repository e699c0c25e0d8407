// Parts of a prompt, by which requests can be told apart and compared.

#include "state/prompt_part_func.h"

#include "state/digest_func.h"
#include "state/request_digest_func.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace auburnhaven::state {

namespace {

constexpr int kHexadecimal = 16; ///< Base of the numbers.

/** @return A hexadecimal number; nothing when the text is none or too large. */
std::optional<std::uint64_t>
readHex(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number, kHexadecimal);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  return whole ? std::optional(number) : std::nullopt;
}

} // namespace

PromptPartId
promptPartFrom(std::string_view aName)
{
  const std::optional<std::uint64_t> number = readHex(aName);
  return namedPart(number ? *number : stableHash(aName));
}

std::string
textOf(const PromptParts& aParts)
{
  std::string text;
  for (const PromptPartId& part : aParts) {
    char digits[kHexadecimal];
    const auto end =
      std::to_chars(digits, digits + sizeof digits, part.value(), kHexadecimal);
    text += text.empty() ? "" : ",";
    text.append(digits, end.ptr);
  }
  return text;
}

PromptParts
promptPartsFrom(std::string_view aText)
{
  PromptParts parts;
  for (;;) {
    const std::size_t comma = std::min(aText.find(','), aText.size());
    const std::optional<std::uint64_t> number = readHex(aText.substr(0, comma));
    if (!number) {
      return {};
    }
    parts.emplace_back(*number);
    if (comma == aText.size()) {
      return parts;
    }
    aText.remove_prefix(comma + 1);
  }
}

} // namespace auburnhaven::state
