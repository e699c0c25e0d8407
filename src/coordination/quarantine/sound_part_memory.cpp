// Remembers with which parts of prompts targets have answered of late.

#include "coordination/quarantine/sound_part_memory.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

SoundPartMemory::SoundPartMemory(state::Duration aRetention,
                                 std::size_t aMaxParts)
  : retention_(aRetention)
  , maxParts_(aMaxParts)
{
}

void
SoundPartMemory::note(const state::PromptParts& aParts,
                      state::TimePoint aAt,
                      state::TimePoint aNow)
{
  if (aNow - latestFrom_ > retention_ || latest_.size() >= maxParts_) {
    earlier_ = std::exchange(latest_, {});
    latestFrom_ = aNow;
  }
  for (const state::PromptPartId part : aParts) {
    state::TimePoint& at = latest_[part];
    at = std::max(at, aAt);
  }
}

std::optional<state::TimePoint>
SoundPartMemory::lastAt(state::PromptPartId aPart) const
{
  for (const Times* times : { &latest_, &earlier_ }) {
    const auto found = times->find(aPart);
    if (found != times->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace auburnhaven::coordination
