// Proof that a peer holds the shared key.

#include "transport/peer_auth.h"

#include <boost/asio/ip/address.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cassert>
#include <charconv>

namespace auburnhaven::transport {

namespace {

constexpr std::size_t kNonceBytes = 16; ///< Random bytes of a nonce.

/** @return Bytes in hexadecimal. */
std::string
toHex(const unsigned char* aBytes, std::size_t aSize)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (std::size_t index = 0; index < aSize; ++index) {
    text += kDigits[aBytes[index] >> 4U];
    text += kDigits[aBytes[index] & 15U];
  }
  return text;
}

} // namespace

std::string
makeNonce()
{
  std::array<unsigned char, kNonceBytes> bytes{};
  const int done = RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  assert(done == 1);
  static_cast<void>(done);
  return toHex(bytes.data(), bytes.size());
}

std::string
makeProof(const std::string& aKey,
          const std::string& aSide,
          const PeerChallenge& aChallenge)
{
  const std::string text =
    aSide + '\n' + std::to_string(aChallenge.version_) + '\n' +
    aChallenge.purpose_ + '\n' + formatEndpoint(aChallenge.client_) + '\n' +
    aChallenge.clientNonce_ + '\n' + aChallenge.serverNonce_;
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       bytes.data(),
       &size);
  assert(size > 0);
  return toHex(bytes.data(), size);
}

bool
sameSecret(const std::string& aOne, const std::string& aOther)
{
  return aOne.size() == aOther.size() &&
         CRYPTO_memcmp(aOne.data(), aOther.data(), aOne.size()) == 0;
}

state::Endpoint
parseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  state::Endpoint endpoint{ aText.substr(0, colon), 0 };
  const char* end = aText.data() + aText.size();
  const auto [stop, error] =
    std::from_chars(aText.data() + colon + 1, end, endpoint.port_);
  boost::system::error_code addressError;
  boost::asio::ip::make_address(endpoint.address_, addressError);
  if (error != std::errc() || stop != end || addressError) {
    return {};
  }
  return endpoint;
}

std::string
formatEndpoint(const state::Endpoint& aEndpoint)
{
  return aEndpoint.address_ + ':' + std::to_string(aEndpoint.port_);
}

} // namespace auburnhaven::transport
