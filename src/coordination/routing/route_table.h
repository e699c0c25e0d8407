// Finds the route and the account of a request.
#pragma once

#include "state/routing_type.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace auburnhaven::coordination {

/** Index of a configuration's routes and keys. Immutable; thread-safe. */
class RouteTable
{
public:
  /** @param aConfig The configuration; not null. */
  explicit RouteTable(state::RoutingConfigPtr aConfig);

  /**
   * Finds the route with the longest prefix that begins the path.
   * @param aHost Host of the request, with or without a port.
   * @param aPath Path of the request, without the query.
   * @return The route, or null.
   */
  const state::Route* findRoute(std::string_view aHost,
                                std::string_view aPath) const;
  /**
   * @param aKey A bearer key.
   * @return The account that holds it, or null.
   */
  const state::RoutedAccount* findAccount(std::string_view aKey) const;
  /** @return Whether requests of routes that are not public need a key. */
  bool needsKeys() const { return config_->accounts_.has_value(); }
  /** @return The configuration. */
  const state::RoutingConfig& config() const { return *config_; }

private:
  state::RoutingConfigPtr config_; ///< The configuration.
  std::unordered_map<std::string, const state::Route*>
    routes_; ///< Routes by host and prefix.
  std::unordered_map<std::string_view, const state::RoutedAccount*>
    accounts_; ///< Accounts by key.
};

} // namespace auburnhaven::coordination
