// Lease of one fabric domain's coordination, with an authority that ends early.

#include "coordination/group/domain_lease.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::seconds kRetryPause{
  1
}; ///< Pause before a failed renewal is repeated.

} // namespace

DomainLease::DomainLease(state::Clock& aClock,
                         Store& aStore,
                         std::string aName,
                         std::string aHolder,
                         const GroupLimits& aLimits)
  : clock_(aClock)
  , store_(aStore)
  , name_(std::move(aName))
  , holder_(std::move(aHolder))
  , limits_(aLimits)
  , lastAnswer_(aClock.now())
{
}

void
DomainLease::tick(std::optional<state::Duration> aPeriod)
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
DomainLease::holds() const
{
  return !stopped_ && clock_.now() < until_;
}

state::TimePoint
DomainLease::heldSince() const
{
  return since_;
}

state::TimePoint
DomainLease::lastAnswer() const
{
  return lastAnswer_;
}

void
DomainLease::release(DoneHandler aHandler)
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
DomainLease::request()
{
  const state::TimePoint sentAt = clock_.now();
  underWay_ = true;
  nextRequest_ = std::max(nextRequest_, sentAt + limits_.leaseRenewal_);
  const std::weak_ptr<bool> alive = alive_;
  store_.acquireLease(name_,
                      holder_,
                      limits_.leaseTimeToLive_,
                      [this, alive, sentAt](const LeaseReply& aReply) {
                        if (!alive.expired()) {
                          takeAnswer(aReply, sentAt);
                        }
                      });
}

void
DomainLease::takeAnswer(const LeaseReply& aReply, state::TimePoint aSentAt)
{
  underWay_ = false;
  const state::TimePoint now = clock_.now();
  const bool answered = aReply.status_ != StoreStatus::kUnavailable &&
                        aReply.status_ != StoreStatus::kUnknown;
  if (answered) {
    lastAnswer_ = now;
  }
  if (!answered && holds()) {
    nextRequest_ = now + kRetryPause;
  }
  if (aReply.status_ == StoreStatus::kConflict) {
    until_ = {};
    number_ = 0;
  }
  if (aReply.status_ != StoreStatus::kOk || stopped_) {
    return;
  }
  if (aReply.number_ != number_) {
    number_ = aReply.number_;
    since_ = now;
  }
  until_ = aSentAt + limits_.leaseTimeToLive_ - limits_.leaseMargin_;
  nextRequest_ = aSentAt + limits_.leaseRenewal_;
}

} // namespace auburnhaven::coordination
