// HTTP status and message for each reason why a request was not answered.
#pragma once

#include "coordination/request/request_type.h"

#include <cstdint>

namespace auburnhaven::transport {

/** HTTP status and message for one reason. */
struct RefusalRow
{
  coordination::RefusalReason reason_; ///< Reason.
  std::uint32_t status_;               ///< HTTP status.
  const char* message_;                ///< Message in the error body.
};

/**
 * @param aReason Why a request was not answered.
 * @return Its row, or a generic row with status 502 when the table has none.
 */
const RefusalRow&
refusalRow(coordination::RefusalReason aReason);

} // namespace auburnhaven::transport
