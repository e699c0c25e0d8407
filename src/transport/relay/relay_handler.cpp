// Forwards callers' requests to targets.

#include "transport/relay/relay_handler.h"

#include "transport/relay/relay_exchange.h"

#include <utility>

namespace auburnhaven::transport {

RelayHandler::RelayHandler(const RelayDependencies& aDependencies,
                           RelaySettings aSettings)
  : dependencies_(aDependencies)
  , settings_(aSettings)
{
}

void
RelayHandler::handle(std::size_t aThread,
                     const HttpRequest& aRequest,
                     HttpResponder& aResponder,
                     const boost::asio::yield_context& aYield)
{
  ++requests_;
  RelayExchange exchange(dependencies_,
                         settings_,
                         *dependencies_.clients_[aThread],
                         aRequest,
                         aResponder,
                         aYield);
  if (refusing_) {
    exchange.refuseAsStopping();
  } else if (outdated_) {
    exchange.refuseAsOutdated();
  } else {
    exchange.run();
  }
}

} // namespace auburnhaven::transport
