// Interface to the latest known state of the VMs of an availability zone.
#pragma once

#include "state/vm_type.h"

#include <map>

namespace auburnhaven::coordination {

/** Latest known state of the VMs of this daemon's zone. Control thread only. */
class Observation
{
public:
  virtual ~Observation() = default;
  /** @return VMs in the last known VM list of the platform, live or leaving. */
  virtual const std::map<state::VmId, state::VmInfo>& vms() const = 0;
  /** @return Latest report of each VM; its age follows from observedAt_. */
  virtual const std::map<state::VmId, state::VmReport>& reports() const = 0;
};

} // namespace auburnhaven::coordination
