// Closes a connection so that its peer can still read the last response.

#include "transport/connection_closer.h"

#include "transport/read_timer.h"

#include <boost/asio.hpp>

#include <linux/sockios.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace auburnhaven::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kQuietTime(
  250); ///< Silence of a peer that has all bytes before the close.
constexpr milliseconds kFirstPoll(
  10); ///< First pause between looks at the bytes not acknowledged.
constexpr milliseconds kLongestPoll(100); ///< Longest such pause.
constexpr std::size_t kReadBytes = 4096;  ///< Bytes read at once.
constexpr std::size_t kMaxDropped =
  std::size_t{ 256 } * 1024; ///< Most bytes dropped before the close.

/** Asks the system for the bytes of a socket that are not acknowledged. */
class UnsentQuestion
{
public:
  /** @return The request code. */
  int name() const { return SIOCOUTQ; }
  /** @return Where the answer goes. */
  void* data() { return &bytes_; }
  /** @return The answer. */
  std::size_t bytes() const
  {
    return static_cast<std::size_t>(std::max(0, bytes_));
  }

private:
  int bytes_ = 0; ///< The answer.
};

/** @return Bytes that the peer's system has not acknowledged, once the sending
 * side has ended; 0 when the system does not tell. */
std::size_t
unsentBytes(tcp::socket& aSocket)
{
  UnsentQuestion question;
  error_code error;
  aSocket.io_control(question, error);
  // The end of the sending side counts as a byte; it need not be acknowledged,
  // so that a dead peer of an idle connection holds nothing up.
  return error || question.bytes() == 0 ? 0 : question.bytes() - 1;
}

/** @return Whether an error stands at a socket, as after a reset. */
bool
hasError(tcp::socket& aSocket)
{
  int value = 0;
  socklen_t size = sizeof value;
  const int result =
    getsockopt(aSocket.native_handle(), SOL_SOCKET, SO_ERROR, &value, &size);
  return result != 0 || value != 0;
}

/** One connection that is closed. */
class Closer
{
public:
  Closer(beast::tcp_stream& aStream, const asio::yield_context& aYield)
    : stream_(aStream)
    , socket_(aStream.socket())
    , yield_(aYield)
  {
  }

  /** Waits until the peer has taken all, at most until a time. */
  void wait(std::chrono::steady_clock::time_point aUntil)
  {
    milliseconds poll = kFirstPoll;
    bool quiet = false;
    while (!isDone(quiet) && std::chrono::steady_clock::now() < aUntil) {
      const bool sent = unsentBytes(socket_) == 0;
      const bool silent = pause(sent ? kQuietTime : poll);
      quiet = sent && silent;
      poll = std::min(poll * 2, kLongestPoll);
    }
  }

private:
  /** Drops what has come. @return Whether nothing is left to wait for. */
  bool isDone(bool aQuiet)
  {
    const std::size_t before = dropped_;
    drop();
    if (broken_ || dropped_ >= kMaxDropped || hasError(socket_)) {
      return true;
    }
    const bool quiet = ended_ || (aQuiet && dropped_ == before);
    return quiet && unsentBytes(socket_) == 0;
  }

  /** Reads and drops what has come. */
  void drop()
  {
    std::array<char, kReadBytes> bytes{};
    error_code error;
    while (!ended_ && !error && dropped_ < kMaxDropped) {
      dropped_ += socket_.read_some(asio::buffer(bytes), error);
    }
    ended_ = ended_ || error == asio::error::eof;
    broken_ = error && !ended_ && error != asio::error::would_block;
  }

  /** Waits for bytes of a peer that may send more. @return Whether none came in
   * time. */
  bool pause(milliseconds aLimit)
  {
    error_code error;
    if (ended_) {
      asio::steady_timer timer(stream_.get_executor(), aLimit);
      timer.async_wait(yield_[error]);
      return true;
    }
    const ReadTimer timer(stream_, aLimit);
    socket_.async_wait(tcp::socket::wait_read, yield_[error]);
    return timer.explain(error) == beast::error::timeout;
  }

  beast::tcp_stream& stream_;        ///< The connection.
  tcp::socket& socket_;              ///< Its socket.
  const asio::yield_context& yield_; ///< The coroutine.
  std::size_t dropped_ = 0;          ///< Bytes dropped.
  bool ended_ = false;               ///< Whether the peer sends no more.
  bool broken_ = false;              ///< Whether the connection is broken.
};

} // namespace

BytesAtClose
closeAfterPeer(beast::tcp_stream& aStream,
               milliseconds aLimit,
               const asio::yield_context& aYield)
{
  tcp::socket& socket = aStream.socket();
  BytesAtClose left;
  error_code error;
  socket.shutdown(tcp::socket::shutdown_send, error);
  if (!error) {
    aStream.expires_never();
    Closer(aStream, aYield).wait(std::chrono::steady_clock::now() + aLimit);
    left.unsent_ = unsentBytes(socket);
    left.unread_ = socket.available(error);
  }
  aStream.close();
  return left;
}

} // namespace auburnhaven::transport
