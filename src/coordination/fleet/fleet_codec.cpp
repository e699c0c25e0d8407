// Encodes the shared entries that the fleet components publish.

#include "coordination/fleet/fleet_codec.h"

#include "state/digest_func.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace auburnhaven::coordination {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kHashBytes = 5; ///< Encoded size of a VM hash.

std::string
toBytes(const Json& aJson)
{
  std::string bytes;
  Json::to_cbor(aJson, bytes);
  return bytes;
}

Json
toJson(const PeerAddress& aAddress)
{
  return Json::array({ aAddress.id_.value(),
                       aAddress.endpoint_.address_,
                       aAddress.endpoint_.port_,
                       aAddress.incarnation_.value() });
}

PeerAddress
toAddress(const Json& aJson, const state::ZoneId& aZone)
{
  return { state::DaemonId(aJson.at(0).get<std::string>()),
           aZone,
           { aJson.at(1).get<std::string>(), aJson.at(2).get<std::uint16_t>() },
           state::Incarnation(aJson.at(3).get<std::uint64_t>()) };
}

} // namespace

VmHash
hashVm(const state::VmId& aVm)
{
  constexpr std::uint64_t kMask = (1ULL << (8 * kHashBytes)) - 1;
  return state::stableHash(aVm.value()) & kMask;
}

std::string
encodeDaemon(const PeerAddress& aAddress)
{
  return toBytes(Json::array({ aAddress.zone_.value(),
                               aAddress.endpoint_.address_,
                               aAddress.endpoint_.port_ }));
}

std::optional<PeerAddress>
decodeDaemon(const SharedEntry& aEntry)
{
  try {
    const Json json = Json::from_cbor(aEntry.payload_, true, false);
    return PeerAddress{ state::DaemonId(aEntry.key_.name_),
                        state::ZoneId(json.at(0).get<std::string>()),
                        { json.at(1).get<std::string>(),
                          json.at(2).get<std::uint16_t>() },
                        state::Incarnation(aEntry.version_.major_) };
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string
encodeObservedSet(const std::vector<VmHash>& aVms)
{
  std::string payload;
  payload.reserve(aVms.size() * kHashBytes);
  for (const VmHash vm : aVms) {
    for (std::size_t byte = 0; byte < kHashBytes; ++byte) {
      payload += static_cast<char>((vm >> (8 * byte)) & 0xFFU);
    }
  }
  return payload;
}

std::vector<VmHash>
decodeObservedSet(const std::string& aPayload)
{
  std::vector<VmHash> vms(aPayload.size() / kHashBytes);
  for (std::size_t offset = 0; offset < vms.size() * kHashBytes; ++offset) {
    const auto byte = static_cast<unsigned char>(aPayload[offset]);
    vms[offset / kHashBytes] |= VmHash{ byte } << (8 * (offset % kHashBytes));
  }
  return vms;
}

std::string
encodeZoneSummary(const ZoneSummary& aSummary)
{
  Json daemons = Json::array();
  for (const PeerAddress& address : aSummary.daemons_) {
    daemons.push_back(toJson(address));
  }
  Json behind = Json::array();
  for (const state::DaemonId& id : aSummary.behind_) {
    behind.push_back(id.value());
  }
  return toBytes(Json::array({ std::move(daemons),
                               aSummary.live_,
                               aSummary.generation_.value(),
                               std::move(behind) }));
}

std::optional<ZoneSummary>
decodeZoneSummary(const SharedEntry& aEntry)
{
  try {
    const Json json = Json::from_cbor(aEntry.payload_, true, false);
    ZoneSummary summary;
    summary.zone_ = state::ZoneId(aEntry.key_.name_);
    for (const Json& address : json.at(0)) {
      summary.daemons_.push_back(toAddress(address, summary.zone_));
    }
    summary.live_ = json.at(1).get<std::uint32_t>();
    summary.generation_ = state::Generation(json.at(2).get<std::uint64_t>());
    for (const Json& id : json.at(3)) {
      summary.behind_.emplace_back(id.get<std::string>());
    }
    return summary;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace auburnhaven::coordination
