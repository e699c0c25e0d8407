// Table of versioned entries, replicated by gossip and digest comparison.

#include "coordination/fleet/gossip_table.h"

#include "state/digest_func.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kMaxSummaries =
  512; ///< Summaries after which no further bucket is added to a message.
constexpr std::size_t kEntryOverheadBytes =
  16; ///< Estimated bytes of an encoded entry besides its name and payload.
constexpr state::Duration kCleanPeriod =
  std::chrono::seconds(5); ///< Time between two searches for expired entries.

/** @return Hash of a key. */
std::uint64_t
hashOf(const EntryKey& aKey)
{
  return state::stableHash(aKey.name_,
                           static_cast<std::uint64_t>(aKey.kind_) + 1);
}

/** @return Short hash of a payload. */
std::uint32_t
shortHash(const std::string& aPayload)
{
  return static_cast<std::uint32_t>(state::stableHash(aPayload));
}

/** @return Estimated size of an encoded entry, in bytes. */
double
sizeOf(const SharedEntry& aEntry)
{
  return static_cast<double>(aEntry.key_.name_.size() + aEntry.payload_.size() +
                             kEntryOverheadBytes);
}

} // namespace

GossipTable::GossipTable(const state::Clock& aClock, const TableBudget& aBudget)
  : clock_(aClock)
  , budget_(aBudget)
  , burstLeft_(static_cast<double>(aBudget.burstBytes_))
  , lastRefilledAt_(aClock.now())
  , lastCleanedAt_(aClock.now())
{
}

bool
GossipTable::publish(const SharedEntry& aEntry)
{
  if (!put(aEntry, false)) {
    return false;
  }
  propagate(entries_.at(hashOf(aEntry.key_)), nullptr, true);
  return true;
}

std::optional<SharedEntry>
GossipTable::find(const EntryKey& aKey) const
{
  const auto found = entries_.find(hashOf(aKey));
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return found->second.entry_;
}

std::vector<SharedEntry>
GossipTable::list(EntryKind aKind) const
{
  std::vector<SharedEntry> entries;
  const auto kind = byKind_.find(aKind);
  if (kind == byKind_.end()) {
    return entries;
  }
  for (const auto& [name, hash] : kind->second) {
    const SharedEntry& entry = entries_.at(hash).entry_;
    if (!entry.payload_.empty()) {
      entries.push_back(entry);
    }
  }
  return entries;
}

void
GossipTable::subscribe(EntryKind aKind, EntryHandler aHandler)
{
  handlers_[aKind].push_back(std::move(aHandler));
}

bool
GossipTable::put(const SharedEntry& aEntry, bool aForeign)
{
  const std::uint64_t hash = hashOf(aEntry.key_);
  auto found = entries_.find(hash);
  if (found != entries_.end()) {
    SharedEntry& held = found->second.entry_;
    if (held.version_ == aEntry.version_ && held.payload_ == aEntry.payload_) {
      held.observedAt_ = std::max(held.observedAt_, aEntry.observedAt_);
      return false;
    }
    if (std::tie(aEntry.version_, aEntry.payload_) <
        std::tie(held.version_, held.payload_)) {
      return false;
    }
    toggleDigest(found->second);
  } else {
    found = entries_.try_emplace(hash).first;
    byKind_[aEntry.key_.kind_][aEntry.key_.name_] = hash;
    buckets_[hash % kBuckets].insert(hash);
  }
  found->second = {
    aEntry, aForeign, hash, shortHash(aEntry.payload_), clock_.now()
  };
  toggleDigest(found->second);
  return true;
}

void
GossipTable::toggleDigest(const StoredEntry& aStored)
{
  const std::uint64_t words[] = { aStored.keyHash_,
                                  aStored.entry_.version_.major_,
                                  aStored.entry_.version_.minor_,
                                  aStored.payloadHash_ };
  const std::string_view bytes(reinterpret_cast<const char*>(words),
                               sizeof(words));
  const auto digest = static_cast<std::uint32_t>(state::stableHash(bytes));
  const std::size_t bucket = aStored.keyHash_ % kBuckets;
  zoneDigests_[bucket] ^= digest;
  if (ruleOf(aStored.entry_.key_.kind_).scope_ == EntryScope::kAllZones) {
    allDigests_[bucket] ^= digest;
  }
}

