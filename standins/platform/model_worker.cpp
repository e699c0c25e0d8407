// Stand-in for one model worker of the users' platform.

#include "platform/model_worker.h"

#include "platform/answer_headers.h"
#include "transport/scoped_count.h"

#include <algorithm>

namespace auburnhaven::standins {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds kRejoin(40);     ///< Join to the model of the last copy.
constexpr milliseconds kStallPoll(10);  ///< Between two looks at the members.
constexpr std::uint32_t kLostBeats = 3; ///< Heartbeats until an entry goes.
constexpr std::uint32_t kTokensOfEvent = 5; ///< Tokens of one event.

/** @return Milliseconds since the epoch of the wall clock. */
std::uint64_t
wallMs()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

/** @return Number of a header; 0 when there is none. */
std::uint32_t
numberOf(const std::string& aText)
{
  const bool valid = !aText.empty() && aText.size() < 9 &&
                     aText.find_first_not_of("0123456789") == std::string::npos;
  return valid ? static_cast<std::uint32_t>(std::stoul(aText)) : 0;
}

} // namespace

ModelWorker::ModelWorker(asio::io_context& aContext,
                         WorkerPlace aPlace,
                         const WorkerPace& aPace,
                         const WorkerTable& aWorkers,
                         KvStandin& aStore,
                         RunBook& aBook)
  : context_(aContext)
  , place_(std::move(aPlace))
  , pace_(aPace)
  , workers_(aWorkers)
  , store_(aStore)
  , book_(aBook)
  , bornAtMs_(wallMs())
  , heart_(aContext)
{
  beat();
}

void
ModelWorker::handle(Exchange& aExchange)
{
  if (aExchange.path() == "/control") {
    handleControl(aExchange);
    return;
  }
  if (!passFaults(aExchange, faults_)) {
    return;
  }
  const std::string target = aExchange.header("X-Target-Instance");
  if (!target.empty() && target != place_.id_) {
    aExchange.replyWith(
      421, "{}", rejectionHeaders(aExchange, { { "At-Server", place_.id_ } }));
    return;
  }
  if (aExchange.is(http::verb::get, "/v1/report")) {
    report(aExchange);
  } else if (aExchange.is(http::verb::post, "/v1/order")) {
    order(aExchange);
  } else {
    serve(aExchange);
  }
}

void
ModelWorker::handleControl(Exchange& aExchange)
{
  if (!aExchange.body().empty()) {
    const json wish = json::parse(aExchange.body());
    setFaults(wish, faults_);
    garble_ = wish.value("garble", garble_);
    lateOrders_ = milliseconds(wish.value(
      "late_orders_ms", static_cast<std::int64_t>(lateOrders_.count())));
    leaving_ = wish.value("leaving", leaving_);
    if (wish.value("restart", false)) {
      restart();
    }
    publish();
  }
  aExchange.reply(200, describe().dump());
}

void
ModelWorker::restart()
{
  faults_ = {};
  garble_ = 0;
  lateOrders_ = {};
  bornAtMs_ = wallMs();
  orders_ = 0;
  highestEpoch_ = 0;
  membership_.reset();
  orderedAway_ = false;
  readyIn_.clear();
  lastModel_.clear();
}

json
ModelWorker::describe() const
{
  json members = json::array();
  if (membership_) {
    members = membership_->members_;
  }
  return { { "id", place_.id_ },
           { "port", place_.port_ },
           { "zone", place_.zone_ },
           { "copy", membership_ ? membership_->copy_ : "" },
           { "model", membership_ ? membership_->model_ : "" },
           { "state", membership_ ? membership_->state_ : "" },
           { "members", members } };
}

bool
ModelWorker::isOpenHead() const
{
  return !faults_.dead_ && membership_ && membership_->state_ == "open";
}

