// Closes a connection so that its peer can still read the last response.
#pragma once

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>

namespace auburnhaven::transport {

/** Bytes of a connection at its close. */
struct BytesAtClose
{
  std::size_t unsent_ = 0; ///< Written, but not acknowledged by the peer.
  std::size_t unread_ = 0; ///< Received, but not read; they cause a reset.
};

/**
 * Ends the sending side, and closes once the peer's system has all bytes and
 * the peer has ended its side or sent nothing for a moment. What still comes is
 * read and dropped, since a close with unread bytes resets the connection.
 * @param aStream The connection.
 * @param aLimit Longest time until the close.
 * @param aYield The coroutine.
 * @return Bytes that were left.
 */
BytesAtClose
closeAfterPeer(boost::beast::tcp_stream& aStream,
               std::chrono::milliseconds aLimit,
               const boost::asio::yield_context& aYield);

} // namespace auburnhaven::transport
