// Prolongs the authority of a lease holder while the store is silent.

#include "coordination/lease_extension.h"

#include <algorithm>

namespace auburnhaven::coordination {

LeaseExtension::LeaseExtension(const state::Clock& aClock,
                               LeaderLease& aLease,
                               const ExtensionTiming& aTiming)
  : clock_(aClock)
  , lease_(aLease)
  , timing_(aTiming)
{
}

std::optional<std::uint64_t>
LeaseExtension::nextRequest()
{
  const state::TimePoint now = clock_.now();
  const bool due = lease_.holds() && !lease_.isAnswered() &&
                   now - askedAt_ >= timing_.interval_;
  if (!due) {
    return std::nullopt;
  }
  askedAt_ = now;
  refused_ = false;
  granted_.clear();
  return ++number_;
}

void
LeaseExtension::noteReply(std::uint64_t aNumber,
                          const state::Endpoint& aFrom,
                          ExtensionReply aReply,
                          std::size_t aDaemons)
{
  if (aNumber != number_) {
    return;
  }
  if (aReply == ExtensionReply::kRefused) {
    refused_ = true;
    return;
  }
  granted_.insert(aFrom);
  const std::size_t withHolder = granted_.size() + 1;
  if (!refused_ && withHolder * 2 > aDaemons) {
    lease_.extend(askedAt_ + timing_.promise_ - timing_.margin_);
  }
}

std::optional<state::Endpoint>
LeaseExtension::heir() const
{
  const bool current = lease_.holds() && !lease_.isAnswered() && !refused_;
  return current && !granted_.empty() ? std::optional(*granted_.begin())
                                      : std::nullopt;
}

ExtensionPromises::ExtensionPromises(const state::Clock& aClock,
                                     const ExtensionTiming& aTiming)
  : clock_(aClock)
  , timing_(aTiming)
{
}

ExtensionReply
ExtensionPromises::answer(const state::ZoneId& aZone,
                          std::uint64_t aAuthority,
                          bool aStoreAnswers)
{
  Zone& zone = zones_[aZone];
  if (aStoreAnswers || aAuthority < zone.authority_) {
    return ExtensionReply::kRefused;
  }
  zone.authority_ = aAuthority;
  zone.until_ = clock_.now() + timing_.promise_;
  return ExtensionReply::kPromised;
}

std::optional<state::TimePoint>
ExtensionPromises::takeOver(const state::ZoneId& aZone,
                            std::uint64_t aAuthority) const
{
  const auto found = zones_.find(aZone);
  const bool bound =
    isPromised(aZone) && found->second.authority_ == aAuthority;
  return bound ? std::optional(found->second.until_ - timing_.margin_)
               : std::nullopt;
}

void
ExtensionPromises::noteAuthority(const state::ZoneId& aZone,
                                 std::uint64_t aAuthority)
{
  Zone& zone = zones_[aZone];
  zone.authority_ = std::max(zone.authority_, aAuthority);
}

bool
ExtensionPromises::isPromised(const state::ZoneId& aZone) const
{
  const auto found = zones_.find(aZone);
  return found != zones_.end() && clock_.now() < found->second.until_;
}

} // namespace auburnhaven::coordination
