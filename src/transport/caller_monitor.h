// Notices when the caller of a connection leaves while it is answered.
#pragma once

#include "transport/http_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace auburnhaven::transport {

/**
 * Watches one connection while a request is answered.
 *
 * An end of the caller's sending side alone does not tell whether the caller
 * has left or still waits for its answer; only a reset in return for further
 * bytes does. After such an end the monitor therefore sends, one by one, bytes
 * with which every continuation of the answer may begin: the start of the
 * status line before the head, and leading zeros of a chunk's size within a
 * stream. The pauses between them double, so that a caller that closes only
 * later is noticed too, within about twice the time that it has waited.
 *
 * Requests that arrive meanwhile are read ahead, up to a limit, so that they
 * hide no end of the connection. Beyond it only a reset is noticed.
 *
 * One thread only. The socket is in non-blocking mode.
 */
class CallerMonitor
{
public:
  /** What of the answer was written last. */
  enum class Place
  {
    kHead,  ///< Nothing yet.
    kChunk, ///< A head or a chunk of a stream that goes on.
    kWhole  ///< The end of the answer.
  };

  /**
   * @param aSocket The connection; outlives this object.
   * @param aAhead Takes bytes that are read ahead; outlives this object.
   */
  CallerMonitor(boost::asio::ip::tcp::socket& aSocket,
                boost::beast::flat_buffer& aAhead);
  CallerMonitor(const CallerMonitor&) = delete;
  CallerMonitor& operator=(const CallerMonitor&) = delete;

  /**
   * Starts to watch, before the answer.
   * @param aOwner Holds this object; is kept alive until the watch has ended.
   */
  void start(std::weak_ptr<void> aOwner);
  /** Ends the watch, and all waits on the socket. */
  void stop();
  /**
   * Sets what to do when the caller leaves.
   * @param aHandler Called at most once; empty for none.
   */
  void onGone(std::function<void()> aHandler)
  {
    handler_ = std::move(aHandler);
  }

  /**
   * Sends nothing until endWrite(). Call before each write of the answer.
   * @return Bytes of the status line that were already sent; only before the
   * head.
   */
  std::size_t beginWrite();
  /**
   * Notes the end of a write.
   * @param aError Its error.
   * @param aPlace What was written.
   * @return Whether the caller is still there.
   */
  bool endWrite(const boost::system::error_code& aError, Place aPlace);
  /**
   * Takes what has arrived and was not noticed yet, such as the end of a caller
   * that left while the process stood still. If the caller sends no more, waits
   * until a probe has had time to tell whether it has left.
   * @param aYield Coroutine of the answer; no write is under way.
   * @return Whether the caller is still there.
   */
  bool confirm(const boost::asio::yield_context& aYield);
  /** Makes a stream that ends here look broken, unless a write is under way. */
  void breakOff();
  /** Takes the caller for gone. */
  void abandon() { leave(CallerEnd::kAbandoned); }

  /** @return How the caller's side ended so far. */
  CallerEnd end() const { return end_; }
  /** @return Whether the caller cannot take an answer any more. */
  bool gone() const { return isGone(end_); }

private:
  void waitForBytes();
  void takeBytes();
  bool readAhead();
  void awaitReset(const boost::asio::yield_context& aYield);
  void takeReset();
  void waitForReset();
  void scheduleProbe(std::chrono::milliseconds aAfter);
  void probe();
  void leave(CallerEnd aEnd);

  boost::asio::ip::tcp::socket& socket_; ///< The connection.
  boost::beast::flat_buffer& ahead_;     ///< Takes bytes read ahead.
  boost::asio::steady_timer timer_;      ///< Next probe.
  std::weak_ptr<void> owner_;            ///< Holds this object.
  std::function<void()> handler_;        ///< Told when the caller leaves.
  std::uint64_t watch_ = 0;              ///< Number of the present watch.
  CallerEnd end_ = CallerEnd::kNone;     ///< How the caller's side ended.
  Place place_ = Place::kWhole;          ///< What was written last.
  bool writing_ = false;                 ///< Whether a write is under way.
  std::size_t probes_ = 0;               ///< Bytes sent at this place.
  std::chrono::milliseconds pause_{ 0 }; ///< Pause before the next of them.
  std::chrono::steady_clock::time_point
    endedAt_{}; ///< When the end of the sending side was noticed.
  boost::asio::steady_timer* confirming_ =
    nullptr; ///< Wait of confirm(); null when there is none.
};

} // namespace auburnhaven::transport
