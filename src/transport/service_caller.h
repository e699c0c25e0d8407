// Short HTTP calls of the control thread with fail-over between addresses.
#pragma once

#include "state/endpoint_type.h"
#include "state/time_type.h"
#include "transport/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::transport {

/** How a short call ended. */
struct ServiceAnswer
{
  std::uint32_t status_ = 0; ///< Status code; 0, which no answer has, without a
                             ///< whole answer.
  std::string body_;         ///< Body of the whole answer.
  bool mayHaveRun_ = false;  ///< Whether the service could have got any of it.
  std::size_t received_ = 0; ///< Bytes of the body that came, also when the
                             ///< rest did not.
  bool tooLarge_ = false;    ///< Whether it was not read because of its size.
  std::string header_;       ///< Value of ServiceCall::wantedHeader_; empty
                             ///< when the answer lacks it.
  bool operator==(const ServiceAnswer&) const = default;
};

/** A short call. */
struct ServiceCall
{
  HttpClientRequest request_; ///< The request.
  state::Duration timeout_{}; ///< Longest wait for the answer to begin, and for
                              ///< each further piece of it.
  bool repeatable_ = false;   ///< Whether it may be sent twice.
  state::Duration transferTimeout_{}; ///< Longest time for the rest of an
                                      ///< answer that has begun; zero to bound
                                      ///< the whole answer by timeout_.
  std::size_t maxBytes_ =
    std::size_t{ 4 } * 1024 * 1024; ///< Largest body that is read.
  std::string_view
    wantedHeader_{}; ///< Name of a header of the answer that the
                     ///< caller needs; empty for none. A literal.
  bool operator==(const ServiceCall&) const = default;
};

/** Makes short calls to a service with one or more addresses. One thread only;
 * outlives the event loop's run. */
class ServiceCaller
{
public:
  using Task = std::function<void(
    const boost::asio::yield_context&)>; ///< Body of a coroutine.

  /**
   * @param aContext Event loop of the thread.
   * @param aClient Makes the calls; on the same event loop.
   */
  ServiceCaller(boost::asio::io_context& aContext, HttpClient& aClient);

  /** Starts a coroutine. @param aTask Its body. */
  void start(Task aTask);
  /** Runs a callback later, outside of any coroutine. @param aWork Callback. */
  void later(std::function<void()> aWork);
  /**
   * Makes a call to one address.
   * @param aEndpoint The address.
   * @param aCall The call.
   * @param aYield The coroutine.
   * @return How it ended, within the call's timeout.
   */
  ServiceAnswer call(const state::Endpoint& aEndpoint,
                     const ServiceCall& aCall,
                     const boost::asio::yield_context& aYield);
  /**
   * Makes a call to the first address that answers. Goes on to the next one
   * only when the call certainly was not done or may be repeated.
   * @param aEndpoints The addresses, at least one.
   * @param aPreferred Index to begin with; moves on with failures.
   * @param aCall The call; its timeout holds for each address.
   * @param aYield The coroutine.
   * @return How the last try ended.
   */
  ServiceAnswer callAny(const std::vector<state::Endpoint>& aEndpoints,
                        std::size_t& aPreferred,
                        const ServiceCall& aCall,
                        const boost::asio::yield_context& aYield);

private:
  boost::asio::io_context& context_; ///< Event loop of the thread.
  HttpClient& client_;               ///< Makes the calls.
};

/**
 * @param aText A text with percent codes.
 * @return The text without them, or nothing when a code is malformed.
 * Thread-safe.
 */
std::optional<std::string>
percentDecode(const std::string& aText);

/**
 * @param aPath Path of the call.
 * @param aBody JSON body.
 * @return A POST request. Thread-safe.
 */
HttpClientRequest
makePost(std::string aPath, std::string aBody);

/** @param aText Any text. @return It as part of a query. Thread-safe. */
std::string
percentEncode(const std::string& aText);

} // namespace auburnhaven::transport
