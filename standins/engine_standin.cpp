// Stand-in for the model engine of one VM.

#include "engine_standin.h"

#include "state/digest_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace auburnhaven::standins {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds kTick{ 1 };       ///< Tokens are sent on this grid.
constexpr milliseconds kPausePoll{ 5 };  ///< How often a pause is looked at.
constexpr std::uint32_t kWaitFactor = 2; ///< Waiting requests per slot.
constexpr std::uint32_t kNormalSpeed = 1000; ///< Permille of normal time.

constexpr std::array<const char*, 4> kPhaseNames = { "idle",
                                                     "loading",
                                                     "ready",
                                                     "failed" };

/** @return Hash that tells copies apart, never 0. */
std::uint64_t
copyHash(const state::CopyId& aCopy)
{
  return state::stableHash(aCopy.group_.value(), aCopy.index_) | 1U;
}

/** @return The role of an order; an empty one for null. */
state::EngineRole
parseRole(const json& aJson, std::uint64_t aFencing)
{
  state::EngineRole role;
  role.fencing_ = state::FencingNumber(aFencing);
  if (aJson.is_null()) {
    return role;
  }
  role.copy_ = { state::GroupId(aJson.at("group").get<std::string>()),
                 aJson.at("copy").get<std::uint32_t>() };
  role.rank_ = aJson.at("rank").get<std::uint32_t>();
  role.model_ = aJson.at("model").get<std::string>();
  role.version_ = aJson.value("version", "");
  role.adapters_ = aJson.value("adapters", std::vector<std::string>());
  return role;
}

/** @return A role in the form of reports. */
json
toJson(const state::EngineRole& aRole)
{
  return { { "group", aRole.copy_.group_.value() },
           { "copy", aRole.copy_.index_ },
           { "rank", aRole.rank_ },
           { "fencing", aRole.fencing_.value() },
           { "model", aRole.model_ },
           { "version", aRole.version_ },
           { "adapters", aRole.adapters_ } };
}

/** @return The request of a body. */
GenerateRequest
parseGenerate(const std::string& aBody)
{
  const json body = json::parse(aBody);
  const json& copy = body.at("copy");
  GenerateRequest request;
  request.request_ = body.at("request").get<std::string>();
  request.prompt_ = body.at("prompt").get<std::string>();
  request.maxTokens_ = body.value("max_tokens", request.maxTokens_);
  request.priority_ = body.value("priority", 0);
  request.resumeFrom_ = body.value("resume_from", 0U);
  request.group_ = copy.at("group").get<std::string>();
  request.index_ = copy.at("index").get<std::uint32_t>();
  request.fencing_ = body.value("fencing", std::uint64_t(0));
  return request;
}

/** Appends the line of one token of the answer. */
void
appendToken(const std::string& aPrompt,
            std::uint32_t aOffset,
            std::string& aLines)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  const std::uint64_t token = state::stableHash(aPrompt, aOffset) % 0xffff;
  aLines += R"({"offset":)";
  aLines += std::to_string(aOffset);
  aLines += R"(,"text":")";
  for (int shift = 12; shift >= 0; shift -= 4) {
    aLines += kDigits[(token >> static_cast<unsigned>(shift)) & 15U];
  }
  aLines += " \"}\n";
}

/** @return A time rounded up to the grid, so that many streams wake at once. */
steady_clock::time_point
onGrid(steady_clock::time_point aTime)
{
  const auto since = aTime.time_since_epoch();
  const auto ticks = (since + kTick - steady_clock::duration(1)) / kTick;
  return steady_clock::time_point(ticks * kTick);
}

} // namespace

EngineStandin::EngineStandin(state::VmInfo aVm,
                             const EngineOptions& aOptions,
                             PresenceBoard& aBoard,
                             WeightStore& aWeights,
                             asio::io_context& aContext)
  : vm_(std::move(aVm))
  , options_(aOptions)
  , board_(aBoard)
  , presence_(aBoard.at(vm_.endpoint_.port_))
  , weights_(aWeights)
  , context_(aContext)
  , cache_(aOptions.cacheBlocks_)
{
  load_.slots_ = options_.slots_;
}

void
EngineStandin::handle(Exchange& aExchange)
{
  /** An operation, its method and its path. */
  struct Operation
  {
    http::verb method_;                         ///< HTTP method.
    const char* path_;                          ///< Path of the call.
    void (EngineStandin::*handler_)(Exchange&); ///< Answers it.
  };
  static constexpr std::array<Operation, 5> kOperations = { {
    { http::verb::get, "/v1/report", &EngineStandin::report },
    { http::verb::post, "/v1/orders", &EngineStandin::order },
    { http::verb::post, "/v1/generate", &EngineStandin::generate },
    { http::verb::post, "/v1/cancel", &EngineStandin::cancel },
    { http::verb::get, "/v1/cache_events", &EngineStandin::cacheEvents },
  } };
  if (aExchange.path() == "/control") {
    handleControl(aExchange);
    return;
  }
  if (!passFaults(aExchange, faults_)) {
    return;
  }
  for (const Operation& operation : kOperations) {
    if (aExchange.is(operation.method_, operation.path_)) {
      (this->*operation.handler_)(aExchange);
      return;
    }
  }
  aExchange.reply(404, R"({"error":"no such call"})");
}

