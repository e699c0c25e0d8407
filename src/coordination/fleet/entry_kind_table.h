// Table of the gossip rules for each kind of shared entry.
#pragma once

#include "coordination/shared_table_port.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace auburnhaven::coordination {

/** Set of daemons to which a kind of entry is gossiped. */
enum class EntryScope : std::uint8_t
{
  kZone,     ///< All daemons of one zone.
  kAllZones, ///< All daemons of all zones.
};

/** Gossip rule for one kind of entry. */
struct EntryKindRule
{
  EntryKind kind_;   ///< Kind that the rule is for.
  EntryScope scope_; ///< Daemons that receive it.
  std::uint8_t
    sendOrder_; ///< Send priority when bandwidth is limited; 0 is sent first.
  std::chrono::seconds
    maxAge_; ///< Age at which an entry is dropped; 0 for never.
};

inline constexpr std::chrono::minutes kTombstoneRetention{
  10
}; ///< How long the tombstone of a removed entry is kept.

/** Gossip rules, indexed by EntryKind. */
inline constexpr std::array kEntryKindRules{
  EntryKindRule{ EntryKind::kVmInfo,
                 EntryScope::kZone,
                 1,
                 std::chrono::seconds(0) },
  EntryKindRule{ EntryKind::kVmReport,
                 EntryScope::kZone,
                 2,
                 std::chrono::seconds(0) },
  EntryKindRule{ EntryKind::kCopySummary,
                 EntryScope::kAllZones,
                 3,
                 std::chrono::minutes(2) },
  EntryKindRule{ EntryKind::kDomainRecord,
                 EntryScope::kZone,
                 2,
                 std::chrono::seconds(0) },
  EntryKindRule{ EntryKind::kConfigDocument,
                 EntryScope::kAllZones,
                 4,
                 std::chrono::seconds(0) },
  EntryKindRule{ EntryKind::kConfigHead,
                 EntryScope::kAllZones,
                 4,
                 std::chrono::seconds(0) },
  EntryKindRule{ EntryKind::kDaemon,
                 EntryScope::kZone,
                 0,
                 std::chrono::seconds(0) },
  EntryKindRule{ EntryKind::kUsage,
                 EntryScope::kZone,
                 5,
                 std::chrono::seconds(30) },
  EntryKindRule{ EntryKind::kObservedSet,
                 EntryScope::kZone,
                 1,
                 std::chrono::seconds(0) },
  EntryKindRule{ EntryKind::kOtherZone,
                 EntryScope::kZone,
                 5,
                 std::chrono::minutes(2) },
};

/** @return The gossip rule for a kind. */
constexpr const EntryKindRule&
ruleOf(EntryKind aKind)
{
  return kEntryKindRules[static_cast<std::size_t>(aKind)];
}

/** @return Whether the rules are in the order of EntryKind, so that they can be
 * indexed by it. */
constexpr bool
rulesFollowKindOrder()
{
  for (std::size_t index = 0; index < kEntryKindRules.size(); ++index) {
    if (static_cast<std::size_t>(kEntryKindRules[index].kind_) != index) {
      return false;
    }
  }
  return true;
}

static_assert(rulesFollowKindOrder());

} // namespace auburnhaven::coordination
