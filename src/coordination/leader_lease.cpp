// Leader lease whose local authority ends before the lease in the store.

#include "coordination/leader_lease.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::milliseconds kAnswerAge(
  600); ///< Age of the latest answer after which the store counts as silent.
constexpr std::chrono::milliseconds kAnswerWait(
  200); ///< Wait for an answer after which the store counts as silent.

} // namespace

LeaderLease::LeaderLease(state::Clock& aClock,
                         Store& aStore,
                         std::string aName,
                         std::string aHolder,
                         const LeaseTiming& aTiming)
  : clock_(aClock)
  , store_(aStore)
  , name_(std::move(aName))
  , holder_(std::move(aHolder))
  , timing_(aTiming)
  , lastReplyTime_(aClock.now())
{
}

void
LeaderLease::tick(std::optional<state::Duration> aAttemptInterval)
{
  const state::TimePoint now = clock_.now();
  if (released_ || requestInFlight_) {
    return;
  }
  if (holds()) {
    if (now >= nextRequest_) {
      request();
    }
    return;
  }
  if (aAttemptInterval && now >= nextRequest_) {
    nextRequest_ = now + *aAttemptInterval;
    request();
  }
}

bool
LeaderLease::holds() const
{
  return !released_ && clock_.now() < authorityEnd_;
}

state::TimePoint
LeaderLease::heldSince() const
{
  return authorityStart_;
}

std::uint64_t
LeaderLease::number() const
{
  return number_;
}

state::TimePoint
LeaderLease::lastReplyTime() const
{
  return lastReplyTime_;
}

void
LeaderLease::probe()
{
  if (!released_ && !requestInFlight_ && number_ != 0) {
    request();
  }
}

bool
LeaderLease::isAnswered() const
{
  const state::TimePoint now = clock_.now();
  const bool waits = requestInFlight_ && now - requestedAt_ > kAnswerWait;
  return !waits && now - lastReplyTime_ < kAnswerAge;
}

void
LeaderLease::extend(state::TimePoint aUntil)
{
  if (holds()) {
    authorityEnd_ = std::max(authorityEnd_, aUntil);
  }
}

void
LeaderLease::assume(std::uint64_t aNumber, state::TimePoint aUntil)
{
  if (released_ || holds()) {
    return;
  }
  number_ = aNumber;
  authorityStart_ = clock_.now();
  authorityEnd_ = aUntil;
}

void
LeaderLease::release(DoneHandler aHandler)
{
  released_ = true;
  authorityEnd_ = {};
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
  requestInFlight_ = true;
  requestedAt_ = sentAt;
  nextRequest_ = std::max(nextRequest_, sentAt + timing_.renewal_);
  const std::weak_ptr<bool> alive = alive_;
  store_.acquireLease(name_,
                      holder_,
                      timing_.timeToLive_,
                      [this, alive, sentAt](const LeaseReply& aReply) {
                        if (!alive.expired()) {
                          handleReply(aReply, sentAt);
                        }
                      });
}

void
LeaderLease::handleReply(const LeaseReply& aReply, state::TimePoint aSentAt)
{
  requestInFlight_ = false;
  const state::TimePoint now = clock_.now();
  const bool answered = aReply.status_ != StoreStatus::kUnavailable &&
                        aReply.status_ != StoreStatus::kUnknown;
  if (answered) {
    lastReplyTime_ = now;
  }
  if (!answered && holds()) {
    nextRequest_ = now + timing_.retryPause_;
  }
  if (aReply.status_ == StoreStatus::kConflict) {
    authorityEnd_ = {};
    number_ = 0;
    if (holderHandler_ && !aReply.holder_.empty()) {
      holderHandler_(aReply.holder_);
    }
  }
  if (aReply.status_ != StoreStatus::kOk || released_) {
    return;
  }
  // After an extension, the store may grant the lease anew to its holder.
  const bool continues = holds();
  if (aReply.number_ != number_ && !continues) {
    authorityStart_ = now;
  }
  number_ = aReply.number_;
  authorityEnd_ = aSentAt + timing_.timeToLive_ - timing_.margin_;
  nextRequest_ = aSentAt + timing_.renewal_;
}

} // namespace auburnhaven::coordination