void
EngineStandin::handleControl(Exchange& aExchange)
{
  const bool wasDead = faults_.dead_;
  if (!aExchange.body().empty()) {
    setFaults(json::parse(aExchange.body()), faults_);
  }
  if (wasDead && !faults_.dead_) {
    restart();
  }
  publish();
  json body = standins::toJson(faults_);
  body["vm"] = vm_.id_.value();
  body["tokens"] = tokens_;
  body["requests"] = requests_;
  body["cut"] = cut_;
  aExchange.reply(200, body.dump());
}

void
EngineStandin::restart()
{
  ++incarnation_;
  ++epoch_;
  count_ = 0;
  highestFencing_ = 0;
  role_ = {};
  phase_ = state::EnginePhase::kIdle;
  members_.clear();
  cache_.clear();
}

void
EngineStandin::publish()
{
  presence_.alive_ = !faults_.dead_ && !faults_.paused_;
  presence_.ready_ = phase_ == state::EnginePhase::kReady;
  presence_.copy_ = role_.copy_.group_.empty() ? 0 : copyHash(role_.copy_);
}

void
EngineStandin::refreshLoad()
{
  const auto now = steady_clock::now();
  const auto age = now - refreshedAt_;
  if (age < milliseconds(faults_.reportLagMs_)) {
    return;
  }
  const auto span = duration_cast<microseconds>(age).count();
  const std::uint64_t made = tokens_ - tokensAtRefresh_;
  load_.running_ = running_;
  load_.queued_ = static_cast<std::uint32_t>(waiting_.size());
  load_.tokensPerSecond_ = static_cast<std::uint32_t>(
    made * 1000000 /
    static_cast<std::uint64_t>(std::max<std::int64_t>(span, 1)));
  tokensAtRefresh_ = tokens_;
  refreshedAt_ = now;
}

void
EngineStandin::report(Exchange& aExchange)
{
  const json load = { { "running", load_.running_ },
                      { "queued", load_.queued_ },
                      { "slots", load_.slots_ },
                      { "tokens_per_second", load_.tokensPerSecond_ } };
  // The load of the last refresh is told first: reports lag.
  refreshLoad();
  const json body = { { "vm", vm_.id_.value() },
                      { "incarnation", incarnation_ },
                      { "count", ++count_ },
                      { "phase",
                        kPhaseNames[static_cast<std::size_t>(phase_)] },
                      { "role", toJson(role_) },
                      { "load", load } };
  aExchange.reply(200, body.dump());
}

void
EngineStandin::order(Exchange& aExchange)
{
  const json body = json::parse(aExchange.body());
  const auto fencing = body.at("fencing").get<std::uint64_t>();
  const state::EngineRole role = parseRole(body.value("role", json()), fencing);
  if (vm_.checksFencing_ && fencing < highestFencing_) {
    aExchange.reply(409, json{ { "fencing", highestFencing_ } }.dump());
    return;
  }
  highestFencing_ = std::max(highestFencing_, fencing);
  std::vector<std::uint16_t> members;
  for (const auto& member : body.value("members", std::vector<std::string>())) {
    const std::string port = member.substr(member.rfind(':') + 1);
    members.push_back(static_cast<std::uint16_t>(std::stoul(port)));
  }
  const bool same = role == role_ && members == members_;
  members_ = std::move(members);
  if (!same) {
    takeRole(role);
  }
  if (takeLostAnswer(faults_)) {
    aExchange.drop();
    return;
  }
  aExchange.reply(202);
}

void
EngineStandin::takeRole(const state::EngineRole& aRole)
{
  const bool loaded =
    phase_ == state::EnginePhase::kReady && aRole.model_ == role_.model_ &&
    aRole.version_ == role_.version_ && aRole.adapters_ == role_.adapters_;
  role_ = aRole;
  ++epoch_;
  if (role_.copy_.group_.empty()) {
    phase_ = state::EnginePhase::kIdle;
  } else if (!loaded) {
    phase_ = state::EnginePhase::kLoading;
    const milliseconds time =
      faults_.loadMs_ > 0 ? milliseconds(faults_.loadMs_) : options_.load_;
    const auto timer = std::make_shared<asio::steady_timer>(
      context_, weights_.takePlace() + time);
    timer->async_wait(
      [this, timer, epoch = epoch_](const boost::system::error_code&) {
        finishLoad(epoch);
      });
  }
  publish();
}

void
EngineStandin::finishLoad(std::uint64_t aEpoch)
{
  if (aEpoch == epoch_ && phase_ == state::EnginePhase::kLoading) {
    phase_ = state::EnginePhase::kReady;
    publish();
  }
}

bool
EngineStandin::membersPresent() const
{
  const std::uint64_t copy = copyHash(role_.copy_);
  return std::all_of(
    members_.begin(), members_.end(), [&](std::uint16_t aPort) {
      const auto found = board_.find(aPort);
      return found != board_.end() && found->second.alive_ &&
             found->second.ready_ && found->second.copy_ == copy;
    });
}

