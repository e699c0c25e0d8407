// Passes callers' requests through to targets.

#include "transport/relay/relay_handler.h"

#include "transport/relay/relay_exchange.h"

#include <utility>

namespace auburnhaven::transport {

RelayHandler::RelayHandler(const RelayParts& aParts, RelaySettings aSettings)
  : parts_(aParts)
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
  RelayExchange exchange(
    parts_, settings_, *parts_.clients_[aThread], aRequest, aResponder, aYield);
  if (refusing_) {
    exchange.refuseAsStopping();
  } else if (outdated_) {
    exchange.refuseAsOutdated();
  } else {
    exchange.run();
  }
}

} // namespace auburnhaven::transport
