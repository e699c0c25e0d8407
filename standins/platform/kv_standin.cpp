// Stand-in for the store of the users' platform.

#include "platform/kv_standin.h"

#include "protocol/base64_func.h"

#include <array>
#include <string_view>

namespace auburnhaven::standins {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kHistory = 4096;    ///< Changes kept for watches.
constexpr std::size_t kPage = 50;         ///< Items of one page; few, so that
                                          ///< callers meet several pages.
constexpr milliseconds kExpiryPeriod(20); ///< Between two looks at leases.
constexpr std::string_view kKeepPath = "/v1/kv-keep/";     ///< Renewal.
constexpr std::string_view kEndPath = "/v1/kv-lease-end/"; ///< Early end.

/** @return The number at the end of a path. */
std::uint64_t
numberAfter(const std::string& aPath, std::string_view aStart)
{
  const std::string text = aPath.substr(aStart.size());
  const bool valid =
    !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
  return valid ? std::stoull(text) : 0;
}

/** @return Whether only the platform itself may write a key. */
bool
isReserved(const std::string& aKey)
{
  return aKey.starts_with("op/") || aKey.starts_with("servers/");
}

} // namespace

KvStandin::KvStandin(asio::io_context& aContext)
  : expiry_(aContext)
{
  watchLeases();
}

void
KvStandin::handle(Exchange& aExchange)
{
  /** An operation, its method and its path. */
  struct Operation
  {
    http::verb method_;                     ///< Method of the call.
    std::string_view path_;                 ///< Path, or its start.
    bool whole_;                            ///< Whether it is the whole path.
    void (KvStandin::*handler_)(Exchange&); ///< Answers it.
  };
  static constexpr std::array<Operation, 7> kOperations = { {
    { http::verb::get, "/v1/kv-key", true, &KvStandin::read },
    { http::verb::get, "/v1/kv-range", true, &KvStandin::range },
    { http::verb::get, "/v1/kv-watch", true, &KvStandin::watch },
    { http::verb::post, "/v1/kv-txn", true, &KvStandin::change },
    { http::verb::post, "/v1/kv-lease", true, &KvStandin::lease },
    { http::verb::post, kKeepPath, false, &KvStandin::keep },
    { http::verb::delete_, kEndPath, false, &KvStandin::endLease },
  } };
  if (aExchange.path() == "/control") {
    handleControl(aExchange);
    return;
  }
  ++calls_;
  if (!passFaults(aExchange, faults_)) {
    return;
  }
  expire();
  for (const Operation& operation : kOperations) {
    const std::string path = aExchange.path();
    const bool matches = operation.whole_ ? path == operation.path_
                                          : path.starts_with(operation.path_);
    if (matches && aExchange.method() == operation.method_) {
      (this->*operation.handler_)(aExchange);
      return;
    }
  }
  aExchange.reply(404, R"({"error":"no such call"})");
}

void
KvStandin::handleControl(Exchange& aExchange)
{
  if (!aExchange.body().empty()) {
    const json wish = json::parse(aExchange.body());
    setFaults(wish, faults_);
    if (wish.value("copy", false)) {
      copy_ = data_;
    }
    if (wish.value("restore", false)) {
      restore();
    }
    if (wish.value("forget", false)) {
      data_.history_.clear();
      data_.forgotten_ = data_.revision_;
    }
  }
  json body = toJson(faults_);
  body["calls"] = calls_;
  body["revision"] = data_.revision_;
  aExchange.reply(200, body.dump());
}

void
KvStandin::restore()
{
  data_ = copy_;
  ++era_;
  for (auto& [id, lease] : data_.leases_) {
    lease.until_ = steady_clock::now() + lease.timeToLive_;
  }
  for (const auto& timer : watches_) {
    timer->cancel();
  }
}

void
KvStandin::put(const std::string& aKey, std::string aValue)
{
  write(aKey, std::move(aValue), 0);
}

void
KvStandin::remove(const std::string& aKey)
{
  erase(aKey);
}

