// A daemon's candidacy for coordinating one zone: lease and coordinator.

#include "coordination/replica/zone_leadership.h"

#include <utility>

namespace auburnhaven::coordination {

ZoneLeadership::ZoneLeadership(state::Clock& aClock,
                               Store& aStore,
                               ReplicaEngineClient& aEngines,
                               state::EventLog& aLog,
                               ZoneLeadershipSettings aSettings)
  : clock_(aClock)
  , settings_(std::move(aSettings))
  , vacantSince_(aClock.now())
  , lease_(aClock,
           aStore,
           settings_.key_,
           settings_.holderName_,
           settings_.lease_)
  , extension_(aClock, lease_)
  , coordinator_(aClock,
                 aEngines,
                 lease_,
                 aLog,
                 settings_.zone_,
                 settings_.limits_)
{
  lease_.onHeldByOther(
    [this](const std::string& aHolder) { setHolder(aHolder); });
}

void
ZoneLeadership::setHolder(const std::optional<std::string>& aHolder)
{
  if (holder_ && !aHolder) {
    vacantSince_ = clock_.now();
  }
  holder_ = aHolder;
}

void
ZoneLeadership::noteRestored()
{
  mayAcquireAt_ = clock_.now() + settings_.lease_.timeToLive_;
  if (lease_.holds()) {
    lease_.probe();
  }
}

void
ZoneLeadership::tick(bool aMayAcquire)
{
  const state::TimePoint now = clock_.now();
  const bool vacant = !holder_ || *holder_ == settings_.holderName_;
  const bool acquires = aMayAcquire && vacant && now >= mayAcquireAt_ &&
                        now - vacantSince_ >= settings_.takeoverDelay_;
  lease_.tick(acquires ? std::optional(settings_.acquirePeriod_)
                       : std::nullopt);
  coordinator_.tick();
}

void
ZoneLeadership::noteAuthority(std::uint64_t aAuthority)
{
  if (lease_.holds() && aAuthority > lease_.number()) {
    lease_.yield();
  }
}

void
ZoneLeadership::takeOver(std::uint64_t aAuthority,
                         std::uint64_t aEpochs,
                         state::TimePoint aUntil)
{
  coordinator_.noteEpochsUsed(aAuthority, aEpochs);
  lease_.assume(aAuthority, aUntil);
}

void
ZoneLeadership::handBack(LeaderLease::DoneHandler aHandler)
{
  if (lease_.holds()) {
    lease_.release(std::move(aHandler));
  }
}

} // namespace auburnhaven::coordination
