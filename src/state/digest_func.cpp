// Digests of strings.

#include "state/digest_func.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>
#include <cassert>

namespace auburnhaven::state {

std::string
sha256Hex(std::string_view aText)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int size = 0;
  const int done = EVP_Digest(
    aText.data(), aText.size(), bytes.data(), &size, EVP_sha256(), nullptr);
  assert(done == 1);
  static_cast<void>(done);
  std::string text;
  for (unsigned int index = 0; index < size; ++index) {
    text += kDigits[bytes[index] >> 4U];
    text += kDigits[bytes[index] & 15U];
  }
  return text;
}

std::uint64_t
stableHash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

} // namespace auburnhaven::state
