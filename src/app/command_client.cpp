// Calls a daemon's operator listener on behalf of a command.

#include "app/command_client.h"

#include "app/file_func.h"
#include "app/toml_reader.h"
#include "transport/http_client.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

namespace auburnhaven::app {

namespace asio = boost::asio;

namespace {

using transport::HttpClientRequest;

constexpr std::chrono::seconds kTimeout{
  15
}; ///< Limit for the connection, and for the request with its answer.
constexpr transport::HttpTimeouts kTimeouts{ kTimeout,
                                             kTimeout,
                                             kTimeout,
                                             kTimeout };
constexpr std::size_t kMaxReplyBytes = 64UL * 1024 * 1024; ///< Largest answer.

/** Sends a request and reads its answer. */
OperatorReply
exchange(asio::io_context& aContext,
         const state::Endpoint& aEndpoint,
         const HttpClientRequest& aRequest,
         const asio::yield_context& aYield)
{
  transport::HttpClient client(aContext);
  transport::HttpCall call =
    client.open(aEndpoint, aRequest, kTimeouts, aYield);
  if (!call.hasResponse()) {
    return { 0, call.failure().message_ };
  }
  transport::HttpBody body = call.readAll(kMaxReplyBytes, aYield);
  if (body.status_ != transport::HttpReadStatus::kEnd) {
    return { 0, "its answer is not whole" };
  }
  return { call.status(), std::move(body.data_) };
}

/** Runs one request to its end. */
OperatorReply
call(const state::Endpoint& aEndpoint, const HttpClientRequest& aRequest)
{
  asio::io_context context(1);
  OperatorReply reply;
  asio::spawn(
    context,
    [&](const asio::yield_context& aYield) {
      reply = exchange(context, aEndpoint, aRequest, aYield);
    },
    asio::detached);
  context.run();
  return reply;
}

/** @return A request with its headers set. */
HttpClientRequest
makeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aKey,
            const std::string& aBody)
{
  HttpClientRequest request{ aMethod,
                             aPath,
                             { { "Host", "operator" },
                               { "Connection", "close" },
                               { "Authorization", "Bearer " + aKey } },
                             aBody };
  if (!aBody.empty()) {
    request.headers_.push_back({ "Content-Type", "application/json" });
  }
  return request;
}

} // namespace

OperatorClient::OperatorClient(state::Endpoint aEndpoint, std::string aKey)
  : endpoint_(std::move(aEndpoint))
  , key_(std::move(aKey))
{
}

OperatorReply
OperatorClient::get(const std::string& aPath) const
{
  return call(endpoint_, makeRequest("GET", aPath, key_, ""));
}

OperatorReply
OperatorClient::post(const std::string& aPath, const std::string& aBody) const
{
  return call(endpoint_, makeRequest("POST", aPath, key_, aBody));
}

state::leaf::result<OperatorClient>
makeOperatorClient(const OperatorOptions& aOptions)
{
  const auto endpoint = parseEndpoint(aOptions.address_);
  if (!endpoint) {
    return state::leaf::new_error(state::InputErrors{
      { { "--operator", 0, "", "must be an IP number and a port" } } });
  }
  BOOST_LEAF_AUTO(key, readFile(aOptions.keyFile_));
  const std::size_t end = key.find_last_not_of(" \r\n");
  key.resize(end == std::string::npos ? 0 : end + 1);
  return OperatorClient(*endpoint, key);
}

} // namespace auburnhaven::app
