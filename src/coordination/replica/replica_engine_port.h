// Interface to the model engines that copies are formed of.
#pragma once

#include "state/instance_type.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace auburnhaven::coordination {

/** What an order asks an engine to do. */
enum class ReplicaOrderKind : std::uint8_t
{
  kJoin,  ///< Become a member of a copy; replaces the present membership.
  kOpen,  ///< Take requests; to the head only.
  kLeave, ///< Leave a copy at once.
  kStage, ///< Load a model onto the VM's host.
};

/** Order to an engine. */
struct ReplicaOrder
{
  ReplicaOrderKind kind_ = ReplicaOrderKind::kLeave; ///< What to do.
  state::ReplicaId replica_;         ///< The copy; for all but kStage.
  state::Epoch epoch_;               ///< Its epoch; for all but kStage.
  state::ModelId model_;             ///< The model; for kJoin and kStage.
  std::vector<state::VmId> members_; ///< Members, head first; for kJoin.
  std::uint64_t expectedOrders_ =
    0; ///< Orders that the engine must have begun; else it refuses.
  state::TimePoint sendBefore_ =
    state::TimePoint::max(); ///< End of the sender's authority; from then on
                             ///< the order may not go out.
  bool operator==(const ReplicaOrder&) const = default;
};

/** How an order ended. */
enum class ReplicaOrderStatus : std::uint8_t
{
  kBegun,     ///< The engine works on it.
  kSatisfied, ///< The state already holds.
  kRefused,   ///< It does not fit the engine's state; nothing changed.
  kOutdated,  ///< The engine has seen a higher epoch; nothing changed.
  kNotSent,   ///< The engine certainly did not get it.
  kUnknown,   ///< The engine may carry it out, now or later.
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

/** Orders to and reports from engines. Control thread only; callbacks run
 * later, once each. */
class ReplicaEngineClient
{
public:
  using OrderHandler =
    std::function<void(ReplicaOrderStatus)>; ///< Takes how an order ended.
  using ReportHandler = std::function<void(
    const std::optional<state::EngineReport>&)>; ///< Takes a report, or nothing
                                                 ///< when none came in time.

  virtual ~ReplicaEngineClient() = default;
  /**
   * Sends an order, unless its time is over before it can be sent: the process
   * may have been suspended since it was decided.
   * @param aTo The engine.
   * @param aOrder The order.
   * @param aTimeout Longest wait; the answer is then kUnknown.
   * @param aHandler Takes how it ended.
   */
  virtual void sendOrder(const state::Instance& aTo,
                         const ReplicaOrder& aOrder,
                         state::Duration aTimeout,
                         OrderHandler aHandler) = 0;
  /**
   * Asks an engine for its report.
   * @param aFrom The engine.
   * @param aTimeout Longest wait.
   * @param aHandler Takes the report; its time is when the question was sent.
   */
  virtual void fetchReport(const state::Instance& aFrom,
                           state::Duration aTimeout,
                           ReportHandler aHandler) = 0;
};

} // namespace auburnhaven::coordination
