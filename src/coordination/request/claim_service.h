// At-most-once claims of idempotency keys through the store.
#pragma once

#include "coordination/request/claim_journal.h"
#include "coordination/request/claim_type.h"
#include "coordination/store_port.h"
#include "state/time_type.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnhaven::coordination {

/** Limits of the claim service. */
struct ClaimSettings
{
  std::uint32_t slots_ = 32; ///< Journals in the store; the same in all
                             ///< daemons, and never changed while claims live.
  state::Duration commitSpacing_ =
    std::chrono::milliseconds(150); ///< Least time between two commits of a
                                    ///< slot.
  state::Duration endDelay_ =
    std::chrono::milliseconds(500); ///< How long the end of a claim may wait
                                    ///< for a claim to be written with it.
  state::Duration dispatchWindow_ =
    std::chrono::seconds(5); ///< Time from the request of a claim in which its
                             ///< holder may begin to send.
  state::Duration holderLostAfter_ =
    std::chrono::minutes(2); ///< Age of a held claim from which its holder
                             ///< counts as lost.
  state::Duration storeBackoff_ =
    std::chrono::milliseconds(500);    ///< Wait after a failed call.
  std::size_t maxSlotBytes_ = 524288;  ///< Largest value of a slot.
  std::size_t maxAnswerBytes_ = 4096;  ///< Largest answer that is kept.
  std::size_t maxKeyBytes_ = 256;      ///< Longest key.
  std::size_t maxQueued_ = 2048;       ///< Most operations that wait in a slot.
  std::chrono::hours retention_{ 24 }; ///< How long keys are remembered.
  bool requireDatedKeys_ =
    false; ///< Whether keys that carry no time are refused.
  bool operator==(const ClaimSettings&) const = default;
};

/** Counts of the claim service. */
struct ClaimCounts
{
  std::uint64_t claims_ = 0;    ///< Claims asked for.
  std::uint64_t granted_ = 0;   ///< Claims granted.
  std::uint64_t reads_ = 0;     ///< Reads of the store.
  std::uint64_t writes_ = 0;    ///< Writes to the store.
  std::uint64_t conflicts_ = 0; ///< Writes that lost a race.
  std::uint64_t unknown_ = 0;   ///< Writes whose answer was lost.
  bool operator==(const ClaimCounts&) const = default;
};

/**
 * Claims of idempotency keys. Each key belongs to a slot, each slot is one
 * value in the store, and a claim is granted only after a compare-and-swap of
 * that value succeeded or a read showed the claim in it. Nobody takes a claim
 * over: when its holder is lost, the key stays claimed until the retention
 * ends. Control thread only.
 */
class ClaimService
{
public:
  using ClaimHandler =
    std::function<void(const ClaimResult&)>; ///< Takes the result.

  /**
   * @param aStore Store; outlives this object.
   * @param aClock Clock; outlives this object.
   * @param aDaemon Name of this daemon.
   * @param aIncarnation Start of this process, unique for the daemon.
   * @param aSettings Limits.
   */
  ClaimService(Store& aStore,
               const state::Clock& aClock,
               const state::DaemonId& aDaemon,
               state::Incarnation aIncarnation,
               ClaimSettings aSettings = {});

