// Prolongs the authority of a lease holder while the store is silent.

#include "coordination/lease_extension.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::seconds kSeriesGap(
  1); ///< Time without a request after which the next one begins a new series.

} // namespace

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

bool
LeaseExtension::noteReply(std::uint64_t aNumber,
                          const state::Endpoint& aFrom,
                          ExtensionReply aReply,
                          std::size_t aDaemons)
{
  if (aNumber != number_) {
    return false;
  }
  if (aReply == ExtensionReply::kRefused) {
    refused_ = true;
    return false;
  }
  granted_.insert(aFrom);
  const std::size_t withHolder = granted_.size() + 1;
  const bool extends = !refused_ && withHolder * 2 > aDaemons;
  if (extends) {
    lease_.extend(askedAt_ + timing_.promise_ - timing_.margin_);
  }
  return extends;
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

std::optional<ExtensionReply>
ExtensionPromises::answer(const state::ZoneId& aZone,
                          std::uint64_t aAuthority,
                          state::TimePoint aStoreAnsweredAt)
{
  Zone& zone = zones_[aZone];
  const state::TimePoint now = clock_.now();
  if (now - zone.lastRequestAt_ > kSeriesGap) {
    zone.firstRequestAt_ = now;
  }
  zone.lastRequestAt_ = now;
  const bool storeAnswers = aStoreAnsweredAt >= zone.firstRequestAt_;
  if (storeAnswers || aAuthority < zone.authority_) {
    return ExtensionReply::kRefused;
  }
  if (now - zone.firstRequestAt_ < timing_.storeWait_) {
    return std::nullopt;
  }
  zone.authority_ = aAuthority;
  zone.until_ = now + timing_.promise_;
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
