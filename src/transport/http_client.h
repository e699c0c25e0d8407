// HTTP/1.1 client with kept connections for one event loop.
#pragma once

#include "state/endpoint_type.h"
#include "transport/http_client_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburnhaven::transport {

class HttpConnection;
class HttpConnectionPool;

/**
 * One call: its failure, or its response with a body that is read piece by
 * piece, or a request that awaits its response. Used by one coroutine on the
 * client's thread; only abort() may be called by others on that thread.
 * Destroying it before the end of the body closes the connection.
 */
class HttpCall
{
public:
  /** Makes a call that failed. @param aFailure Why. */
  explicit HttpCall(HttpFailure aFailure);
  /**
   * Makes a call whose request has been sent.
   * @param aConnection Connection that carries the response.
   * @param aPool Takes the connection back.
   * @param aIdleTimeout Longest wait for a piece of the body.
   * @param aKept Whether the connection was used before.
   */
  HttpCall(std::shared_ptr<HttpConnection> aConnection,
           std::weak_ptr<HttpConnectionPool> aPool,
           std::chrono::milliseconds aIdleTimeout,
           bool aKept);
  ~HttpCall();
  HttpCall(HttpCall&&) noexcept;
  HttpCall& operator=(HttpCall&&) noexcept;
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  /** @return Whether the response header has been read. */
  bool hasResponse() const { return connection_ != nullptr && !awaitsHead_; }
  /** @return Whether the request was sent and the response header may still
   * come. */
  bool awaitsHead() const { return connection_ != nullptr && awaitsHead_; }
  /**
   * Waits for the response header. Call while awaitsHead().
   * @param aYield The coroutine.
   */
  void readHead(const boost::asio::yield_context& aYield);
  /** Reads what has arrived of the response header, without waiting; then
   * awaitsHead() tells whether more must come. Call while awaitsHead(). */
  void pollHead();
  /** Reads what has arrived of the body, without waiting. @return As
   * readChunk(), or kPending. */
  HttpPiece poll();
  /**
   * Calls a handler once when pollHead() or poll() may have news.
   * @param aHandler Called on the client's thread, unless cancelWait() comes
   * first.
   */
  void onReadable(std::function<void()> aHandler);
  /** Forgets the handler of onReadable(). */
  void cancelWait();
  /** @return Why there is no response. */
  const HttpFailure& failure() const { return failure_; }
  /** @return Status code; 0 without a response. */
  std::uint32_t status() const;
  /**
   * @param aName Name of a header, without regard to case.
   * @return Its value, or empty; valid as long as this call.
   */
  std::string_view header(std::string_view aName) const;
  /** @return All headers of the response in order. */
  std::vector<HttpField> headers() const;
  /** @param aTimeout Longest wait for the next pieces of the body. */
  void setIdleTimeout(std::chrono::milliseconds aTimeout)
  {
    idleTimeout_ = aTimeout;
  }
  /** Bounds the time for the rest of the body. @param aLimit From now. */
  void limitTime(std::chrono::milliseconds aLimit);
  /**
   * Waits for the next piece of the body as it arrives.
   * @param aYield The coroutine.
   * @return The piece; after anything but kData the same status again.
   */
  HttpPiece readChunk(const boost::asio::yield_context& aYield);
  /**
   * Waits for the next line of the body. Don't mix with readChunk().
   * @param aYield The coroutine.
   * @return The line without its end; a last line without an end is kData too.
   */
  HttpPiece readLine(const boost::asio::yield_context& aYield);
  /**
   * Reads the rest of the body.
   * @param aMaxBytes Largest body.
   * @param aYield The coroutine.
   * @return The body.
   */
  HttpBody readAll(std::size_t aMaxBytes,
                   const boost::asio::yield_context& aYield);
  /** Closes the connection; a read in progress ends with kCutShort. */
  void abort();

private:
  void release();
  void takeHead(HttpFailure aFailure);

  HttpFailure failure_;                        ///< Why there is no response.
  std::shared_ptr<HttpConnection> connection_; ///< Carries the body.
  std::weak_ptr<HttpConnectionPool> pool_;     ///< Takes the connection back.
  std::chrono::milliseconds idleTimeout_{};    ///< Longest wait for a piece.
  bool kept_ = false;       ///< Whether the connection was used before.
  bool awaitsHead_ = false; ///< Whether the response header must still come.
};

/**
 * Aborts a call from outside its coroutine, also while the response header is
 * awaited. On the client's thread only.
 */
class HttpAborter
{
public:
  using WantedCheck = std::function<bool(
    const boost::asio::yield_context&)>; ///< Returns whether the response is
                                         ///< still wanted; may wait.

  HttpAborter() = default;
  /** @param aIsWanted Asked as the last thing before any byte of the request is
   * written; if it returns false, the call is aborted. */
  explicit HttpAborter(WantedCheck aIsWanted)
    : isWanted_(std::move(aIsWanted))
  {
  }

  /** @param aYield The call's coroutine. @return Whether the request may be
   * written. */
  bool maySend(const boost::asio::yield_context& aYield);
  /** Ends the call that is bound, or the next one that binds. Does nothing to
   * a connection that the call has given back. */
  void abort();
  /** @return Whether abort() was called. */
  bool aborted() const { return aborted_; }
  /** Binds the connection of a call. @param aConnection The connection. */
  void bind(const std::shared_ptr<HttpConnection>& aConnection);

private:
  WantedCheck isWanted_; ///< Asked before the request is written; may be empty.
  std::weak_ptr<HttpConnection> connection_; ///< Connection of the call.
  std::uint64_t use_ = 0;                    ///< Use of the connection.
  bool aborted_ = false;                     ///< Whether abort() was called.
};

/**
 * Sends requests over kept connections. All calls on the thread that runs the
 * event loop. Calls may outlive the client.
 */
class HttpClient
{
public:
  /**
   * @param aContext Event loop that runs on one thread.
   * @param aLimits Limits of the kept connections.
   */
  explicit HttpClient(boost::asio::io_context& aContext,
                      HttpClientLimits aLimits = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /**
   * Sends a request. A kept connection that turns out to be closed before any
   * byte was written is replaced by a new one; nothing is ever sent twice.
   * @param aEndpoint The target.
   * @param aRequest The request.
   * @param aTimeouts Time limits.
   * @param aYield The coroutine.
   * @param aAborter Bound to the call when given; lives until send() returns.
   * @return The call, which awaits its response header or has failed; a failure
   * states precisely whether the target could have got any byte.
   */
  HttpCall send(const state::Endpoint& aEndpoint,
                const HttpClientRequest& aRequest,
                const HttpTimeouts& aTimeouts,
                const boost::asio::yield_context& aYield,
                HttpAborter* aAborter = nullptr);
  /**
   * Sends a request as send() does and waits for the response header.
   * @param aEndpoint The target.
   * @param aRequest The request.
   * @param aTimeouts Time limits.
   * @param aYield The coroutine.
   * @param aAborter Bound to the call when given; lives until open() returns.
   * @return The call, with a response or a failure.
   */
  HttpCall open(const state::Endpoint& aEndpoint,
                const HttpClientRequest& aRequest,
                const HttpTimeouts& aTimeouts,
                const boost::asio::yield_context& aYield,
                HttpAborter* aAborter = nullptr);
  /** Closes all kept connections that are not in use. */
  void closeIdle();
  /** @return Kept connections that are not in use. */
  std::size_t idleConnections() const;

private:
  boost::asio::io_context& context_;         ///< Event loop.
  std::shared_ptr<HttpConnectionPool> pool_; ///< Kept connections.
};

} // namespace auburnhaven::transport
