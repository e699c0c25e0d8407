// Versioned entries that spread by deltas and are repaired by digests.
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

/** A peer that entries go to. */
struct GossipLink
{
  state::Endpoint endpoint_; ///< The peer.
  bool otherZone_ = false;   ///< Whether it is a daemon of another zone.
  auto operator<=>(const GossipLink&) const = default;
};

/** Limits for what a table sends. */
struct TableBudget
{
  std::size_t bytesPerSecond_ = 6000;      ///< Mean for entries to all peers.
  std::size_t peakBytesPerSecond_ = 64000; ///< Peak for entries to all peers.
  std::size_t burstBytes_ = 4000000; ///< Unused bytes that may be saved up.
};

/**
 * The shared table of one daemon. A new entry goes once over each link; lost
 * ones are found by comparing digests of buckets. Control thread only.
 */
class GossipTable : public SharedTable
{
public:
  static constexpr std::size_t kBuckets = 64; ///< Buckets of a digest.

  /**
   * @param aClock Source of time.
   * @param aBudget Limits for what is sent.
   */
  GossipTable(const state::Clock& aClock, const TableBudget& aBudget);

  bool publish(const SharedEntry& aEntry) override;
  std::optional<SharedEntry> find(const EntryKey& aKey) const override;
  std::vector<SharedEntry> list(EntryKind aKind) const override;
  void subscribe(EntryKind aKind, EntryHandler aHandler) override;

  /** @param aLinks Peers that entries go to from now on. */
  void setLinks(const std::vector<GossipLink>& aLinks);
  /**
   * Takes in an entry of a peer.
   * @param aFrom The peer.
   * @param aEntry The entry, its time corrected for the transit.
   */
  void receive(const GossipLink& aFrom, const WireEntry& aEntry);
  /**
   * Takes the entries that a peer may not have yet, within the limits.
   * @param aTo The peer.
   * @return Entries to send to it.
   */
  std::vector<WireEntry> collect(const GossipLink& aTo);
  /**
   * @param aTo Peer that the digests go to.
   * @return Digests of all entries that it may have.
   */
  DigestMessage digest(const GossipLink& aTo) const;
  /**
   * Compares digests of a peer and schedules what fills its empty buckets.
   * @param aFrom The peer.
   * @param aDigest Its digests.
   * @return Summaries of some buckets that differ; no buckets when none do.
   */
  BucketMessage compare(const GossipLink& aFrom, const DigestMessage& aDigest);
  /**
   * Compares summaries of a peer and schedules what it lacks.
   * @param aFrom The peer.
   * @param aBuckets Its summaries.
   * @return What this daemon lacks.
   */
  EntryRequestMessage compare(const GossipLink& aFrom,
                              const BucketMessage& aBuckets);
  /**
   * Schedules entries that a peer asks for.
   * @param aFrom The peer.
   * @param aWant What it asks for.
   */
  void answer(const GossipLink& aFrom, const EntryRequestMessage& aWant);
  /** Refills the limits and drops old entries. Call at each tick. */
  void tick();
  /** @return Number of entries held, removed ones included. */
  std::size_t size() const { return entries_.size(); }
  /** @return Entries that still wait for a link. */
  std::size_t backlog() const;

private:
  /** An entry held. */
  struct Held
  {
    SharedEntry entry_;            ///< The entry.
    bool foreign_ = false;         ///< Whether it has come from another zone.
    std::uint64_t keyHash_ = 0;    ///< Hash of its key.
    std::uint32_t payload_ = 0;    ///< Hash of its payload.
    state::TimePoint changedAt_{}; ///< When it became newest here.
  };
  /** What waits for one link. */
  struct Queue
  {
    std::array<std::set<std::uint64_t>, 8>
      byOrder_;                      ///< Key hashes by order of the kind.
    std::set<std::uint64_t> repair_; ///< Key hashes for an empty table.
  };
  using Digests = std::array<std::uint32_t, kBuckets>; ///< Digest per bucket.

  bool put(const SharedEntry& aEntry, bool aForeign);
  void spread(const Held& aHeld, const GossipLink* aExcept, bool aForward);
  bool mayCross(const Held& aHeld, const GossipLink& aLink) const;
  void flip(const Held& aHeld);
  void schedule(const GossipLink& aTo, const Held& aHeld);
  bool drain(std::set<std::uint64_t>& aKeys,
             bool aRepaired,
             std::vector<WireEntry>& aOut);
  std::vector<const Held*> inBucket(std::size_t aBucket,
                                    const GossipLink& aLink) const;
  void dropOld();

  const state::Clock& clock_; ///< Source of time.
  TableBudget budget_;        ///< Limits for what is sent.
  std::unordered_map<std::uint64_t, Held> entries_; ///< Entries by key hash.
  std::map<EntryKind, std::map<std::string, std::uint64_t>>
    byKind_; ///< Key hashes by kind and name.
  std::array<std::set<std::uint64_t>, kBuckets>
    buckets_;             ///< Key hashes of each bucket.
  Digests zoneDigests_{}; ///< Digests of all entries.
  Digests allDigests_{};  ///< Digests of the entries for all zones.
  std::map<GossipLink, Queue> queues_; ///< What waits for each link.
  std::map<EntryKind, std::vector<EntryHandler>> handlers_; ///< Subscribers.
  double saved_ = 0;              ///< Bytes saved up under the mean.
  double bytesLeft_ = 0;          ///< Bytes that may be sent now.
  state::TimePoint refilledAt_{}; ///< When the limits were refilled.
  state::TimePoint cleanedAt_{};  ///< When old entries were dropped.
};

} // namespace auburnhaven::coordination
