// Bounds how long each message was under way, without agreed clocks.

#include "coordination/fleet/link_clock.h"

#include <chrono>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kForgetAfter =
  std::chrono::minutes(1); ///< Silence after which a peer is forgotten.

/** @return Whole milliseconds of a duration. */
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
  const auto found = heard_.find(aTo);
  if (found != heard_.end()) {
    stamp.echoMs_ = found->second.stampMs_;
    stamp.echoDelayMs_ = toMs(clock_.now() - found->second.at_);
  }
  return stamp;
}

std::optional<state::Duration>
LinkClock::arrived(const state::Endpoint& aFrom, const LinkStamp& aStamp)
{
  heard_[aFrom] = { aStamp.sentMs_, clock_.now() };
  if (!aStamp.echoMs_) {
    return std::nullopt;
  }
  const std::int64_t transit = std::int64_t{ nowMs() } - *aStamp.echoMs_ -
                               std::int64_t{ aStamp.echoDelayMs_ };
  if (transit < -1) {
    return std::nullopt;
  }
  // Both ends round down to a millisecond.
  return std::chrono::milliseconds(transit + 2);
}

void
LinkClock::forgetSilent()
{
  std::erase_if(heard_, [this](const auto& aItem) {
    return clock_.now() - aItem.second.at_ > kForgetAfter;
  });
}

} // namespace auburnhaven::coordination
