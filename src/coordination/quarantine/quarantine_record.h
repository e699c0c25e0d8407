// Quarantined sets of prompt parts in the store.
#pragma once

#include "coordination/quarantine/prompt_quarantine.h"
#include "coordination/store_port.h"
#include "state/event_log.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburnhaven::coordination {

/**
 * Writes quarantined sets to the store and reads them, so that daemons that
 * start know them before they send anything. An entry is a lease that nobody
 * renews; its key names the parts, or a digest of them when they are too many
 * for a key, and then its value does. Control thread only.
 */
class QuarantineRecord
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aStore Store; outlives this object.
   * @param aLog Log; outlives this object.
   * @param aPrefix Key prefix of the entries.
   * @param aHolder Name of this daemon, by which it holds its entries.
   */
  QuarantineRecord(const state::Clock& aClock,
                   Store& aStore,
                   state::EventLog& aLog,
                   std::string aPrefix,
                   std::string aHolder);
  QuarantineRecord(const QuarantineRecord&) = delete;
  QuarantineRecord& operator=(const QuarantineRecord&) = delete;

  /**
   * Writes the sets that the store lacks, and removes those that this daemon
   * wrote and that have been lifted. A set is written only after a while, since
   * most sets shrink at first.
   * @param aQuarantine The sets.
   */
  void update(const PromptQuarantine& aQuarantine);
  /** Notes that the store has returned to an older state. Entries that it still
   * has are told by take() after this. */
  void noteRestored();
  /**
   * Takes a changed key of the store.
   * @param aKey The key.
   * @param aValue Its value; nothing when it does not exist.
   * @return The set of an entry that exists; nothing for other keys, removed
   * and malformed ones.
   */
  std::optional<state::PromptParts> take(
    const std::string& aKey,
    const std::optional<std::string>& aValue);

private:
  /** What is known of the entry of a set. */
  struct Entry
  {
    state::TimePoint firstSeenAt_{}; ///< When the set was first quarantined.
    state::TimePoint tryAt_{};       ///< When to write it next.
    bool stored_ = false;            ///< Whether the store has it.
    bool own_ = false;               ///< Whether this daemon wrote it.
  };

  bool fitsKey(const std::string& aText) const;
  std::string keyOf(const state::PromptParts& aParts) const;
  std::string holderOf(const state::PromptParts& aParts) const;
  state::PromptParts partsOf(const std::string& aKey,
                             const std::string& aValue) const;
  void write(const state::PromptParts& aParts);
  void remove(const state::PromptParts& aParts);

  const state::Clock& clock_;                   ///< Clock.
  Store& store_;                                ///< Store.
  state::EventLog& log_;                        ///< Log.
  std::string prefix_;                          ///< Key prefix.
  std::string holder_;                          ///< Name of this daemon.
  std::map<state::PromptParts, Entry> entries_; ///< By set.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Makes callbacks no-ops after destruction.
};

} // namespace auburnhaven::coordination
