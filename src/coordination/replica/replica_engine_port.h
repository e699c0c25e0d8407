// Interface to the model engines that form replicas.
#pragma once

#include "state/instance_type.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace auburnhaven::coordination {

/** Operation that an order requests from an engine. */
enum class ReplicaOrderKind : std::uint8_t
{
  kJoin,  ///< Join a replica; replaces the current membership.
  kOpen,  ///< Accept requests; sent to the head only.
  kLeave, ///< Leave a replica immediately.
  kStage, ///< Load the weights of a model onto the VM's host.
};

/** An order to an engine. */
struct ReplicaOrder
{
  ReplicaOrderKind kind_ = ReplicaOrderKind::kLeave; ///< Requested operation.
  state::ReplicaId replica_; ///< The replica; unused for kStage.
  state::Epoch epoch_;       ///< Epoch of the replica; unused for kStage.
  state::ModelId model_;     ///< The model; for kJoin and kStage.
  std::vector<state::VmId> members_; ///< Members, head first; for kJoin.
  std::uint64_t expectedOrders_ =
    0; ///< Number of orders that the engine must have begun in this
       ///< incarnation; it refuses the order otherwise, which rejects delayed
       ///< and repeated ones.
  state::TimePoint sendBefore_ =
    state::TimePoint::max(); ///< End of the sender's lease; the order must not
                             ///< be sent from then on.
  bool operator==(const ReplicaOrder&) const = default;
};

/** Outcome of an order. */
enum class ReplicaOrderStatus : std::uint8_t
{
  kBegun,    ///< The engine has started to carry it out.
  kHolds,    ///< The engine is in the requested state.
  kRefused,  ///< Not valid in the engine's state; nothing changed.
  kOutdated, ///< The engine has seen a higher epoch; nothing changed.
  kNotSent,  ///< The engine has not received it.
  kUnknown,  ///< The engine may carry it out, now or later.
};

/** @return Name of an order status for logs. */
constexpr std::string_view
nameOf(ReplicaOrderStatus aStatus)
{
  constexpr std::string_view kNames[] = { "begun",    "holds",    "refused",
                                          "outdated", "not_sent", "unknown" };
  return kNames[static_cast<std::size_t>(aStatus)];
}

/** @return Name of an order kind for logs. */
constexpr std::string_view
nameOf(ReplicaOrderKind aKind)
{
  constexpr std::string_view kNames[] = { "join", "open", "leave", "stage" };
  return kNames[static_cast<std::size_t>(aKind)];
}

/** Sends orders to engines and fetches their reports. Control thread only;
 * each callback runs exactly once, after the call has returned. */
class ReplicaEngineClient
{
public:
  using OrderHandler = std::function<void(
    ReplicaOrderStatus)>; ///< Receives the outcome of an order.
  using ReportHandler = std::function<void(
    const std::optional<state::EngineReport>&)>; ///< Receives a report, or
                                                 ///< nothing after a timeout or
                                                 ///< error.

  virtual ~ReplicaEngineClient() = default;
  /**
   * Sends an order unless ReplicaOrder::sendBefore_ has passed: the process
   * may have been suspended since the order was decided.
   * @param aTo The engine.
   * @param aOrder The order.
   * @param aTimeout Longest wait for the answer; the outcome is kUnknown when
   * it passes.
   * @param aHandler Receives the outcome.
   */
  virtual void sendOrder(const state::Instance& aTo,
                         const ReplicaOrder& aOrder,
                         state::Duration aTimeout,
                         OrderHandler aHandler) = 0;
  /**
   * Fetches the report of an engine.
   * @param aFrom The engine.
   * @param aTimeout Longest wait for the report.
   * @param aHandler Receives the report; its askedAt_ is when the request was
   * sent.
   */
  virtual void fetchReport(const state::Instance& aFrom,
                           state::Duration aTimeout,
                           ReportHandler aHandler) = 0;
};

} // namespace auburnhaven::coordination
