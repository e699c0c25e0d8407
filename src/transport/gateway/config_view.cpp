// Configuration snapshot with lookup tables for the gateway's traffic threads.

#include "transport/gateway/config_view.h"

#include "state/digest_func.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::transport {

ConfigView::ConfigView(state::ConfigurationPtr aConfiguration)
  : configuration_(std::move(aConfiguration))
{
  for (const auto& [id, account] : configuration().accounts_) {
    accounts_[account.keyDigest_] = &account;
  }
}

const state::ClientAccount*
ConfigView::findAccount(std::string_view aKey) const
{
  const auto found = accounts_.find(state::sha256Hex(aKey));
  return found == accounts_.end() ? nullptr : found->second;
}

const state::ServingGroup*
ConfigView::findGroup(const std::string& aModel,
                      const state::AccountId& aAccount,
                      bool& aKnown) const
{
  aKnown = false;
  const state::ServingGroup* match = nullptr;
  for (const auto& [id, group] : configuration().groups_) {
    if (id.value() != aModel && group.model_ != aModel) {
      continue;
    }
    aKnown = true;
    const bool exact = id.value() == aModel;
    if (serves(group.accounts_, aAccount) && (exact || match == nullptr)) {
      match = &group;
    }
  }
  return match;
}

ConfigViewPtr
emptyConfigView()
{
  return std::make_shared<const ConfigView>(
    std::make_shared<const state::Configuration>());
}

bool
serves(const std::vector<state::AccountId>& aAccounts,
       const state::AccountId& aAccount)
{
  return std::find(aAccounts.begin(), aAccounts.end(), aAccount) !=
         aAccounts.end();
}

} // namespace auburnhaven::transport
