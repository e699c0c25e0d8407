// Datagrams that ask for stream events of replicas and tell of them.
#pragma once

#include "coordination/routing/stream_activity.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::protocol {

/** A coordinator's question whether replicas still send events. */
struct ActivityQuestion
{
  std::uint64_t number_ = 0;       ///< Repeated in the answer.
  std::vector<state::VmId> heads_; ///< Heads of the replicas.
  bool operator==(const ActivityQuestion&) const = default;
};

/** What a daemon knows of the stream events of replicas. */
struct ActivityNotice
{
  std::uint64_t number_ = 0; ///< Number of the question; 0 for a notice that
                             ///< was not asked for.
  std::vector<coordination::ReplicaActivity> replicas_; ///< The replicas.
  bool operator==(const ActivityNotice&) const = default;
};

/** @param aQuestion A question. @return Its datagram. Thread-safe. */
std::string
encodeActivityQuestion(const ActivityQuestion& aQuestion);

/**
 * @param aDatagram A datagram.
 * @return The question, or nothing when it is none. Thread-safe.
 */
std::optional<ActivityQuestion>
decodeActivityQuestion(const std::string& aDatagram);

/** @param aNotice A notice. @return Its datagram. Thread-safe. */
std::string
encodeActivityNotice(const ActivityNotice& aNotice);

/**
 * @param aDatagram A datagram.
 * @return The notice, or nothing when it is none. Thread-safe.
 */
std::optional<ActivityNotice>
decodeActivityNotice(const std::string& aDatagram);

} // namespace auburnhaven::protocol
