// Hands received bytes to the parser of an HTTP message.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>

namespace auburnhaven::transport {

inline constexpr std::size_t kMinChunkBytes =
  5; ///< Size of the shortest chunk of a body, which is the last one.
inline constexpr std::size_t kReadAheadBytes =
  std::size_t{ 64 } * 1024; ///< Most bytes of one read.

/**
 * Parses received bytes. The library's parser fails an assertion when it gets
 * part of a last chunk a second time before five bytes of it have arrived;
 * neither its read functions nor repeated calls of put() avoid that.
 * @param aParser The parser.
 * @param aBuffer Received bytes; what is parsed is removed.
 * @param aLacksBytes False for a new message; kept from call to call.
 * @param aError Error of the parser, except need_more.
 * @return Whether the parser took bytes or failed; otherwise more must be read
 * first.
 */
template<bool IsRequest>
bool
parseBuffered(boost::beast::http::basic_parser<IsRequest>& aParser,
              boost::beast::flat_buffer& aBuffer,
              bool& aLacksBytes,
              boost::system::error_code& aError)
{
  // No complete chunk is shorter, so this delays no piece of a body.
  if (aBuffer.size() < (aLacksBytes ? kMinChunkBytes : 1)) {
    return false;
  }
  aBuffer.consume(aParser.put(aBuffer.data(), aError));
  aLacksBytes = aError == boost::beast::http::error::need_more;
  if (aLacksBytes) {
    aError = {};
  }
  return !aLacksBytes;
}

/**
 * Tells a parser of the end of its connection.
 * @param aParser The parser.
 * @param aError Error of a read; becomes that of the message if it is eof.
 */
template<bool IsRequest>
void
parseEnd(boost::beast::http::basic_parser<IsRequest>& aParser,
         boost::system::error_code& aError)
{
  if (aError != boost::asio::error::eof) {
    return;
  }
  if (aParser.got_some()) {
    aParser.put_eof(aError);
  } else {
    aError = boost::beast::http::error::end_of_stream;
  }
}

/**
 * Reads a message, or the rest of it, as the library's async_read() does.
 * @param aStream The connection.
 * @param aBuffer Received bytes that are not parsed yet.
 * @param aParser The parser.
 * @param aYield The coroutine.
 * @return Error, or none when the message is whole.
 */
template<class Stream, bool IsRequest>
boost::system::error_code
readMessage(Stream& aStream,
            boost::beast::flat_buffer& aBuffer,
            boost::beast::http::basic_parser<IsRequest>& aParser,
            const boost::asio::yield_context& aYield)
{
  boost::system::error_code error;
  bool lacksBytes = false;
  aParser.eager(true);
  while (!error && !aParser.is_done()) {
    if (parseBuffered(aParser, aBuffer, lacksBytes, error)) {
      continue;
    }
    const std::size_t room = boost::beast::read_size(aBuffer, kReadAheadBytes);
    if (room == 0) {
      return boost::beast::http::error::buffer_overflow;
    }
    aBuffer.commit(
      aStream.async_read_some(aBuffer.prepare(room), aYield[error]));
    parseEnd(aParser, error);
  }
  return error;
}

} // namespace auburnhaven::transport
