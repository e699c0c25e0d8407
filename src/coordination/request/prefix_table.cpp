// Hints about which targets have cached which prefixes of prompts.

#include "coordination/request/prefix_table.h"

#include "state/digest_func.h"

#include <algorithm>

namespace auburnhaven::coordination {

std::vector<std::uint64_t>
prefixHashes(std::string_view aPrompt, std::string_view aModel)
{
  const std::size_t blocks =
    std::min(aPrompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(blocks);
  std::uint64_t previous = state::stableHash(aModel);
  for (std::size_t block = 0; block < blocks; ++block) {
    previous = state::stableHash(
      aPrompt.substr(block * kPrefixBlockBytes, kPrefixBlockBytes), previous);
    hashes.push_back(previous);
  }
  return hashes;
}

TargetHash
targetHash(const state::VmId& aVm, state::FencingNumber aFencing)
{
  const auto hash =
    static_cast<TargetHash>(state::stableHash(aVm.value(), aFencing.value()));
  return hash == 0 ? 1 : hash;
}

PrefixTable::PrefixTable(std::size_t aEntries)
  : sets_(std::max<std::size_t>(1, aEntries / kWays))
{
}

void
PrefixTable::add(std::uint64_t aHash, TargetHash aTarget)
{
  const std::size_t index = aHash % sets_.size();
  const std::lock_guard lock(locks_[index % kLocks]);
  Set& set = sets_[index];
  std::uint32_t newestAdd = 0;
  Entry* slot = set.data();
  for (Entry& entry : set) {
    newestAdd = std::max(newestAdd, entry.lastAdd_);
    const bool older = entry.lastAdd_ < slot->lastAdd_;
    if (entry.hash_ == aHash || (slot->hash_ != aHash && older)) {
      slot = &entry;
    }
  }
  if (slot->hash_ != aHash) {
    *slot = { aHash, { aTarget, 0 }, 0 };
  } else if (slot->targets_[0] != aTarget) {
    slot->targets_ = { aTarget, slot->targets_[0] };
  }
  slot->lastAdd_ = newestAdd + 1;
}

void
PrefixTable::remove(std::uint64_t aHash, TargetHash aTarget)
{
  const std::size_t index = aHash % sets_.size();
  const std::lock_guard lock(locks_[index % kLocks]);
  for (Entry& entry : sets_[index]) {
    if (entry.hash_ == aHash) {
      std::replace(
        entry.targets_.begin(), entry.targets_.end(), aTarget, TargetHash(0));
    }
  }
}

PrefixTable::Targets
PrefixTable::find(std::uint64_t aHash) const
{
  const std::size_t index = aHash % sets_.size();
  const std::lock_guard lock(locks_[index % kLocks]);
  for (const Entry& entry : sets_[index]) {
    if (entry.hash_ == aHash) {
      return entry.targets_;
    }
  }
  return {};
}

std::size_t
PrefixTable::bytes() const
{
  return sizeof(*this) + sets_.size() * sizeof(Set);
}

} // namespace auburnhaven::coordination
