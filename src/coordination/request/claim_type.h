// Claims that make a call with an idempotency key run at most once.
#pragma once

#include "coordination/request/request_type.h"

#include <cstdint>
#include <string>

namespace auburnhaven::coordination {

/** Identifies one try to claim a key; unique over all daemons and starts. */
using ClaimToken = state::NumberId<struct ClaimTokenTag>;

/** How a try to claim a key ended. */
enum class ClaimStatus : std::uint8_t
{
  kGranted,     ///< The key belongs to this token; dispatch once.
  kInProgress,  ///< Another token holds the key.
  kHolderLost,  ///< Another token held the key and never told how it ended.
  kUnknown,     ///< Another token held the key; its call may have run.
  kFinished,    ///< Another token has the whole answer.
  kKeyReused,   ///< The key was claimed with another body.
  kTooOld,      ///< The key is older than the retention.
  kInvalid,     ///< The key lies in the future or is too long.
  kUnavailable, ///< No claim could be written; this token never dispatches.
};

/** Answer to a try to claim a key. */
struct ClaimResult
{
  ClaimStatus status_ = ClaimStatus::kUnavailable; ///< How it ended.
  ClaimToken token_; ///< Token of this try, valid for every status.
  state::TimePoint
    dispatchUntil_{}; ///< When granted: last moment to begin the dispatch.
  state::Duration retryAfter_{}; ///< When to come back; zero for no advice.
  std::shared_ptr<const StoredAnswer>
    answer_; ///< When finished: the answer, or none when it was too large.
  bool operator==(const ClaimResult&) const = default;
};

/** What the holder of a claim tells at its end. */
enum class ClaimEnd : std::uint8_t
{
  kNone,     ///< Nothing to tell.
  kNotRun,   ///< Certainly not dispatched; the key is free again.
  kFinished, ///< Whole answer received.
  kUnknown,  ///< May have run.
};

/** What a claim asks for. */
struct ClaimRequest
{
  state::AccountId account_; ///< Client account.
  std::string scope_;        ///< Service and operation, or group.
  std::string key_;          ///< Idempotency key of the caller.
  std::string bodyDigest_;   ///< SHA-256 of the body in hexadecimal.
  bool operator==(const ClaimRequest&) const = default;
};

/** Claim or end of a claim on its way to the daemon that writes its slot. */
struct ClaimOperation
{
  std::string slot_;               ///< Name of the slot in the store.
  ClaimToken token_;               ///< Token of the claim.
  std::string key_;                ///< Short digest of account, scope and key.
  ClaimEnd end_ = ClaimEnd::kNone; ///< End; kNone for a claim.
  std::string body_;               ///< Short digest of the body, for a claim.
  std::shared_ptr<const StoredAnswer> answer_; ///< Answer, for an end.
  bool operator==(const ClaimOperation&) const = default;
};

} // namespace auburnhaven::coordination
