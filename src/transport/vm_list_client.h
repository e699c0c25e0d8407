// The platform's VM list over HTTP.
#pragma once

#include "coordination/target_port.h"
#include "transport/service_caller.h"

#include <vector>

namespace auburnhaven::transport {

/** Where the VM list is and how long to wait for it. */
struct VmListClientSettings
{
  std::vector<state::Endpoint> endpoints_; ///< Addresses, at least one.
  state::Duration timeout_ =
    std::chrono::seconds(2); ///< Until one address has begun to answer.
  state::Duration transferTimeout_ = std::chrono::seconds(
    10); ///< For the rest of a list that has begun to come.
  bool operator==(const VmListClientSettings&) const = default;
};

/** Fetches the VM list. Control thread only; outlives the event loop's run. */
class HttpVmList : public coordination::VmList
{
public:
  /**
   * @param aCaller Makes the calls on the control thread.
   * @param aSettings Addresses and timeout.
   */
  HttpVmList(ServiceCaller& aCaller, VmListClientSettings aSettings);

  void fetch(const state::ZoneId& aZone, ListHandler aHandler) override;

private:
  ServiceCaller& caller_;         ///< Makes the calls.
  VmListClientSettings settings_; ///< Addresses and timeout.
  std::size_t preferred_ = 0;     ///< Address that answered last.
};

} // namespace auburnhaven::transport
