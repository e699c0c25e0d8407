// HTTP listener of one stand-in.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnhaven::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using HeaderList =
  std::vector<std::pair<std::string, std::string>>; ///< Names and values of
                                                    ///< headers.

/** One request with the means to answer it. Lives on the thread of its host. */
class Exchange
{
public:
  /**
   * @param aSocket Connection of the caller.
   * @param aRequest The request.
   * @param aYield Coroutine that handles it.
   */
  Exchange(asio::ip::tcp::socket& aSocket,
           const http::request<http::string_body>& aRequest,
           const asio::yield_context& aYield);

  /** @return Path of the request without its query. */
  std::string path() const;
  /**
   * @param aName Name of a query parameter.
   * @return Its value without percent codes, or an empty string.
   */
  std::string query(const std::string& aName) const;
  /**
   * @param aName Name of a header field.
   * @return Its value, or an empty string.
   */
  std::string header(const std::string& aName) const;
  /** @return Body of the request. */
  const std::string& body() const { return request_.body(); }
  /** @return Method of the request. */
  http::verb method() const { return request_.method(); }
  /** @return Whether the request has this method and path. */
  bool is(http::verb aMethod, std::string_view aPath) const;

  /**
   * Answers with a whole body.
   * @param aStatus HTTP status.
   * @param aBody Body, JSON unless empty.
   * @param aNotRun Whether to add "X-Not-Run: true".
   */
  void reply(unsigned aStatus,
             const std::string& aBody = "{}",
             bool aNotRun = false);
  /**
   * Answers with a whole body and headers.
   * @param aStatus HTTP status.
   * @param aBody Body, JSON unless empty.
   * @param aHeaders Names and values of further headers.
   */
  void replyWith(unsigned aStatus,
                 const std::string& aBody,
                 const HeaderList& aHeaders);
  /** Answers with bytes that are no answer and closes the connection. */
  void sendGarbage();
  /**
   * Answers with a head that nobody can interpret and closes the connection.
   * @param aForm Index of the form of the head; any number.
   * @param aBody Body.
   * @param aHeaders Names and values of further headers.
   */
  void sendOddHead(std::uint32_t aForm,
                   const std::string& aBody,
                   const HeaderList& aHeaders);
  /** Sends bytes that are no answer until the caller closes the connection. */
  void flood();
  /** Closes the connection without an answer. */
  void drop() { open_ = false; }
  /**
   * Starts an answer in chunks.
   * @param aContentType Type of the body.
   * @param aHeaders Names and values of further headers.
   */
  void beginChunks(std::string_view aContentType = "application/jsonlines",
                   const HeaderList& aHeaders = {});
  /** @param aData Bytes of the next chunk. */
  void chunk(std::string_view aData);
  /** Ends the answer in chunks. */
  void endChunks();
  /** @param aTime How long to wait. */
  void wait(std::chrono::nanoseconds aTime);
  /** @param aTime Until when to wait. */
  void waitUntil(std::chrono::steady_clock::time_point aTime);
  /** @return The coroutine that handles the request. */
  const asio::yield_context& yield() const { return yield_; }
  /** @return Executor of the host's thread. */
  asio::any_io_executor executor() { return socket_.get_executor(); }
  /** @return Whether the connection can take another request. */
  bool open() const { return open_; }

private:
  void send(const std::string& aBytes); ///< Writes bytes.

  asio::ip::tcp::socket& socket_; ///< Connection of the caller.
  const http::request<http::string_body>& request_; ///< The request.
  const asio::yield_context& yield_; ///< Coroutine that handles it.
  bool open_ = true;                 ///< Whether the connection goes on.
};

using ExchangeHandler =
  std::function<void(Exchange&)>; ///< Answers one request.

/**
 * Listens on a loopback port and handles each request in a coroutine.
 * @param aContext Event loop of the thread that the host belongs to.
 * @param aPort Port on 127.0.0.1.
 * @param aHandler Answers requests; called on the thread of the context.
 */
void
listenHttp(asio::io_context& aContext,
           std::uint16_t aPort,
           ExchangeHandler aHandler);

} // namespace auburnhaven::standins