bool
EngineStandin::serves(const GenerateRequest& aRequest) const
{
  const bool fenced =
    vm_.checksFencing_ && aRequest.fencing_ != role_.fencing_.value();
  return phase_ == state::EnginePhase::kReady && role_.rank_ == 0 &&
         role_.copy_.group_.value() == aRequest.group_ &&
         role_.copy_.index_ == aRequest.index_ && !fenced && membersPresent();
}

void
EngineStandin::generate(Exchange& aExchange)
{
  const GenerateRequest request = parseGenerate(aExchange.body());
  if (!serves(request)) {
    aExchange.reply(409, R"({"error":"not in that copy or not ready"})", true);
    return;
  }
  if (!takeSlot(aExchange, request)) {
    return;
  }
  active_.insert(request.request_);
  ++requests_;
  stream(aExchange, request);
  active_.erase(active_.find(request.request_));
  if (active_.count(request.request_) == 0) {
    cancelled_.erase(request.request_);
  }
  freeSlot();
}

bool
EngineStandin::takeSlot(Exchange& aExchange, const GenerateRequest& aRequest)
{
  if (running_ < options_.slots_) {
    ++running_;
    return true;
  }
  if (waiting_.size() >= std::size_t(options_.slots_) * kWaitFactor) {
    aExchange.reply(503, R"({"error":"full"})", true);
    return false;
  }
  const auto wake = std::make_shared<asio::steady_timer>(
    context_, steady_clock::time_point::max());
  // Equal keys keep the order of insertion; the greatest priority comes first.
  waiting_.emplace(-aRequest.priority_, wake);
  boost::system::error_code error;
  wake->async_wait(aExchange.yield()[error]);
  if (faults_.dead_) {
    freeSlot();
    aExchange.drop();
    return false;
  }
  if (!serves(aRequest)) {
    freeSlot();
    aExchange.reply(409, R"({"error":"no longer in that copy"})", true);
    return false;
  }
  return true;
}

void
EngineStandin::freeSlot()
{
  if (waiting_.empty()) {
    --running_;
    return;
  }
  const auto next = waiting_.begin()->second;
  waiting_.erase(waiting_.begin());
  next->cancel();
}

microseconds
EngineStandin::tokenTime() const
{
  return options_.token_ * faults_.slowPermille_ / kNormalSpeed;
}

bool
EngineStandin::mayGoOn(Exchange& aExchange,
                       const GenerateRequest& aRequest,
                       std::uint64_t aEpoch)
{
  while (faults_.paused_ && !faults_.dead_) {
    aExchange.wait(kPausePoll);
  }
  const bool cut = faults_.dead_ || epoch_ != aEpoch || !membersPresent();
  if (cut) {
    ++cut_;
    aExchange.drop();
    return false;
  }
  return aExchange.open() && cancelled_.count(aRequest.request_) == 0;
}

void
EngineStandin::stream(Exchange& aExchange, const GenerateRequest& aRequest)
{
  const std::uint64_t epoch = epoch_;
  const auto prefill =
    options_.prefillBlock_ * std::int64_t(cache_.admit(aRequest.prompt_));
  auto due = steady_clock::now() + prefill;
  aExchange.beginChunks();
  std::uint32_t offset = aRequest.resumeFrom_;
  while (offset < aRequest.maxTokens_) {
    due += tokenTime();
    aExchange.waitUntil(onGrid(due));
    if (!mayGoOn(aExchange, aRequest, epoch)) {
      break;
    }
    std::string lines;
    appendToken(aRequest.prompt_, offset++, lines);
    // Tokens that fell behind go out together.
    const auto now = steady_clock::now();
    while (offset < aRequest.maxTokens_ && due + tokenTime() <= now) {
      due += tokenTime();
      appendToken(aRequest.prompt_, offset++, lines);
    }
    tokens_ +=
      static_cast<std::uint64_t>(std::count(lines.begin(), lines.end(), '\n'));
    aExchange.chunk(lines);
  }
  if (offset < aRequest.maxTokens_) {
    aExchange.drop();
    return;
  }
  aExchange.chunk(R"({"done":true,"tokens":)" + std::to_string(offset) + "}\n");
  aExchange.endChunks();
}

void
EngineStandin::cancel(Exchange& aExchange)
{
  const json body = json::parse(aExchange.body());
  const auto request = body.at("request").get<std::string>();
  if (active_.count(request) > 0) {
    cancelled_.insert(request);
  }
  aExchange.reply(200);
}

void
EngineStandin::cacheEvents(Exchange& aExchange)
{
  const std::string text = aExchange.query("after");
  const std::uint64_t after = text.empty() ? 0 : std::stoull(text);
  json events = json::array();
  std::uint64_t next = after;
  for (const CacheEvent& event : cache_.eventsAfter(after)) {
    events.push_back({ { "hash", event.hash_ }, { "stored", event.stored_ } });
    next = event.number_;
  }
  const json body = { { "next", next }, { "events", events } };
  aExchange.reply(200, body.dump());
}

} // namespace auburnhaven::standins
