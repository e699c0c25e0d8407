// Datagrams with the open copies of a zone.

#include "protocol/zone_digest_codec.h"

#include <nlohmann/json.hpp>

namespace auburnhaven::protocol {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kBytesPerCopy = 100; ///< Bound of an encoded copy.
constexpr std::size_t kHeadBytes = 120; ///< Bound of what stands before them.
constexpr std::size_t kCopyFields = 9;  ///< Fields of an encoded copy.

std::int64_t
ageMs(state::Duration aAge)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count();
}

coordination::CopyLoad
decodeCopy(const Json& aCopy, state::TimePoint aNow)
{
  coordination::CopyLoad copy;
  copy.head_ = state::VmId(aCopy.at(0).get<std::string>());
  copy.endpoint_ = { aCopy.at(1).get<std::string>(),
                     aCopy.at(2).get<std::uint16_t>() };
  copy.model_ = state::ModelId(aCopy.at(3).get<std::string>());
  copy.running_ = aCopy.at(4).get<std::uint32_t>();
  copy.waiting_ = aCopy.at(5).get<std::uint32_t>();
  copy.slowness_ = aCopy.at(6).get<double>();
  copy.finishing_ = aCopy.at(7).get<bool>();
  copy.asOf_ = aNow - std::chrono::milliseconds(
                        aCopy.at(kCopyFields - 1).get<std::int64_t>());
  return copy;
}

} // namespace

std::string
encodeZoneDigest(const coordination::ZoneDigest& aDigest, state::TimePoint aNow)
{
  constexpr std::size_t kMaxCopies =
    (kMaxDigestBytes - kHeadBytes) / kBytesPerCopy;
  Json copies = Json::array();
  for (const coordination::CopyLoad& copy : aDigest.copies_) {
    if (copies.size() == kMaxCopies) {
      break;
    }
    copies.push_back({ copy.head_.value(),
                       copy.endpoint_.address_,
                       copy.endpoint_.port_,
                       copy.model_.value(),
                       copy.running_,
                       copy.waiting_,
                       copy.slowness_,
                       copy.finishing_,
                       ageMs(aNow - copy.asOf_) });
  }
  const Json digest = { aDigest.zone_.value(),   aDigest.service_.value(),
                        aDigest.authority_,      aDigest.count_,
                        aDigest.newsAt_.value(), std::move(copies) };
  const std::vector<std::uint8_t> bytes = Json::to_cbor(digest);
  return { bytes.begin(), bytes.end() };
}

std::optional<coordination::ZoneDigest>
decodeZoneDigest(const std::string& aDatagram, state::TimePoint aNow)
{
  const Json digest = Json::from_cbor(aDatagram, true, false);
  if (digest.is_discarded()) {
    return std::nullopt;
  }
  try {
    coordination::ZoneDigest result;
    result.zone_ = state::ZoneId(digest.at(0).get<std::string>());
    result.service_ = state::ServiceId(digest.at(1).get<std::string>());
    result.authority_ = digest.at(2).get<std::uint64_t>();
    result.count_ = digest.at(3).get<std::uint64_t>();
    result.newsAt_ = state::Revision(digest.at(4).get<std::uint64_t>());
    for (const Json& copy : digest.at(5)) {
      result.copies_.push_back(decodeCopy(copy, aNow));
    }
    return result;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace auburnhaven::protocol
