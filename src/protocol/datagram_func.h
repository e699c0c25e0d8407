// Bytes of datagrams between daemons.
#pragma once

#include "state/json_count_func.h"
#include "state/revision_type.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
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
 * Reads a revision whose number and era are fields of a message. Thread-safe.
 * @param aMessage The message.
 * @param aNumber Field of the number.
 * @param aEra Field of the era, which daemons of earlier versions do not send.
 * @return The revision.
 */
inline state::Revision
decodeRevision(const nlohmann::json& aMessage,
               std::size_t aNumber,
               std::size_t aEra)
{
  const std::uint64_t era =
    aMessage.size() > aEra ? state::readCount<std::uint64_t>(aMessage.at(aEra))
                           : 0;
  return state::Revision(state::readCount<std::uint64_t>(aMessage.at(aNumber)),
                         state::StoreEra(era));
}

/**
 * Reads a time in milliseconds, bounded so that sums with points in time do not
 * overflow. Thread-safe.
 * @param aValue A field of a message.
 * @return The time.
 * @throws nlohmann::json::exception for a value that is no whole number or lies
 * beyond a year.
 */
inline std::chrono::milliseconds
decodeMs(const nlohmann::json& aValue)
{
  constexpr std::int64_t kMaxMs = 1000LL * 86400 * 365;
  constexpr int kBadTime = 503; // error number of the exception
  const std::int64_t count =
    aValue.is_number_integer() ? aValue.get<std::int64_t>() : kMaxMs + 1;
  if (count > kMaxMs || count < -kMaxMs) {
    throw nlohmann::json::other_error::create(
      kBadTime, "no time in range", &aValue);
  }
  return std::chrono::milliseconds(count);
}

/**
 * Adds an entry to a list, unless it takes more bytes than are left of a
 * datagram. Thread-safe.
 * @param aList The list.
 * @param aEntry The entry.
 * @param aBytesLeft Bytes left; reduced by those of an entry that is added.
 * @return Whether it was added.
 */
inline bool
addIfFits(nlohmann::json& aList, nlohmann::json aEntry, std::size_t& aBytesLeft)
{
  const std::size_t size = nlohmann::json::to_cbor(aEntry).size();
  if (size > aBytesLeft) {
    return false;
  }
  aBytesLeft -= size;
  aList.push_back(std::move(aEntry));
  return true;
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
 * Decodes a datagram whose first field is a mark. Other messages are recognized
 * by two bytes, so that each kind of message can be tried in turn. Thread-safe.
 * @param aDatagram The datagram.
 * @param aMark Mark of the expected message, below 24.
 * @param aRead Reads the message; throws when it is malformed.
 * @return What aRead returns, or nothing when the datagram is another message
 * or malformed.
 */
template<class Read>
auto
decodeMarked(const std::string& aDatagram, int aMark, Read aRead)
  -> std::optional<decltype(aRead(nlohmann::json()))>
{
  // CBOR encodes a short list as one byte and a number below 24 as itself.
  constexpr unsigned char kListType = 0x80;
  constexpr unsigned char kTypeBits = 0xe0;
  const bool matches =
    aDatagram.size() >= 2 &&
    (static_cast<unsigned char>(aDatagram[0]) & kTypeBits) == kListType &&
    static_cast<unsigned char>(aDatagram[1]) == aMark;
  return matches ? decodeDatagram(aDatagram, aRead) : std::nullopt;
}

} // namespace auburnhaven::protocol
