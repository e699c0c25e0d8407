// Interface to a key-value store with list and watch by prefix.
#pragma once

#include "coordination/store_port.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** A key with its value. */
struct StoreItem
{
  std::string key_;          ///< Key.
  std::string value_;        ///< Value.
  state::Revision revision_; ///< Revision of the last change of the key.
  bool operator==(const StoreItem&) const = default;
};

/** Reply to a list of the keys with a prefix. */
struct ListReply
{
  StoreStatus status_ = StoreStatus::kUnavailable; ///< kOk or kUnavailable.
  std::vector<StoreItem> items_;                   ///< Keys in ascending order.
  state::Revision at_; ///< Store revision from which a watch can continue.
  bool operator==(const ListReply&) const = default;
};

/** Required consistency of a list. */
enum class ListConsistency : std::uint8_t
{
  kLinearizable, ///< State of the store at the time of the call or later.
  kMayBeStale,   ///< May be seconds old; far cheaper for the store.
};

/** One change of a key. */
struct StoreChange
{
  std::string key_; ///< Key.
  std::optional<std::string>
    value_;                  ///< New value; absent if the key was removed.
  state::Revision revision_; ///< Revision of the change.
  bool operator==(const StoreChange&) const = default;
};

/** Status of a watch of a prefix. */
enum class WatchStatus : std::uint8_t
{
  kChanges,     ///< Changes follow, or the watch timed out without any.
  kCompacted,   ///< The store has compacted the history; list the keys again.
  kRestored,    ///< The store has returned to an older state, so that changes
                ///< may be missing; list the keys again, consistently.
  kUnavailable, ///< No reply.
};

/** Reply to a watch of a prefix. */
struct WatchReply
{
  WatchStatus status_ = WatchStatus::kUnavailable; ///< Status.
  std::vector<StoreChange>
    changes_;          ///< Changes in order of revision; may be empty.
  state::Revision at_; ///< Store revision from which the next watch continues.
  bool operator==(const WatchReply&) const = default;
};

/** Store whose keys can also be listed and watched by prefix. The threading and
 * callback rules of Store apply. */
class PrefixStore : public Store
{
public:
  using ListHandler =
    std::function<void(const ListReply&)>; ///< Receives a list.
  using WatchHandler =
    std::function<void(const WatchReply&)>; ///< Receives changes.

  /**
   * Reads all keys with a prefix.
   * @param aPrefix Prefix; empty for all keys.
   * @param aConsistency Required consistency. A watch from the revision of the
   * list returns all changes that a stale list lacks.
   * @param aHandler Receives kOk or kUnavailable.
   */
  virtual void list(const std::string& aPrefix,
                    ListConsistency aConsistency,
                    ListHandler aHandler) = 0;
  /**
   * Waits for changes of keys with a prefix. Counts as one call in flight while
   * it waits.
   * @param aPrefix Prefix; empty for all keys.
   * @param aAfter Store revision already known; later changes are returned.
   * @param aTimeout Maximum wait.
   * @param aHandler Receives the changes.
   */
  virtual void watchPrefix(const std::string& aPrefix,
                           state::Revision aAfter,
                           state::Duration aTimeout,
                           WatchHandler aHandler) = 0;
};

} // namespace auburnhaven::coordination
