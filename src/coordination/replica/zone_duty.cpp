// A daemon's part in the coordination of one zone: the lease and the
// coordinator.

#include "coordination/replica/zone_duty.h"

#include <utility>

namespace auburnhaven::coordination {

ZoneDuty::ZoneDuty(state::Clock& aClock,
                   Store& aStore,
                   ReplicaEngines& aEngines,
                   state::EventLog& aLog,
                   ZoneDutySettings aSettings)
  : clock_(aClock)
  , settings_(std::move(aSettings))
  , vacantSince_(aClock.now())
  , lease_(aClock, aStore, settings_.key_, settings_.self_, settings_.lease_)
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
ZoneDuty::setHolder(const std::optional<std::string>& aHolder)
{
  if (holder_ && !aHolder) {
    vacantSince_ = clock_.now();
  }
  holder_ = aHolder;
}

void
ZoneDuty::tick(bool aMayTry)
{
  const bool vacant = !holder_ || *holder_ == settings_.self_;
  const bool tries =
    aMayTry && vacant && clock_.now() - vacantSince_ >= settings_.patience_;
  lease_.tick(tries ? std::optional(settings_.tryPeriod_) : std::nullopt);
  coordinator_.tick();
}

void
ZoneDuty::handBack(LeaderLease::DoneHandler aHandler)
{
  if (lease_.holds()) {
    lease_.release(std::move(aHandler));
  }
}

} // namespace auburnhaven::coordination
