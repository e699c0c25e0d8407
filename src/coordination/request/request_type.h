// Requests of callers and their outcomes.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Request attributes used by admission, target choice and claims. */
struct RequestInfo
{
  state::RequestId id_;        ///< Request ID, unique within its daemon.
  state::AccountId account_;   ///< Client account of the caller.
  state::GroupId group_;       ///< Serving group; empty for a plain service.
  state::WorkKindId kind_;     ///< Kind of work; empty for the default.
  state::ServiceId service_;   ///< Plain service; empty for a serving group.
  std::string operation_;      ///< Operation of the plain service.
  bool stream_ = false;        ///< Whether the answer is streamed by token.
  bool idempotent_ = false;    ///< Whether the request may be run repeatedly.
  std::string idempotencyKey_; ///< Key set by the caller; empty for none.
  std::string bodyDigest_;     ///< SHA-256 of the body in hexadecimal.
  std::vector<std::uint64_t> prefixHashes_; ///< Hashes of the prompt's
                                            ///< prefixes, shortest first.
  state::TimePoint deadline_{};             ///< When the caller stops waiting.
  std::uint32_t maxTokens_ = 0; ///< Maximum number of tokens to generate.
  bool operator==(const RequestInfo&) const = default;
};

/** How a request ended. */
enum class OutcomeKind : std::uint8_t
{
  kAnswered, ///< The complete answer was received.
  kNotRun,   ///< This request has certainly not run.
  kUnknown,  ///< A target may have run the request, wholly or in part.
};

/** Why a request was not answered. */
enum class RefusalReason : std::uint8_t
{
  kNone,                ///< The request was answered.
  kAccountLimit,        ///< The client account exceeded its limit.
  kQueueFull,           ///< The queue is full of requests of equal or greater
                        ///< priority.
  kDeadlineTooNear,     ///< The expected wait exceeds the time that the request
                        ///< allows.
  kWaitedTooLong,       ///< The request timed out in the admission queue.
  kNoTarget,            ///< No target accepts requests.
  kTargetRefused,       ///< The target reported that it did not run the
                        ///< request.
  kTargetLost,          ///< The attempt ended without a complete answer.
  kTargetTimeout,       ///< The target did not answer in time.
  kRetriesExhausted,    ///< The retry budget or the maximum number of attempts
                        ///< is used up.
  kDeadlineExceeded,    ///< The deadline passed.
  kCallerGone,          ///< The caller closed its connection.
  kStopping,            ///< The daemon is shutting down.
  kDuplicateInProgress, ///< Another request with the same idempotency key is
                        ///< in progress.
  kHolderLost,          ///< Another request with the same key may have run, but
                        ///< its daemon was lost.
  kKeyReused,           ///< The key was used with a different body.
  kKeyTooOld,           ///< The key is older than the retention of claims.
  kKeyInvalid,          ///< The key is too long or its time is in the future.
  kStoreUnavailable,    ///< The claim could not be written to the store.
  kClaimExpired,        ///< The claim expired before the request was sent.
  kAnswerNotKept,       ///< An earlier request with the key was answered, but
                        ///< the answer was too large to store.
};

/** Answer stored for replay to later requests with the same key. */
struct StoredAnswer
{
  std::uint16_t status_ = 0; ///< Final HTTP status.
  std::string contentType_;  ///< Content type of the body.
  std::string body_;         ///< Body.
  bool operator==(const StoredAnswer&) const = default;
};

/** Final outcome of a request; every request gets exactly one. */
struct Outcome
{
  OutcomeKind kind_ = OutcomeKind::kNotRun;     ///< How the request ended.
  RefusalReason reason_ = RefusalReason::kNone; ///< Why it was not answered.
  state::Duration retryAfter_{}; ///< Advised delay before the caller retries;
                                 ///< zero for no advice.
  bool partiallyDelivered_ =
    false; ///< Whether the caller already received a part of the answer.
  std::shared_ptr<const StoredAnswer>
    replay_; ///< Answer to an earlier request with the same key; null if none.
  bool operator==(const Outcome&) const = default;
};

} // namespace auburnhaven::coordination
