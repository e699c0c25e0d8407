// Encodes domain summaries as JSON text.

#include "coordination/group/domain_summary_codec.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace auburnhaven::coordination {

namespace {

using Json = nlohmann::json;

Json
encodeCopy(const CopySummary& aCopy)
{
  return { { "group", aCopy.id_.group_.value() },
           { "index", aCopy.id_.index_ },
           { "vms", aCopy.vms_ },
           { "complete", aCopy.complete_ },
           { "open", aCopy.open_ },
           { "outdated", aCopy.outdated_ },
           { "reason", aCopy.closedReason_ },
           { "head", aCopy.head_.value() },
           { "fencing", aCopy.fencing_.value() },
           { "load",
             { aCopy.load_.running_,
               aCopy.load_.queued_,
               aCopy.load_.slots_,
               aCopy.load_.tokensPerSecond_ } },
           { "slowdown", aCopy.slowdownPermille_ } };
}

CopySummary
decodeCopy(const Json& aJson)
{
  CopySummary copy;
  copy.id_ = { state::GroupId(aJson.at("group").get<std::string>()),
               aJson.at("index").get<std::uint32_t>() };
  copy.vms_ = aJson.at("vms").get<std::uint32_t>();
  copy.complete_ = aJson.at("complete").get<bool>();
  copy.open_ = aJson.at("open").get<bool>();
  copy.outdated_ = aJson.at("outdated").get<bool>();
  copy.closedReason_ = aJson.at("reason").get<std::string>();
  copy.head_ = state::VmId(aJson.at("head").get<std::string>());
  copy.fencing_ =
    state::FencingNumber(aJson.at("fencing").get<std::uint64_t>());
  const Json& load = aJson.at("load");
  copy.load_ = { load.at(0).get<std::uint32_t>(),
                 load.at(1).get<std::uint32_t>(),
                 load.at(2).get<std::uint32_t>(),
                 load.at(3).get<std::uint32_t>() };
  copy.slowdownPermille_ = aJson.at("slowdown").get<std::uint32_t>();
  return copy;
}

} // namespace

std::string
encodeDomainSummary(const DomainSummary& aSummary)
{
  Json copies = Json::array();
  for (const CopySummary& copy : aSummary.copies_) {
    copies.push_back(encodeCopy(copy));
  }
  const Json json{ { "domain", aSummary.domain_.value() },
                   { "zone", aSummary.zone_.value() },
                   { "coordinator", aSummary.coordinator_.value() },
                   { "usable", aSummary.usable_ },
                   { "version", aSummary.version_ },
                   { "copies", std::move(copies) } };
  return json.dump();
}

state::leaf::result<DomainSummary>
decodeDomainSummary(std::string_view aText)
{
  DomainSummary summary;
  try {
    const Json json = Json::parse(aText);
    summary.domain_ = state::DomainId(json.at("domain").get<std::string>());
    summary.zone_ = state::ZoneId(json.at("zone").get<std::string>());
    summary.coordinator_ =
      state::DaemonId(json.at("coordinator").get<std::string>());
    summary.usable_ = json.at("usable").get<std::uint32_t>();
    summary.version_ = json.at("version").get<std::uint64_t>();
    for (const Json& copy : json.at("copies")) {
      summary.copies_.push_back(decodeCopy(copy));
    }
  } catch (const std::exception& error) {
    return state::leaf::new_error(
      state::InputErrors{ { { "domain summary", 0, {}, error.what() } } });
  }
  return summary;
}

} // namespace auburnhaven::coordination
