// Notices when the caller of a connection leaves while it is answered.

#include "transport/caller_monitor.h"

#include <boost/asio.hpp>
#include <boost/beast/core/error.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kStatusLine =
  "HTTP/1."; ///< Start of each status line.
constexpr std::string_view kZeros =
  "000000"; ///< Zeros that a chunk's size may begin with.
constexpr std::string_view kBrokenChunk =
  "1\r\n"; ///< Size of a chunk that never comes.
constexpr milliseconds kProbeDelay(
  100); ///< Silence within a stream before a probe, and the first pause
        ///< between two probes.
constexpr milliseconds kResetTime(
  50); ///< Within which a caller that has left resets the connection in return
       ///< for a probe; a round trip.
constexpr std::size_t kReadBytes = 4096; ///< Bytes read ahead at once.
constexpr std::size_t kMaxAheadBytes =
  std::size_t{ 16 } * 1024; ///< Most bytes read ahead.

/** @return What an error of a write tells about the caller. */
CallerEnd
endOf(const error_code& aError)
{
  if (aError == boost::beast::error::timeout) {
    return CallerEnd::kWriteTimeout;
  }
  const bool reset = aError == asio::error::connection_reset ||
                     aError == asio::error::broken_pipe;
  return reset ? CallerEnd::kReset : CallerEnd::kWriteError;
}

} // namespace

CallerMonitor::CallerMonitor(tcp::socket& aSocket,
                             boost::beast::flat_buffer& aAhead)
  : socket_(aSocket)
  , ahead_(aAhead)
  , timer_(aSocket.get_executor())
{
}

void
CallerMonitor::start(std::weak_ptr<void> aOwner)
{
  ++watch_;
  owner_ = std::move(aOwner);
  handler_ = nullptr;
  place_ = Place::kHead;
  probes_ = 0;
  waitForBytes();
}

void
CallerMonitor::stop()
{
  ++watch_;
  handler_ = nullptr;
  timer_.cancel();
  error_code ignored;
  if (socket_.is_open()) {
    socket_.cancel(ignored);
  }
}

std::size_t
CallerMonitor::beginWrite()
{
  writing_ = true;
  timer_.cancel();
  return place_ == Place::kHead ? std::exchange(probes_, 0) : 0;
}

bool
CallerMonitor::endWrite(const error_code& aError, Place aPlace)
{
  writing_ = false;
  place_ = aPlace;
  probes_ = 0;
  if (aError) {
    leave(endOf(aError));
  } else if (end_ == CallerEnd::kSendingSide && aPlace == Place::kChunk) {
    pause_ = kProbeDelay;
    scheduleProbe(kProbeDelay);
  }
  return !gone();
}

void
CallerMonitor::breakOff()
{
  const bool zeros =
    place_ == Place::kChunk && probes_ > 0 && !writing_ && !gone();
  place_ = Place::kWhole;
  error_code error;
  if (!zeros || socket_.write_some(asio::buffer(kBrokenChunk), error) ==
                  kBrokenChunk.size()) {
    return;
  }
  // A reset never looks like the end of a stream.
  socket_.set_option(tcp::socket::linger(true, 0), error);
  socket_.close(error);
}

void
CallerMonitor::waitForBytes()
{
  socket_.async_wait(
    tcp::socket::wait_read,
    [this, owner = owner_.lock(), watch = watch_](const error_code& aError) {
      if (watch == watch_ && aError != asio::error::operation_aborted) {
        takeBytes();
      }
    });
}

void
CallerMonitor::takeBytes()
{
  if (end_ != CallerEnd::kNone) {
    return;
  }
  if (ahead_.size() >= kMaxAheadBytes) {
    waitForReset();
  } else if (readAhead(); end_ == CallerEnd::kNone) {
    waitForBytes();
  }
}

bool
CallerMonitor::readAhead()
{
  error_code error;
  ahead_.commit(socket_.read_some(ahead_.prepare(kReadBytes), error));
  if (!error) {
    return true;
  }
  if (error == asio::error::eof) {
    end_ = CallerEnd::kSendingSide;
    endedAt_ = std::chrono::steady_clock::now();
    pause_ = kProbeDelay;
    waitForReset();
    scheduleProbe(place_ == Place::kHead ? milliseconds(0) : kProbeDelay);
  } else if (error != asio::error::would_block &&
             error != asio::error::interrupted) {
    leave(CallerEnd::kReset);
  }
  return false;
}

bool
CallerMonitor::confirm(const asio::yield_context& aYield)
{
  while (end_ == CallerEnd::kNone && ahead_.size() < kMaxAheadBytes &&
         readAhead()) {
  }
  if (end_ == CallerEnd::kSendingSide) {
    awaitReset(aYield);
    takeReset();
  }
  return !gone();
}

void
CallerMonitor::awaitReset(const asio::yield_context& aYield)
{
  const auto until = endedAt_ + kResetTime;
  if (std::chrono::steady_clock::now() >= until) {
    return;
  }
  if (probes_ == 0) {
    probe();
  }
  if (gone()) {
    return;
  }
  asio::steady_timer timer(socket_.get_executor(), until);
  confirming_ = &timer;
  error_code ignored;
  timer.async_wait(aYield[ignored]);
  confirming_ = nullptr;
}

void
CallerMonitor::takeReset()
{
  char byte = 0;
  error_code error;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (error && error != asio::error::eof && error != asio::error::would_block) {
    leave(CallerEnd::kReset);
  }
}

void
CallerMonitor::waitForReset()
{
  socket_.async_wait(
    tcp::socket::wait_error,
    [this, owner = owner_.lock(), watch = watch_](const error_code& aError) {
      if (watch == watch_ && aError != asio::error::operation_aborted) {
        leave(CallerEnd::kReset);
      }
    });
}

void
CallerMonitor::scheduleProbe(milliseconds aAfter)
{
  timer_.expires_after(aAfter);
  timer_.async_wait(
    [this, owner = owner_.lock(), watch = watch_](const error_code& aError) {
      if (!aError && watch == watch_) {
        probe();
      }
    });
}

void
CallerMonitor::probe()
{
  const std::string_view bytes = place_ == Place::kHead ? kStatusLine : kZeros;
  if (writing_ || gone() || place_ == Place::kWhole ||
      probes_ == bytes.size()) {
    return;
  }
  error_code error;
  probes_ += socket_.write_some(asio::buffer(bytes.substr(probes_, 1)), error);
  if (error && error != asio::error::would_block) {
    leave(endOf(error));
    return;
  }
  scheduleProbe(pause_);
  pause_ *= 2;
}

void
CallerMonitor::leave(CallerEnd aEnd)
{
  if (gone()) {
    return;
  }
  end_ = aEnd;
  timer_.cancel();
  if (confirming_ != nullptr) {
    confirming_->cancel();
  }
  if (const auto handler = std::exchange(handler_, nullptr)) {
    handler();
  }
}

} // namespace auburnhaven::transport
