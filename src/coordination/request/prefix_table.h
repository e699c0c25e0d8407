// Hints about which targets have cached which prefixes of prompts.
#pragma once

#include "state/id_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>
#include <vector>

namespace auburnhaven::coordination {

inline constexpr std::size_t kPrefixBlockBytes =
  256; ///< Prompt bytes that each further hash covers.
inline constexpr std::size_t kMaxPrefixBlocks =
  32; ///< Maximum number of hashes of one prompt.

/**
 * Hashes the prefixes of a prompt; each hash covers one more block than the
 * previous one. Thread-safe.
 * @param aPrompt Prompt; an incomplete last block is ignored.
 * @param aModel Model and adapters; hashes for different models do not match.
 * @return Up to kMaxPrefixBlocks hashes, shortest prefix first.
 */
std::vector<std::uint64_t>
prefixHashes(std::string_view aPrompt, std::string_view aModel);

/** Hash that identifies a target under one assignment; 0 for none. */
using TargetHash = std::uint32_t;

/**
 * @param aVm VM of the target.
 * @param aFencing Fencing number of the target's assignment; a new assignment
 * changes the hash, so that hints for the previous one no longer match.
 * @return Hash of the target, never 0.
 */
TargetHash
targetHash(const state::VmId& aVm, state::FencingNumber aFencing);

/**
 * Set-associative table of bounded size that maps prefix hashes to the targets
 * that probably have the prefixes cached. New entries evict the least recently
 * added ones, and hints may be wrong. Thread-safe.
 */
class PrefixTable
{
public:
  static constexpr std::size_t kTargetsPerHash =
    2; ///< Targets remembered per hash.
  using Targets =
    std::array<TargetHash, kTargetsPerHash>; ///< Latest first; 0 for none.

  /** @param aEntries Number of hashes that the table can hold. */
  explicit PrefixTable(std::size_t aEntries = kDefaultEntries);
  /**
   * Records that a target has, or will have, a prefix cached.
   * @param aHash Hash of the prefix.
   * @param aTarget Hash of the target.
   */
  void add(std::uint64_t aHash, TargetHash aTarget);
  /**
   * Records that a target has evicted a prefix from its cache.
   * @param aHash Hash of the prefix.
   * @param aTarget Hash of the target.
   */
  void remove(std::uint64_t aHash, TargetHash aTarget);
  /**
   * @param aHash Hash of a prefix.
   * @return Targets that probably have the prefix cached.
   */
  Targets find(std::uint64_t aHash) const;
  /** @return Memory used by the table, in bytes. */
  std::size_t bytes() const;

private:
  static constexpr std::size_t kDefaultEntries = 16384; ///< Default capacity.
  static constexpr std::size_t kWays = 4;               ///< Entries per set.
  static constexpr std::size_t kLocks = 64; ///< Number of locks on the sets.

  /** Targets of one prefix hash. */
  struct Entry
  {
    std::uint64_t hash_ = 0;    ///< Prefix hash; 0 for an unused entry.
    Targets targets_{};         ///< Targets that probably cache the prefix.
    std::uint32_t lastAdd_ = 0; ///< Counter value of the set at the last add().
  };
  using Set = std::array<Entry, kWays>; ///< Entries to which a hash can map.

  std::vector<Set> sets_; ///< All entries.
  mutable std::array<std::mutex, kLocks>
    locks_; ///< Locks on the sets; a lock guards every kLocks-th set.
};

} // namespace auburnhaven::coordination
