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
struct FreeVm
{
  state::VmId id_;                  ///< The VM.
  std::set<state::ModelId> staged_; ///< Models on its host.
  state::ModelId lastModel_; ///< Model of its latest copy in this life; it
                             ///< joins a copy of that model at once.
  bool busy_ = false;        ///< Whether it carries out an order.
  state::ModelId staging_;   ///< Model being put onto its host; empty for none.
  bool operator==(const FreeVm&) const = default;
};

/** A copy that stays unless the plan gives it up. */
struct PresentReplica
{
  state::ReplicaId id_;         ///< The copy.
  state::ModelId model_;        ///< Its model.
  bool open_ = false;           ///< Whether it takes requests.
  std::vector<FreeVm> members_; ///< Its members, as if they were free.
  bool operator==(const PresentReplica&) const = default;
};

/** State of one fabric domain. */
struct DomainFacts
{
  std::vector<FreeVm> free_;            ///< Free VMs.
  std::vector<PresentReplica> present_; ///< Copies.
  bool settled_ = true; ///< Whether nothing has changed for a while; copies are
                        ///< formed and given up only then.
  bool operator==(const DomainFacts&) const = default;
};

/** State of a zone. */
struct ZoneFacts
{
  std::map<state::DomainId, DomainFacts> domains_; ///< Its fabric domains.
  std::vector<state::ModelSpec> models_;           ///< Models to serve.
  std::uint32_t loads_ = 0; ///< Loads from the weight store that may start now.
  bool quickLoads_ = false; ///< Whether loads take little time.
  std::uint32_t reserve_ = 2; ///< VMs of a domain beside the copies of the
                              ///< largest model that have it on their hosts.
  bool operator==(const ZoneFacts&) const = default;
};

/** Copy to form. */
struct FormMove
{
  state::DomainId domain_;           ///< Where.
  state::ModelId model_;             ///< Which model.
  std::vector<state::VmId> members_; ///< Members, head first.
  std::uint32_t loads_ = 0;          ///< Members that must load.
  bool operator==(const FormMove&) const = default;
};

/** Model to put onto the host of a VM. */
struct StageMove
{
  state::VmId vm_;       ///< The VM.
  state::ModelId model_; ///< The model.
  bool operator==(const StageMove&) const = default;
};

/** What to change in a zone. */
struct ReplicaMoves
{
  std::vector<FormMove> form_;           ///< Copies to form.
  std::vector<state::ReplicaId> giveUp_; ///< Copies to give up.
  std::vector<StageMove> stage_;         ///< Models to stage.
  bool operator==(const ReplicaMoves&) const = default;
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
ReplicaMoves
planReplicas(const ZoneFacts& aFacts);

} // namespace auburnhaven::coordination
