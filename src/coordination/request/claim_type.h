// Types of the claims that make a call with an idempotency key run at most
// once.
#pragma once

#include "coordination/request/request_type.h"

#include <cstdint>
#include <string>

namespace auburnhaven::coordination {

/** Identifies one attempt to claim a key; unique across daemons and restarts.
 */
using ClaimToken = state::NumberId<struct ClaimTokenTag>;

/** Status of an attempt to claim a key. */
enum class ClaimStatus : std::uint8_t
{
  kGranted,     ///< The key belongs to this token; dispatch once.
  kInProgress,  ///< Another token holds the key.
  kHolderLost,  ///< Another token held the key and never reported an end.
  kUnknown,     ///< Another token ended its claim; its call may have run.
  kFinished,    ///< Another token's call received its complete answer.
  kKeyReused,   ///< The key was claimed with a different request body.
  kTooOld,      ///< The key was issued before the retention period.
  kInvalid,     ///< The key is empty, too long, issued in the future, or has
                ///< no issue time although one is required.
  kUnavailable, ///< The claim could not be written; do not dispatch with this
                ///< token.
};

/** Result of an attempt to claim a key. */
struct ClaimResult
{
  ClaimStatus status_ = ClaimStatus::kUnavailable; ///< Status.
  ClaimToken token_; ///< Token of this attempt; set for every status.
  state::TimePoint dispatchUntil_{}; ///< If granted: latest time at which the
                                     ///< dispatch may begin.
  state::Duration
    retryAfter_{}; ///< Suggested delay before a retry; zero for no suggestion.
  std::shared_ptr<const StoredAnswer>
    answer_; ///< If finished: the answer, or null if it was not stored.
  bool operator==(const ClaimResult&) const = default;
};

/** End of a claim as reported by its holder. */
enum class ClaimEnd : std::uint8_t
{
  kNone,     ///< Not ended.
  kNotRun,   ///< Certainly not dispatched; the key can be claimed again.
  kFinished, ///< The complete answer was received.
  kUnknown,  ///< The call may have run.
};

/** Request to claim an idempotency key. */
struct ClaimRequest
{
  state::AccountId account_; ///< Client account.
  std::string
    scope_;         ///< Namespace of the key: service and operation, or group.
  std::string key_; ///< Idempotency key sent by the client.
  std::string bodyDigest_; ///< SHA-256 of the body in hexadecimal.
  bool operator==(const ClaimRequest&) const = default;
};

/** Claim or end of a claim, to be written by the daemon that writes its slot.
 */
struct ClaimOperation
{
  std::string slot_; ///< Store key of the slot.
  ClaimToken token_; ///< Token of the claim.
  std::string key_;  ///< Truncated SHA-256 of account, scope and key.
  ClaimEnd end_ = ClaimEnd::kNone; ///< End to record; kNone to claim.
  std::string body_; ///< Truncated SHA-256 of the body; set for a claim.
  std::shared_ptr<const StoredAnswer>
    answer_; ///< Answer to store; may be set for an end.
  bool operator==(const ClaimOperation&) const = default;
};

} // namespace auburnhaven::coordination
