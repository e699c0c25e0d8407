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

/** Lists a request as open for as long as it lives. */
class RelayHandler::OpenRequest
{
public:
  OpenRequest(RelayHandler& aHandler, OpenEntry aEntry)
    : handler_(aHandler)
    , entry_(aEntry)
  {
    const std::lock_guard lock(handler_.openMutex_);
    handler_.open_.insert(entry_);
  }
  ~OpenRequest()
  {
    const std::lock_guard lock(handler_.openMutex_);
    handler_.open_.erase(entry_);
  }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

private:
  RelayHandler& handler_; ///< The handler.
  const OpenEntry entry_; ///< Its entry.
};

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
    const OpenRequest open(*this, { aThread, &exchange });
    exchange.run();
  }
}

void
RelayHandler::logOpenRequests(std::size_t aThread,
                              std::string_view aEvent) const
{
  forEachOpen(aThread, [aEvent](const RelayExchange& aExchange) {
    aExchange.logProgress(aEvent);
  });
}

void
RelayHandler::wakeOpenRequests(std::size_t aThread) const
{
  forEachOpen(aThread,
              [](const RelayExchange& aExchange) { aExchange.wake(); });
}

void
RelayHandler::giveUpOpenRequests(std::size_t aThread) const
{
  forEachOpen(aThread,
              [](RelayExchange& aExchange) { aExchange.giveUpAsStopping(); });
}

void
RelayHandler::forEachOpen(
  std::size_t aThread,
  const std::function<void(RelayExchange&)>& aVisit) const
{
  const std::lock_guard lock(openMutex_);
  for (const auto& [thread, exchange] : open_) {
    if (thread == aThread) {
      aVisit(*exchange);
    }
  }
}

} // namespace auburnhaven::transport