json
ModelWorker::state() const
{
  json body = {
    { "phase", "colocated" },        { "born", bornAtMs_ },
    { "sequence", orders_ },         { "fault_domain", place_.domain_ },
    { "model_list", json::array() }, { "preloaded", json::array() }
  };
  if (!staged_.empty()) {
    body["preloaded"].push_back(staged_);
  }
  if (membership_) {
    body["model_list"].push_back({ { "name", membership_->model_ },
                                   { "version", 1 },
                                   { "loras", json::array() } });
    const auto& members = membership_->members_;
    const auto rank =
      std::find(members.begin(), members.end(), place_.id_) - members.begin();
    body["group"] = { { "name", membership_->copy_ },
                      { "epoch", membership_->epoch_ },
                      { "rank", rank },
                      { "state", membership_->state_ } };
  }
  return body;
}

json
ModelWorker::entry() const
{
  json body = state();
  body["backend"] = place_.service_;
  body["address"] = "127.0.0.1:" + std::to_string(place_.port_);
  body["zone"] = place_.zone_;
  body["version"] = "v1";
  body["batch_slots"] = pace_.slots_;
  body["state"] = leaving_ ? "draining" : "healthy";
  body["warmup_remaining_ms"] = 0;
  return body;
}

void
ModelWorker::publish()
{
  const std::string text = entry().dump();
  if (!faults_.dead_ && store_.isUp() && text != published_) {
    published_ = text;
    store_.put("servers/" + place_.id_, text);
  }
}

void
ModelWorker::beat()
{
  heart_.expires_after(pace_.heartbeat_);
  heart_.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    silentBeats_ = faults_.dead_ ? silentBeats_ + 1 : 0;
    if (silentBeats_ == kLostBeats) {
      published_.clear();
      store_.remove("servers/" + place_.id_);
    }
    publish();
    beat();
  });
}

void
ModelWorker::later(milliseconds aTime, std::function<void()> aWork)
{
  auto timer = std::make_shared<asio::steady_timer>(context_, aTime);
  timer->async_wait([this, timer, born = bornAtMs_, work = std::move(aWork)](
                      const boost::system::error_code& aError) {
    if (!aError && born == bornAtMs_ && !faults_.dead_) {
      work();
      publish();
    }
  });
}

void
ModelWorker::report(Exchange& aExchange)
{
  json body = state();
  body["busy"] = membership_ && membership_->state_ == "joining";
  body["active"] = running_.load();
  body["queued"] = 0;
  body["pace"] = faults_.slowPermille_ / 1000.0;
  aExchange.reply(200, body.dump());
}

void
ModelWorker::order(Exchange& aExchange)
{
  const json body = json::parse(aExchange.body());
  if (lateOrders_.count() > 0) {
    aExchange.wait(lateOrders_);
    apply(body);
    publish();
    aExchange.drop();
    return;
  }
  const unsigned status = apply(body);
  publish();
  if (takeLostAnswer(faults_)) {
    aExchange.drop();
    return;
  }
  aExchange.reply(status);
}

unsigned
ModelWorker::apply(const json& aOrder)
{
  /** An order and its name. */
  struct Operation
  {
    std::string_view name_;                         ///< Name.
    unsigned (ModelWorker::*handler_)(const json&); ///< Carries it out.
  };
  static constexpr std::array<Operation, 5> kOperations = { {
    { "join", &ModelWorker::join },
    { "open", &ModelWorker::changeState },
    { "close", &ModelWorker::changeState },
    { "leave", &ModelWorker::changeState },
    { "phase", &ModelWorker::stage },
  } };
  if (aOrder.contains("expected") &&
      aOrder.at("expected").get<std::uint64_t>() != orders_) {
    return 409;
  }
  const auto name = aOrder.at("operation").get<std::string>();
  for (const Operation& operation : kOperations) {
    if (operation.name_ == name) {
      const unsigned status = (this->*operation.handler_)(aOrder);
      orders_ += status == 202 ? 1 : 0;
      return status;
    }
  }
  return 400;
}

