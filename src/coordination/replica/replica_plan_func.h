// Chooses which copies of which models the VMs of a zone form.
#pragma once

#include "state/instance_type.h"
#include "state/routing_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace auburnhaven::coordination {

/** A VM that belongs to no copy. */
struct VmSnapshot
{
  state::VmId id_;                  ///< The VM.
  std::set<state::ModelId> staged_; ///< Models on its host.
  state::ModelId lastModel_; ///< Model of its latest copy in this life; it
                             ///< joins a copy of that model at once.
  bool busy_ = false;        ///< Whether it carries out an order.
  state::ModelId staging_;   ///< Model being put onto its host; empty for none.
  bool operator==(const VmSnapshot&) const = default;
};

/** A copy that stays unless the plan gives it up. */
struct ExistingReplica
{
  state::ReplicaId id_;             ///< The copy.
  state::ModelId model_;            ///< Its model.
  bool open_ = false;               ///< Whether it takes requests.
  std::vector<VmSnapshot> members_; ///< Its members, as if they were free.
  bool operator==(const ExistingReplica&) const = default;
};

/** State of one fabric domain. */
struct DomainSnapshot
{
  std::vector<VmSnapshot> free_;         ///< Free VMs.
  std::vector<ExistingReplica> present_; ///< Copies.
  bool stable_ = true; ///< Whether nothing has changed for a while; copies are
                       ///< formed and given up only then.
  bool operator==(const DomainSnapshot&) const = default;
};

/** State of a zone. */
struct ZoneSnapshot
{
  std::map<state::DomainId, DomainSnapshot> domains_; ///< Its fabric domains.
  std::vector<state::ModelSpec> models_;              ///< Models to serve.
  std::uint32_t loads_ = 0; ///< Loads from the weight store that may start now.
  bool fastLoads_ = false;  ///< Whether loads take little time.
  std::uint32_t reserveSize_ =
    2; ///< VMs of a domain beside the copies of the
       ///< largest model that have it on their hosts.
  bool operator==(const ZoneSnapshot&) const = default;
};

/** Copy to form. */
struct FormAction
{
  state::DomainId domain_;           ///< Where.
  state::ModelId model_;             ///< Which model.
  std::vector<state::VmId> members_; ///< Members, head first.
  std::uint32_t loads_ = 0;          ///< Members that must load.
  bool operator==(const FormAction&) const = default;
};

/** Model to put onto the host of a VM. */
struct StageAction
{
  state::VmId vm_;       ///< The VM.
  state::ModelId model_; ///< The model.
  bool operator==(const StageAction&) const = default;
};

/** What to change in a zone. */
struct ReplicaPlan
{
  std::vector<FormAction> form_;        ///< Copies to form.
  std::vector<state::ReplicaId> close_; ///< Copies to give up.
  std::vector<StageAction> stage_;      ///< Models to stage.
  bool operator==(const ReplicaPlan&) const = default;
};

/**
 * Plans the copies of a zone for a load that is shared among the models by
 * their work shares, on VMs that may be lost at any time. Copies of smaller
 * models double as the reserve of the largest one: its weights are staged on
 * their hosts, and they are given up when a copy of it has lost a member.
 * Present copies are given up only when another model needs their VMs. Pure and
 * deterministic; thread-safe.
 * @param aFacts State of the zone.
 * @return What to change.
 */
ReplicaPlan
planReplicas(const ZoneSnapshot& aFacts);

} // namespace auburnhaven::coordination
