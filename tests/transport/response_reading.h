// Reads responses of an HTTP client in its two ways.
#pragma once

#include "transport/http_client.h"
#include "transport/loopback.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>

namespace auburnhaven::fakes {

/** How a client reads the head of a response. */
enum class Reading : std::uint8_t
{
  kWaiting, ///< HttpClient::open().
  kPolling, ///< HttpClient::send(), HttpCall::pollHead() and poll().
};

/** Waits until a call may have news. */
inline void
awaitNews(transport::HttpCall& aCall, const boost::asio::yield_context& aYield)
{
  boost::asio::steady_timer timer(aYield.get_executor(), kLoopbackLimit);
  aCall.onReadable([&timer] { timer.cancel(); });
  boost::system::error_code ignored;
  timer.async_wait(aYield[ignored]);
  aCall.cancelWait();
}

/** @return A call with its response or failure. */
inline transport::HttpCall
respond(transport::HttpClient& aClient,
        const state::Endpoint& aEndpoint,
        Reading aReading,
        const boost::asio::yield_context& aYield)
{
  const transport::HttpClientRequest request{ "GET", "/cut", {}, {} };
  if (aReading == Reading::kWaiting) {
    return aClient.open(aEndpoint, request, {}, aYield);
  }
  transport::HttpCall call = aClient.send(aEndpoint, request, {}, aYield);
  while (call.awaitsHead()) {
    call.pollHead();
    if (call.awaitsHead()) {
      awaitNews(call, aYield);
    }
  }
  return call;
}

/** @return How the body of a response ended. */
inline transport::HttpReadStatus
bodyEnd(transport::HttpCall& aCall,
        Reading aReading,
        const boost::asio::yield_context& aYield)
{
  using transport::HttpReadStatus;
  if (aReading == Reading::kWaiting) {
    return aCall.readAll(1000, aYield).status_;
  }
  for (;;) {
    const transport::HttpPiece piece = aCall.poll();
    if (piece.status_ == HttpReadStatus::kPending) {
      awaitNews(aCall, aYield);
    } else if (piece.status_ != HttpReadStatus::kData) {
      return piece.status_;
    }
  }
}

} // namespace auburnhaven::fakes
