// Address of a peer daemon.
#pragma once

#include "state/endpoint_type.h"
#include "state/id_type.h"

namespace auburnhaven::coordination {

/** Address of a peer daemon and the incarnation of its process. */
struct PeerAddress
{
  state::DaemonId id_;             ///< Id of the daemon.
  state::ZoneId zone_;             ///< Its availability zone.
  state::Endpoint endpoint_;       ///< Where it accepts streams from peers.
  state::Incarnation incarnation_; ///< Incarnation of its process.
  auto operator<=>(const PeerAddress&) const = default;
};

} // namespace auburnhaven::coordination