std::optional<std::string>
KvStandin::find(const std::string& aKey) const
{
  const auto found = data_.items_.find(aKey);
  return found == data_.items_.end() ? std::nullopt
                                     : std::optional(found->second.value_);
}

void
KvStandin::answer(Exchange& aExchange, unsigned aStatus, const json& aBody)
{
  if (takeLostAnswer(faults_)) {
    aExchange.drop();
    return;
  }
  aExchange.replyWith(
    aStatus, aBody.dump(), { { "Store-Era", std::to_string(era_) } });
}

json
KvStandin::itemJson(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },
           { "data", protocol::encodeBase64(aItem.value_) },
           { "mod_revision", aItem.changed_ },
           { "created_revision", aItem.created_ },
           { "lease_id", aItem.lease_ } };
}

void
KvStandin::read(Exchange& aExchange)
{
  const std::string key = aExchange.query("key");
  const auto found = data_.items_.find(key);
  if (found == data_.items_.end()) {
    answer(aExchange, 404, { { "at", data_.revision_ } });
    return;
  }
  json body = itemJson(key, found->second);
  body["at"] = data_.revision_;
  answer(aExchange, 200, body);
}

void
KvStandin::range(Exchange& aExchange)
{
  const std::string prefix = aExchange.query("prefix");
  const std::string after = aExchange.query("after");
  json entries = json::array();
  bool more = false;
  for (const auto& [key, item] : data_.items_) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (entries.size() == kPage) {
      more = true;
      break;
    }
    entries.push_back(itemJson(key, item));
  }
  answer(aExchange,
         200,
         { { "entries", entries },
           { "has_more", more },
           { "at", data_.revision_ } });
}

json
KvStandin::eventsSince(const std::string& aPrefix, std::uint64_t aAfter) const
{
  json events = json::array();
  for (const Change& change : data_.history_) {
    if (change.revision_ > aAfter && change.key_.starts_with(aPrefix)) {
      events.push_back(change.event_);
    }
  }
  return events;
}

void
KvStandin::watch(Exchange& aExchange)
{
  const std::string prefix = aExchange.query("prefix");
  const std::uint64_t after = std::stoull('0' + aExchange.query("after"));
  const milliseconds wait(std::stoll('0' + aExchange.query("wait_ms")));
  if (after < data_.forgotten_ || after > data_.revision_) {
    answer(aExchange, 410, json::object());
    return;
  }
  const std::uint64_t era = era_;
  const auto end = steady_clock::now() + wait;
  json events = eventsSince(prefix, after);
  while (events.empty() && steady_clock::now() < end && era == era_) {
    const auto timer =
      std::make_shared<asio::steady_timer>(aExchange.executor(), end);
    watches_.insert(timer);
    boost::system::error_code ignored;
    timer->async_wait(aExchange.yield()[ignored]);
    watches_.erase(timer);
    events = eventsSince(prefix, after);
  }
  // A watch that waited answers under the faults of now.
  if (!passFaults(aExchange, faults_)) {
    return;
  }
  if (era != era_) {
    answer(aExchange, 410, json::object());
  } else {
    answer(aExchange, 200, { { "events", events }, { "at", data_.revision_ } });
  }
}

void
KvStandin::change(Exchange& aExchange)
{
  const json request = json::parse(aExchange.body());
  const json wanted = request.value("write", json::array());
  const json removed = request.value("remove", json::array());
  json differing = json::array();
  for (const json& row : request.value("expected", json::array())) {
    const auto key = row.at("key").get<std::string>();
    const auto found = data_.items_.find(key);
    const std::uint64_t present =
      found == data_.items_.end() ? 0 : found->second.changed_;
    if (present != row.at("mod_revision").get<std::uint64_t>()) {
      differing.push_back(found == data_.items_.end()
                            ? json{ { "key", key }, { "mod_revision", 0 } }
                            : itemJson(key, found->second));
    }
  }
  if (!differing.empty()) {
    answer(aExchange, 412, { { "entries", differing } });
    return;
  }
  for (const json& row : wanted) {
    const std::uint64_t lease = row.value("lease_id", std::uint64_t{ 0 });
    if (isReserved(row.at("key").get<std::string>())) {
      answer(aExchange, 403, json::object());
      return;
    }
    if (lease != 0 && !data_.leases_.contains(lease)) {
      answer(aExchange, 404, json::object());
      return;
    }
  }
  for (const json& row : wanted) {
    write(row.at("key").get<std::string>(),
          protocol::decodeBase64(row.at("data").get<std::string>())
            .value_or(std::string()),
          row.value("lease_id", std::uint64_t{ 0 }));
  }
  for (const json& key : removed) {
    erase(key.get<std::string>());
  }
  answer(aExchange, 200, { { "mod_revision", data_.revision_ } });
}

