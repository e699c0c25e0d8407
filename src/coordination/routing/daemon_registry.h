// Daemons that have registered in the store.
#pragma once

#include "state/endpoint_type.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Daemons that have registered in the store. Control thread only. */
class DaemonRegistry
{
public:
  /** @param aPrefix Key prefix of the registrations. */
  explicit DaemonRegistry(std::string aPrefix);

  /**
   * @param aDaemon Name of a daemon.
   * @return Key of its registration.
   */
  std::string keyOf(const std::string& aDaemon) const;
  /**
   * Applies a changed key; keys outside the prefix are ignored.
   * @param aKey The key.
   * @param aValue The daemon's endpoint as text; absent when the key was
   * removed. A value that is no endpoint removes the daemon too.
   */
  void take(const std::string& aKey, const std::optional<std::string>& aValue);
  /** @return Peer endpoints of all daemons. */
  std::vector<state::Endpoint> endpoints() const;
  /** @return Number of daemons. */
  std::size_t size() const { return daemons_.size(); }

private:
  std::string prefix_;                             ///< Key prefix.
  std::map<std::string, state::Endpoint> daemons_; ///< Peer endpoints by key.
};

} // namespace auburnhaven::coordination
