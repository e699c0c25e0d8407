// Instances of services: VMs that registered themselves, and their copies.
#pragma once

#include "state/endpoint_type.h"
#include "state/id_type.h"
#include "state/routing_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnhaven::state {

using ReplicaId = NameId<struct ReplicaTag>; ///< Name of a copy; never used for
                                             ///< two lists of members.
using Epoch = NumberId<struct EpochTag>; ///< Orders the copies that a VM joins.

/** Where a VM is with its copy. */
enum class MemberState : std::uint8_t
{
  kJoining,  ///< Loads the model.
  kReady,    ///< Has loaded the model; takes no requests.
  kOpen,     ///< Takes requests, when it is the head.
  kShutting, ///< Finishes its requests.
  kBroken,   ///< Has lost a member and takes no requests.
};

/** Place of a VM in a copy. */
struct MemberPlace
{
  ReplicaId replica_;      ///< The copy.
  Epoch epoch_;            ///< Epoch of the order that made it a member.
  std::uint32_t rank_ = 0; ///< Rank; 0 is the head.
  MemberState state_ = MemberState::kJoining; ///< Progress.
  bool operator==(const MemberPlace&) const = default;
};

/** Load that a target reports; lags. */
struct TargetLoad
{
  std::uint32_t running_ = 0; ///< Requests that run.
  std::uint32_t waiting_ = 0; ///< Requests that wait.
  std::uint32_t slots_ = 0;   ///< Requests that can run at once.
  bool operator==(const TargetLoad&) const = default;
};

/** What a VM states of itself beside its registration. */
struct EngineState
{
  std::uint64_t bornAtMs_ = 0; ///< Wall time of its start; tells two lives of
                               ///< one identifier apart.
  std::uint64_t orders_ = 0;   ///< Orders that it has begun in this life.
  bool busy_ = false;          ///< Whether an order is in progress.
  DomainId domain_;            ///< Its fabric domain.
  std::set<ModelId> staged_;   ///< Models on its host.
  ModelId model_;              ///< Model it has loaded; empty for none.
  std::optional<MemberPlace> place_; ///< Its copy.
  bool operator==(const EngineState&) const = default;
};

/** An instance as it registered itself. */
struct Instance
{
  VmId id_;                           ///< The VM.
  ServiceId service_;                 ///< Its service.
  Endpoint endpoint_;                 ///< Where it listens.
  ZoneId zone_;                       ///< Its availability zone.
  std::uint64_t bornAtMs_ = 0;        ///< Wall time of its start; tells two
                                      ///< lives of one identifier apart.
  bool leaving_ = false;              ///< Whether it is about to stop.
  std::uint32_t slots_ = 1;           ///< Requests that it runs at once.
  std::optional<EngineState> engine_; ///< Present for model engines.
  bool operator==(const Instance&) const = default;
};

using InstanceMap = std::map<VmId, Instance>; ///< Instances by VM.
using InstanceMapPtr =
  std::shared_ptr<const InstanceMap>; ///< Shared between threads.

/** Answer of a model engine to the question for its state. */
struct EngineReport
{
  EngineState state_;   ///< What it states.
  TargetLoad load_;     ///< Load of its copy.
  double slowness_ = 1; ///< Factor on its times; above 1 when slow.
  TimePoint askedAt_{}; ///< When the question was sent.
  bool operator==(const EngineReport&) const = default;
};

} // namespace auburnhaven::state
