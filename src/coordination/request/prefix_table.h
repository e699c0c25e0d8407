// Hints about which target has cached which prefix of a prompt.
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
  256; ///< Bytes of a prompt that one more hash covers.
inline constexpr std::size_t kMaxPrefixBlocks =
  32; ///< Most hashes of one prompt.

/**
 * Hashes the prefixes of a prompt; each hash covers one block more than the
 * one before. Thread-safe.
 * @param aPrompt The prompt.
 * @param aModel Model and adapters; prompts to others never match.
 * @return Hashes of the whole blocks, shortest prefix first.
 */
std::vector<std::uint64_t>
prefixHashes(std::string_view aPrompt, std::string_view aModel);

/** Number that stands for a target in one of its roles. */
using TargetHash = std::uint32_t;

/**
 * @param aVm VM of the target.
 * @param aFencing Number of its assignment; another role is another number.
 * @return Its number, never 0.
 */
TargetHash
targetHash(const state::VmId& aVm, state::FencingNumber aFencing);

/**
 * Table of bounded size from hashes to the targets that probably have them
 * cached. New hints push out old ones; what it says may be wrong. Thread-safe.
 */
class PrefixTable
{
public:
  static constexpr std::size_t kTargetsPerHash =
    2; ///< Targets remembered for one hash.
  using Targets =
    std::array<TargetHash, kTargetsPerHash>; ///< Latest first; 0 for none.

  /** @param aEntries Number of hashes to remember. */
  explicit PrefixTable(std::size_t aEntries = kDefaultEntries);
  /**
   * Notes that a target has, or will have, a prefix cached.
   * @param aHash Hash of the prefix.
   * @param aTarget The target.
   */
  void add(std::uint64_t aHash, TargetHash aTarget);
  /**
   * Notes that a target has dropped a prefix.
   * @param aHash Hash of the prefix.
   * @param aTarget The target.
   */
  void remove(std::uint64_t aHash, TargetHash aTarget);
  /**
   * @param aHash Hash of a prefix.
   * @return Targets that probably have it.
   */
  Targets find(std::uint64_t aHash) const;
  /** @return Bytes that the table takes. */
  std::size_t bytes() const;

private:
  static constexpr std::size_t kDefaultEntries = 16384; ///< Default size.
  static constexpr std::size_t kWays = 4;   ///< Places that a hash may take.
  static constexpr std::size_t kLocks = 64; ///< Locks over the sets.

  /** One remembered hash. */
  struct Entry
  {
    std::uint64_t hash_ = 0;  ///< The hash; 0 for none.
    Targets targets_{};       ///< Targets.
    std::uint32_t stamp_ = 0; ///< Time of last use in the count of its set.
  };
  using Set = std::array<Entry, kWays>; ///< Entries that share a place.

  std::vector<Set> sets_;                        ///< All entries.
  mutable std::array<std::mutex, kLocks> locks_; ///< Guard the sets.
};

} // namespace auburnhaven::coordination
