// Quarantined sets of prompt parts in the store.

#include "coordination/quarantine/quarantine_record.h"

#include "state/digest_func.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::milliseconds kSettleTime(
  800); ///< From the quarantine of a set to its entry.
constexpr std::chrono::seconds kRetryTime(2); ///< After a call that failed.
constexpr std::size_t kMaxKeyBytes = 200;     ///< Longest key of the store.
constexpr std::string_view kDigestMark =
  "digest-"; ///< Begins the name of a set whose parts stand in the value.
constexpr std::size_t kDigestDigits = 32; ///< Digits of such a digest.

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
  const std::string text = state::textOf(aParts);
  if (fitsKey(text)) {
    return prefix_ + text;
  }
  return prefix_ + std::string(kDigestMark) +
         state::sha256Hex(text).substr(0, kDigestDigits);
}

std::string
QuarantineRecord::holderOf(const state::PromptParts& aParts) const
{
  const std::string text = state::textOf(aParts);
  return fitsKey(text) ? holder_ : holder_ + ' ' + text;
}

bool
QuarantineRecord::fitsKey(const std::string& aText) const
{
  return prefix_.size() + aText.size() <= kMaxKeyBytes;
}

state::PromptParts
QuarantineRecord::partsOf(const std::string& aKey,
                          const std::string& aValue) const
{
  const std::string_view name = std::string_view(aKey).substr(prefix_.size());
  if (!name.starts_with(kDigestMark)) {
    return state::promptPartsFrom(name);
  }
  return state::promptPartsFrom(
    std::string_view(aValue).substr(aValue.rfind(' ') + 1));
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
    holderOf(aParts),
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
    keyOf(aParts), holderOf(aParts), [](const LeaseReply& /*aReply*/) {});
}

void
QuarantineRecord::noteRestored()
{
  for (auto& [parts, entry] : entries_) {
    entry.stored_ = false;
  }
}

std::optional<state::PromptParts>
QuarantineRecord::take(const std::string& aKey,
                       const std::optional<std::string>& aValue)
{
  if (!aKey.starts_with(prefix_)) {
    return std::nullopt;
  }
  if (!aValue) {
    for (auto& [set, entry] : entries_) {
      entry.stored_ = entry.stored_ && keyOf(set) != aKey;
    }
    return std::nullopt;
  }
  state::PromptParts parts = partsOf(aKey, *aValue);
  std::sort(parts.begin(), parts.end());
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
