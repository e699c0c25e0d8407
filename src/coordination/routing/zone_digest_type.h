// The open replicas of a zone and their loads, as sent by its coordinator.
#pragma once

#include "state/instance_type.h"
#include "state/revision_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <vector>

namespace auburnhaven::coordination {

/** Load of an open replica. */
struct CopyLoad
{
  state::VmId head_;          ///< Head VM of the replica.
  state::Endpoint endpoint_;  ///< Address on which the head takes requests.
  state::ModelId model_;      ///< Model that it serves.
  std::uint32_t running_ = 0; ///< Running requests.
  std::uint32_t waiting_ = 0; ///< Queued requests.
  bool draining_ = false;     ///< Whether it takes no new requests.
  double slowness_ = 1;       ///< Slowdown factor of its slowest member.
  state::TimePoint asOf_{};   ///< Time of the measurement by this daemon's
                              ///< clock; the load may be older, never newer.
  bool operator==(const CopyLoad&) const = default;
};

/** The open replicas of a zone. Of two digests, the one with the greater pair
 * of authority and count is newer. */
struct ZoneDigest
{
  state::ZoneId zone_;             ///< The zone.
  state::ServiceId service_;       ///< Service of the replicas.
  std::uint64_t authority_ = 0;    ///< Number of the coordinator's lease.
  std::uint64_t count_ = 0;        ///< Sequence number under that lease.
  state::Revision sharedRevision_; ///< Revision of the newest change in the
                                   ///< store that every daemon must read.
  std::vector<CopyLoad> copies_;   ///< The open replicas.
  bool complete_ = true;  ///< Whether it has all open replicas of the zone.
  bool released_ = false; ///< Whether the coordinator has released its lease,
                          ///< so that another may take over at once.
  state::TimePoint knownAsOf_{}; ///< Time up to which the coordinator knows all
                                 ///< changes in the store, by this daemon's
                                 ///< clock; it may know later ones.
  bool operator==(const ZoneDigest&) const = default;
};

} // namespace auburnhaven::coordination
