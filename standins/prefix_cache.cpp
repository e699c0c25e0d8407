// Cache of prompt prefixes of one engine, with late and lossy events.

#include "prefix_cache.h"

#include "state/digest_func.h"

#include <algorithm>

namespace auburnhaven::standins {

namespace {

constexpr std::chrono::milliseconds kEventLag{ 300 }; ///< Delay of events.
constexpr std::uint64_t kLostOneIn = 50;  ///< One event in so many is lost.
constexpr std::size_t kEventsKept = 4096; ///< Most events kept.

} // namespace

PrefixCache::PrefixCache(std::size_t aCapacity)
  : capacity_(aCapacity)
{
}

std::size_t
PrefixCache::admit(std::string_view aPrompt)
{
  std::size_t missing = 0;
  for (std::size_t end = kBlockBytes; end <= aPrompt.size();
       end += kBlockBytes) {
    const std::uint64_t hash = state::stableHash(aPrompt.substr(0, end));
    const auto found = places_.find(hash);
    if (found != places_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      continue;
    }
    ++missing;
    order_.push_front(hash);
    places_[hash] = order_.begin();
    note(hash, true);
  }
  while (order_.size() > capacity_) {
    note(order_.back(), false);
    places_.erase(order_.back());
    order_.pop_back();
  }
  return missing;
}

std::vector<CacheEvent>
PrefixCache::eventsAfter(std::uint64_t aAfter) const
{
  const auto now = std::chrono::steady_clock::now();
  std::vector<CacheEvent> visible;
  for (const CacheEvent& event : events_) {
    if (event.visibleAt_ > now) {
      break;
    }
    if (event.number_ > aAfter && event.number_ % kLostOneIn != 0) {
      visible.push_back(event);
    }
  }
  return visible;
}

void
PrefixCache::clear()
{
  order_.clear();
  places_.clear();
  events_.clear();
}

void
PrefixCache::note(std::uint64_t aHash, bool aStored)
{
  const auto visible = std::chrono::steady_clock::now() + kEventLag;
  events_.push_back({ nextNumber_++, aHash, aStored, visible });
  if (events_.size() > kEventsKept) {
    events_.pop_front();
  }
}

} // namespace auburnhaven::standins
