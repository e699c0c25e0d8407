// Batches the claims of one slot and writes them to the store.
#pragma once

#include "coordination/request/claim_journal.h"
#include "coordination/request/claim_settings_type.h"
#include "coordination/request/claim_type.h"
#include "coordination/store_port.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Receives the result of an operation; kGranted for an end that was written.
 */
using ClaimHandler = std::function<void(const ClaimResult&)>;

/**
 * One value in the store that holds the claims of a share of the keys. Queued
 * operations are written as a batch by one compare-and-swap. If the result of a
 * write is unknown, the value is read again to find out whether it took effect.
 * Control thread only.
 */
class ClaimSlot
{
public:
  /**
   * @param aName Store key of the slot.
   * @param aStore Store; outlives this object.
   * @param aClock Clock; outlives this object.
   * @param aSettings Settings; outlive this object.
   * @param aCounts Counters to increment; outlive this object.
   */
  ClaimSlot(std::string aName,
            Store& aStore,
            const state::Clock& aClock,
            const ClaimSettings& aSettings,
            ClaimCounts& aCounts);
  ClaimSlot(const ClaimSlot&) = delete;
  ClaimSlot& operator=(const ClaimSlot&) = delete;

  /**
   * Enqueues an operation. During a store outage a claim gets kUnavailable
   * while an end stays queued.
   * @param aOperation Operation to write.
   * @param aIsOwn Whether this daemon made the claim. Only then is a refused
   * claim that may have been written ended as not run.
   * @param aHandler Called exactly once, possibly before this call returns.
   */
  void add(const ClaimOperation& aOperation,
           bool aIsOwn,
           ClaimHandler aHandler);
  /** Starts a read or write of the store if operations are due. */
  void advance();
  /** @return Whether no operation is queued and no store call in flight. */
  bool isIdle() const;
  /** @return Whether it is idle and was not used for idleSlotLifetime_. */
  bool isExpired() const;

private:
  /** An operation that is queued or being written. */
  struct Pending
  {
    ClaimOperation operation_;      ///< The operation.
    state::TimePoint enqueuedAt_{}; ///< When it was enqueued.
    bool isOwn_ = false;            ///< Whether this daemon made the claim.
    ClaimHandler handler_;          ///< Receives the result.
    ClaimResult result_; ///< Result, set when applied to the journal.
    bool possiblyWritten_ =
      false; ///< Whether the result of a write was unknown.

    /** @return Whether it claims a key. */
    bool isClaim() const { return operation_.end_ == ClaimEnd::kNone; }
  };

  /** Store call in flight. */
  enum class Phase : std::uint8_t
  {
    kIdle,    ///< None.
    kReading, ///< Read of the value.
    kWriting, ///< Write of the value.
  };

  bool isDue() const;
  void read();
  void handleReadReply(const StoreReply& aReply);
  void commit();
  void handleWriteReply(const StoreReply& aReply);
  void handleWriteFailure(StoreStatus aStatus);
  void completeBatch();
  bool needsReread() const;
  void compactIfNeeded();
  void apply(Pending& aPending);
  ClaimResult evaluateClaim(const ClaimOperation& aOperation,
                            const ClaimEntry& aEntry) const;
  void requeueBatch();
  void refuseClaims();

  const std::string name_;        ///< Store key.
  Store& store_;                  ///< Store.
  const state::Clock& clock_;     ///< Clock.
  const ClaimSettings& settings_; ///< Settings.
  ClaimCounts& counts_;           ///< Counters to increment.
  ClaimJournal journal_; ///< Last known content, and the batch being written.
  state::Revision revision_; ///< Store revision of the content.
  bool loaded_ = false;      ///< Whether the content was read and is usable.
  bool justRead_ = false;    ///< Whether a read completed in this call.
  std::size_t compactedBytes_ = 0; ///< Size after the last compaction.
  state::TimePoint compactedAt_{}; ///< Time of the last compaction.
  Phase phase_ = Phase::kIdle;     ///< Store call in flight.
  state::TimePoint nextCommit_{};  ///< Earliest time of the next store call.
  state::TimePoint lastUsedAt_{};  ///< When an operation was last added.
  std::deque<Pending> queue_;      ///< Operations to be written.
  std::vector<Pending> batch_;     ///< Operations being written.
};

} // namespace auburnhaven::coordination
