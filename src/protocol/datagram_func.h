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

} // namespace auburnhaven::protocol
