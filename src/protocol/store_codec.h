// JSON bodies of the calls to the store.
#pragma once

#include "coordination/store_port.h"
#include "state/error_type.h"

#include <string>
#include <string_view>

namespace auburnhaven::protocol {

namespace leaf = state::leaf;

/** @param aKey Key to read. @return Body of a get. Thread-safe. */
std::string
encodeGet(const std::string& aKey);

/**
 * Thread-safe.
 * @param aKey Key to write.
 * @param aExpected Expected revision.
 * @param aValue New value.
 * @return Body of a compare-and-swap.
 */
std::string
encodeSwap(const std::string& aKey,
           state::Revision aExpected,
           const std::string& aValue);

/**
 * Thread-safe.
 * @param aKey Key to watch.
 * @param aAfter Revision already known.
 * @param aTimeout Longest wait.
 * @return Body of a watch.
 */
std::string
encodeWatch(const std::string& aKey,
            state::Revision aAfter,
            state::Duration aTimeout);

/**
 * Thread-safe.
 * @param aName Name of the lease.
 * @param aHolder Who wants it.
 * @param aTimeToLive How long the store keeps it.
 * @return Body of an acquire.
 */
std::string
encodeAcquire(const std::string& aName,
              const std::string& aHolder,
              state::Duration aTimeToLive);

/**
 * Thread-safe.
 * @param aName Name of the lease.
 * @param aHolder Who has it.
 * @return Body of a release.
 */
std::string
encodeRelease(const std::string& aName, const std::string& aHolder);

/**
 * Decodes the answer to a get or watch. Thread-safe.
 * @param aBody Body of the answer.
 * @return Value and revision with kOk, or the faults of the body.
 */
leaf::result<coordination::StoreReply>
decodeValue(std::string_view aBody);

/**
 * Decodes the answer to a compare-and-swap. Thread-safe.
 * @param aBody Body of the answer.
 * @param aStatus Status that the answer stands for.
 * @return The revision with the status, or the faults of the body.
 */
leaf::result<coordination::StoreReply>
decodeRevision(std::string_view aBody, coordination::StoreStatus aStatus);

/**
 * Decodes the answer to an acquire. Thread-safe.
 * @param aBody Body of the answer.
 * @param aStatus Status that the answer stands for.
 * @return Holder and number with the status, or the faults of the body.
 */
leaf::result<coordination::LeaseReply>
decodeLease(std::string_view aBody, coordination::StoreStatus aStatus);

} // namespace auburnhaven::protocol