unsigned
ModelWorker::join(const json& aOrder)
{
  Membership wanted{ aOrder.at("group").get<std::string>(),
                     aOrder.at("epoch").get<std::uint64_t>(),
                     aOrder.at("model_id").get<std::string>(),
                     aOrder.at("member_list").get<std::vector<std::string>>(),
                     "joining" };
  const bool same = membership_ && membership_->copy_ == wanted.copy_ &&
                    membership_->epoch_ == wanted.epoch_;
  if (same) {
    return membership_->members_ == wanted.members_ ? 200 : 412;
  }
  if (wanted.epoch_ < highestEpoch_) {
    return 412;
  }
  orderedAway_ = orderedAway_ || (isOpenHead() && isWhole());
  if (membership_) {
    const auto head = workers_.find(membership_->members_.front());
    const bool serves = head != workers_.end() && head->second->isOpenHead() &&
                        head->second->belongsTo(*membership_);
    book_.taken_ += serves ? 1 : 0;
  }
  highestEpoch_ = wanted.epoch_;
  milliseconds time = pace_.load_;
  if (lastModel_ == wanted.model_) {
    time = kRejoin;
  } else if (staged_ == wanted.model_) {
    time = pace_.warm_;
  }
  lastModel_ = wanted.model_;
  staged_ = wanted.model_;
  membership_ = std::move(wanted);
  later(time, [this, copy = membership_->copy_, epoch = membership_->epoch_] {
    if (membership_ && membership_->copy_ == copy &&
        membership_->epoch_ == epoch && membership_->state_ == "joining") {
      membership_->state_ = "healthy";
      readyIn_.insert(copy + '/' + std::to_string(epoch));
    }
  });
  return 202;
}

unsigned
ModelWorker::changeState(const json& aOrder)
{
  const auto name = aOrder.at("operation").get<std::string>();
  const bool meant =
    membership_ &&
    membership_->copy_ == aOrder.at("group").get<std::string>() &&
    membership_->epoch_ == aOrder.at("epoch").get<std::uint64_t>();
  if (!meant) {
    return name == "leave" ? 200 : 409;
  }
  if (name == "leave") {
    orderedAway_ = isOpenHead() && isWhole();
    membership_.reset();
    return 202;
  }
  const bool head = membership_->members_.front() == place_.id_;
  if (name == "close") {
    membership_->state_ = "healthy";
    return 202;
  }
  if (membership_->state_ == "open") {
    return 200;
  }
  if (!head || membership_->state_ != "healthy") {
    return 409;
  }
  later(pace_.open_, [this, epoch = membership_->epoch_] {
    if (membership_ && membership_->epoch_ == epoch &&
        membership_->state_ == "healthy") {
      membership_->state_ = "open";
    }
  });
  return 202;
}

unsigned
ModelWorker::stage(const json& aOrder)
{
  const auto model = aOrder.at("model_id").get<std::string>();
  if (staged_ == model) {
    return 200;
  }
  later(pace_.load_, [this, model] { staged_ = model; });
  return 202;
}

bool
ModelWorker::belongsTo(const Membership& aMembership) const
{
  return !faults_.dead_ && membership_ &&
         membership_->copy_ == aMembership.copy_ &&
         membership_->epoch_ == aMembership.epoch_;
}

bool
ModelWorker::wasReady(const Membership& aMembership) const
{
  return readyIn_.contains(aMembership.copy_ + '/' +
                           std::to_string(aMembership.epoch_));
}

template<class Predicate>
bool
ModelWorker::allMembers(Predicate aPredicate) const
{
  return membership_ && std::all_of(membership_->members_.begin(),
                                    membership_->members_.end(),
                                    [&](const std::string& aMember) {
                                      const auto found = workers_.find(aMember);
                                      return found != workers_.end() &&
                                             aPredicate(*found->second);
                                    });
}

bool
ModelWorker::isWhole() const
{
  return allMembers([this](const ModelWorker& aMember) {
    return aMember.belongsTo(*membership_);
  });
}

