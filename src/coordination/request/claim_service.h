// At-most-once claims of idempotency keys through the store.
#pragma once

#include "coordination/request/claim_slot.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnhaven::coordination {

/**
 * Forwards operations to the claim services of the other daemons of the zone.
 * Control thread only.
 */
class ClaimPeers
{
public:
  virtual ~ClaimPeers() = default;
  /**
   * Sends an operation to another daemon, which passes it to
   * ClaimService::serve().
   * @param aTo Receiving daemon.
   * @param aOperation Operation to write.
   * @param aHandler Receives the result; may never be called.
   */
  virtual void forward(const state::DaemonId& aTo,
                       const ClaimOperation& aOperation,
                       ClaimHandler aHandler) = 0;
};

/**
 * Claims idempotency keys. Each key maps to a slot, and each slot is one value
 * in the store. A claim is granted only after a compare-and-swap of that value
 * succeeded or a read found the claim in it. All daemons forward the operations
 * of a slot to its preferred writer, chosen by rendezvous hashing. If the
 * writer does not answer, a daemon writes the operation itself; the
 * compare-and-swap makes concurrent writers safe. A claim never changes hands:
 * if its holder is lost, the key stays claimed until the retention ends.
 * Control thread only.
 */
class ClaimService
{
public:
  using ClaimHandler = coordination::ClaimHandler; ///< Receives the result.

  /**
   * @param aStore Store of the slots; outlives this object.
   * @param aClock Monotonic and wall clock; outlives this object.
   * @param aDaemon Name of this daemon.
   * @param aIncarnation Incarnation of this process, unique for the daemon.
   * @param aSettings Settings.
   * @param aPeers Forwards to the other daemons; outlives this object. If null,
   * this daemon writes all operations itself.
   */
  ClaimService(Store& aStore,
               const state::Clock& aClock,
               const state::DaemonId& aDaemon,
               state::Incarnation aIncarnation,
               const ClaimSettings& aSettings = {},
               ClaimPeers* aPeers = nullptr);

  /**
   * Claims a key.
   * @param aRequest Key to claim, with its account, scope and body digest.
   * @param aHandler Called exactly once, possibly before this call returns. The
   * token of the result is the one returned.
   * @return Token of the claim, to be passed to end().
   */
  ClaimToken claim(const ClaimRequest& aRequest, ClaimHandler aHandler);
  /**
   * Ends a claim, possibly before its handler was called. Call exactly once for
   * each claim that was granted or whose handler was not called yet. After
   * kNotRun the holder must never dispatch. Unknown tokens are ignored.
   * @param aToken Token of the claim.
   * @param aEnd How the claim ended.
   * @param aAnswer Answer, if finished; stored if its body has at most
   * maxAnswerBytes_ bytes.
   */
  void end(ClaimToken aToken,
           ClaimEnd aEnd,
           std::shared_ptr<const StoredAnswer> aAnswer = {});
  /**
   * Writes an operation that another daemon forwarded.
   * @param aOperation Operation to write.
   * @param aHandler Called exactly once, possibly before this call returns.
   */
  void serve(const ClaimOperation& aOperation, ClaimHandler aHandler);
  /**
   * Sets the daemons of the zone from which the writer of a slot is chosen.
   * @param aDaemons All live daemons, this one included.
   */
  void setDaemons(std::vector<state::DaemonId> aDaemons);
  /**
   * Sets how long claims are retained, capped at maxRetention_.
   * @param aRetention Retention of the active policy.
   */
  void setRetention(std::chrono::hours aRetention);
  /** Writes the operations that are due. Call about every 10 ms. */
  void tick();
  /** @return Whether any operation is still queued, in flight or forwarded. */
  bool hasPending() const;
  /** @return Counters since the start of the process. */
  const ClaimCounts& counts() const { return counts_; }

private:
  /** A claim of this daemon that has not ended. */
  struct OwnedClaim
  {
    std::string slot_; ///< Store key of the slot.
    std::string key_;  ///< Truncated digest of account, scope and key.
  };

  /** An operation that was forwarded to another daemon. */
  struct Forwarded
  {
    ClaimOperation operation_;     ///< The operation.
    ClaimHandler handler_;         ///< Receives the result.
    state::TimePoint timeoutAt_{}; ///< When this daemon writes it itself.
  };

  void abandonRefused(const ClaimResult& aResult);
  ClaimStatus checkKey(const std::string& aKey) const;
  std::string slotName(const std::string& aDigest,
                       const std::string& aKey) const;
  ClaimSlot& slot(const std::string& aName);
  const state::DaemonId& preferredWriter(const std::string& aSlot) const;
  void route(const ClaimOperation& aOperation, ClaimHandler aHandler);
  void handleForwardResult(std::uint64_t aNumber, const ClaimResult& aResult);
  void writeTimedOutForwards();

  Store& store_;                 ///< Store of the slots.
  const state::Clock& clock_;    ///< Clock.
  const state::DaemonId daemon_; ///< This daemon.
  ClaimSettings settings_;       ///< Settings.
  ClaimPeers* const peers_;      ///< Forwards to the other daemons, or null.
  const std::uint64_t
    tokenSeed_; ///< Hash seed that makes tokens unique to this process.
  std::uint64_t nextToken_ = 1;   ///< Number of the next token.
  std::uint64_t nextForward_ = 1; ///< Number of the next forwarded operation.
  std::vector<state::DaemonId> daemons_; ///< Live daemons of the zone.
  std::map<std::string, std::unique_ptr<ClaimSlot>>
    slots_; ///< Slots in use by name.
  std::map<std::uint64_t, Forwarded>
    forwarded_; ///< Forwarded operations by number.
  std::unordered_map<std::uint64_t, OwnedClaim>
    ownedClaims_;      ///< Claims of this daemon that have not ended, by token.
  ClaimCounts counts_; ///< Counters.
};

/**
 * Reads the issue time of an idempotency key that is a version 7 UUID, which
 * contains the milliseconds since 1970.
 * @param aKey Idempotency key.
 * @return Issue time, or std::nullopt if the key is not a version 7 UUID.
 */
std::optional<state::WallTime>
keyIssueTime(const std::string& aKey);

} // namespace auburnhaven::coordination
