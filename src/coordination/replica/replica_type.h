// Model replicas as their coordinator tracks them.
#pragma once

#include "state/instance_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace auburnhaven::coordination {

inline constexpr std::uint64_t kEpochsPerTerm =
  1ULL << 20U; ///< Epochs available to one lease term.

/** Life-cycle phase of a replica. */
enum class ReplicaPhase : std::uint8_t
{
  kJoining,  ///< The members load the model.
  kOpening,  ///< All members are ready; the head is ordered to accept requests.
  kOpen,     ///< It accepts requests.
  kEmptying, ///< It completes its in-flight requests because a member is
             ///< leaving, or another model needs its VMs.
  kDoubted,  ///< A member may be lost. It gets no new requests, but may go on
             ///< with those that it has.
  kShutting, ///< The head is ordered to leave the replica.
  kParked,   ///< The head is unreachable; the other members stay
             ///< reserved until the head must have stopped serving.
};

/** @return Name of a phase for logs. */
constexpr std::string_view
nameOf(ReplicaPhase aPhase)
{
  constexpr std::string_view kNames[] = { "joining",  "opening", "open",
                                          "emptying", "doubted", "shutting",
                                          "parked" };
  return kNames[static_cast<std::size_t>(aPhase)];
}

/** Why a replica cannot go on as it is. */
struct ReplicaFault
{
  std::string_view why_; ///< Reason for logs; empty when there is no fault.
  bool certain_ = true;  ///< Whether it is known; a member that does not answer
                         ///< polls may be sound.
  bool operator==(const ReplicaFault&) const = default;
};

/** A member of a replica, bound to one incarnation of the engine process. */
struct ReplicaMember
{
  state::VmId vm_; ///< The VM.
  std::uint64_t bornAtMs_ =
    0; ///< Start time of the engine process, in ms since the Unix epoch;
       ///< identifies the incarnation. Zero when unknown.
  bool operator==(const ReplicaMember&) const = default;
};

/** A replica of a model, formed by several VMs. */
struct Replica
{
  state::ReplicaId id_;    ///< Identifier.
  state::Epoch epoch_;     ///< Epoch of the orders to its members.
  state::ModelId model_;   ///< The model.
  state::DomainId domain_; ///< Fabric domain of its members.
  std::vector<ReplicaMember>
    members_; ///< Members by rank; the first is the head. A member that is not
              ///< known yet has an empty VM identifier.
  ReplicaPhase phase_ = ReplicaPhase::kJoining; ///< Current phase.
  state::TimePoint since_{}; ///< When the current phase began.
  bool maybeOpened_ = false; ///< Whether an order to open may have been sent.
  state::TimePoint
    membersFreeAt_{}; ///< With an unreachable head: when the other members may
                      ///< be reused; zero before one of them has left.
  bool operator==(const Replica&) const = default;
};

} // namespace auburnhaven::coordination
