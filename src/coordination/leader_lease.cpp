// Lease of a duty, with an authority that ends before the store's lease.

#include "coordination/leader_lease.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

LeaderLease::LeaderLease(state::Clock& aClock,
                         Store& aStore,
                         std::string aName,
                         std::string aHolder,
                         const LeaseTiming& aLimits)
  : clock_(aClock)
  , store_(aStore)
  , name_(std::move(aName))
  , holder_(std::move(aHolder))
  , limits_(aLimits)
  , lastAnswer_(aClock.now())
{
}

void
LeaderLease::tick(std::optional<state::Duration> aPeriod)
{
  const state::TimePoint now = clock_.now();
  if (stopped_ || underWay_) {
    return;
  }
  if (holds()) {
    if (now >= nextRequest_) {
      request();
    }
    return;
  }
  if (aPeriod && now >= nextRequest_) {
    nextRequest_ = now + *aPeriod;
    request();
  }
}

bool
LeaderLease::holds() const
{
  return !stopped_ && clock_.now() < until_;
}

state::TimePoint
LeaderLease::heldSince() const
{
  return since_;
}

std::uint64_t
LeaderLease::number() const
{
  return number_;
}

state::TimePoint
LeaderLease::lastReplyTime() const
{
  return lastAnswer_;
}

void
LeaderLease::release(DoneHandler aHandler)
{
  stopped_ = true;
  until_ = {};
  const std::weak_ptr<bool> alive = alive_;
  store_.releaseLease(
    name_, holder_, [alive, aHandler](const LeaseReply& /*aReply*/) {
      if (!alive.expired()) {
        aHandler();
      }
    });
}

void
LeaderLease::request()
{
  const state::TimePoint sentAt = clock_.now();
  underWay_ = true;
  nextRequest_ = std::max(nextRequest_, sentAt + limits_.renewal_);
  const std::weak_ptr<bool> alive = alive_;
  store_.acquireLease(name_,
                      holder_,
                      limits_.timeToLive_,
                      [this, alive, sentAt](const LeaseReply& aReply) {
                        if (!alive.expired()) {
                          takeAnswer(aReply, sentAt);
                        }
                      });
}

void
LeaderLease::takeAnswer(const LeaseReply& aReply, state::TimePoint aSentAt)
{
  underWay_ = false;
  const state::TimePoint now = clock_.now();
  const bool answered = aReply.status_ != StoreStatus::kUnavailable &&
                        aReply.status_ != StoreStatus::kUnknown;
  if (answered) {
    lastAnswer_ = now;
  }
  if (!answered && holds()) {
    nextRequest_ = now + limits_.retryPause_;
  }
  if (aReply.status_ == StoreStatus::kConflict) {
    until_ = {};
    number_ = 0;
    if (takenHandler_ && !aReply.holder_.empty()) {
      takenHandler_(aReply.holder_);
    }
  }
  if (aReply.status_ != StoreStatus::kOk || stopped_) {
    return;
  }
  if (aReply.number_ != number_) {
    number_ = aReply.number_;
    since_ = now;
  }
  until_ = aSentAt + limits_.timeToLive_ - limits_.margin_;
  nextRequest_ = aSentAt + limits_.renewal_;
}

} // namespace auburnhaven::coordination
