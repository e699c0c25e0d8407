// How each kind of shared entry spreads.
#pragma once

#include "coordination/shared_table_port.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace auburnhaven::coordination {

/** How far a kind of entry spreads. */
enum class EntryScope : std::uint8_t
{
  kZone,     ///< Among the daemons of one zone.
  kAllZones, ///< Among all daemons.
};

/** How one kind of entry spreads. */
struct EntryKindRule
{
  EntryKind kind_;              ///< The kind.
  EntryScope scope_;            ///< How far it spreads.
  std::uint8_t sendOrder_;      ///< Lesser goes first when bytes are short.
  std::chrono::seconds maxAge_; ///< Age at which it is dropped; 0 for never.
};

inline constexpr std::chrono::minutes kTombstoneRetention{
  10
}; ///< How long a removed entry is remembered.

/** Rules by number of the kind. */
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

/** @return The rule of a kind. */
constexpr const EntryKindRule&
ruleOf(EntryKind aKind)
{
  return kEntryKindRules[static_cast<std::size_t>(aKind)];
}

/** @return Whether the rules stand in the order of the kinds. */
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