  /**
   * Claims a key.
   * @param aRequest The claim.
   * @param aHandler Called exactly once, perhaps before this call returns. The
   * token of the result is the one returned.
   * @return Token of the claim, to be ended with end().
   */
  ClaimToken claim(const ClaimRequest& aRequest, ClaimHandler aHandler);
  /**
   * Ends a claim; may be called before its handler was. Call exactly once for
   * each claim that was granted or whose handler was not called yet. After
   * kNotRun the holder must never dispatch. Unknown tokens are ignored.
   * @param aToken The claim.
   * @param aEnd How it ended.
   * @param aAnswer Answer, when finished; kept when small enough.
   */
  void end(ClaimToken aToken,
           ClaimEnd aEnd,
           std::shared_ptr<const StoredAnswer> aAnswer = {});
  /**
   * Sets how long keys are remembered.
   * @param aRetention Retention of the policy in force.
   */
  void setRetention(std::chrono::hours aRetention);
  /** Commits what is due. Call about every 10 ms. */
  void tick();
  /** @return Whether ends of claims still wait to be written. */
  bool hasPending() const;
  /** @return Counts since the start. */
  const ClaimCounts& counts() const { return counts_; }

private:
  /** One change of a slot that waits or is under way. */
  struct Operation
  {
    ClaimToken token_;               ///< Token of the claim.
    std::string key_;                ///< Short digest of the key.
    ClaimEnd end_ = ClaimEnd::kNone; ///< End; kNone for a claim.
    std::string body_;               ///< Short digest of the body, for a claim.
    state::TimePoint queuedAt_{};    ///< When it was asked for.
    ClaimHandler handler_;           ///< Takes the result, for a claim.
    std::shared_ptr<const StoredAnswer> answer_; ///< Answer, for an end.
    ClaimResult result_;                         ///< Result, once applied.
    bool mayBeWritten_ = false; ///< Whether a write of it ended unknown.
  };

  /** What a slot does with the store. */
  enum class SlotPhase : std::uint8_t
  {
    kIdle,    ///< Nothing under way.
    kReading, ///< Reads its value.
    kWriting, ///< Writes its value.
  };

  /** One slot. */
  struct Slot
  {
    std::string name_;                   ///< Key in the store.
    ClaimJournal journal_;               ///< Last known content.
    state::Revision revision_;           ///< Revision of the content.
    bool loaded_ = false;                ///< Whether the content is known.
    bool fresh_ = false;                 ///< Whether it was read just now.
    std::size_t compactedBytes_ = 0;     ///< Length after the last compaction.
    state::TimePoint compactedAt_{};     ///< Time of the last compaction.
    SlotPhase phase_ = SlotPhase::kIdle; ///< Call under way.
    state::TimePoint nextCommit_{};      ///< No commit before this.
    std::deque<Operation> queue_;        ///< Operations that wait.
    std::vector<Operation> batch_;       ///< Operations being written.
  };

  /** Where a live token of this daemon belongs. */
  struct OwnClaim
  {
    std::size_t slot_ = 0; ///< Index of the slot.
    std::string key_;      ///< Short digest of the key.
  };

  ClaimStatus checkKey(const std::string& aKey) const;
  bool isDue(const Slot& aSlot, state::TimePoint aNow) const;
  void advance(Slot& aSlot);
  void read(Slot& aSlot);
  void readDone(Slot& aSlot, const StoreReply& aReply);
  void commit(Slot& aSlot);
  void writeDone(Slot& aSlot, const StoreReply& aReply);
  void makeRoom(Slot& aSlot);
  void apply(Slot& aSlot, Operation& aOperation);
  ClaimResult judge(const Operation& aOperation,
                    const ClaimEntry& aEntry) const;
  void deliver(Operation& aOperation);
  void requeueBatch(Slot& aSlot);
  void refuseClaims(Slot& aSlot);
  bool needsFreshContent(const Slot& aSlot) const;

  Store& store_;                  ///< Store.
  const state::Clock& clock_;     ///< Clock.
  ClaimSettings settings_;        ///< Limits.
  const std::uint64_t tokenSeed_; ///< Makes tokens unique to this process.
  std::uint64_t nextToken_ = 1;   ///< Count of tokens.
  std::vector<Slot> slots_;       ///< All slots.
  std::unordered_map<std::uint64_t, OwnClaim> own_; ///< Live own tokens.
  ClaimCounts counts_;                              ///< Counts.
};

/**
 * Reads the time that an idempotency key carries: keys that are UUIDs of
 * version 7 carry the milliseconds since 1970.
 * @param aKey The key.
 * @return Its time, or nothing.
 */
std::optional<state::WallTime>
keyIssueTime(const std::string& aKey);

} // namespace auburnhaven::coordination
