// Copies of models as their coordinator keeps them.
#pragma once

#include "state/instance_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace auburnhaven::coordination {

/** Progress of a copy. */
enum class ReplicaPhase : std::uint8_t
{
  kJoining,  ///< Its members load the model.
  kOpening,  ///< All members are ready; the head is told to take requests.
  kOpen,     ///< It takes requests.
  kDraining, ///< It finishes its requests, because a member leaves.
  kClosing,  ///< Its head is told to leave.
  kHeadUnreachable, ///< Its head cannot be reached; its members wait until it
                    ///< must be broken.
};

/** @return Name of a phase for logs. */
constexpr std::string_view
nameOf(ReplicaPhase aPhase)
{
  constexpr std::string_view kNames[] = { "joining",  "opening",  "open",
                                          "emptying", "shutting", "parked" };
  return kNames[static_cast<std::size_t>(aPhase)];
}

/** A member of a copy and the life in which it became one. */
struct ReplicaMember
{
  state::VmId vm_;             ///< The VM.
  std::uint64_t bornAtMs_ = 0; ///< Start of its life.
  bool operator==(const ReplicaMember&) const = default;
};

/** A copy of a model. */
struct Replica
{
  state::ReplicaId id_;                ///< Name.
  state::Epoch epoch_;                 ///< Epoch of its orders.
  state::ModelId model_;               ///< The model.
  state::DomainId domain_;             ///< Fabric domain of its members.
  std::vector<ReplicaMember> members_; ///< Members by rank.
  ReplicaPhase phase_ = ReplicaPhase::kJoining; ///< Progress.
  state::TimePoint since_{};                    ///< When the phase began.
  bool maybeOpened_ = false; ///< Whether an order to open may have been sent.
  state::TimePoint membersFreeAt_{}; ///< When parked: end of the wait; zero
                                     ///< before the first member has left.
  bool operator==(const Replica&) const = default;
};

} // namespace auburnhaven::coordination
