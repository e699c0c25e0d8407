// Bytes of datagrams between daemons.
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::protocol {

/** @param aMessage A message. @return Its bytes. Thread-safe. */
inline std::string
encodeDatagram(const nlohmann::json& aMessage)
{
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(aMessage);
  return { bytes.begin(), bytes.end() };
}

/**
 * Reads a datagram. Thread-safe.
 * @param aDatagram Any bytes.
 * @param aRead Reads the message; may throw the library's exceptions.
 * @return What it read, or nothing when the bytes are no such message.
 */
template<class Read>
auto
decodeDatagram(const std::string& aDatagram, Read aRead)
  -> std::optional<decltype(aRead(nlohmann::json()))>
{
  try {
    return aRead(nlohmann::json::from_cbor(aDatagram));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

/**
 * Decodes a datagram whose first field is a mark. Thread-safe.
 * @param aDatagram The datagram.
 * @param aMark Mark of the expected message.
 * @param aRead Reads the message; throws when it is malformed.
 * @return What aRead returns, or nothing when the datagram is another message
 * or malformed.
 */
template<class Read>
auto
decodeMarked(const std::string& aDatagram, int aMark, Read aRead)
{
  return decodeDatagram(aDatagram, [&](const nlohmann::json& aMessage) {
    if (aMessage.at(0).get<int>() != aMark) {
      throw nlohmann::json::other_error::create(
        501, "another message", &aMessage);
    }
    return aRead(aMessage);
  });
}

} // namespace auburnhaven::protocol
