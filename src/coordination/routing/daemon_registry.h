// Daemons that registered themselves in the store.
#pragma once

#include "state/endpoint_type.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::coordination {

/** Daemons that registered themselves in the store. Control thread only. */
class DaemonRegistry
{
public:
  /** @param aPrefix Prefix of the daemons' keys. */
  explicit DaemonRegistry(std::string aPrefix);

  /**
   * @param aDaemon Name of a daemon.
   * @return Its key.
   */
  std::string keyOf(const std::string& aDaemon) const;
  /**
   * Takes a changed key; keys of other prefixes are ignored.
   * @param aKey The key.
   * @param aValue Its value, an endpoint as text; absent when removed.
   */
  void take(const std::string& aKey, const std::optional<std::string>& aValue);
  /** @return Peer listeners of all daemons. */
  std::vector<state::Endpoint> endpoints() const;
  /** @return Number of daemons. */
  std::size_t size() const { return daemons_.size(); }

private:
  std::string prefix_;                             ///< Prefix of the keys.
  std::map<std::string, state::Endpoint> daemons_; ///< Listeners by key.
};

} // namespace auburnhaven::coordination
