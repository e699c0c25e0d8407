// The users' platform on loopback: store, workers and operator.

#include "platform/platform_world.h"

#include <boost/asio/signal_set.hpp>

#include <sstream>

namespace auburnhaven::standins {

using nlohmann::json;

namespace {

constexpr char kModelService[] = "hosted-models"; ///< Service of the models.
constexpr char kPlainService[] = "orders";        ///< Plain service.
constexpr char kHost[] = "shop.example";          ///< Host of all routes.
constexpr std::uint64_t kVersionStep = 3; ///< Versions grow in such steps.

/** @return A route of the operator's configuration. */
json
route(const char* aName, const char* aKind, const char* aService)
{
  return { { "name", aName },
           { "hostname", kHost },
           { "prefix", std::string("/") + aName + "/" },
           { "route_type", aKind },
           { "backend", aService },
           { "timeout_ms", 8000 },
           { "target_latency_ms", 500 },
           { "target_itl_ms", 300 },
           { "priority", 1 },
           { "max_attempts", 2 },
           { "public", false } };
}

/** @return A model of the operator's configuration. */
json
model(const char* aName, unsigned aSize, double aShare)
{
  return { { "name", aName }, { "size", aSize }, { "work_share", aShare },
           { "pace", 1.0 },   { "warm_s", 0.2 }, { "load_time_s", 0.6 } };
}

} // namespace

PlatformWorld::PlatformWorld(const PlatformOptions& aOptions)
  : options_(aOptions)
  , store_(context_)
  , config_(firstConfig())
{
  listenHttp(context_,
             options_.basePort_ + kKvPort,
             [this](Exchange& aExchange) { store_.handle(aExchange); });
  listenHttp(context_,
             options_.basePort_ + kOperatorPort,
             [this](Exchange& aExchange) { handleOperator(aExchange); });
  hostWorkers();
  submit();
}

void
PlatformWorld::hostWorkers()
{
  std::uint16_t port = options_.basePort_ + kModelPort;
  for (const std::string& zone : options_.zones_) {
    for (std::uint32_t index = 0; index < options_.workersPerZone_; ++index) {
      const std::string id = "m-" + zone + '-' + std::to_string(index);
      auto& worker = models_[id];
      worker = std::make_unique<ModelWorker>(
        context_,
        WorkerPlace{ id, kModelService, zone, zone + "-fabric", port },
        options_.pace_,
        models_,
        store_,
        book_);
      listenHttp(context_, port++, [&worker = *worker](Exchange& aExchange) {
        worker.handle(aExchange);
      });
    }
  }
  port = options_.basePort_ + kPlainPort;
  for (std::uint32_t index = 0; index < options_.plainWorkers_; ++index) {
    const std::string id = "p-" + std::to_string(index);
    const std::string& zone = options_.zones_[index % options_.zones_.size()];
    plains_.push_back(std::make_unique<PlainWorker>(
      WorkerPlace{ id, kPlainService, zone, "", port },
      options_.plainSlots_,
      book_));
    store_.put("servers/" + id, plains_.back()->entry());
    listenHttp(
      context_, port++, [&worker = *plains_.back()](Exchange& aExchange) {
        worker.handle(aExchange);
      });
  }
}

json
PlatformWorld::firstConfig() const
{
  json draft = route("draft", "streaming", kModelService);
  draft["stream_resume"] = true;
  draft["session_affinity"] = true;
  const json runtime = {
    { "batch_slots", options_.pace_.slots_ },
    { "kv_capacity", 1000000 },
    { "step_ms", static_cast<double>(options_.pace_.event_.count()) / 5 },
    { "per_seq_ms", 0.0 },
    { "context_per_k", 0.0 },
    { "read_per_s", 46000.0 },
    { "pairs_per_m", 0.0 },
    { "report_lag_ms", 50 },
    { "loads_per_s", 20 },
    { "loads_at_once", 20 },
    { "usual", { { "prompt", 800 }, { "answer", 100 } } },
    { "batch_form_ms", options_.pace_.open_.count() },
    { "model_list",
      json::array({ model("large", 4, 0.6), model("small", 2, 0.4) }) }
  };
  return { { "version", 5 },
           { "route_table",
             json::array(
               { draft,
                 route("lookup", "idempotent", kPlainService),
                 route("confirm", "non_idempotent", kPlainService) }) },
           { "backends",
             json::array({ { { "name", kModelService },
                             { "health_check_path", "/healthz" },
                             { "max_connections", 500 },
                             { "runtime", runtime } },
                           { { "name", kPlainService },
                             { "health_check_path", "/healthz" },
                             { "max_connections", 100 } } }) },
           { "tenants",
             json::array({ { { "name", "shop-0" },
                             { "api_keys", json::array({ "key-of-shop-0" }) },
                             { "priority", 1 } } }) },
           { "limits",
             { { "max_header_bytes", 8192 },
               { "max_body_bytes", 1048576 },
               { "header_timeout_ms", 5000 },
               { "idle_timeout_ms", 20000 } } } };
}

void
PlatformWorld::submit()
{
  store_.put("op/config", config_.dump());
}

json
PlatformWorld::checks() const
{
  std::uint32_t open = 0;
  for (const auto& [id, worker] : models_) {
    open += worker->isOpenHead() && worker->isWhole() ? 1 : 0;
  }
  return { { "open_copies", open },
           { "ordered_away", book_.orderedAway_ },
           { "partial", book_.partial_ },
           { "taken", book_.taken_ },
           { "repeated", book_.repeated_ } };
}

json
PlatformWorld::runsOf(const std::string& aAttempt) const
{
  const auto runs = book_.runs_.find(aAttempt);
  const auto account = book_.accounts_.find(aAttempt);
  const auto times = book_.times_.find(aAttempt);
  const RunTimes none;
  const RunTimes& when = times == book_.times_.end() ? none : times->second;
  return { { "runs", runs == book_.runs_.end() ? 0 : runs->second },
           { "account",
             account == book_.accounts_.end() ? "" : account->second },
           { "begun_ms", when.begunMs_ },
           { "ended_ms", when.endedMs_ },
           { "broke_off_ms", when.brokeOffMs_ },
           { "ordered_away_ms", when.orderedAwayMs_ } };
}

void
PlatformWorld::handleOperator(Exchange& aExchange)
{
  const std::string path = aExchange.path();
  if (path == "/config") {
    if (!aExchange.body().empty()) {
      config_.merge_patch(json::parse(aExchange.body()));
      config_["version"] =
        config_["version"].get<std::uint64_t>() + kVersionStep;
      submit();
    }
    aExchange.reply(200, config_.dump());
  } else if (path == "/checks") {
    aExchange.reply(200, checks().dump());
  } else if (path == "/workers") {
    json workers = json::array();
    for (const auto& [id, worker] : models_) {
      workers.push_back(worker->describe());
    }
    aExchange.reply(200, workers.dump());
  } else if (path == "/runs" && !aExchange.body().empty()) {
    json all = json::object();
    for (const json& attempt : json::parse(aExchange.body())) {
      const auto name = attempt.get<std::string>();
      all[name] = runsOf(name);
    }
    aExchange.reply(200, all.dump());
  } else if (path == "/runs") {
    aExchange.reply(200, runsOf(aExchange.query("attempt")).dump());
  } else if (path == "/arrivals") {
    aExchange.reply(200,
                    std::to_string(book_.arrivals_[aExchange.query("worker")]));
  } else if (path == "/key") {
    aExchange.reply(
      200,
      json{ { "value", store_.find(aExchange.query("name")).value_or("") } }
        .dump());
  } else {
    aExchange.reply(404, R"({"error":"no such path"})");
  }
}

std::string
PlatformWorld::plan() const
{
  std::ostringstream text;
  text << "store 127.0.0.1:" << options_.basePort_ + kKvPort << '\n'
       << "operator 127.0.0.1:" << options_.basePort_ + kOperatorPort << '\n';
  for (const auto& [id, worker] : models_) {
    text << "worker " << id << " 127.0.0.1:" << worker->place().port_ << '\n';
  }
  for (std::size_t index = 0; index < plains_.size(); ++index) {
    text << "worker p-" << index
         << " 127.0.0.1:" << options_.basePort_ + kPlainPort + index << '\n';
  }
  return text.str();
}

void
PlatformWorld::run()
{
  asio::signal_set signals(context_, SIGTERM, SIGINT);
  signals.async_wait(
    [this](const boost::system::error_code&, int) { context_.stop(); });
  context_.run();
}

} // namespace auburnhaven::standins
