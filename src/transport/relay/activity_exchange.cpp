// Tells coordinators and dispatchers which replicas send no stream events.

#include "transport/relay/activity_exchange.h"

#include <chrono>
#include <utility>

namespace auburnhaven::transport {

namespace {

constexpr std::chrono::milliseconds kAskInterval(
  100); ///< Between two questions of a coordinator.
constexpr std::chrono::milliseconds kTellInterval(
  200); ///< Between two notices on the same silent replica.
constexpr std::chrono::seconds kSilenceEnd(
  2); ///< Silence after which a replica is no longer news: the streams that
      ///< remain have been given up.

} // namespace

ActivityExchange::ActivityExchange(
  const state::Clock& aClock,
  DatagramSocket& aSocket,
  const coordination::StreamActivity& aActivity,
  coordination::TargetPool& aTargets,
  state::Endpoint aSelf,
  NoticeHandler aHandler)
  : clock_(aClock)
  , socket_(aSocket)
  , activity_(aActivity)
  , targets_(aTargets)
  , self_(std::move(aSelf))
  , handler_(std::move(aHandler))
{
}

void
ActivityExchange::tick()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(toldAt_, [&](const auto& aEntry) {
    return now - aEntry.second > kSilenceEnd;
  });
  protocol::ActivityNotice notice;
  for (const coordination::ReplicaActivity& replica : activity_.unfinished()) {
    const auto limit = targets_.silenceLimitOf(replica.head_);
    const auto told = toldAt_.find(replica.head_);
    const bool due =
      told == toldAt_.end() || now - told->second >= kTellInterval;
    if (limit && replica.age_ > *limit && replica.age_ < kSilenceEnd && due) {
      toldAt_[replica.head_] = now;
      notice.replicas_.push_back(replica);
    }
  }
  if (notice.replicas_.empty()) {
    return;
  }
  const std::string datagram = protocol::encodeActivityNotice(notice);
  for (const state::Endpoint& coordinator : targets_.dispatchers()) {
    if (coordinator == self_) {
      handler_(notice, now, false);
    } else {
      socket_.send(coordinator, datagram);
    }
  }
}

void
ActivityExchange::ask(const std::vector<state::VmId>& aHeads,
                      const std::vector<state::Endpoint>& aDaemons)
{
  const state::TimePoint now = clock_.now();
  if (aHeads.empty() || now - askedAt_ < kAskInterval) {
    return;
  }
  askedAt_ = now;
  ++asked_;
  const std::string datagram =
    protocol::encodeActivityQuestion({ asked_, aHeads });
  for (const state::Endpoint& daemon : aDaemons) {
    socket_.send(daemon, datagram);
  }
  handler_({ asked_, activity_.activityOf(aHeads) }, now, true);
}

bool
ActivityExchange::take(const state::Endpoint& aFrom,
                       const std::string& aDatagram)
{
  if (const auto question = protocol::decodeActivityQuestion(aDatagram)) {
    const auto known = activity_.activityOf(question->heads_);
    if (!known.empty()) {
      socket_.send(
        aFrom, protocol::encodeActivityNotice({ question->number_, known }));
    }
    return true;
  }
  const auto notice = protocol::decodeActivityNotice(aDatagram);
  if (!notice) {
    return false;
  }
  const bool asked = notice->number_ != 0;
  if (!asked) {
    handler_(*notice, clock_.now(), false);
  } else if (notice->number_ == asked_) {
    // The ages were counted after the question was sent.
    handler_(*notice, askedAt_, true);
  }
  return true;
}

} // namespace auburnhaven::transport
