// Stand-in for the platform's list of VMs.
#pragma once

#include "fault_controls.h"
#include "state/vm_type.h"

#include <vector>

namespace auburnhaven::standins {

/** The platform's list of VMs. One thread. */
class VmListStandin
{
public:
  /** @param aVms All VMs, live at first. */
  explicit VmListStandin(const std::vector<state::VmInfo>& aVms);
  /** @param aExchange The call to answer. */
  void handle(Exchange& aExchange);

private:
  /** A VM and whether the list still shows it. */
  struct Row
  {
    state::VmInfo vm_;  ///< The VM.
    bool gone_ = false; ///< Whether it has left the list.
  };

  void handleControl(Exchange& aExchange); ///< Sets faults or a listing.
  void list(Exchange& aExchange);          ///< Lists the VMs of a zone.

  std::vector<Row> rows_; ///< All VMs.
  FaultControls faults_;  ///< Faults of the list.
};

} // namespace auburnhaven::standins