bool
GossipTable::maySendTo(const StoredEntry& aStored,
                       const GossipLink& aLink) const
{
  return !aLink.otherZone_ ||
         ruleOf(aStored.entry_.key_.kind_).scope_ == EntryScope::kAllZones;
}

void
GossipTable::propagate(const StoredEntry& aStored,
                       const GossipLink* aSender,
                       bool aForward)
{
  if (aForward) {
    for (const auto& [link, queue] : queues_) {
      // The zone that published an entry sends it to all other zones itself.
      const bool skip = (aSender != nullptr && link == *aSender) ||
                        (link.otherZone_ && aStored.foreign_);
      if (!skip) {
        enqueue(link, aStored);
      }
    }
  }
  const auto handlers = handlers_.find(aStored.entry_.key_.kind_);
  if (handlers == handlers_.end()) {
    return;
  }
  const SharedEntry entry = aStored.entry_;
  for (const EntryHandler& handler : handlers->second) {
    handler(entry);
  }
}

void
GossipTable::enqueue(const GossipLink& aTo, const StoredEntry& aStored)
{
  const auto queue = queues_.find(aTo);
  if (queue != queues_.end() && maySendTo(aStored, aTo)) {
    const std::size_t order = ruleOf(aStored.entry_.key_.kind_).sendOrder_;
    queue->second.byOrder_.at(order).insert(aStored.keyHash_);
  }
}

void
GossipTable::setLinks(const std::vector<GossipLink>& aLinks)
{
  const std::set<GossipLink> links(aLinks.begin(), aLinks.end());
  std::erase_if(
    queues_, [&](const auto& aItem) { return !links.contains(aItem.first); });
  for (const GossipLink& link : links) {
    queues_.try_emplace(link);
  }
}

void
GossipTable::receive(const GossipLink& aFrom, const WireEntry& aEntry)
{
  const bool newer = put(aEntry.entry_, aFrom.otherZone_ || aEntry.foreign_);
  const std::uint64_t hash = hashOf(aEntry.entry_.key_);
  const StoredEntry& held = entries_.at(hash);
  if (newer) {
    propagate(held, &aFrom, !aEntry.repaired_);
    return;
  }
  const auto queue = queues_.find(aFrom);
  if (queue != queues_.end() &&
      held.entry_.version_ == aEntry.entry_.version_ &&
      held.entry_.payload_ == aEntry.entry_.payload_) {
    queue->second.byOrder_.at(ruleOf(aEntry.entry_.key_.kind_).sendOrder_)
      .erase(hash);
  }
}

std::vector<WireEntry>
GossipTable::collect(const GossipLink& aTo)
{
  std::vector<WireEntry> out;
  const auto queue = queues_.find(aTo);
  if (queue == queues_.end()) {
    return out;
  }
  for (std::set<std::uint64_t>& keys : queue->second.byOrder_) {
    if (!dequeue(keys, false, out)) {
      return out;
    }
  }
  dequeue(queue->second.repair_, true, out);
  return out;
}

bool
GossipTable::dequeue(std::set<std::uint64_t>& aKeys,
                     bool aRepaired,
                     std::vector<WireEntry>& aOut)
{
  while (!aKeys.empty()) {
    if (sendableBytes_ <= 0) {
      return false;
    }
    const auto found = entries_.find(*aKeys.begin());
    aKeys.erase(aKeys.begin());
    if (found == entries_.end()) {
      continue;
    }
    sendableBytes_ -= sizeOf(found->second.entry_);
    burstLeft_ -= sizeOf(found->second.entry_);
    aOut.push_back({ found->second.entry_, found->second.foreign_, aRepaired });
  }
  return true;
}

DigestMessage
GossipTable::digest(const GossipLink& aTo) const
{
  const Digests& digests = aTo.otherZone_ ? allDigests_ : zoneDigests_;
  return { { digests.begin(), digests.end() } };
}

std::vector<const GossipTable::StoredEntry*>
GossipTable::entriesInBucket(std::size_t aBucket, const GossipLink& aLink) const
{
  std::vector<const StoredEntry*> entries;
  for (const std::uint64_t hash : buckets_.at(aBucket)) {
    const StoredEntry& held = entries_.at(hash);
    if (maySendTo(held, aLink)) {
      entries.push_back(&held);
    }
  }
  return entries;
}

