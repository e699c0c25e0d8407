// Requests of callers and the outcomes in which they end.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** What admission, target choice and claims need to know of a request. */
struct RequestInfo
{
  state::RequestId id_;        ///< The request, unique in its daemon.
  state::AccountId account_;   ///< Client account of the caller.
  state::GroupId group_;       ///< Serving group; empty for a plain service.
  state::WorkKindId kind_;     ///< Kind of work; empty for the default.
  state::ServiceId service_;   ///< Plain service; empty for a serving group.
  std::string operation_;      ///< Operation of the plain service.
  bool stream_ = false;        ///< Whether tokens are passed on one by one.
  bool idempotent_ = false;    ///< Whether it may be repeated.
  std::string idempotencyKey_; ///< Key of the caller, empty for none.
  std::string bodyDigest_;     ///< SHA-256 of the body in hexadecimal.
  std::vector<std::uint64_t> prefixHashes_; ///< Hashes of the prompt's
                                            ///< prefixes, shortest first.
  state::TimePoint deadline_{};             ///< When the caller stops waiting.
  std::uint32_t maxTokens_ = 0; ///< Most tokens that it may generate.
  bool operator==(const RequestInfo&) const = default;
};

/** How a request ended. */
enum class OutcomeKind : std::uint8_t
{
  kAnswered, ///< The whole answer was received.
  kNotRun,   ///< Certainly not run by this request.
  kUnknown,  ///< May have run, wholly or in part.
};

/** Why a request was not answered. */
enum class RefusalReason : std::uint8_t
{
  kNone,                ///< It was answered.
  kAccountLimit,        ///< The account is over its limit.
  kQueueFull,           ///< Too many requests of equal or greater priority
                        ///< wait.
  kDeadlineTooNear,     ///< The expected wait exceeds what the request allows.
  kWaitedTooLong,       ///< Waited without a free place.
  kNoTarget,            ///< No target is open.
  kTargetRefused,       ///< The target said that it did not run the request.
  kTargetLost,          ///< The attempt ended without a whole answer.
  kTargetTimeout,       ///< The target did not answer in time.
  kRetriesExhausted,    ///< Retry budget or number of attempts is used up.
  kDeadlineExceeded,    ///< The deadline passed.
  kCallerGone,          ///< The caller closed its connection.
  kStopping,            ///< The daemon is stopping.
  kDuplicateInProgress, ///< Another request with this key is being run.
  kHolderLost,          ///< Another request with this key may have run and its
                        ///< daemon was lost.
  kKeyReused,           ///< The key was used with another body.
  kKeyTooOld,           ///< The key is older than the retention of claims.
  kKeyInvalid,          ///< The key lies in the future or is too long.
  kStoreUnavailable,    ///< No claim could be written.
  kClaimExpired,        ///< Too much time passed between claim and dispatch.
  kAnswerNotKept,       ///< The key was answered before; the answer was too
                        ///< large to keep.
};

/** Answer kept for replay. */
struct StoredAnswer
{
  std::uint16_t status_ = 0; ///< HTTP status.
  std::string contentType_;  ///< Type of the body.
  std::string body_;         ///< Body.
  bool operator==(const StoredAnswer&) const = default;
};

/** Final outcome of a request; every request gets exactly one. */
struct Outcome
{
  OutcomeKind kind_ = OutcomeKind::kNotRun;     ///< How it ended.
  RefusalReason reason_ = RefusalReason::kNone; ///< Why it was not answered.
  state::Duration retryAfter_{};    ///< When to come back; zero for no advice.
  bool partiallyDelivered_ = false; ///< Whether a part was already passed on.
  std::shared_ptr<const StoredAnswer>
    replay_; ///< Answer of an earlier request with the same key, or none.
  bool operator==(const Outcome&) const = default;
};

} // namespace auburnhaven::coordination
