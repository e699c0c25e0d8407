// Claims of one slot and their way into the store.
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

/** Takes the result of an operation; kGranted for an end that was written. */
using ClaimHandler = std::function<void(const ClaimResult&)>;

/**
 * One value in the store with the claims of some keys. Operations wait and are
 * written together by one compare-and-swap; an ambiguous write is settled by
 * reading. Control thread only.
 */
class ClaimSlot
{
public:
  /**
   * @param aName Key in the store.
   * @param aStore Store; outlives this object.
   * @param aClock Clock; outlives this object.
   * @param aSettings Limits; outlive this object.
   * @param aCounts Counts to add to; outlive this object.
   */
  ClaimSlot(std::string aName,
            Store& aStore,
            const state::Clock& aClock,
            const ClaimSettings& aSettings,
            ClaimCounts& aCounts);
  ClaimSlot(const ClaimSlot&) = delete;
  ClaimSlot& operator=(const ClaimSlot&) = delete;

  /**
   * Adds an operation. While the store is out a claim gets kUnavailable, an
   * end waits.
   * @param aOperation The operation.
   * @param aOwn Whether this daemon made the claim. Only then is a refused
   * claim that may have been written ended as not run.
   * @param aHandler Called exactly once, perhaps before this call returns.
   */
  void add(const ClaimOperation& aOperation, bool aOwn, ClaimHandler aHandler);
  /** Writes what is due. */
  void advance();
  /** @return Whether nothing waits and no call is under way. */
  bool idle() const;
  /** @return Whether it was idle for long. */
  bool unused() const;

private:
  /** An operation that waits or is being written. */
  struct Pending
  {
    ClaimOperation operation_;     ///< The operation.
    state::TimePoint queuedAt_{};  ///< When it was added.
    bool own_ = false;             ///< Whether this daemon made the claim.
    ClaimHandler handler_;         ///< Takes the result.
    ClaimResult result_;           ///< Result, once applied.
    bool possiblyWritten_ = false; ///< Whether a write of it ended unknown.

    /** @return Whether it claims a key. */
    bool isClaim() const { return operation_.end_ == ClaimEnd::kNone; }
  };

  /** Call to the store under way. */
  enum class Phase : std::uint8_t
  {
    kIdle,    ///< None.
    kReading, ///< Reads the value.
    kWriting, ///< Writes the value.
  };

  bool isDue() const;
  void read();
  void readDone(const StoreReply& aReply);
  void commit();
  void writeDone(const StoreReply& aReply);
  void writeFailed(StoreStatus aStatus);
  void deliverBatch();
  bool needsFreshContent() const;
  void makeRoom();
  void apply(Pending& aPending);
  ClaimResult judge(const ClaimOperation& aOperation,
                    const ClaimEntry& aEntry) const;
  void requeueBatch();
  void refuseClaims();

  const std::string name_;         ///< Key in the store.
  Store& store_;                   ///< Store.
  const state::Clock& clock_;      ///< Clock.
  const ClaimSettings& settings_;  ///< Limits.
  ClaimCounts& counts_;            ///< Counts to add to.
  ClaimJournal journal_;           ///< Last known content.
  state::Revision revision_;       ///< Revision of the content.
  bool loaded_ = false;            ///< Whether the content is known.
  bool fresh_ = false;             ///< Whether it was read just now.
  std::size_t compactedBytes_ = 0; ///< Length after the last compaction.
  state::TimePoint compactedAt_{}; ///< Time of the last compaction.
  Phase phase_ = Phase::kIdle;     ///< Call under way.
  state::TimePoint nextCommit_{};  ///< No commit before this.
  state::TimePoint usedAt_{};      ///< Last time something was added.
  std::deque<Pending> queue_;      ///< Operations that wait.
  std::vector<Pending> batch_;     ///< Operations being written.
};

} // namespace auburnhaven::coordination
