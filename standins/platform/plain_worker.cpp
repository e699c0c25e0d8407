// Stand-in for one worker of a plain service on the users' platform.

#include "platform/plain_worker.h"

#include "platform/answer_headers.h"
#include "transport/scoped_count.h"

namespace auburnhaven::standins {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kWork(10);      ///< Time of one request.
constexpr std::string_view kOncePath = "/confirm/"; ///< Of requests that must
                                                    ///< not run twice.

} // namespace

PlainWorker::PlainWorker(WorkerPlace aPlace,
                         std::uint32_t aSlots,
                         RunBook& aBook)
  : place_(std::move(aPlace))
  , slots_(aSlots)
  , book_(aBook)
{
}

std::string
PlainWorker::entry() const
{
  const json body = { { "backend", place_.service_ },
                      { "address",
                        "127.0.0.1:" + std::to_string(place_.port_) },
                      { "zone", place_.zone_ },
                      { "version", "v1" },
                      { "batch_slots", slots_ },
                      { "state", "healthy" },
                      { "warmup_remaining_ms", 0 },
                      { "sequence", 0 } };
  return body.dump();
}

void
PlainWorker::handle(Exchange& aExchange)
{
  if (aExchange.path() == "/control") {
    const json wish = json::parse(aExchange.body());
    setFaults(wish, faults_);
    garble_ = wish.value("garble", garble_);
    oddHeads_ = wish.value("odd_heads", oddHeads_);
    floods_ = wish.value("floods", floods_);
    leaving_ = wish.value("leaving", leaving_);
    restSeconds_ = wish.value("rest_s", restSeconds_);
    aExchange.reply(200, toJson(faults_).dump());
  } else if (passFaults(aExchange, faults_)) {
    serve(aExchange);
  }
}

void
PlainWorker::serve(Exchange& aExchange)
{
  const std::string attempt = aExchange.header("X-Attempt-Id");
  if (aExchange.header("X-Target-Instance") != place_.id_) {
    aExchange.replyWith(
      421, "{}", rejectionHeaders(aExchange, { { "At-Server", place_.id_ } }));
    return;
  }
  ++book_.arrivals_[place_.id_];
  if (restSeconds_ > 0) {
    aExchange.replyWith(
      503,
      "{}",
      rejectionHeaders(aExchange,
                       { { "X-Not-Executed", "1" },
                         { "Retry-After", std::to_string(restSeconds_) } }));
    return;
  }
  if (attempt.empty() || running_ >= slots_) {
    aExchange.replyWith(
      attempt.empty() ? 400 : 503,
      "{}",
      rejectionHeaders(aExchange, { { "X-Not-Executed", "1" } }));
    return;
  }
  const transport::ScopedCount<std::uint32_t> slot(running_);
  const std::uint32_t runs = book_.begin(attempt);
  book_.accounts_[attempt] = aExchange.header("X-Tenant-Id");
  book_.repeated_ +=
    runs > 1 && aExchange.path().starts_with(kOncePath) ? 1 : 0;
  aExchange.wait(kWork);
  const bool isWhole =
    faults_.loseAnswers_ == 0 && garble_ == 0 && oddHeads_ == 0 && floods_ == 0;
  book_.end(attempt, isWhole ? RunEnding::kServed : RunEnding::kBrokeOff);
  if (takeLostAnswer(faults_)) {
    aExchange.drop();
  } else if (garble_ > 0) {
    --garble_;
    aExchange.sendGarbage();
  } else if (floods_ > 0) {
    --floods_;
    aExchange.flood();
  } else {
    answer(aExchange, attempt);
  }
}

void
PlainWorker::answer(Exchange& aExchange, const std::string& aAttempt)
{
  const std::string body =
    json{ { "done", aAttempt }, { "body", aExchange.body() } }.dump();
  const HeaderList headers =
    answerHeaders(aExchange, { place_.id_, running_, slots_, leaving_ });
  if (oddHeads_ > 0) {
    --oddHeads_;
    aExchange.sendOddHead(oddHeads_, body, headers);
  } else {
    aExchange.replyWith(200, body, headers);
  }
}

} // namespace auburnhaven::standins
