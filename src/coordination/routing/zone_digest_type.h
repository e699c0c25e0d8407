// The open copies of a zone and their loads, as its coordinator tells them.
#pragma once

#include "state/instance_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <vector>

namespace auburnhaven::coordination {

/** An open copy and its load. */
struct CopyLoad
{
  state::VmId head_;          ///< Its head.
  state::Endpoint endpoint_;  ///< Where the head listens.
  state::ModelId model_;      ///< Its model.
  std::uint32_t running_ = 0; ///< Requests that run.
  std::uint32_t waiting_ = 0; ///< Requests that wait.
  bool draining_ = false;     ///< Whether it takes no new requests.
  double slowness_ = 1;       ///< Factor on its times, of its slowest member.
  state::TimePoint asOf_{};   ///< Time, by this daemon's clock, for which the
                              ///< load holds at best.
  bool operator==(const CopyLoad&) const = default;
};

/** The open copies of a zone. The greater pair of authority and count is the
 * newer. */
struct ZoneDigest
{
  state::ZoneId zone_;             ///< The zone.
  state::ServiceId service_;       ///< Service of the copies.
  std::uint64_t authority_ = 0;    ///< Number of the coordinator's lease.
  std::uint64_t count_ = 0;        ///< Digests under that authority.
  state::Revision sharedRevision_; ///< Revision of the store's newest change
                                   ///< that other daemons must read.
  std::vector<CopyLoad> copies_; ///< The open copies.
  bool complete_ = true;  ///< Whether these are all open copies of the zone.
  bool released_ = false; ///< Whether its coordinator has given the zone back,
                          ///< so that another may take over at once.
  bool operator==(const ZoneDigest&) const = default;
};

} // namespace auburnhaven::coordination
