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
 * Way to the claim services of the other daemons of the zone. Control thread
 * only.
 */
class ClaimPeers
{
public:
  virtual ~ClaimPeers() = default;
  /**
   * Hands an operation to another daemon, which gives it to serve().
   * @param aTo The daemon.
   * @param aOperation The operation.
   * @param aHandler Takes the result; may never be called.
   */
  virtual void forward(const state::DaemonId& aTo,
                       const ClaimOperation& aOperation,
                       ClaimHandler aHandler) = 0;
};

/**
 * Claims of idempotency keys. Each key belongs to a slot, each slot is one
 * value in the store, and a claim is granted only after a compare-and-swap of
 * that value succeeded or a read showed the claim in it. The daemon that all
 * prefer for a slot writes it for the others; when it does not answer, each
 * writes itself, which the compare-and-swap makes harmless. Nobody takes a
 * claim over: when its holder is lost, the key stays claimed until the
 * retention ends. Control thread only.
 */
class ClaimService
{
public:
  using ClaimHandler = coordination::ClaimHandler; ///< Takes the result.

  /**
   * @param aStore Store; outlives this object.
   * @param aClock Clock; outlives this object.
   * @param aDaemon Name of this daemon.
   * @param aIncarnation Start of this process, unique for the daemon.
   * @param aSettings Limits.
   * @param aPeers Way to the other daemons, or null; outlives this object.
   */
  ClaimService(Store& aStore,
               const state::Clock& aClock,
               const state::DaemonId& aDaemon,
               state::Incarnation aIncarnation,
               const ClaimSettings& aSettings = {},
               ClaimPeers* aPeers = nullptr);

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
   * Does an operation that another daemon handed over.
   * @param aOperation The operation.
   * @param aHandler Called exactly once, perhaps before this call returns.
   */
  void serve(const ClaimOperation& aOperation, ClaimHandler aHandler);
  /**
   * Sets the daemons of the zone among which the writer of a slot is found.
   * @param aDaemons All live daemons, this one included.
   */
  void setDaemons(std::vector<state::DaemonId> aDaemons);
  /**
   * Sets how long keys are remembered, at most the longest retention.
   * @param aRetention Retention of the policy in force.
   */
  void setRetention(std::chrono::hours aRetention);
  /** Commits what is due. Call about every 10 ms. */
  void tick();
  /** @return Whether operations still wait to be written. */
  bool hasPending() const;
  /** @return Counts since the start. */
  const ClaimCounts& counts() const { return counts_; }

private:
  /** A live claim of this daemon. */
  struct OwnClaim
  {
    std::string slot_; ///< Name of the slot.
    std::string key_;  ///< Short digest of the key.
  };

  /** An operation that another daemon was asked to do. */
  struct Forwarded
  {
    ClaimOperation operation_; ///< The operation.
    ClaimHandler handler_;     ///< Takes the result.
    state::TimePoint until_{}; ///< When this daemon does it itself.
  };

  void forget(const ClaimResult& aResult);
  ClaimStatus checkKey(const std::string& aKey) const;
  std::string slotName(const std::string& aDigest,
                       const std::string& aKey) const;
  ClaimSlot& slot(const std::string& aName);
  const state::DaemonId& writerOf(const std::string& aSlot) const;
  void route(const ClaimOperation& aOperation, ClaimHandler aHandler);
  void forwardedDone(std::uint64_t aNumber, const ClaimResult& aResult);
  void takeBackForwarded();

  Store& store_;                  ///< Store.
  const state::Clock& clock_;     ///< Clock.
  const state::DaemonId daemon_;  ///< This daemon.
  ClaimSettings settings_;        ///< Limits.
  ClaimPeers* const peers_;       ///< Way to the other daemons, or null.
  const std::uint64_t tokenSeed_; ///< Makes tokens unique to this process.
  std::uint64_t nextToken_ = 1;   ///< Count of tokens.
  std::uint64_t nextForward_ = 1; ///< Count of forwarded operations.
  std::vector<state::DaemonId> daemons_; ///< Daemons of the zone.
  std::map<std::string, std::unique_ptr<ClaimSlot>>
    slots_;                                         ///< Slots in use by name.
  std::map<std::uint64_t, Forwarded> forwarded_;    ///< Operations at others.
  std::unordered_map<std::uint64_t, OwnClaim> own_; ///< Live own claims.
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
