// Proof that a peer holds the shared key.
#pragma once

#include "state/endpoint_type.h"

#include <cstdint>
#include <string>

namespace auburnhaven::transport {

/** What both sides of a new connection know. */
struct PeerChallenge
{
  std::uint32_t version_ = 0; ///< Version of the protocol.
  std::string purpose_;       ///< What the connection is for.
  state::Endpoint client_;    ///< Where the dialling daemon listens.
  std::string clientNonce_;   ///< Random text of the dialling daemon.
  std::string serverNonce_;   ///< Random text of the accepting daemon.
  bool operator==(const PeerChallenge&) const = default;
};

/** @return A random text by OpenSSL that no one can guess. Thread-safe. */
std::string
makeNonce();

/**
 * HMAC-SHA256 by OpenSSL. Thread-safe.
 * @param aKey The shared key.
 * @param aSide "client" or "server", so that no proof serves for the other.
 * @param aChallenge What both sides know.
 * @return The proof in hexadecimal.
 */
std::string
makeProof(const std::string& aKey,
          const std::string& aSide,
          const PeerChallenge& aChallenge);

/** Compares two secrets in constant time. Thread-safe. */
bool
sameSecret(const std::string& aOne, const std::string& aOther);

/**
 * @param aText "address:port".
 * @return The endpoint; port 0 when the text is none. Thread-safe.
 */
state::Endpoint
parseEndpoint(const std::string& aText);

} // namespace auburnhaven::transport
