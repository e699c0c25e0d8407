// Bounds the transit time of each message without synchronized clocks.

#include "coordination/fleet/link_clock.h"

#include <chrono>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kForgetAfter =
  std::chrono::minutes(1); ///< Silence after which a peer is forgotten.

/** @return A duration rounded down to whole milliseconds. */
std::uint32_t
toMs(state::Duration aDuration)
{
  return static_cast<std::uint32_t>(state::countMs(aDuration));
}

} // namespace

LinkClock::LinkClock(const state::Clock& aClock)
  : clock_(aClock)
  , start_(aClock.now())
{
}

std::uint32_t
LinkClock::nowMs() const
{
  return toMs(clock_.now() - start_);
}

LinkStamp
LinkClock::stamp(const state::Endpoint& aTo) const
{
  LinkStamp stamp{ nowMs(), std::nullopt, 0 };
  const auto found = received_.find(aTo);
  if (found != received_.end()) {
    stamp.echoMs_ = found->second.stampMs_;
    stamp.echoDelayMs_ = toMs(clock_.now() - found->second.receivedAt_);
  }
  return stamp;
}

std::optional<state::Duration>
LinkClock::recordArrival(const state::Endpoint& aFrom, const LinkStamp& aStamp)
{
  received_[aFrom] = { aStamp.sentMs_, clock_.now() };
  if (!aStamp.echoMs_) {
    return std::nullopt;
  }
  const std::int64_t transit = std::int64_t{ nowMs() } - *aStamp.echoMs_ -
                               std::int64_t{ aStamp.echoDelayMs_ };
  if (transit < -1) {
    return std::nullopt;
  }
  // Both ends round their times down to whole milliseconds, so the true value
  // may be up to 2 ms greater.
  return std::chrono::milliseconds(transit + 2);
}

void
LinkClock::forgetSilent()
{
  std::erase_if(received_, [this](const auto& aEntry) {
    return clock_.now() - aEntry.second.receivedAt_ > kForgetAfter;
  });
}

} // namespace auburnhaven::coordination
