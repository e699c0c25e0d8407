// Daemons that have registered in the store.

#include "coordination/routing/daemon_registry.h"

#include "state/endpoint_func.h"

#include <utility>

namespace auburnhaven::coordination {

DaemonRegistry::DaemonRegistry(std::string aPrefix)
  : prefix_(std::move(aPrefix))
{
}

std::string
DaemonRegistry::keyOf(const std::string& aDaemon) const
{
  return prefix_ + aDaemon;
}

void
DaemonRegistry::take(const std::string& aKey,
                     const std::optional<std::string>& aValue)
{
  if (!aKey.starts_with(prefix_)) {
    return;
  }
  const std::optional<state::Endpoint> endpoint =
    aValue ? state::endpointFrom(*aValue) : std::nullopt;
  if (endpoint) {
    daemons_[aKey] = *endpoint;
  } else {
    daemons_.erase(aKey);
  }
}

std::vector<state::Endpoint>
DaemonRegistry::endpoints() const
{
  std::vector<state::Endpoint> endpoints;
  for (const auto& [key, endpoint] : daemons_) {
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

} // namespace auburnhaven::coordination
