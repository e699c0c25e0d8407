// Finds the route and the client account of a request.

#include "coordination/routing/route_table.h"

#include <algorithm>
#include <cctype>

namespace auburnhaven::coordination {

namespace {

/** @return The host name in lower case, without its port. */
std::string
normalizedHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.rfind(':')));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return host;
}

} // namespace

RouteTable::RouteTable(state::RoutingConfigPtr aConfig)
  : config_(std::move(aConfig))
{
  for (const state::Route& route : config_->routes_) {
    routes_.emplace(normalizedHost(route.host_) + route.prefix_, &route);
  }
  if (config_->accounts_) {
    for (const state::RoutedAccount& account : *config_->accounts_) {
      for (const std::string& key : account.keys_) {
        accounts_.emplace(key, &account);
      }
    }
  }
}

const state::Route*
RouteTable::findRoute(std::string_view aHost, std::string_view aPath) const
{
  const std::string host = normalizedHost(aHost);
  std::size_t end = aPath.rfind('/');
  while (end != std::string_view::npos) {
    const auto found =
      routes_.find(host + std::string(aPath.substr(0, end + 1)));
    if (found != routes_.end()) {
      return found->second;
    }
    end = end == 0 ? std::string_view::npos : aPath.rfind('/', end - 1);
  }
  return nullptr;
}

const state::RoutedAccount*
RouteTable::findAccount(std::string_view aKey) const
{
  const auto found = accounts_.find(aKey);
  return found == accounts_.end() ? nullptr : found->second;
}

} // namespace auburnhaven::coordination
