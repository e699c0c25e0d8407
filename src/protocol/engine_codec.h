// JSON bodies of the calls to model engines and to the VM list.
#pragma once

#include "coordination/target_port.h"
#include "state/error_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::protocol {

namespace leaf = state::leaf;

/** A prompt prefix that entered or left the cache of an engine. */
struct CacheEvent
{
  std::string hash_;    ///< Hash of the prefix.
  bool stored_ = false; ///< Whether it entered.
  bool operator==(const CacheEvent&) const = default;
};

/** Cache events since a position. */
struct CacheEvents
{
  std::uint64_t next_ = 0;         ///< Position to ask from next time.
  std::vector<CacheEvent> events_; ///< The events, oldest first.
  bool operator==(const CacheEvents&) const = default;
};

/** @param aOrder An order. @return Its body. Thread-safe. */
std::string
encodeOrder(const coordination::EngineOrder& aOrder);

/**
 * Decodes a report. Thread-safe.
 * @param aBody Body of the answer.
 * @return The report without its observation time, or the faults of the body.
 */
leaf::result<state::VmReport>
decodeReport(std::string_view aBody);

/**
 * Decodes cache events. Thread-safe.
 * @param aBody Body of the answer.
 * @return The events, or the faults of the body.
 */
leaf::result<CacheEvents>
decodeCacheEvents(std::string_view aBody);

/**
 * Decodes the VM list. Thread-safe.
 * @param aBody Body of the answer.
 * @return The VMs, or the faults of the body.
 */
leaf::result<std::vector<state::VmInfo>>
decodeVms(std::string_view aBody);

} // namespace auburnhaven::protocol
