// Proof that a peer holds the shared key.

#include "transport/peer_auth.h"

#include "state/endpoint_func.h"

#include <boost/asio/ip/address.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cassert>

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
    aChallenge.purpose_ + '\n' + state::textOf(aChallenge.client_) + '\n' +
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
  const std::optional<state::Endpoint> endpoint = state::endpointFrom(aText);
  boost::system::error_code error;
  if (endpoint) {
    boost::asio::ip::make_address(endpoint->address_, error);
  }
  return endpoint && !error ? *endpoint : state::Endpoint();
}

} // namespace auburnhaven::transport
