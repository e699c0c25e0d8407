// Datagrams with the open copies of a zone.

#include "protocol/zone_digest_codec.h"

#include "protocol/datagram_func.h"
#include "state/figure_func.h"

namespace auburnhaven::protocol {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kHeadBytes = 160; ///< Bound of all but the copies.
constexpr std::size_t kCopyFields = 9;  ///< Fields of an encoded copy.
constexpr std::size_t kEraField = 8;    ///< Field with the revision's era.
constexpr std::size_t kKnownField =
  9; ///< Field with the age of what the coordinator knows of the store.

/** @return A slowdown factor; a bounded one, so that sums of times stay finite.
 */
double
decodeSlowness(const Json& aValue)
{
  constexpr int kBadFactor = 505; // error number of the exception
  const auto slowness =
    state::checkFigure(aValue.get<double>(), state::kTimeFactor).value_;
  if (!slowness) {
    throw Json::other_error::create(kBadFactor, "no slowdown factor", &aValue);
  }
  return *slowness;
}

coordination::CopyLoad
decodeCopy(const Json& aCopy, state::TimePoint aNow)
{
  coordination::CopyLoad copy;
  copy.head_ = state::VmId(aCopy.at(0).get<std::string>());
  copy.endpoint_ = { aCopy.at(1).get<std::string>(),
                     state::readCount<std::uint16_t>(aCopy.at(2)) };
  copy.model_ = state::ModelId(aCopy.at(3).get<std::string>());
  copy.running_ = state::readCount<std::uint32_t>(aCopy.at(4));
  copy.waiting_ = state::readCount<std::uint32_t>(aCopy.at(5));
  copy.slowness_ = decodeSlowness(aCopy.at(6));
  copy.draining_ = aCopy.at(7).get<bool>();
  copy.asOf_ = aNow - decodeMs(aCopy.at(kCopyFields - 1));
  return copy;
}

} // namespace

std::string
encodeZoneDigest(const coordination::ZoneDigest& aDigest, state::TimePoint aNow)
{
  Json copies = Json::array();
  std::size_t bytesLeft = kMaxDigestBytes - kHeadBytes;
  for (const coordination::CopyLoad& copy : aDigest.copies_) {
    Json row = { copy.head_.value(),
                 copy.endpoint_.address_,
                 copy.endpoint_.port_,
                 copy.model_.value(),
                 copy.running_,
                 copy.waiting_,
                 copy.slowness_,
                 copy.draining_,
                 state::countMs(aNow - copy.asOf_) };
    if (!addIfFits(copies, std::move(row), bytesLeft)) {
      break;
    }
  }
  const bool whole =
    aDigest.complete_ && copies.size() == aDigest.copies_.size();
  const Json digest = { aDigest.zone_.value(),
                        aDigest.service_.value(),
                        aDigest.authority_,
                        aDigest.count_,
                        aDigest.sharedRevision_.value(),
                        std::move(copies),
                        whole,
                        aDigest.released_,
                        aDigest.sharedRevision_.era().value(),
                        state::countMs(aNow - aDigest.knownAsOf_) };
  return encodeDatagram(digest);
}

std::optional<coordination::ZoneDigest>
decodeZoneDigest(const std::string& aDatagram, state::TimePoint aNow)
{
  return decodeDatagram(aDatagram, [&](const Json& aMessage) {
    coordination::ZoneDigest result;
    result.zone_ = state::ZoneId(aMessage.at(0).get<std::string>());
    result.service_ = state::ServiceId(aMessage.at(1).get<std::string>());
    result.authority_ = state::readCount<std::uint64_t>(aMessage.at(2));
    result.count_ = state::readCount<std::uint64_t>(aMessage.at(3));
    result.sharedRevision_ = decodeRevision(aMessage, 4, kEraField);
    for (const Json& copy : aMessage.at(5)) {
      result.copies_.push_back(decodeCopy(copy, aNow));
    }
    result.complete_ = aMessage.at(6).get<bool>();
    result.released_ = aMessage.at(7).get<bool>();
    // Daemons of an earlier version do not tell the age.
    result.knownAsOf_ = aMessage.size() > kKnownField
                          ? aNow - decodeMs(aMessage.at(kKnownField))
                          : aNow;
    return result;
  });
}

} // namespace auburnhaven::protocol
