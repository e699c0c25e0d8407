// Shared table in memory that spreads entries among the daemons of a test.
#pragma once

#include "coordination/shared_table_port.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace auburnhaven::fakes {

/** Newest entries of all daemons of a test that are not cut off. */
using FakeTableData =
  std::map<coordination::EntryKey, coordination::SharedEntry>;

/** One daemon's shared table. Entries of others arrive in step(). Not
 * thread-safe. */
class FakeSharedTable : public coordination::SharedTable
{
public:
  /** @param aData Entries that the daemons exchange. */
  explicit FakeSharedTable(std::shared_ptr<FakeTableData> aData)
    : data_(std::move(aData))
  {
  }

  bool cut_ = false; ///< Whether this daemon is cut off from the others.

  /** Exchanges entries with the other daemons. */
  void step()
  {
    if (cut_) {
      return;
    }
    for (const auto& [key, entry] : own_) {
      keepNewer(*data_, entry);
    }
    for (const auto& [key, entry] : FakeTableData(*data_)) {
      publish(entry);
    }
  }

  bool publish(const coordination::SharedEntry& aEntry) override
  {
    if (!keepNewer(own_, aEntry)) {
      return false;
    }
    for (const auto& [kind, handler] : handlers_) {
      if (kind == aEntry.key_.kind_) {
        handler(aEntry);
      }
    }
    return true;
  }

  std::optional<coordination::SharedEntry> find(
    const coordination::EntryKey& aKey) const override
  {
    const auto found = own_.find(aKey);
    return found == own_.end() ? std::nullopt : std::optional(found->second);
  }

  std::vector<coordination::SharedEntry> list(
    coordination::EntryKind aKind) const override
  {
    std::vector<coordination::SharedEntry> entries;
    for (const auto& [key, entry] : own_) {
      if (key.kind_ == aKind && !entry.payload_.empty()) {
        entries.push_back(entry);
      }
    }
    return entries;
  }

  void subscribe(coordination::EntryKind aKind, EntryHandler aHandler) override
  {
    handlers_.emplace_back(aKind, std::move(aHandler));
  }

private:
  static bool keepNewer(FakeTableData& aTable,
                        const coordination::SharedEntry& aEntry)
  {
    const auto found = aTable.find(aEntry.key_);
    if (found != aTable.end() && found->second.version_ >= aEntry.version_) {
      return false;
    }
    aTable[aEntry.key_] = aEntry;
    return true;
  }

  std::shared_ptr<FakeTableData> data_; ///< Entries of all daemons.
  FakeTableData own_;                   ///< Entries of this daemon.
  std::vector<std::pair<coordination::EntryKind, EntryHandler>>
    handlers_; ///< Subscribers.
};

} // namespace auburnhaven::fakes
