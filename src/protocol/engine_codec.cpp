// JSON bodies of the calls to model engines and to the VM list.

#include "protocol/engine_codec.h"

#include "protocol/json_reader.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>
#include <sstream>
#include <utility>

namespace auburnhaven::protocol {

using Json = nlohmann::json;

namespace {

/** A phase and its name. */
struct PhaseName
{
  std::string_view name_;    ///< Name in the report.
  state::EnginePhase phase_; ///< The phase.
};

constexpr std::array<PhaseName, 4> kPhases{ {
  { "idle", state::EnginePhase::kIdle },
  { "loading", state::EnginePhase::kLoading },
  { "ready", state::EnginePhase::kReady },
  { "failed", state::EnginePhase::kFailed },
} };

/** @return Text that is valid UTF-8; bytes that are not are replaced. */
std::string
dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json
encodeRole(const state::EngineRole& aRole)
{
  if (aRole.copy_.group_.empty()) {
    return nullptr;
  }
  return { { "group", aRole.copy_.group_.value() },
           { "copy", aRole.copy_.index_ },
           { "rank", aRole.rank_ },
           { "fencing", aRole.fencing_.value() },
           { "model", aRole.model_ },
           { "version", aRole.version_ },
           { "adapters", aRole.adapters_ } };
}

state::EngineRole
decodeRole(const JsonReader& aReader)
{
  state::EngineRole role;
  role.copy_ = { state::GroupId(aReader.text("group")),
                 aReader.number32("copy") };
  role.rank_ = aReader.number32("rank");
  role.fencing_ = state::FencingNumber(aReader.number("fencing"));
  role.model_ = aReader.text("model");
  role.version_ = aReader.text("version");
  role.adapters_ = aReader.texts("adapters");
  return role;
}

state::EngineLoad
decodeLoad(const JsonReader& aReader)
{
  state::EngineLoad load;
  load.running_ = aReader.number32("running");
  load.queued_ = aReader.number32("queued");
  load.slots_ = aReader.number32("slots");
  load.tokensPerSecond_ = aReader.number32("tokens_per_second");
  return load;
}

state::EnginePhase
decodePhase(const JsonReader& aReader)
{
  const std::string name = aReader.text("phase");
  for (const PhaseName& known : kPhases) {
    if (known.name_ == name) {
      return known.phase_;
    }
  }
  aReader.fail("phase", "is not known");
  return state::EnginePhase::kIdle;
}

state::VmInfo
decodeVm(const JsonReader& aReader)
{
  state::VmInfo vm;
  vm.id_ = state::VmId(aReader.text("id"));
  vm.zone_ = state::ZoneId(aReader.text("zone"));
  vm.domain_ = state::DomainId(aReader.text("domain"));
  vm.endpoint_.address_ = aReader.text("address");
  vm.endpoint_.port_ = static_cast<std::uint16_t>(
    aReader.number("port", std::numeric_limits<std::uint16_t>::max()));
  vm.accelerators_ = aReader.number32("accelerators");
  const std::string listing = aReader.text("listing");
  vm.listing_ =
    listing == "leaving" ? state::VmListing::kLeaving : state::VmListing::kLive;
  if (listing != "live" && listing != "leaving") {
    aReader.fail("listing", "must be live or leaving");
  }
  vm.checksFencing_ = aReader.flag("checks_fencing");
  return vm;
}

} // namespace

std::string
encodeOrder(const coordination::EngineOrder& aOrder)
{
  Json members = Json::array();
  for (const state::Endpoint& member : aOrder.members_) {
    std::ostringstream text;
    text << member;
    members.push_back(text.str());
  }
  return dump({ { "fencing", aOrder.fencing_.value() },
                { "role", encodeRole(aOrder.role_) },
                { "members", std::move(members) } });
}

leaf::result<state::VmReport>
decodeReport(std::string_view aBody)
{
  const JsonReader reader = JsonReader::parse("engine report", aBody);
  state::VmReport report;
  report.vm_ = state::VmId(reader.text("vm"));
  report.incarnation_ = state::Incarnation(reader.number("incarnation"));
  report.count_ = reader.number("count");
  report.phase_ = decodePhase(reader);
  if (reader.has("role")) {
    report.role_ = decodeRole(reader.object("role"));
  }
  report.load_ = decodeLoad(reader.object("load"));
  return reader.finish(std::move(report));
}

leaf::result<CacheEvents>
decodeCacheEvents(std::string_view aBody)
{
  const JsonReader reader = JsonReader::parse("engine cache events", aBody);
  CacheEvents events;
  events.next_ = reader.number("next");
  for (const JsonReader& item : reader.objects("events")) {
    events.events_.push_back({ item.text("hash"), item.flag("stored") });
  }
  return reader.finish(std::move(events));
}

leaf::result<std::vector<state::VmInfo>>
decodeVms(std::string_view aBody)
{
  const JsonReader reader = JsonReader::parse("VM list", aBody);
  std::vector<state::VmInfo> vms;
  for (const JsonReader& item : reader.objects("vms")) {
    vms.push_back(decodeVm(item));
  }
  return reader.finish(std::move(vms));
}

} // namespace auburnhaven::protocol
