// Snapshot that the gateway's threads answer by.
#pragma once

#include "state/config_type.h"
#include "transport/snapshot_holder.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnhaven::transport {

/** Configuration in force with look-up tables made once. Immutable. */
class ConfigView
{
public:
  /** @param aConfiguration Configuration in force, not null. */
  explicit ConfigView(state::ConfigurationPtr aConfiguration);

  /** @return The configuration. */
  const state::Configuration& configuration() const { return *configuration_; }
  /**
   * @param aKey Bearer key of a caller.
   * @return Its account, or null.
   */
  const state::ClientAccount* findAccount(std::string_view aKey) const;
  /**
   * Finds the serving group for a model name or group name.
   * @param aModel Name that the caller gave.
   * @param aAccount Account of the caller.
   * @param aKnown Set to whether any group has the name.
   * @return The group that serves the account, or null.
   */
  const state::ServingGroup* findGroup(const std::string& aModel,
                                       const state::AccountId& aAccount,
                                       bool& aKnown) const;

private:
  state::ConfigurationPtr configuration_; ///< Configuration in force.
  std::unordered_map<std::string, const state::ClientAccount*>
    accounts_; ///< Accounts by digest of the key.
};

using ConfigViewPtr = std::shared_ptr<const ConfigView>; ///< Shared snapshot.

using ConfigViewHolder = SnapshotHolder<ConfigView>; ///< Newest snapshot.

/** @return A snapshot of an empty configuration. Thread-safe. */
ConfigViewPtr
emptyConfigView();

/**
 * @param aAccounts Client accounts that a group or service serves.
 * @param aAccount A client account.
 * @return Whether it is among them. Thread-safe.
 */
bool
serves(const std::vector<state::AccountId>& aAccounts,
       const state::AccountId& aAccount);

} // namespace auburnhaven::transport
