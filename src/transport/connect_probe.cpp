// Checks whether anything listens on an endpoint by connecting to it.

#include "transport/connect_probe.h"

#include <boost/asio.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <utility>

namespace auburnhaven::transport {

namespace {

constexpr std::chrono::milliseconds kProbeTimeout(300); ///< For the connection.

} // namespace

ConnectProbe::ConnectProbe(boost::asio::io_context& aContext)
  : context_(aContext)
{
}

void
ConnectProbe::probe(const state::Endpoint& aEndpoint, Handler aHandler)
{
  boost::asio::spawn(
    context_,
    [endpoint = aEndpoint,
     handler = std::move(aHandler)](const boost::asio::yield_context& aYield) {
      handler(refusesConnections(endpoint, kProbeTimeout, aYield));
    },
    boost::asio::detached);
}

bool
refusesConnections(const state::Endpoint& aEndpoint,
                   std::chrono::milliseconds aTimeout,
                   const boost::asio::yield_context& aYield)
{
  namespace asio = boost::asio;
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aEndpoint.address_, error);
  if (error) {
    return false;
  }
  boost::beast::tcp_stream stream(aYield.get_executor());
  stream.expires_after(aTimeout);
  stream.async_connect(asio::ip::tcp::endpoint(address, aEndpoint.port_),
                       aYield[error]);
  return error == asio::error::connection_refused;
}

} // namespace auburnhaven::transport