void
KvStandin::lease(Exchange& aExchange)
{
  const json request = json::parse(aExchange.body());
  const milliseconds timeToLive(request.at("ttl_ms").get<std::int64_t>());
  const std::uint64_t id = data_.nextLease_++;
  data_.leases_[id] = { timeToLive, steady_clock::now() + timeToLive };
  answer(
    aExchange, 200, { { "lease_id", id }, { "ttl_ms", timeToLive.count() } });
}

void
KvStandin::keep(Exchange& aExchange)
{
  const auto found =
    data_.leases_.find(numberAfter(aExchange.path(), kKeepPath));
  if (found == data_.leases_.end()) {
    answer(aExchange, 404, json::object());
    return;
  }
  found->second.until_ = steady_clock::now() + found->second.timeToLive_;
  answer(aExchange, 200, { { "ttl_ms", found->second.timeToLive_.count() } });
}

void
KvStandin::endLease(Exchange& aExchange)
{
  dropLease(numberAfter(aExchange.path(), kEndPath));
  answer(aExchange, 200, json::object());
}

void
KvStandin::write(const std::string& aKey,
                 std::string aValue,
                 std::uint64_t aLease)
{
  ++data_.revision_;
  Item& item = data_.items_[aKey];
  item.created_ = item.created_ == 0 ? data_.revision_ : item.created_;
  item.changed_ = data_.revision_;
  item.value_ = std::move(aValue);
  item.lease_ = aLease;
  note({ data_.revision_, aKey, itemJson(aKey, item) });
}

void
KvStandin::erase(const std::string& aKey)
{
  if (data_.items_.erase(aKey) == 0) {
    return;
  }
  ++data_.revision_;
  note({ data_.revision_,
         aKey,
         { { "key", aKey },
           { "mod_revision", data_.revision_ },
           { "compacted", true } } });
}

void
KvStandin::note(Change aChange)
{
  data_.history_.push_back(std::move(aChange));
  if (data_.history_.size() > kHistory) {
    data_.forgotten_ = data_.history_.front().revision_;
    data_.history_.pop_front();
  }
  for (const auto& timer : watches_) {
    timer->cancel();
  }
}

void
KvStandin::dropLease(std::uint64_t aLease)
{
  if (data_.leases_.erase(aLease) == 0) {
    return;
  }
  std::vector<std::string> bound;
  for (const auto& [key, item] : data_.items_) {
    if (item.lease_ == aLease) {
      bound.push_back(key);
    }
  }
  for (const std::string& key : bound) {
    erase(key);
  }
}

void
KvStandin::expire()
{
  const auto now = steady_clock::now();
  std::vector<std::uint64_t> ended;
  for (const auto& [id, lease] : data_.leases_) {
    if (lease.until_ <= now) {
      ended.push_back(id);
    }
  }
  for (const std::uint64_t id : ended) {
    dropLease(id);
  }
}

void
KvStandin::watchLeases()
{
  expiry_.expires_after(kExpiryPeriod);
  expiry_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      // Leases pause while the store is away.
      if (isUp()) {
        expire();
      } else {
        for (auto& [id, lease] : data_.leases_) {
          lease.until_ += kExpiryPeriod;
        }
      }
      watchLeases();
    }
  });
}

} // namespace auburnhaven::standins
