// Text form of domain records as the store and the daemons exchange it.

#include "state/domain_record_codec.h"

#include "state/domain_record_func.h"

#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>
#include <utility>

namespace auburnhaven::state {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<AssignmentKind, const char*>, 4> kKindNames{ {
  { AssignmentKind::kSpare, "spare" },
  { AssignmentKind::kMember, "member" },
  { AssignmentKind::kReserve, "reserve" },
  { AssignmentKind::kWithdrawn, "withdrawn" },
} };

const char*
nameOf(AssignmentKind aKind)
{
  for (const auto& [kind, name] : kKindNames) {
    if (kind == aKind) {
      return name;
    }
  }
  return "";
}

AssignmentKind
kindOf(const std::string& aName)
{
  for (const auto& [kind, name] : kKindNames) {
    if (aName == name) {
      return kind;
    }
  }
  throw std::invalid_argument("unknown kind of assignment '" + aName + "'");
}

Json
encodeCopy(const CopyRecord& aCopy)
{
  Json members = Json::array();
  for (const VmId& vm : aCopy.members_) {
    members.push_back(vm.value());
  }
  return {
    { "group", aCopy.id_.group_.value() }, { "index", aCopy.id_.index_ },
    { "fencing", aCopy.fencing_.value() }, { "model", aCopy.model_ },
    { "version", aCopy.version_ },         { "adapters", aCopy.adapters_ },
    { "members", std::move(members) }
  };
}

CopyRecord
decodeCopy(const Json& aJson)
{
  CopyRecord copy;
  copy.id_ = { GroupId(aJson.at("group").get<std::string>()),
               aJson.at("index").get<std::uint32_t>() };
  copy.fencing_ = FencingNumber(aJson.at("fencing").get<std::uint64_t>());
  copy.model_ = aJson.at("model").get<std::string>();
  copy.version_ = aJson.at("version").get<std::string>();
  copy.adapters_ = aJson.at("adapters").get<std::vector<std::string>>();
  for (const Json& member : aJson.at("members")) {
    copy.members_.emplace_back(member.get<std::string>());
  }
  return copy;
}

Json
encodeAssignment(const Assignment& aAssignment)
{
  Json json{ { "kind", nameOf(aAssignment.kind_) } };
  if (!aAssignment.copy_.group_.empty()) {
    json["group"] = aAssignment.copy_.group_.value();
    json["index"] = aAssignment.copy_.index_;
    json["rank"] = aAssignment.rank_;
  }
  if (!aAssignment.reason_.empty()) {
    json["reason"] = aAssignment.reason_;
  }
  if (aAssignment.preload_) {
    json["preload"] = true;
  }
  return json;
}

Assignment
decodeAssignment(const Json& aJson)
{
  Assignment assignment;
  assignment.kind_ = kindOf(aJson.at("kind").get<std::string>());
  assignment.copy_ = { GroupId(aJson.value("group", std::string())),
                       aJson.value("index", 0U) };
  assignment.rank_ = aJson.value("rank", 0U);
  assignment.reason_ = aJson.value("reason", std::string());
  assignment.preload_ = aJson.value("preload", false);
  return assignment;
}

DomainRecord
decodeFields(const Json& aJson)
{
  DomainRecord record;
  record.domain_ = DomainId(aJson.at("domain").get<std::string>());
  record.zone_ = ZoneId(aJson.at("zone").get<std::string>());
  record.version_ = aJson.at("version").get<std::uint64_t>();
  for (const Json& json : aJson.at("copies")) {
    CopyRecord copy = decodeCopy(json);
    record.copies_[copy.id_] = std::move(copy);
  }
  for (const auto& [vm, json] : aJson.at("assignments").items()) {
    record.assignments_[VmId(vm)] = decodeAssignment(json);
  }
  return record;
}

leaf::error_id
inputError(const std::string& aSource, std::string aMessage)
{
  return leaf::new_error(
    InputErrors{ { { aSource, 0, {}, std::move(aMessage) } } });
}

} // namespace

std::string
encodeDomainRecord(const DomainRecord& aRecord)
{
  Json copies = Json::array();
  for (const auto& [id, copy] : aRecord.copies_) {
    copies.push_back(encodeCopy(copy));
  }
  Json assignments = Json::object();
  for (const auto& [vm, assignment] : aRecord.assignments_) {
    assignments[vm.value()] = encodeAssignment(assignment);
  }
  const Json json{ { "domain", aRecord.domain_.value() },
                   { "zone", aRecord.zone_.value() },
                   { "version", aRecord.version_ },
                   { "copies", std::move(copies) },
                   { "assignments", std::move(assignments) } };
  return json.dump();
}

leaf::result<DomainRecord>
decodeDomainRecord(std::string_view aText, const std::string& aSource)
{
  DomainRecord record;
  try {
    record = decodeFields(Json::parse(aText));
  } catch (const std::exception& error) {
    return inputError(aSource, error.what());
  }
  std::string fault = brokenInvariant(record);
  if (!fault.empty()) {
    return inputError(aSource, std::move(fault));
  }
  return record;
}

} // namespace auburnhaven::state
