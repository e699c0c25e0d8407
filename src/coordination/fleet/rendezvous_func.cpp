// Rendezvous hashing: assigns work to daemons without coordination.

#include "coordination/fleet/rendezvous_func.h"

#include "state/digest_func.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

/** @return Weight of a daemon for the hash of a key. */
std::uint64_t
weightOf(std::uint64_t aKey, const state::DaemonId& aDaemon)
{
  return state::stableHash(aDaemon.value(), aKey);
}

} // namespace

std::vector<state::DaemonId>
chooseDaemons(const std::string& aKey,
              const std::vector<state::DaemonId>& aDaemons,
              std::size_t aCount)
{
  const std::uint64_t keyHash = state::stableHash(aKey);
  std::vector<std::pair<std::uint64_t, const state::DaemonId*>> weights;
  weights.reserve(aDaemons.size());
  for (const state::DaemonId& daemon : aDaemons) {
    weights.emplace_back(weightOf(keyHash, daemon), &daemon);
  }
  const auto count =
    static_cast<std::ptrdiff_t>(std::min(aCount, weights.size()));
  std::partial_sort(weights.begin(),
                    weights.begin() + count,
                    weights.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first > aRight.first ||
                             (aLeft.first == aRight.first &&
                              *aLeft.second < *aRight.second);
                    });
  std::vector<state::DaemonId> chosen;
  for (std::ptrdiff_t index = 0; index < count; ++index) {
    chosen.push_back(*weights[static_cast<std::size_t>(index)].second);
  }
  return chosen;
}

std::size_t
rankOf(const std::string& aKey,
       const std::vector<state::DaemonId>& aDaemons,
       const state::DaemonId& aSelf)
{
  const std::uint64_t keyHash = state::stableHash(aKey);
  const std::uint64_t own = weightOf(keyHash, aSelf);
  std::size_t rank = 0;
  bool found = false;
  for (const state::DaemonId& daemon : aDaemons) {
    if (daemon == aSelf) {
      found = true;
      continue;
    }
    const std::uint64_t weight = weightOf(keyHash, daemon);
    if (weight > own || (weight == own && daemon < aSelf)) {
      ++rank;
    }
  }
  return found ? rank : aDaemons.size();
}

} // namespace auburnhaven::coordination
