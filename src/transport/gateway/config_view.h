// Configuration snapshot with lookup tables for the gateway's traffic threads.
#pragma once

#include "state/config_type.h"
#include "transport/snapshot_holder.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnhaven::transport {

/** Active configuration with precomputed lookup tables. Immutable. */
class ConfigView
{
public:
  /** @param aConfiguration Active configuration, not null. */
  explicit ConfigView(state::ConfigurationPtr aConfiguration);

  /** @return The configuration. */
  const state::Configuration& configuration() const { return *configuration_; }
  /**
   * @param aKey Bearer key that the caller sent, not hashed.
   * @return The client account with this key, or null.
   */
  const state::ClientAccount* findAccount(std::string_view aKey) const;
  /**
   * Finds the serving group for a group ID or model name. A group whose ID
   * matches takes precedence over groups whose model name matches.
   * @param aModel Group ID or model name from the request.
   * @param aAccount Account of the caller.
   * @param aKnown Set to whether any group matches, also one that does not
   * serve the account.
   * @return The group that serves the account, or null.
   */
  const state::ServingGroup* findGroup(const std::string& aModel,
                                       const state::AccountId& aAccount,
                                       bool& aKnown) const;

private:
  state::ConfigurationPtr configuration_; ///< Active configuration.
  std::unordered_map<std::string, const state::ClientAccount*>
    accounts_; ///< Accounts by the SHA-256 of their key in hexadecimal.
};

using ConfigViewPtr = std::shared_ptr<const ConfigView>; ///< Shared view.

using ConfigViewHolder = SnapshotHolder<ConfigView>; ///< Latest view.

/** @return A view of an empty configuration. Thread-safe. */
ConfigViewPtr
emptyConfigView();

/**
 * @param aAccounts Client accounts that a serving group or plain service
 * serves.
 * @param aAccount Client account to look for.
 * @return Whether aAccounts contains aAccount. Thread-safe.
 */
bool
serves(const std::vector<state::AccountId>& aAccounts,
       const state::AccountId& aAccount);

} // namespace auburnhaven::transport
