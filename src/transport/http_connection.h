// One connection of the HTTP client.
#pragma once

#include "state/endpoint_type.h"
#include "transport/http_client_type.h"
#include "transport/read_turn.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace auburnhaven::transport {

/** A connection with at most one call at a time. One thread only. */
class HttpConnection
{
public:
  /**
   * @param aContext Event loop.
   * @param aEndpoint The target.
   * @param aLimits Limits of the client.
   */
  HttpConnection(boost::asio::io_context& aContext,
                 state::Endpoint aEndpoint,
                 const HttpClientLimits& aLimits);

  /**
   * Connects.
   * @param aTimeout Longest wait.
   * @param aYield The coroutine.
   * @return kNone, or why there is no connection.
   */
  HttpFailure connect(std::chrono::milliseconds aTimeout,
                      const boost::asio::yield_context& aYield);
  /**
   * Sends a request, unless the connection is not usable().
   * @param aRequest The request.
   * @param aTimeouts Time limits.
   * @param aYield The coroutine.
   * @return kNone, or why the request was not sent whole.
   */
  HttpFailure send(const HttpClientRequest& aRequest,
                   const HttpTimeouts& aTimeouts,
                   const boost::asio::yield_context& aYield);
  /**
   * Waits for the response header, at most for the response timeout of send().
   * @param aYield The coroutine.
   * @return kNone, or why there is no response.
   */
  HttpFailure readHead(const boost::asio::yield_context& aYield);
  /** Parses what has arrived of the response header, without waiting.
   * @return Nothing while it is incomplete; else as readHead(). */
  std::optional<HttpFailure> pollHead();
  /** Reads what has arrived of the body, without waiting. @return As
   * readChunk(), or kPending. */
  HttpPiece poll();
  /**
   * Calls a handler once when poll() or pollHead() may have news.
   * @param aHandler Called by the event loop, unless cancelWait() comes first.
   */
  void onReadable(std::function<void()> aHandler);
  /** Forgets the handler of onReadable(). */
  void cancelWait();
  /** Bounds the rest of the exchange. @param aLimit Longest time from now. */
  void limitTime(std::chrono::milliseconds aLimit);
  /** Reads a piece of the body; as HttpCall::readChunk(). */
  HttpPiece readChunk(std::chrono::milliseconds aTimeout,
                      const boost::asio::yield_context& aYield);
  /** Reads a line of the body; as HttpCall::readLine(). */
  HttpPiece readLine(std::chrono::milliseconds aTimeout,
                     const boost::asio::yield_context& aYield);
  /** Closes the connection; what waits on it ends. */
  void abort();
  /** @return Whether an unused connection is still open and no byte has arrived
   * that belongs to no request. */
  bool usable();
  /** @return Whether the response was read whole, nothing has been read after
   * it, and the target keeps the connection. */
  bool reusable() const;
  /** @return Status code of the response; once readHead() or pollHead() has
   * succeeded, a final one that HTTP defines. */
  std::uint32_t status() const;
  /** @return Value of a response header, or empty. */
  std::string_view header(std::string_view aName) const;
  /** @return All response headers in order. */
  std::vector<HttpField> headers() const;
  /** @return The target. */
  const state::Endpoint& endpoint() const { return endpoint_; }
  /** @return When it became unused. */
  std::chrono::steady_clock::time_point idleSince() const { return idleSince_; }
  /** @return Number of calls that have given it back. */
  std::uint64_t use() const { return use_; }
  /** Notes that it is unused from now on. */
  void markIdle();
  /** @param aLimit Most unused connections to its endpoint when it is kept. */
  void setKeptLimit(std::size_t aLimit) { keptLimit_ = aLimit; }
  /** @return Most unused connections to its endpoint when it is kept. */
  std::size_t keptLimit() const { return keptLimit_; }

private:
  using Parser = boost::beast::http::response_parser<
    boost::beast::http::buffer_body>; ///< Parser of one response.

  static constexpr std::size_t kPieceBytes =
    std::size_t{ 16 } * 1024; ///< Most body bytes of one read.

  using Time = std::chrono::steady_clock::time_point; ///< Time of a limit.

  void probeSilence();
  void startParser();
  /** Parses what was read of the heads. @param aError Why nobody can
   * interpret them. @return Whether the final one is whole, or an error. */
  bool parseHead(boost::system::error_code& aError);
  /** Checks a head that was parsed. @return Whether another one follows. */
  bool announcesNextHead(boost::system::error_code& aError);
  std::size_t roomForBytes(boost::system::error_code& aError);
  /** Waits for bytes and reads them. */
  void readBytes(Time aUntil,
                 boost::system::error_code& aError,
                 const boost::asio::yield_context& aYield);
  /** Reads what has arrived; would_block when nothing has. */
  void takeBytes(boost::system::error_code& aError);
  void provideBodyBuffer();
  std::optional<HttpPiece> pieceAfter(const boost::system::error_code& aError);
  Time limitOf(std::chrono::milliseconds aTimeout) const;
  HttpPiece readPiece(Time aUntil, const boost::asio::yield_context& aYield);
  HttpPiece finish(const boost::system::error_code& aError);
  HttpPiece takeLine(std::size_t aEnd);
  HttpFailure failure(const boost::system::error_code& aError,
                      bool aBytesMayHaveArrived) const;

  state::Endpoint endpoint_; ///< The target.
  HttpClientLimits limits_;  ///< Limits of the client.
  boost::beast::basic_stream<boost::asio::ip::tcp,
                             boost::asio::io_context::executor_type>
    stream_;                              ///< The socket with its time limits.
  boost::beast::flat_buffer buffer_;      ///< Bytes read and not yet parsed.
  std::optional<Parser> parser_;          ///< Parser of the present response.
  std::array<char, kPieceBytes> piece_{}; ///< Body bytes of the latest read.
  bool lacksBytes_ = false;    ///< Whether the parser asked for more bytes than
                               ///< are read.
  ReadTurn turn_;              ///< What was read of the body without a wait.
  std::string lines_;          ///< Body bytes read and not yet handed out.
  std::size_t linesTaken_ = 0; ///< Bytes of lines_ that were handed out.
  std::optional<HttpReadStatus> ended_; ///< How the body ended.
  std::uint64_t use_ = 0;               ///< Calls that have given it back.
  int interims_ = 0;                    ///< Interim headers of the response.
  bool aborted_ = false;                ///< Whether abort() was called.
  Time headUntil_{};                    ///< Latest time for the header.
  Time deadline_ = Time::max();         ///< When the exchange must have ended.
  Time idleSince_{};                    ///< When it became unused.
  std::size_t keptLimit_ =
    kNoConnectionLimit; ///< Most unused connections when it is kept.
};

} // namespace auburnhaven::transport
