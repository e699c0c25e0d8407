// Stand-in for a plain service that records each run of each key.

#include "service_standin.h"

#include <nlohmann/json.hpp>

namespace auburnhaven::standins {

using nlohmann::json;

ServiceStandin::ServiceStandin(std::shared_ptr<ServiceRuns> aRuns)
  : runs_(std::move(aRuns))
{
}

void
ServiceStandin::handle(Exchange& aExchange)
{
  if (aExchange.path() == "/control") {
    if (!aExchange.body().empty()) {
      setFaults(json::parse(aExchange.body()), faults_);
    }
    aExchange.reply(200, toJson(faults_).dump());
    return;
  }
  if (aExchange.is(http::verb::get, "/runs")) {
    showRuns(aExchange);
    return;
  }
  if (!passFaults(aExchange, faults_)) {
    return;
  }
  const std::string path = aExchange.path();
  if (path.rfind("/v1/services/", 0) == 0) {
    run(aExchange);
    return;
  }
  aExchange.reply(404, R"({"error":"no such call"})");
}

void
ServiceStandin::run(Exchange& aExchange)
{
  const std::string key = aExchange.header("Idempotency-Key");
  const std::string name = aExchange.path() + (key.empty() ? "" : "#" + key);
  const std::uint64_t runs = ++(*runs_)[name];
  ++count_;
  if (takeLostAnswer(faults_)) {
    aExchange.drop();
    return;
  }
  const json body = { { "path", aExchange.path() },
                      { "key", key },
                      { "runs", runs },
                      { "echo", aExchange.body() } };
  aExchange.reply(200, body.dump());
}

void
ServiceStandin::showRuns(Exchange& aExchange)
{
  json list = json::array();
  std::uint64_t doubled = 0;
  for (const auto& [name, runs] : *runs_) {
    const std::size_t mark = name.find('#');
    const bool keyed = mark != std::string::npos;
    list.push_back({ { "path", name.substr(0, mark) },
                     { "key", keyed ? name.substr(mark + 1) : "" },
                     { "runs", runs } });
    doubled += keyed && runs > 1 ? 1 : 0;
  }
  const json body = { { "runs", list },
                      { "doubled_keys", doubled },
                      { "this_instance", count_ } };
  aExchange.reply(200, body.dump());
}

} // namespace auburnhaven::standins
