// HTTP/2 session of the nghttp2 library over a TCP socket.
#pragma once

#include "transport/h2_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct nghttp2_session;

namespace auburnhaven::transport {

class H2Callbacks;

/**
 * Runs one connection on the thread of its socket's event loop. No call may
 * come from another thread. Keeps itself and its events alive until it closes;
 * whoever made it closes it before the event loop is destroyed.
 */
class H2Session : public std::enable_shared_from_this<H2Session>
{
public:
  /**
   * @param aSocket Connected socket.
   * @param aRole Which side this is.
   * @param aLimits Limits.
   */
  H2Session(boost::asio::ip::tcp::socket aSocket,
            H2Role aRole,
            const H2Limits& aLimits);
  ~H2Session();
  H2Session(const H2Session&) = delete;
  H2Session& operator=(const H2Session&) = delete;

  /** Starts to read and write. Call once. @param aEvents Takes the events. */
  void start(std::shared_ptr<H2Events> aEvents);
  /**
   * Opens a stream. Client only.
   * @param aFields Pseudo headers and headers of the request.
   * @param aHasBody Whether write() and end() follow.
   * @return The stream; 0 when the session takes no more streams.
   */
  H2StreamId request(const H2Fields& aFields, bool aHasBody);
  /**
   * Answers a stream. Server only, once per stream.
   * @param aStream The stream.
   * @param aFields Status and headers.
   * @param aHasBody Whether write() and end() follow.
   */
  void respond(H2StreamId aStream, const H2Fields& aFields, bool aHasBody);
  /**
   * Queues data.
   * @param aStream The stream; ignored when it is gone.
   * @param aData The data.
   */
  void write(H2StreamId aStream, std::string_view aData);
  /**
   * Ends this side of a stream after its data.
   * @param aStream The stream; ignored when it is gone.
   * @param aTrailers Trailers to send; may be empty.
   */
  void end(H2StreamId aStream, H2Fields aTrailers);
  /**
   * Breaks a stream.
   * @param aStream The stream; ignored when it is gone.
   * @param aRefuse Whether it certainly was not acted on.
   */
  void reset(H2StreamId aStream, bool aRefuse);
  /** Opens the windows. @param aStream The stream. @param aBytes Data used. */
  void consume(H2StreamId aStream, std::size_t aBytes);
  /**
   * @param aStream A stream.
   * @return Bytes queued on it and not yet framed; 0 when it is gone.
   */
  std::size_t queuedBytes(H2StreamId aStream) const;
  /**
   * Calls back once the system has taken all that is framed now; drops the
   * handler when the session closes first. @param aHandler The handler.
   */
  void afterWrite(std::function<void()> aHandler);
  /** @return Bytes read from and written to the socket. */
  std::size_t wireBytes() const { return wireBytes_; }
  /** @return Whether the session takes new streams. */
  bool takesStreams() const;
  /**
   * Refuses all streams that have not begun, and closes after the others.
   */
  void shutDown();
  /** Closes at once; the events follow later. @param aReason For people. */
  void close(const std::string& aReason);
  /** @return Whether it is closed. */
  bool closed() const { return closed_; }

private:
  friend class H2Callbacks;
  /** What is kept for a stream. */
  struct Stream
  {
    std::string out_;            ///< Data to send.
    std::size_t sent_ = 0;       ///< Bytes of out_ that were framed.
    bool ended_ = false;         ///< Whether this side ends after out_.
    bool hasBody_ = false;       ///< Whether a body source is attached.
    bool headersSent_ = false;   ///< Whether the other side may know of it.
    std::size_t fieldBytes_ = 0; ///< Size of the header lines that came.
    H2Fields fields_;            ///< Header lines that came.
    H2Fields trailers_;          ///< Trailers to send.
  };

  void read();
  void onRead(const boost::system::error_code& aError, std::size_t aSize);
  void scheduleFlush();
  void flush();
  void onWritten(const boost::system::error_code& aError, std::size_t aSize);
  void watchSilence();
  void fail(const char* aWhat, int aCode);
  void callAfterWrite();
  Stream* find(H2StreamId aStream);

  boost::asio::ip::tcp::socket socket_;  ///< The connection.
  boost::asio::steady_timer timer_;      ///< Watches for silence.
  H2Limits limits_;                      ///< Limits.
  H2Role role_;                          ///< Which side this is.
  nghttp2_session* session_ = nullptr;   ///< The library's session.
  std::shared_ptr<H2Events> events_;     ///< Takes the events.
  std::map<H2StreamId, Stream> streams_; ///< Open streams.
  std::array<std::uint8_t, 16384> in_{}; ///< Bytes read.
  std::string out_;                      ///< Bytes being written.
  std::vector<std::function<void()>>
    afterWrite_; ///< Called when all that is framed was written.
  std::chrono::steady_clock::time_point heardAt_; ///< When bytes came last.
  std::size_t wireBytes_ = 0;                     ///< Bytes read and written.
  bool flushScheduled_ = false;                   ///< Whether flush() will run.
  bool writing_ = false;                          ///< Whether a write is open.
  bool goingAway_ = false;                        ///< No new streams.
  bool closed_ = false;                           ///< Whether it is closed.
};

} // namespace auburnhaven::transport
