// Calls a daemon's operator listener on behalf of a command.

#include "app/command_client.h"

#include "app/file_func.h"
#include "app/toml_reader.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace auburnhaven::app {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds kCallTimeout{ 15 }; ///< Limit for one call.
constexpr std::size_t kMaxReplyBytes = 64UL * 1024 * 1024; ///< Largest answer.

using Request = http::request<http::string_body>;

/** Sends a request and reads its answer. */
OperatorReply
exchange(asio::io_context& aContext,
         const state::Endpoint& aEndpoint,
         const Request& aRequest,
         const asio::yield_context& aYield)
{
  boost::system::error_code error;
  beast::tcp_stream stream(aContext);
  stream.expires_after(kCallTimeout);
  const auto address = asio::ip::make_address(aEndpoint.address_, error);
  if (!error) {
    stream.async_connect({ address, aEndpoint.port_ }, aYield[error]);
  }
  if (!error) {
    http::async_write(stream, aRequest, aYield[error]);
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxReplyBytes);
  if (!error) {
    http::async_read(stream, buffer, parser, aYield[error]);
  }
  if (error) {
    return { 0, error.message() };
  }
  return { parser.get().result_int(), parser.get().body() };
}

/** Runs one request to its end. */
OperatorReply
call(const state::Endpoint& aEndpoint, const Request& aRequest)
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
Request
makeRequest(http::verb aMethod,
            const std::string& aPath,
            const std::string& aKey,
            const std::string& aBody)
{
  Request request(aMethod, aPath, 11);
  request.set(http::field::host, "operator");
  request.set(http::field::connection, "close");
  request.set(http::field::authorization, "Bearer " + aKey);
  if (!aBody.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = aBody;
  }
  request.prepare_payload();
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
  return call(endpoint_, makeRequest(http::verb::get, aPath, key_, ""));
}

OperatorReply
OperatorClient::post(const std::string& aPath, const std::string& aBody) const
{
  return call(endpoint_, makeRequest(http::verb::post, aPath, key_, aBody));
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