bool
ModelWorker::wasWhole() const
{
  // A life that has ended excuses what it was ready in.
  return allMembers([this](const ModelWorker& aMember) {
    return aMember.wasReady(*membership_) || !aMember.belongsTo(*membership_);
  });
}

bool
ModelWorker::refuses(Exchange& aExchange)
{
  const std::pair<std::string, std::string> notRun{ "X-Not-Executed", "1" };
  const std::pair<std::string, std::string> self{ "At-Server", place_.id_ };
  if (aExchange.header("X-Attempt-Id").empty()) {
    aExchange.replyWith(400, "{}", { notRun });
    return true;
  }
  if (membership_ && membership_->state_ == "broken") {
    aExchange.replyWith(
      503, "{}", rejectionHeaders(aExchange, { notRun, self }));
    return true;
  }
  if (!isOpenHead() || membership_->model_ != aExchange.header("X-Model-Id")) {
    aExchange.replyWith(421, "{}", rejectionHeaders(aExchange, { self }));
    return true;
  }
  if (running_ >= pace_.slots_) {
    aExchange.replyWith(
      503, "{}", rejectionHeaders(aExchange, { notRun, self }));
    return true;
  }
  return false;
}

bool
ModelWorker::waitWhole(Exchange& aExchange)
{
  const auto until = steady_clock::now() + pace_.stall_;
  while (!isWhole() && membership_ && steady_clock::now() < until) {
    aExchange.wait(kStallPoll);
  }
  if (!isWhole() && membership_ && membership_->state_ == "open") {
    membership_->state_ = "broken";
    publish();
  }
  return isWhole() && !faults_.dead_;
}

void
ModelWorker::serve(Exchange& aExchange)
{
  if (refuses(aExchange)) {
    return;
  }
  const transport::ScopedCount<std::uint32_t> slot(running_);
  aExchange.wait(pace_.event_ * faults_.slowPermille_ / 1000);
  if (!waitWhole(aExchange)) {
    aExchange.replyWith(
      503,
      "{}",
      rejectionHeaders(
        aExchange, { { "X-Not-Executed", "1" }, { "At-Server", place_.id_ } }));
    return;
  }
  book_.partial_ += wasWhole() ? 0 : 1;
  const std::string attempt = aExchange.header("X-Attempt-Id");
  book_.begin(attempt);
  RunEnding ending = RunEnding::kBrokeOff;
  if (takeLostAnswer(faults_)) {
    aExchange.drop();
  } else if (garble_ > 0) {
    --garble_;
    aExchange.sendGarbage();
  } else {
    ending = stream(aExchange);
  }
  book_.end(attempt, ending);
}

RunEnding
ModelWorker::stream(Exchange& aExchange)
{
  const std::string attempt = aExchange.header("X-Attempt-Id");
  const std::string tokens = aExchange.header("X-Token-Usage");
  const std::uint32_t events =
    numberOf(tokens.substr(tokens.find(',') + 1)) / kTokensOfEvent;
  aExchange.beginChunks(
    "text/event-stream",
    answerHeaders(aExchange, { place_.id_, running_, pace_.slots_, leaving_ }));
  const std::uint32_t first = numberOf(aExchange.header("Last-Event-Id")) + 1;
  for (std::uint32_t event = first; event <= events; ++event) {
    aExchange.wait(pace_.event_ * faults_.slowPermille_ / 1000);
    if (!aExchange.open()) {
      return RunEnding::kServed;
    }
    if (!waitWhole(aExchange)) {
      aExchange.drop();
      return orderedAway_ ? RunEnding::kOrderedAway : RunEnding::kBrokeOff;
    }
    aExchange.chunk("id: " + std::to_string(event) +
                    "\ndata: " + membership_->model_ + ' ' + attempt + ' ' +
                    std::to_string(event) + "\n\n");
  }
  aExchange.endChunks();
  return RunEnding::kServed;
}

} // namespace auburnhaven::standins
