// HTTP answers to requests that were not answered.
#pragma once

#include "coordination/request/request_type.h"

#include <cstdint>

namespace auburnhaven::transport {

/** HTTP answer for one reason. */
struct RefusalRow
{
  coordination::RefusalReason reason_; ///< Reason.
  std::uint32_t status_;               ///< HTTP status.
  const char* message_;                ///< Text for people.
};

/**
 * @param aReason Why a request was not answered.
 * @return Its HTTP answer.
 */
const RefusalRow&
refusalRow(coordination::RefusalReason aReason);

} // namespace auburnhaven::transport
