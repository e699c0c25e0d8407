// Plans which replicas of which models the VMs of a zone form.
#pragma once

#include "state/instance_type.h"
#include "state/routing_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace auburnhaven::coordination {

/** State of a VM, as input to the plan. */
struct VmSnapshot
{
  state::VmId id_;                  ///< The VM.
  std::set<state::ModelId> staged_; ///< Models staged on its host.
  state::ModelId
    lastModel_; ///< Model of its latest replica in this incarnation; it can
                ///< join a replica of that model without loading.
  bool busy_ = false;      ///< Whether it is carrying out an order.
  state::ModelId staging_; ///< Model being staged on its host; empty for none.
  bool operator==(const VmSnapshot&) const = default;
};

/** A replica that exists; it stays unless the plan closes it. */
struct ExistingReplica
{
  state::ReplicaId id_;             ///< The replica.
  state::ModelId model_;            ///< Its model.
  bool open_ = false;               ///< Whether it accepts requests.
  std::vector<VmSnapshot> members_; ///< Its members.
  bool operator==(const ExistingReplica&) const = default;
};

/** State of one fabric domain. */
struct DomainSnapshot
{
  std::vector<VmSnapshot> free_;          ///< VMs that belong to no replica.
  std::vector<ExistingReplica> existing_; ///< Existing replicas.
  bool stable_ =
    true; ///< Whether no VM has appeared for a while and no replica is closing;
          ///< replicas are formed and closed only then.
  bool operator==(const DomainSnapshot&) const = default;
};

/** State of a zone. */
struct ZoneSnapshot
{
  std::map<state::DomainId, DomainSnapshot> domains_; ///< Its fabric domains.
  std::vector<state::ModelSpec> models_;              ///< Models to serve.
  std::uint32_t loads_ =
    0; ///< Number of loads from the weight store that may start now.
  bool fastLoads_ = false; ///< Whether loads are fast, as before the first
                           ///< traffic of a new installation.
  std::uint32_t reserveSize_ =
    2; ///< VMs of a domain that are kept as a reserve for the largest model:
       ///< outside its replicas, with its weights staged on their hosts.
  bool operator==(const ZoneSnapshot&) const = default;
};

/** A replica to form. */
struct FormAction
{
  state::DomainId domain_;           ///< Fabric domain of the members.
  state::ModelId model_;             ///< The model.
  std::vector<state::VmId> members_; ///< Members, head first.
  std::uint32_t loads_ = 0; ///< Number of members that must load the model.
  bool operator==(const FormAction&) const = default;
};

/** A model to stage on the host of a VM. */
struct StageAction
{
  state::VmId vm_;       ///< The VM.
  state::ModelId model_; ///< The model.
  bool operator==(const StageAction&) const = default;
};

/** A spare VM that loads a model from its host, so that it can later join a
 * replica of the model as fast as a VM that was a member of one before. */
struct WarmAction
{
  state::VmId vm_;       ///< The VM.
  state::ModelId model_; ///< The model; it is staged on the VM's host.
  bool operator==(const WarmAction&) const = default;
};

/** Changes to a zone. */
struct ReplicaPlan
{
  std::vector<FormAction> form_;        ///< Replicas to form.
  std::vector<state::ReplicaId> close_; ///< Replicas to close.
  std::vector<StageAction> stage_;      ///< Models to stage.
  std::vector<WarmAction> warm_;        ///< Spare VMs that load a model.
  bool operator==(const ReplicaPlan&) const = default;
};

/**
 * Plans the replicas of a zone. The load is assumed to divide among the models
 * by their work shares, and any VM may be lost at any time. Replicas of smaller
 * models serve as the reserve of the largest model: its weights are staged on
 * their hosts, and they are closed when a replica of the largest model has lost
 * a member. A spare VM whose host has staged a model loads it at once. Existing
 * replicas are closed only when another model needs their
 * VMs. Pure and deterministic; thread-safe.
 * @param aSnapshot State of the zone.
 * @return The changes to make; empty when nothing has to change.
 */
ReplicaPlan
planReplicas(const ZoneSnapshot& aSnapshot);

} // namespace auburnhaven::coordination
