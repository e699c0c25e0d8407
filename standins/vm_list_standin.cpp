// Stand-in for the platform's list of VMs.

#include "vm_list_standin.h"

#include <nlohmann/json.hpp>

namespace auburnhaven::standins {

using nlohmann::json;

namespace {

/** @return One line of the list. */
json
toJson(const state::VmInfo& aVm)
{
  const bool leaving = aVm.listing_ == state::VmListing::kLeaving;
  return { { "id", aVm.id_.value() },
           { "zone", aVm.zone_.value() },
           { "domain", aVm.domain_.value() },
           { "address", aVm.endpoint_.address_ },
           { "port", aVm.endpoint_.port_ },
           { "accelerators", aVm.accelerators_ },
           { "listing", leaving ? "leaving" : "live" },
           { "checks_fencing", aVm.checksFencing_ } };
}

} // namespace

VmListStandin::VmListStandin(const std::vector<state::VmInfo>& aVms)
{
  for (const state::VmInfo& vm : aVms) {
    rows_.push_back({ vm, false });
  }
}

void
VmListStandin::handle(Exchange& aExchange)
{
  if (aExchange.path() == "/control") {
    handleControl(aExchange);
    return;
  }
  if (!passFaults(aExchange, faults_)) {
    return;
  }
  if (aExchange.is(http::verb::get, "/v1/vms")) {
    list(aExchange);
    return;
  }
  aExchange.reply(404, R"({"error":"no such call"})");
}

void
VmListStandin::handleControl(Exchange& aExchange)
{
  const json request =
    aExchange.body().empty() ? json::object() : json::parse(aExchange.body());
  setFaults(request, faults_);
  const std::string vm = request.value("vm", "");
  const std::string listing = request.value("listing", "live");
  bool known = vm.empty();
  for (Row& row : rows_) {
    if (row.vm_.id_.value() != vm) {
      continue;
    }
    known = true;
    row.gone_ = listing == "gone";
    row.vm_.listing_ = listing == "leaving" ? state::VmListing::kLeaving
                                            : state::VmListing::kLive;
  }
  aExchange.reply(known ? 200 : 404, standins::toJson(faults_).dump());
}

void
VmListStandin::list(Exchange& aExchange)
{
  const std::string zone = aExchange.query("zone");
  json vms = json::array();
  for (const Row& row : rows_) {
    if (!row.gone_ && (zone.empty() || row.vm_.zone_.value() == zone)) {
      vms.push_back(toJson(row.vm_));
    }
  }
  aExchange.reply(200, json{ { "vms", vms } }.dump());
}

} // namespace auburnhaven::standins
