// Interface to a key-value service whose keys are read by prefix.
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
  state::Revision revision_; ///< Revision of its last change.
  bool operator==(const StoreItem&) const = default;
};

/** All keys of a prefix. */
struct ListReply
{
  StoreStatus status_ = StoreStatus::kUnavailable; ///< kOk or kUnavailable.
  std::vector<StoreItem> items_;                   ///< The keys, in order.
  state::Revision at_; ///< Revision of the store from which a watch goes on.
  bool operator==(const ListReply&) const = default;
};

/** How recent a list must be. */
enum class ListConsistency : std::uint8_t
{
  kLinearizable, ///< As of the call.
  kMayBeStale,   ///< May be seconds old; costs the store far less.
};

/** One change of a key. */
struct StoreChange
{
  std::string key_;                  ///< Key.
  std::optional<std::string> value_; ///< New value; absent when removed.
  state::Revision revision_;         ///< Revision of the change.
  bool operator==(const StoreChange&) const = default;
};

/** How a watch of a prefix ended. */
enum class WatchStatus : std::uint8_t
{
  kChanges,     ///< There are changes, or none within the time.
  kCompacted,   ///< The store has dropped the history; the keys must be listed.
  kUnavailable, ///< No answer.
};

/** Changes below a prefix. */
struct WatchReply
{
  WatchStatus status_ = WatchStatus::kUnavailable; ///< How it ended.
  std::vector<StoreChange> changes_; ///< Changes in order; may be empty.
  state::Revision at_;               ///< Revision from which to go on.
  bool operator==(const WatchReply&) const = default;
};

/** A store whose keys can also be listed and watched by prefix. Rules of
 * calling as for Store. */
class PrefixStore : public Store
{
public:
  using ListHandler = std::function<void(const ListReply&)>; ///< Takes a list.
  using WatchHandler =
    std::function<void(const WatchReply&)>; ///< Takes changes.

  /**
   * Reads all keys of a prefix.
   * @param aPrefix The prefix; empty for all keys.
   * @param aConsistency How recent it must be. A watch from the list's revision
   * tells all that it lacks.
   * @param aHandler Takes kOk or kUnavailable.
   */
  virtual void list(const std::string& aPrefix,
                    ListConsistency aConsistency,
                    ListHandler aHandler) = 0;
  /**
   * Waits for changes below a prefix; counts as one call while it waits.
   * @param aPrefix The prefix; empty for all keys.
   * @param aAfter Revision already known.
   * @param aTimeout Longest wait.
   * @param aHandler Takes the changes.
   */
  virtual void watchPrefix(const std::string& aPrefix,
                           state::Revision aAfter,
                           state::Duration aTimeout,
                           WatchHandler aHandler) = 0;
};

} // namespace auburnhaven::coordination
