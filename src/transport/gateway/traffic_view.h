// Snapshot that the gateway's threads answer by.
#pragma once

#include "state/config_type.h"

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace auburnhaven::transport {

/** Configuration in force with look-up tables made once. Immutable. */
class TrafficView
{
public:
  /** @param aConfiguration Configuration in force, not null. */
  explicit TrafficView(state::ConfigurationPtr aConfiguration);

  /** @return The configuration. */
  const state::Configuration& configuration() const { return *configuration_; }
  /**
   * @param aKey Bearer key of a caller.
   * @return Its account, or null.
   */
  const state::ClientAccount* accountOf(std::string_view aKey) const;
  /**
   * Finds the serving group for a model name or group name.
   * @param aModel Name that the caller gave.
   * @param aAccount Account of the caller.
   * @param aKnown Set to whether any group has the name.
   * @return The group that serves the account, or null.
   */
  const state::ServingGroup* groupFor(const std::string& aModel,
                                      const state::AccountId& aAccount,
                                      bool& aKnown) const;

private:
  state::ConfigurationPtr configuration_; ///< Configuration in force.
  std::unordered_map<std::string, const state::ClientAccount*>
    accounts_; ///< Accounts by digest of the key.
};

using TrafficViewPtr = std::shared_ptr<const TrafficView>; ///< Shared snapshot.

/** Newest snapshot, set by the control thread. Thread-safe. */
class TrafficViewHolder
{
public:
  TrafficViewHolder();
  /** @param aView New snapshot. */
  void set(TrafficViewPtr aView) { view_.store(std::move(aView)); }
  /** @return Newest snapshot, never null. */
  TrafficViewPtr get() const { return view_.load(); }

private:
  std::atomic<TrafficViewPtr> view_; ///< Newest snapshot.
};

} // namespace auburnhaven::transport