BucketMessage
GossipTable::compare(const GossipLink& aFrom, const DigestMessage& aDigest)
{
  BucketMessage message;
  const Digests& own = aFrom.otherZone_ ? allDigests_ : zoneDigests_;
  const std::size_t count = std::min(kBuckets, aDigest.buckets_.size());
  const auto queue = queues_.find(aFrom);
  for (std::size_t bucket = 0; bucket < count; ++bucket) {
    if (own[bucket] == aDigest.buckets_[bucket]) {
      continue;
    }
    if (aDigest.buckets_[bucket] == 0 && queue != queues_.end()) {
      for (const StoredEntry* held : entriesInBucket(bucket, aFrom)) {
        queue->second.repair_.insert(held->keyHash_);
      }
    } else if (message.summaries_.size() < kMaxSummaries) {
      message.buckets_.push_back(static_cast<std::uint32_t>(bucket));
      for (const StoredEntry* held : entriesInBucket(bucket, aFrom)) {
        message.summaries_.push_back(
          { held->keyHash_, held->entry_.version_, held->payloadHash_ });
      }
    }
  }
  return message;
}

EntryRequestMessage
GossipTable::compare(const GossipLink& aFrom, const BucketMessage& aBuckets)
{
  EntryRequestMessage request;
  std::map<std::uint64_t, const EntrySummary*> theirs;
  for (const EntrySummary& summary : aBuckets.summaries_) {
    theirs[summary.key_] = &summary;
    const auto own = entries_.find(summary.key_);
    const bool missing = own == entries_.end() ||
                         own->second.entry_.version_ < summary.version_ ||
                         (own->second.entry_.version_ == summary.version_ &&
                          own->second.payloadHash_ != summary.payload_);
    if (missing) {
      request.keys_.push_back(summary.key_);
    }
  }
  for (const std::uint32_t bucket : aBuckets.buckets_) {
    if (bucket >= kBuckets) {
      continue;
    }
    for (const StoredEntry* held : entriesInBucket(bucket, aFrom)) {
      const auto their = theirs.find(held->keyHash_);
      const bool missing = their == theirs.end() ||
                           their->second->version_ < held->entry_.version_ ||
                           (their->second->version_ == held->entry_.version_ &&
                            their->second->payload_ != held->payloadHash_);
      if (missing) {
        enqueue(aFrom, *held);
      }
    }
  }
  return request;
}

void
GossipTable::enqueueRequested(const GossipLink& aFrom,
                              const EntryRequestMessage& aRequest)
{
  for (const std::uint64_t key : aRequest.keys_) {
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
      enqueue(aFrom, found->second);
    }
  }
}

void
GossipTable::tick()
{
  const state::TimePoint now = clock_.now();
  const double seconds =
    std::chrono::duration<double>(now - lastRefilledAt_).count();
  lastRefilledAt_ = now;
  const auto limit = static_cast<double>(budget_.burstBytes_);
  const auto peak = static_cast<double>(budget_.peakBytesPerSecond_);
  burstLeft_ = std::min(
    burstLeft_ + static_cast<double>(budget_.bytesPerSecond_) * seconds, limit);
  // Limits a burst to what the peak rate allows in a quarter of a second, one
  // gossip round.
  sendableBytes_ =
    std::min({ sendableBytes_ + peak * seconds, peak / 4, burstLeft_ });
  if (now - lastCleanedAt_ >= kCleanPeriod) {
    lastCleanedAt_ = now;
    removeExpired();
  }
}

void
GossipTable::removeExpired()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(entries_, [&](const auto& aItem) {
    const StoredEntry& held = aItem.second;
    const EntryKey& key = held.entry_.key_;
    const std::chrono::seconds limit = ruleOf(key.kind_).maxAge_;
    const bool expired =
      held.entry_.payload_.empty()
        ? now - held.changedAt_ > kTombstoneRetention
        : limit.count() > 0 && now - held.entry_.observedAt_ > limit;
    if (expired) {
      toggleDigest(held);
      byKind_[key.kind_].erase(key.name_);
      buckets_[held.keyHash_ % kBuckets].erase(held.keyHash_);
    }
    return expired;
  });
}

std::size_t
GossipTable::backlog() const
{
  std::size_t count = 0;
  for (const auto& [link, queue] : queues_) {
    for (const std::set<std::uint64_t>& keys : queue.byOrder_) {
      count += keys.size();
    }
    count += queue.repair_.size();
  }
  return count;
}

} // namespace auburnhaven::coordination
