// Quarantined sets of prompt parts in the store.

#include "coordination/quarantine/quarantine_record.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::milliseconds kSettleTime(
  800); ///< From the quarantine of a set to its entry.
constexpr std::chrono::seconds kRetryTime(2); ///< After a call that failed.

} // namespace

QuarantineRecord::QuarantineRecord(const state::Clock& aClock,
                                   Store& aStore,
                                   state::EventLog& aLog,
                                   std::string aPrefix,
                                   std::string aHolder)
  : clock_(aClock)
  , store_(aStore)
  , log_(aLog)
  , prefix_(std::move(aPrefix))
  , holder_(std::move(aHolder))
{
}

std::string
QuarantineRecord::keyOf(const state::PromptParts& aParts) const
{
  return prefix_ + state::textOf(aParts);
}

void
QuarantineRecord::update(const PromptQuarantine& aQuarantine)
{
  const state::TimePoint now = clock_.now();
  std::set<state::PromptParts> present;
  for (const QuarantinedParts& set : aQuarantine.sets()) {
    present.insert(set.parts_);
    Entry& entry = entries_[set.parts_];
    if (entry.firstSeenAt_ == state::TimePoint{}) {
      entry.firstSeenAt_ = now;
      entry.tryAt_ = now + kSettleTime;
    }
    if (!entry.stored_ && now >= entry.tryAt_) {
      entry.tryAt_ = now + kRetryTime;
      write(set.parts_);
    }
  }
  for (const auto& [parts, entry] : entries_) {
    if (entry.own_ && !present.contains(parts)) {
      remove(parts);
    }
  }
  std::erase_if(entries_, [&](const auto& aEntry) {
    return !present.contains(aEntry.first);
  });
}

void
QuarantineRecord::write(const state::PromptParts& aParts)
{
  const std::weak_ptr<bool> alive = alive_;
  store_.acquireLease(
    keyOf(aParts),
    holder_,
    PromptQuarantine::kDuration,
    [this, alive, aParts](const LeaseReply& aReply) {
      if (alive.expired()) {
        return;
      }
      const bool own = aReply.status_ == StoreStatus::kOk;
      const bool stored = own || aReply.status_ == StoreStatus::kConflict;
      const auto entry = entries_.find(aParts);
      if (entry != entries_.end() && stored) {
        entry->second.stored_ = true;
        entry->second.own_ = own;
      } else if (own) {
        // The set was lifted meanwhile.
        remove(aParts);
      }
      const std::string text = state::textOf(aParts);
      log_.write(state::LogWeight::kChange,
                 "quarantine",
                 stored ? "set is in the store" : "set could not be stored",
                 { state::logField("parts", std::string_view(text)),
                   state::logField("own", own) });
    });
}

void
QuarantineRecord::remove(const state::PromptParts& aParts)
{
  // The entry of a call that fails ends with its lease.
  store_.releaseLease(
    keyOf(aParts), holder_, [](const LeaseReply& /*aReply*/) {});
}

void
QuarantineRecord::noteRestored()
{
  for (auto& [parts, entry] : entries_) {
    entry.stored_ = false;
  }
}

std::optional<state::PromptParts>
QuarantineRecord::take(const std::string& aKey, bool aPresent)
{
  if (!aKey.starts_with(prefix_)) {
    return std::nullopt;
  }
  state::PromptParts parts =
    state::promptPartsFrom(std::string_view(aKey).substr(prefix_.size()));
  std::sort(parts.begin(), parts.end());
  const auto entry = entries_.find(parts);
  if (!aPresent) {
    if (entry != entries_.end()) {
      entry->second.stored_ = false;
    }
    return std::nullopt;
  }
  if (parts.empty()) {
    log_.write(state::LogWeight::kChange,
               "quarantine",
               "malformed entry ignored",
               { state::logField("key", std::string_view(aKey)) });
    return std::nullopt;
  }
  const state::TimePoint now = clock_.now();
  Entry& known =
    entries_.emplace(parts, Entry{ now, now, true, false }).first->second;
  known.stored_ = true;
  return parts;
}

} // namespace auburnhaven::coordination
