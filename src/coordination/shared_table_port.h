// Interface to the table of versioned entries that daemons share by gossip.
#pragma once

#include "state/time_type.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Kind of a shared entry; determines whether gossip crosses zones. */
enum class EntryKind : std::uint8_t
{
  kVmInfo,         ///< VM of the VM list; shared within its zone.
  kVmReport,       ///< Report of a VM; shared within its zone.
  kCopySummary,    ///< Serving state of a copy; shared with all zones.
  kDomainRecord,   ///< Assignments of a fabric domain; shared within its zone.
  kConfigDocument, ///< Part of the configuration; shared with all zones.
  kConfigHead,     ///< Head of the configuration; shared with all zones.
  kDaemon,         ///< State of a daemon; shared within its zone.
  kUsage, ///< Usage of a client account at a daemon; shared within its zone.
  kObservedSet, ///< VMs that a daemon observes; shared within its zone.
  kOtherZone,   ///< State of another zone; shared within this zone.
};

/** Key of a shared entry. */
struct EntryKey
{
  EntryKind kind_ = EntryKind::kDaemon; ///< Kind of the entry.
  std::string name_;                    ///< Name, unique within the kind.
  auto operator<=>(const EntryKey&) const = default;
};

/** Version of a shared entry; the greatest version wins. */
struct EntryVersion
{
  std::uint64_t major_ = 0; ///< Incarnation, generation or revision.
  std::uint64_t minor_ = 0; ///< Counter within the major number.
  auto operator<=>(const EntryVersion&) const = default;
};

/** A shared entry. */
struct SharedEntry
{
  EntryKey key_;         ///< Key.
  EntryVersion version_; ///< Version.
  std::string payload_;  ///< Encoded content; empty if the entry was removed.
  state::TimePoint
    observedAt_{}; ///< Local time; a lower bound of when the content was true.
  bool operator==(const SharedEntry&) const = default;
};

/** Versioned entries of this daemon and its peers. Control thread only. */
class SharedTable
{
public:
  using EntryHandler = std::function<void(
    const SharedEntry&)>; ///< Receives an entry with a newer version.

  virtual ~SharedTable() = default;
  /**
   * Stores an entry if its version is newer than the current one, and gossips
   * it.
   * @param aEntry Entry to publish.
   * @return Whether it was newer.
   */
  virtual bool publish(const SharedEntry& aEntry) = 0;
  /**
   * @param aKey Key of the entry.
   * @return Newest known version of the entry, or std::nullopt if there is
   * none.
   */
  virtual std::optional<SharedEntry> find(const EntryKey& aKey) const = 0;
  /**
   * @param aKind Kind of the entries.
   * @return All entries of the kind that are not removed, sorted by name.
   */
  virtual std::vector<SharedEntry> list(EntryKind aKind) const = 0;
  /**
   * Registers a handler that is called for each new version of an entry of a
   * kind, whether published locally or received from a peer.
   * @param aKind Kind of the entries.
   * @param aHandler Called on the control thread.
   */
  virtual void subscribe(EntryKind aKind, EntryHandler aHandler) = 0;
};

} // namespace auburnhaven::coordination
