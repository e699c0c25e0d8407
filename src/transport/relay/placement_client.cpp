// Asks dispatchers to place requests on replicas.

#include "transport/relay/placement_client.h"

#include "state/endpoint_func.h"

#include <utility>

namespace auburnhaven::transport {

using coordination::RefusalReason;
using coordination::TargetDecision;
using coordination::TargetNeed;
using protocol::PlacementAnswer;

PlacementClient::PlacementClient(boost::asio::io_context& aContext,
                                 const state::Clock& aClock,
                                 coordination::TargetPool& aTargets,
                                 state::EventLog& aLog,
                                 state::Endpoint aSelf,
                                 PlacementClientSettings aSettings)
  : context_(aContext)
  , clock_(aClock)
  , targets_(aTargets)
  , log_(aLog)
  , self_(std::move(aSelf))
  , settings_(aSettings)
  , socket_(aContext)
{
}

std::string
PlacementClient::start(const state::Endpoint& aListen)
{
  return socket_.start(
    aListen,
    [this](const state::Endpoint& /*aFrom*/, const std::string& aDatagram) {
      receive(aDatagram);
    });
}

TargetDecision
PlacementClient::choose(const TargetNeed& aNeed,
                        const boost::asio::yield_context& aYield)
{
  const auto dispatcher = targets_.dispatcherFor(aNeed);
  auto answer =
    dispatcher ? requestPlacement(*dispatcher, aNeed, aYield) : std::nullopt;
  const bool lacksRoom =
    answer && (answer->reason_ == RefusalReason::kTooLate ||
               answer->reason_ == RefusalReason::kLimited);
  if (lacksRoom) {
    // The replicas of another zone may serve the request in time.
    const auto other = targets_.dispatcherFor(aNeed, dispatcher);
    const auto second =
      other ? requestPlacement(*other, aNeed, aYield) : std::nullopt;
    if (second && second->reason_ == RefusalReason::kNone) {
      answer = second;
    }
  }
  if (!answer || answer->candidates_ == 0) {
    return targets_.choose(aNeed);
  }
  if (answer->reason_ != RefusalReason::kNone) {
    TargetDecision refusal;
    refusal.reason_ = answer->reason_;
    refusal.expected_ = answer->expected_;
    refusal.retryAfter_ = answer->retryAfter_;
    refusal.candidates_ = answer->candidates_;
    return refusal;
  }
  TargetDecision decision = targets_.take(aNeed, answer->vm_);
  if (decision.reason_ != RefusalReason::kNone) {
    return targets_.choose(aNeed);
  }
  decision.expected_ = answer->expected_;
  decision.candidates_ = answer->candidates_;
  return decision;
}

std::optional<PlacementAnswer>
PlacementClient::requestPlacement(const state::Endpoint& aDispatcher,
                                  const TargetNeed& aNeed,
                                  const boost::asio::yield_context& aYield)
{
  if (aDispatcher == self_) {
    const TargetDecision placement = targets_.place(aNeed);
    return PlacementAnswer{ 0,
                            placement.reason_,
                            placement.vm_,
                            placement.expected_,
                            placement.retryAfter_,
                            placement.candidates_ };
  }
  Dispatcher& dispatcher = dispatchers_[aDispatcher];
  if (clock_.now() < dispatcher.skippedUntil_) {
    return std::nullopt;
  }
  const std::uint64_t number = ++lastNumber_;
  PendingRequest& pending =
    pending_
      .emplace(number,
               PendingRequest{
                 boost::asio::steady_timer(context_, settings_.answerTimeout_),
                 std::nullopt })
      .first->second;
  socket_.send(
    aDispatcher,
    protocol::encodeQuestion({ number, aNeed, targets_.limitsFor(aNeed) }));
  boost::system::error_code ignored;
  pending.timer_.async_wait(aYield[ignored]);
  std::optional<PlacementAnswer> answer = pending.answer_;
  pending_.erase(number);
  if (answer) {
    dispatcher.misses_ = 0;
  } else {
    recordMissedAnswer(aDispatcher, dispatcher);
  }
  return answer;
}

void
PlacementClient::recordMissedAnswer(const state::Endpoint& aEndpoint,
                                    Dispatcher& aDispatcher)
{
  if (++aDispatcher.misses_ < settings_.maxMisses_) {
    return;
  }
  aDispatcher.misses_ = 0;
  aDispatcher.skippedUntil_ = clock_.now() + settings_.backoff_;
  const std::string address = state::textOf(aEndpoint);
  log_.write(
    state::LogWeight::kChange,
    "placement",
    "dispatcher does not answer",
    { state::logField("dispatcher", std::string_view(address)),
      state::logField("misses", settings_.maxMisses_),
      state::logField("answer_limit_ms", settings_.answerTimeout_.count()) });
}

void
PlacementClient::receive(const std::string& aDatagram)
{
  const auto answer = protocol::decodeAnswer(aDatagram);
  if (!answer) {
    return;
  }
  const auto found = pending_.find(answer->number_);
  if (found != pending_.end()) {
    found->second.answer_ = answer;
    found->second.timer_.cancel();
  }
}

} // namespace auburnhaven::transport
