// Stand-in for the platform's key-value service.

#include "store_standin.h"

#include <nlohmann/json.hpp>

#include <array>

namespace auburnhaven::standins {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kMaxValueBytes = 1024UL * 1024; ///< Largest value.

/** @return Answer that shows a lease. */
std::string
leaseBody(const StoreData::Lease& aLease)
{
  return json{
    { "holder", aLease.holder_ }, { "number", aLease.number_ }
  }.dump();
}

} // namespace

StoreStandin::StoreStandin(std::shared_ptr<StoreData> aData)
  : data_(std::move(aData))
{
}

void
StoreStandin::handle(Exchange& aExchange)
{
  /** An operation and its path. */
  struct Operation
  {
    const char* path_;                         ///< Path of the call.
    void (StoreStandin::*handler_)(Exchange&); ///< Answers it.
  };
  static constexpr std::array<Operation, 5> kOperations = { {
    { "/v1/get", &StoreStandin::get },
    { "/v1/cas", &StoreStandin::cas },
    { "/v1/watch", &StoreStandin::watch },
    { "/v1/lease/acquire", &StoreStandin::acquire },
    { "/v1/lease/release", &StoreStandin::release },
  } };
  if (aExchange.path() == "/control") {
    handleControl(aExchange);
    return;
  }
  if (!passFaults(aExchange, faults_)) {
    return;
  }
  for (const Operation& operation : kOperations) {
    if (aExchange.is(http::verb::post, operation.path_)) {
      (this->*operation.handler_)(aExchange);
      return;
    }
  }
  aExchange.reply(404, R"({"error":"no such call"})");
}

void
StoreStandin::handleControl(Exchange& aExchange)
{
  if (!aExchange.body().empty()) {
    setFaults(json::parse(aExchange.body()), faults_);
  }
  json body = toJson(faults_);
  body["reads"] = data_->reads_;
  body["writes"] = data_->writes_;
  body["watches"] = data_->watches_;
  body["lease_calls"] = data_->leaseCalls_;
  aExchange.reply(200, body.dump());
}

void
StoreStandin::answerWrite(Exchange& aExchange,
                          unsigned aStatus,
                          const std::string& aBody)
{
  if (takeLostAnswer(faults_)) {
    aExchange.drop();
    return;
  }
  aExchange.reply(aStatus, aBody);
}

void
StoreStandin::get(Exchange& aExchange)
{
  ++data_->reads_;
  const json request = json::parse(aExchange.body());
  const auto found = data_->items_.find(request.at("key").get<std::string>());
  if (found == data_->items_.end()) {
    aExchange.reply(404);
    return;
  }
  const json body = { { "value", found->second.value_ },
                      { "revision", found->second.revision_ } };
  aExchange.reply(200, body.dump());
}

void
StoreStandin::cas(Exchange& aExchange)
{
  ++data_->writes_;
  json request = json::parse(aExchange.body());
  const auto key = request.at("key").get<std::string>();
  auto value = request.at("value").get<std::string>();
  if (value.size() > kMaxValueBytes) {
    aExchange.reply(413, R"({"error":"value too large"})");
    return;
  }
  const auto found = data_->items_.find(key);
  const std::uint64_t current =
    found == data_->items_.end() ? 0 : found->second.revision_;
  if (current != request.at("expected").get<std::uint64_t>()) {
    aExchange.reply(409, json{ { "revision", current } }.dump());
    return;
  }
  const std::uint64_t revision = data_->nextRevision_++;
  data_->items_[key] = { std::move(value), revision };
  for (const auto& watcher : data_->watchers_[key]) {
    if (const auto timer = watcher.lock()) {
      timer->cancel();
    }
  }
  data_->watchers_.erase(key);
  answerWrite(aExchange, 200, json{ { "revision", revision } }.dump());
}

void
StoreStandin::watch(Exchange& aExchange)
{
  ++data_->watches_;
  const json request = json::parse(aExchange.body());
  const auto key = request.at("key").get<std::string>();
  const auto after = request.at("after").get<std::uint64_t>();
  const milliseconds timeout(request.at("timeout_ms").get<std::int64_t>());
  auto found = data_->items_.find(key);
  if (found == data_->items_.end() || found->second.revision_ <= after) {
    const auto timer =
      std::make_shared<asio::steady_timer>(aExchange.executor(), timeout);
    data_->watchers_[key].push_back(timer);
    boost::system::error_code error;
    timer->async_wait(aExchange.yield()[error]);
    found = data_->items_.find(key);
  }
  // A watch that waited answers under the faults of now.
  if (!passFaults(aExchange, faults_)) {
    return;
  }
  if (found == data_->items_.end() || found->second.revision_ <= after) {
    aExchange.reply(204);
    return;
  }
  const json body = { { "value", found->second.value_ },
                      { "revision", found->second.revision_ } };
  aExchange.reply(200, body.dump());
}

void
StoreStandin::acquire(Exchange& aExchange)
{
  ++data_->leaseCalls_;
  const json request = json::parse(aExchange.body());
  const auto holder = request.at("holder").get<std::string>();
  const milliseconds ttl(request.at("ttl_ms").get<std::int64_t>());
  StoreData::Lease& lease =
    data_->leases_[request.at("name").get<std::string>()];
  const bool free =
    lease.holder_.empty() || steady_clock::now() >= lease.until_;
  if (!free && lease.holder_ != holder) {
    aExchange.reply(409, leaseBody(lease));
    return;
  }
  // A lapsed lease counts as a change also when its old holder takes it again.
  lease.number_ += free ? 1 : 0;
  lease.holder_ = holder;
  lease.until_ = steady_clock::now() + ttl;
  answerWrite(aExchange, 200, leaseBody(lease));
}

void
StoreStandin::release(Exchange& aExchange)
{
  ++data_->leaseCalls_;
  const json request = json::parse(aExchange.body());
  StoreData::Lease& lease =
    data_->leases_[request.at("name").get<std::string>()];
  if (lease.holder_ != request.at("holder").get<std::string>()) {
    aExchange.reply(409, leaseBody(lease));
    return;
  }
  lease.holder_.clear();
  answerWrite(aExchange, 200, leaseBody(lease));
}

} // namespace auburnhaven::standins
