// Compact encoding of VM list lines and of what VM reports state.

#include "state/vm_report_codec.h"

#include <nlohmann/json.hpp>

namespace auburnhaven::state {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kInfoFields = 7;  ///< Fields of an encoded VM list line.
constexpr std::size_t kStateFields = 8; ///< Fields of an encoded state.

/** @return The CBOR bytes of an array as a string. */
std::string
toBytes(const Json& aArray)
{
  std::string bytes;
  Json::to_cbor(aArray, bytes);
  return bytes;
}

/** @return The array, or null when the bytes are no array of that size. */
Json
toArray(const std::string& aBytes, std::size_t aSize)
{
  Json array = Json::from_cbor(aBytes, true, false);
  const bool valid = array.is_array() && array.size() == aSize;
  return valid ? array : Json();
}

} // namespace

std::string
encodeVmInfo(const VmInfo& aInfo)
{
  return toBytes(Json::array({ aInfo.zone_.value(),
                               aInfo.domain_.value(),
                               aInfo.endpoint_.address_,
                               aInfo.endpoint_.port_,
                               aInfo.accelerators_,
                               static_cast<int>(aInfo.listing_),
                               aInfo.checksFencing_ }));
}

std::optional<VmInfo>
decodeVmInfo(const VmId& aVm, const std::string& aBytes)
{
  try {
    const Json array = toArray(aBytes, kInfoFields);
    const auto listing = array.at(5).get<std::uint8_t>();
    if (listing > static_cast<std::uint8_t>(VmListing::kLeaving)) {
      return std::nullopt;
    }
    VmInfo info;
    info.id_ = aVm;
    info.zone_ = ZoneId(array.at(0).get<std::string>());
    info.domain_ = DomainId(array.at(1).get<std::string>());
    info.endpoint_.address_ = array.at(2).get<std::string>();
    info.endpoint_.port_ = array.at(3).get<std::uint16_t>();
    info.accelerators_ = array.at(4).get<std::uint32_t>();
    info.listing_ = static_cast<VmListing>(listing);
    info.checksFencing_ = array.at(6).get<bool>();
    return info;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string
encodeVmState(const VmReport& aReport)
{
  const EngineRole& role = aReport.role_;
  return toBytes(Json::array({ static_cast<int>(aReport.phase_),
                               role.copy_.group_.value(),
                               role.copy_.index_,
                               role.rank_,
                               role.fencing_.value(),
                               role.model_,
                               role.version_,
                               role.adapters_ }));
}

std::optional<VmReport>
decodeVmState(const VmId& aVm, const std::string& aBytes)
{
  try {
    const Json array = toArray(aBytes, kStateFields);
    const auto phase = array.at(0).get<std::uint8_t>();
    if (phase > static_cast<std::uint8_t>(EnginePhase::kFailed)) {
      return std::nullopt;
    }
    VmReport report;
    report.vm_ = aVm;
    report.phase_ = static_cast<EnginePhase>(phase);
    report.role_.copy_.group_ = GroupId(array.at(1).get<std::string>());
    report.role_.copy_.index_ = array.at(2).get<std::uint32_t>();
    report.role_.rank_ = array.at(3).get<std::uint32_t>();
    report.role_.fencing_ = FencingNumber(array.at(4).get<std::uint64_t>());
    report.role_.model_ = array.at(5).get<std::string>();
    report.role_.version_ = array.at(6).get<std::string>();
    report.role_.adapters_ = array.at(7).get<std::vector<std::string>>();
    return report;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace auburnhaven::state
