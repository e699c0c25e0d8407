// Finds the route and the client account of a request.
#pragma once

#include "state/routing_type.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace auburnhaven::coordination {

/** Index of the routes and API keys of a configuration. Immutable;
 * thread-safe. */
class RouteTable
{
public:
  /** @param aConfig The configuration; not null. */
  explicit RouteTable(state::RoutingConfigPtr aConfig);

  /**
   * Finds the route with the longest prefix that matches the path.
   * @param aHost Host of the request, with or without a port; case does not
   * matter.
   * @param aPath Path of the request, without the query.
   * @return The route, or null.
   */
  const state::Route* findRoute(std::string_view aHost,
                                std::string_view aPath) const;
  /**
   * @param aKey A bearer key.
   * @return The client account that owns it, or null.
   */
  const state::RoutedAccount* findAccount(std::string_view aKey) const;
  /** @return Whether requests to non-public routes need a key. */
  bool needsKeys() const { return config_->accounts_.has_value(); }
  /** @return The configuration. */
  const state::RoutingConfig& config() const { return *config_; }

private:
  state::RoutingConfigPtr config_; ///< The configuration.
  std::unordered_map<std::string, const state::Route*>
    routes_; ///< Routes by host and prefix.
  std::unordered_map<std::string_view, const state::RoutedAccount*>
    accounts_; ///< Client accounts by key.
};

} // namespace auburnhaven::coordination
