// Interfaces of the control thread to the VM list and the model engines.
#pragma once

#include "state/vm_type.h"

#include <functional>
#include <optional>
#include <vector>

namespace auburnhaven::coordination {

/** Command to a model engine to take a role, or to give up its role. */
struct EngineOrder
{
  state::VmId vm_;               ///< VM of the engine.
  state::FencingNumber fencing_; ///< Fencing number of the assignment.
  state::EngineRole role_;       ///< Role to take; none if its copy is empty.
  std::vector<state::Endpoint>
    members_; ///< Endpoints of the members of the copy, by rank.
  bool operator==(const EngineOrder&) const = default;
};

/** Result of an order. */
enum class OrderStatus : std::uint8_t
{
  kAccepted, ///< The engine accepted the order and is executing it.
  kFenced,   ///< Refused because the engine has seen a higher fencing number.
  kFailed,   ///< Certainly not accepted.
  kUnknown,  ///< May have been accepted; the reply was lost.
};

/** Sends orders to model engines and fetches their reports. Control thread
 * only; each handler is called exactly once, after the call returned. */
class EngineClient
{
public:
  using OrderHandler =
    std::function<void(OrderStatus)>; ///< Receives the result of an order.
  using ReportHandler = std::function<void(
    const std::optional<state::VmReport>&)>; ///< Receives a report, or
                                             ///< std::nullopt on failure.

  virtual ~EngineClient() = default;
  /**
   * Sends an order.
   * @param aVm VM of the engine.
   * @param aOrder Order to send.
   * @param aTimeout Maximum wait; on timeout the result is kUnknown.
   * @param aHandler Receives the result.
   */
  virtual void sendOrder(const state::VmInfo& aVm,
                         const EngineOrder& aOrder,
                         state::Duration aTimeout,
                         OrderHandler aHandler) = 0;
  /**
   * Fetches the report of an engine.
   * @param aVm VM of the engine.
   * @param aTimeout Maximum wait.
   * @param aHandler Receives the report; its observedAt_ is the time at which
   * the request was sent.
   */
  virtual void fetchReport(const state::VmInfo& aVm,
                           state::Duration aTimeout,
                           ReportHandler aHandler) = 0;
};

/** The platform's list of VMs. Control thread only; each handler is called
 * exactly once, after the call returned. */
class VmList
{
public:
  using ListHandler = std::function<void(
    const std::optional<std::vector<state::VmInfo>>&)>; ///< Receives the list,
                                                        ///< or std::nullopt on
                                                        ///< failure.

  virtual ~VmList() = default;
  /**
   * Fetches the list of the VMs of one availability zone.
   * @param aZone Availability zone.
   * @param aHandler Receives the list.
   */
  virtual void fetch(const state::ZoneId& aZone, ListHandler aHandler) = 0;
};

} // namespace auburnhaven::coordination
