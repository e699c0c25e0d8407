// Versioned entries that spread among all daemons.
#pragma once

#include "state/time_type.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Kind of a shared entry; decides how far it spreads. */
enum class EntryKind : std::uint8_t
{
  kVmInfo,         ///< Line of the VM list; spreads in its zone.
  kVmReport,       ///< Report of a VM; spreads in its zone.
  kCopySummary,    ///< Serving state of a copy; spreads to all zones.
  kDomainRecord,   ///< Assignments of a fabric domain; spreads in its zone.
  kConfigDocument, ///< Part of the configuration; spreads to all zones.
  kConfigHead,     ///< Head of the configuration; spreads to all zones.
  kDaemon,         ///< A daemon's own state; spreads in its zone.
  kUsage,          ///< Use of an account at a daemon; spreads in its zone.
  kObservedSet,    ///< VMs that a daemon observes; spreads in its zone.
  kOtherZone,      ///< State of another zone; spreads in its zone.
};

/** Key of a shared entry. */
struct EntryKey
{
  EntryKind kind_ = EntryKind::kDaemon; ///< Kind of the entry.
  std::string name_;                    ///< Name, unique within the kind.
  auto operator<=>(const EntryKey&) const = default;
};

/** Version of a shared entry; the greater wins. */
struct EntryVersion
{
  std::uint64_t major_ = 0; ///< Incarnation, generation or revision.
  std::uint64_t minor_ = 0; ///< Count within the major number.
  auto operator<=>(const EntryVersion&) const = default;
};

/** A shared entry. */
struct SharedEntry
{
  EntryKey key_;         ///< Its key.
  EntryVersion version_; ///< Its version.
  std::string payload_;  ///< Encoded content; empty for a removed entry.
  state::TimePoint
    observedAt_{}; ///< Local time, not later than when the content was true.
  bool operator==(const SharedEntry&) const = default;
};

/** Versioned entries of this daemon and its peers. Control thread only. */
class SharedTable
{
public:
  using EntryHandler = std::function<void(
    const SharedEntry&)>; ///< Takes an entry that became newer.

  virtual ~SharedTable() = default;
  /**
   * Puts an entry in when it is newer than the present one, and spreads it.
   * @param aEntry The entry.
   * @return Whether it was newer.
   */
  virtual bool publish(const SharedEntry& aEntry) = 0;
  /**
   * @param aKey Key of an entry.
   * @return The newest entry known, or nothing.
   */
  virtual std::optional<SharedEntry> find(const EntryKey& aKey) const = 0;
  /**
   * @param aKind Kind of entries.
   * @return All known entries of the kind that are not removed, by name.
   */
  virtual std::vector<SharedEntry> list(EntryKind aKind) const = 0;
  /**
   * Calls a handler for each entry of a kind that becomes newer, own or
   * received.
   * @param aKind Kind of entries.
   * @param aHandler Called on the control thread.
   */
  virtual void subscribe(EntryKind aKind, EntryHandler aHandler) = 0;
};

} // namespace auburnhaven::coordination
