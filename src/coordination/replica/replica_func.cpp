// Identifiers of replicas, and what follows from a replica alone.

#include "coordination/replica/replica_func.h"

#include <algorithm>
#include <sstream>
#include <string>

namespace auburnhaven::coordination {

namespace {

constexpr char kReplicaPrefix = 'r'; ///< First letter of a replica identifier.
constexpr char kSparePrefix = 's';   ///< The same of a spare VM's own replica.
constexpr char kNameSeparator =
  '.'; ///< Separates the parts of a replica identifier.

state::ReplicaId
identifierFor(char aPrefix,
              state::Epoch aEpoch,
              const state::VmId& aHead,
              const state::ModelId& aModel)
{
  return state::ReplicaId(aPrefix + std::to_string(aEpoch.value()) +
                          kNameSeparator + aHead.value() + kNameSeparator +
                          aModel.value());
}

/** @return A part of a replica identifier, or an empty string. */
std::string
identifierPart(const state::ReplicaId& aReplica, std::size_t aIndex)
{
  std::istringstream name(aReplica.value());
  std::string part;
  for (std::size_t index = 0; index <= aIndex; ++index) {
    if (!std::getline(name, part, kNameSeparator)) {
      return {};
    }
  }
  return part;
}

} // namespace

state::ReplicaId
replicaIdentifier(state::Epoch aEpoch,
                  const state::VmId& aHead,
                  const state::ModelId& aModel)
{
  return identifierFor(kReplicaPrefix, aEpoch, aHead, aModel);
}

state::ReplicaId
spareIdentifier(state::Epoch aEpoch,
                const state::VmId& aVm,
                const state::ModelId& aModel)
{
  return identifierFor(kSparePrefix, aEpoch, aVm, aModel);
}

bool
isSpare(const state::ReplicaId& aReplica)
{
  return aReplica.value().front() == kSparePrefix;
}

state::VmId
headOf(const state::ReplicaId& aReplica)
{
  return state::VmId(identifierPart(aReplica, 1));
}

state::ModelId
modelOf(const state::ReplicaId& aReplica)
{
  return state::ModelId(identifierPart(aReplica, 2));
}

bool
isPossiblePlace(const state::VmId& aVm, const state::MemberPlace& aPlace)
{
  const std::string& name = aPlace.replica_.value();
  const std::string ofEpoch =
    kReplicaPrefix + std::to_string(aPlace.epoch_.value()) + kNameSeparator;
  const bool isHead = name.starts_with(ofEpoch + aVm.value() + kNameSeparator);
  return name.starts_with(ofEpoch) && isHead == (aPlace.rank_ == 0);
}

bool
takesRequests(ReplicaPhase aPhase)
{
  return aPhase == ReplicaPhase::kOpen || aPhase == ReplicaPhase::kEmptying;
}

bool
mayRunRequests(ReplicaPhase aPhase)
{
  return takesRequests(aPhase) || aPhase == ReplicaPhase::kDoubted;
}

bool
isPlaceOf(const Replica& aReplica,
          const state::VmId& aVm,
          const state::MemberPlace& aPlace)
{
  return aPlace.replica_ == aReplica.id_ && aPlace.epoch_ == aReplica.epoch_ &&
         aPlace.rank_ < aReplica.members_.size() &&
         aReplica.members_[aPlace.rank_].vm_ == aVm;
}

std::size_t
knownMembers(const Replica& aReplica)
{
  return static_cast<std::size_t>(std::count_if(
    aReplica.members_.begin(),
    aReplica.members_.end(),
    [](const ReplicaMember& aMember) { return !aMember.vm_.empty(); }));
}

} // namespace auburnhaven::coordination
