// Table of versioned entries, replicated by gossip and digest comparison.
#pragma once

#include "coordination/fleet/entry_kind_table.h"
#include "coordination/fleet/peer_message_type.h"
#include "coordination/shared_table_port.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace auburnhaven::coordination {

/** A peer that receives gossip. */
struct GossipLink
{
  state::Endpoint endpoint_; ///< The peer.
  bool otherZone_ = false;   ///< Whether the peer is in another zone.
  auto operator<=>(const GossipLink&) const = default;
};

/** Rate limits for the entries that a table sends to all peers together. */
struct TableBudget
{
  std::size_t bytesPerSecond_ = 6000;      ///< Sustained rate.
  std::size_t peakBytesPerSecond_ = 64000; ///< Peak rate.
  std::size_t burstBytes_ =
    4000000; ///< Burst: unused bytes that accumulate at most.
};

/**
 * The shared table of one daemon. A new entry is sent once over each link.
 * Entries lost on the way are found by comparing digests of buckets with the
 * peers. Control thread only.
 */
class GossipTable : public SharedTable
{
public:
  static constexpr std::size_t kBuckets =
    64; ///< Number of buckets, each with its own digest.

  /**
   * @param aClock Source of time.
   * @param aBudget Rate limits for sent entries.
   */
  GossipTable(const state::Clock& aClock, const TableBudget& aBudget);

  bool publish(const SharedEntry& aEntry) override;
  std::optional<SharedEntry> find(const EntryKey& aKey) const override;
  std::vector<SharedEntry> list(EntryKind aKind) const override;
  void subscribe(EntryKind aKind, EntryHandler aHandler) override;

  /**
   * Replaces the links. Entries queued for a removed link are dropped.
   * @param aLinks Peers that receive gossip from now on.
   */
  void setLinks(const std::vector<GossipLink>& aLinks);
  /**
   * Applies an entry received from a peer and forwards it when it is newer.
   * @param aFrom Peer that sent it.
   * @param aEntry The entry, with its time corrected for the transit time.
   */
  void receive(const GossipLink& aFrom, const WireEntry& aEntry);
  /**
   * Dequeues entries for a peer, within the rate limits.
   * @param aTo Peer that receives them.
   * @return Entries to send to the peer, in sending order of their kinds.
   */
  std::vector<WireEntry> collect(const GossipLink& aTo);
  /**
   * @param aTo Peer that receives the digests.
   * @return Digests of all entries that this peer may receive.
   */
  DigestMessage digest(const GossipLink& aTo) const;
  /**
   * Compares the digests of a peer with the own ones and queues all entries of
   * the buckets that are empty at the peer.
   * @param aFrom Peer that sent the digests.
   * @param aDigest Digests of the peer.
   * @return Summaries of other buckets that differ; a bounded number.
   */
  BucketMessage compare(const GossipLink& aFrom, const DigestMessage& aDigest);
  /**
   * Compares the summaries of a peer with the own entries and queues the
   * entries that the peer lacks.
   * @param aFrom Peer that sent the summaries.
   * @param aBuckets Summaries of the peer.
   * @return Request for the entries that this daemon lacks.
   */
  EntryRequestMessage compare(const GossipLink& aFrom,
                              const BucketMessage& aBuckets);
  /**
   * Queues entries that a peer requests.
   * @param aFrom Peer that sent the request.
   * @param aRequest Key hashes of the entries; unknown ones are ignored.
   */
  void enqueueRequested(const GossipLink& aFrom,
                        const EntryRequestMessage& aRequest);
  /** Refills the byte budget and drops expired entries. Call at each tick. */
  void tick();
  /** @return Number of stored entries, tombstones of removed ones included. */
  std::size_t size() const { return entries_.size(); }
  /** @return Number of queued entries, summed over all links. */
  std::size_t backlog() const;

private:
  /** An entry with its hashes. */
  struct StoredEntry
  {
    SharedEntry entry_;             ///< The entry.
    bool foreign_ = false;          ///< Whether another zone published it.
    std::uint64_t keyHash_ = 0;     ///< Hash of its key.
    std::uint32_t payloadHash_ = 0; ///< Short hash of its payload.
    state::TimePoint changedAt_{};  ///< When this version was stored here.
  };
  /** Entries queued for one link. */
  struct Queue
  {
    std::array<std::set<std::uint64_t>, 8>
      byOrder_; ///< Key hashes by sending order of the kind.
    std::set<std::uint64_t>
      repair_; ///< Key hashes for empty buckets of the peer, sent last.
  };
  using Digests = std::array<std::uint32_t, kBuckets>; ///< Digest per bucket.

  bool put(const SharedEntry& aEntry, bool aForeign);
  void propagate(const StoredEntry& aStored,
                 const GossipLink* aSender,
                 bool aForward);
  bool maySendTo(const StoredEntry& aStored, const GossipLink& aLink) const;
  void toggleDigest(const StoredEntry& aStored);
  void enqueue(const GossipLink& aTo, const StoredEntry& aStored);
  bool dequeue(std::set<std::uint64_t>& aKeys,
               bool aRepaired,
               std::vector<WireEntry>& aOut);
  std::vector<const StoredEntry*> entriesInBucket(
    std::size_t aBucket,
    const GossipLink& aLink) const;
  void removeExpired();

  const state::Clock& clock_; ///< Source of time.
  TableBudget budget_;        ///< Rate limits for sent entries.
  std::unordered_map<std::uint64_t, StoredEntry>
    entries_; ///< Entries by key hash.
  std::map<EntryKind, std::map<std::string, std::uint64_t>>
    byKind_; ///< Key hashes by kind and name.
  std::array<std::set<std::uint64_t>, kBuckets>
    buckets_;             ///< Key hashes of each bucket.
  Digests zoneDigests_{}; ///< Digests of all entries.
  Digests
    allDigests_{}; ///< Digests of the entries that are shared between zones.
  std::map<GossipLink, Queue> queues_; ///< Entries queued for each link.
  std::map<EntryKind, std::vector<EntryHandler>> handlers_; ///< Subscribers.
  double burstLeft_ = 0;     ///< Bytes that the sustained rate still allows.
  double sendableBytes_ = 0; ///< Bytes that may be sent until the next refill.
  state::TimePoint
    lastRefilledAt_{}; ///< When the byte budget was last refilled.
  state::TimePoint
    lastCleanedAt_{}; ///< When expired entries were last dropped.
};

} // namespace auburnhaven::coordination
