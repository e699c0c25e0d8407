// Cache of prompt prefixes of one engine, with late and lossy events.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnhaven::standins {

/** One change of the cache. */
struct CacheEvent
{
  std::uint64_t number_ = 0; ///< Number of the event, from 1.
  std::uint64_t hash_ = 0;   ///< Hash of the prefix.
  bool stored_ = false;      ///< Stored or evicted.
  std::chrono::steady_clock::time_point visibleAt_; ///< When it may be told.
  bool operator==(const CacheEvent&) const = default;
};

/** Least-recently-used cache of prefixes in blocks. One thread. */
class PrefixCache
{
public:
  static constexpr std::size_t kBlockBytes = 256; ///< Prompt bytes of a block.

  /** @param aCapacity Most blocks kept. */
  explicit PrefixCache(std::size_t aCapacity);
  /**
   * Notes a prompt and stores its blocks.
   * @param aPrompt The prompt.
   * @return Number of blocks that were not cached.
   */
  std::size_t admit(std::string_view aPrompt);
  /**
   * @param aAfter Number of the last event known.
   * @return Visible events after it, without those that get lost.
   */
  std::vector<CacheEvent> eventsAfter(std::uint64_t aAfter) const;
  /** Forgets all blocks, as a restart does. */
  void clear();

private:
  void note(std::uint64_t aHash, bool aStored); ///< Records an event.

  std::size_t capacity_;           ///< Most blocks kept.
  std::list<std::uint64_t> order_; ///< Hashes, most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
    places_;                      ///< Place of each hash in the order.
  std::deque<CacheEvent> events_; ///< Latest events.
  std::uint64_t nextNumber_ = 1;  ///< Number of the next event.
};

} // namespace auburnhaven::standins
