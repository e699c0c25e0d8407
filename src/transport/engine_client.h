// Orders to and reports from model engines over HTTP.
#pragma once

#include "coordination/target_port.h"
#include "transport/service_caller.h"

namespace auburnhaven::transport {

/** Makes the engines' control calls. Control thread only; outlives the event
 * loop's run. */
class HttpEngineClient : public coordination::EngineClient
{
public:
  /**
   * @param aCaller Makes the calls on the control thread.
   * @param aClock Dates the reports.
   */
  HttpEngineClient(ServiceCaller& aCaller, const state::Clock& aClock);

  void sendOrder(const state::VmInfo& aVm,
                 const coordination::EngineOrder& aOrder,
                 state::Duration aTimeout,
                 OrderHandler aHandler) override;
  void fetchReport(const state::VmInfo& aVm,
                   state::Duration aTimeout,
                   ReportHandler aHandler) override;

private:
  ServiceCaller& caller_;     ///< Makes the calls.
  const state::Clock& clock_; ///< Dates the reports.
};

} // namespace auburnhaven::transport
