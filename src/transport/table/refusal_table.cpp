// HTTP status and message for each reason why a request was not answered.

#include "transport/table/refusal_table.h"

#include <algorithm>
#include <array>

namespace auburnhaven::transport {

namespace {

using Reason = coordination::RefusalReason;

constexpr std::array<RefusalRow, 20> kRefusals{ {
  { Reason::kAccountLimit, 429, "the account is over its limit" },
  { Reason::kQueueFull, 503, "too many requests wait" },
  { Reason::kDeadlineTooNear,
    503,
    "the expected wait is longer than the request allows" },
  { Reason::kWaitedTooLong, 503, "no place became free in time" },
  { Reason::kNoTarget,
    503,
    "no complete copy or target takes work at present" },
  { Reason::kTargetRefused, 503, "the target refused the request" },
  { Reason::kTargetLost, 502, "the target was lost before the whole answer" },
  { Reason::kTargetTimeout, 504, "the target did not answer in time" },
  { Reason::kRetriesExhausted, 502, "no attempt brought a whole answer" },
  { Reason::kDeadlineExceeded, 504, "the deadline of the request passed" },
  { Reason::kCallerGone, 499, "the caller closed its connection" },
  { Reason::kStopping, 503, "the daemon is stopping" },
  { Reason::kDuplicateInProgress,
    409,
    "a request with this key is in progress" },
  { Reason::kHolderLost, 409, "an earlier request with this key may have run" },
  { Reason::kKeyReused, 422, "the key was used with another body" },
  { Reason::kKeyTooOld, 422, "the key is older than the retention of keys" },
  { Reason::kKeyInvalid, 422, "the key lies in the future or is too long" },
  { Reason::kStoreUnavailable,
    503,
    "the key could not be claimed in the store" },
  { Reason::kClaimExpired,
    503,
    "too much time passed between claim and dispatch" },
  { Reason::kAnswerNotKept,
    409,
    "the request was answered before; the answer was too large to keep" },
} };

constexpr RefusalRow kDefaultRow{ Reason::kNone,
                                  502,
                                  "the request was not answered" };

} // namespace

const RefusalRow&
refusalRow(coordination::RefusalReason aReason)
{
  const auto* found = std::find_if(
    kRefusals.begin(), kRefusals.end(), [&](const RefusalRow& aRow) {
      return aRow.reason_ == aReason;
    });
  return found == kRefusals.end() ? kDefaultRow : *found;
}

} // namespace auburnhaven::transport
