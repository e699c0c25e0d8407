// HTTP/2 session of the nghttp2 library over a TCP socket.

#include "transport/h2_session.h"

#include "transport/h2_callbacks.h"

#include <boost/asio.hpp>

#include <cassert>
#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kWriteBytes =
  std::size_t{ 64 } * 1024; ///< About the most bytes of one write.

} // namespace

H2Session::H2Session(asio::ip::tcp::socket aSocket,
                     H2Role aRole,
                     const H2Limits& aLimits)
  : socket_(std::move(aSocket))
  , timer_(socket_.get_executor())
  , limits_(aLimits)
  , role_(aRole)
  , heardAt_(std::chrono::steady_clock::now())
{
  session_ = H2Callbacks::makeSession(*this);
  const std::array<nghttp2_settings_entry, 3> settings{ {
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, aLimits.maxStreams_ },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
      static_cast<std::uint32_t>(aLimits.streamWindow_) },
    { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
  } };
  nghttp2_submit_settings(
    session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(
    session_, NGHTTP2_FLAG_NONE, 0, aLimits.sessionWindow_);
}

H2Session::~H2Session()
{
  nghttp2_session_del(session_);
}

void
H2Session::start(std::shared_ptr<H2Events> aEvents)
{
  events_ = std::move(aEvents);
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  scheduleFlush();
  read();
  watchSilence();
}

H2StreamId
H2Session::request(const H2Fields& aFields, bool aHasBody)
{
  assert(role_ == H2Role::kClient);
  if (!takesStreams()) {
    return 0;
  }
  const auto lines = H2Callbacks::toNv(aFields);
  const nghttp2_data_provider source = H2Callbacks::dataSource();
  const H2StreamId id = nghttp2_submit_request(session_,
                                               nullptr,
                                               lines.data(),
                                               lines.size(),
                                               aHasBody ? &source : nullptr,
                                               nullptr);
  if (id <= 0) {
    return 0;
  }
  streams_[id].hasBody_ = aHasBody;
  scheduleFlush();
  return id;
}

void
H2Session::respond(H2StreamId aStream, const H2Fields& aFields, bool aHasBody)
{
  Stream* stream = find(aStream);
  if (closed_ || stream == nullptr) {
    return;
  }
  stream->hasBody_ = aHasBody;
  const auto lines = H2Callbacks::toNv(aFields);
  const nghttp2_data_provider source = H2Callbacks::dataSource();
  nghttp2_submit_response(session_,
                          aStream,
                          lines.data(),
                          lines.size(),
                          aHasBody ? &source : nullptr);
  scheduleFlush();
}

void
H2Session::write(H2StreamId aStream, std::string_view aData)
{
  Stream* stream = find(aStream);
  if (closed_ || stream == nullptr || stream->ended_) {
    return;
  }
  stream->out_.append(aData);
  nghttp2_session_resume_data(session_, aStream);
  scheduleFlush();
}

void
H2Session::end(H2StreamId aStream, H2Fields aTrailers)
{
  Stream* stream = find(aStream);
  if (closed_ || stream == nullptr || stream->ended_) {
    return;
  }
  stream->ended_ = true;
  stream->trailers_ = std::move(aTrailers);
  nghttp2_session_resume_data(session_, aStream);
  scheduleFlush();
}

void
H2Session::reset(H2StreamId aStream, bool aRefuse)
{
  if (closed_ || find(aStream) == nullptr) {
    return;
  }
  nghttp2_submit_rst_stream(session_,
                            NGHTTP2_FLAG_NONE,
                            aStream,
                            aRefuse ? NGHTTP2_REFUSED_STREAM : NGHTTP2_CANCEL);
  scheduleFlush();
}

void
H2Session::consume(H2StreamId aStream, std::size_t aBytes)
{
  if (closed_) {
    return;
  }
  if (find(aStream) != nullptr) {
    nghttp2_session_consume(session_, aStream, aBytes);
  } else {
    nghttp2_session_consume_connection(session_, aBytes);
  }
  scheduleFlush();
}

std::size_t
H2Session::queuedBytes(H2StreamId aStream) const
{
  const auto found = streams_.find(aStream);
  return found == streams_.end()
           ? 0
           : found->second.out_.size() - found->second.sent_;
}

void
H2Session::afterWrite(std::function<void()> aHandler)
{
  if (!closed_) {
    afterWrite_.push_back(std::move(aHandler));
    scheduleFlush();
  }
}

void
H2Session::callAfterWrite()
{
  for (const auto& handler : std::exchange(afterWrite_, {})) {
    handler();
  }
}

bool
H2Session::takesStreams() const
{
  return !closed_ && !goingAway_ &&
         nghttp2_session_check_request_allowed(session_) != 0;
}

void
H2Session::shutDown()
{
  if (closed_ || goingAway_) {
    return;
  }
  goingAway_ = true;
  nghttp2_submit_goaway(session_,
                        NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR,
                        nullptr,
                        0);
  scheduleFlush();
}

void
H2Session::close(const std::string& aReason)
{
  if (std::exchange(closed_, true)) {
    return;
  }
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  afterWrite_.clear();
  if (!events_) {
    return;
  }
  asio::post(
    socket_.get_executor(),
    [self = shared_from_this(),
     events = std::exchange(events_, nullptr),
     reason = aReason] {
      for (const auto& [id, stream] : std::exchange(self->streams_, {})) {
        events->onStreamClosed(
          id, stream.headersSent_ ? H2Close::kBroken : H2Close::kRefused);
      }
      events->onSessionClosed(reason);
    });
}

void
H2Session::read()
{
  socket_.async_read_some(
    asio::buffer(in_),
    [self = shared_from_this()](const error_code& aError, std::size_t aSize) {
      self->onRead(aError, aSize);
    });
}

void
H2Session::onRead(const error_code& aError, std::size_t aSize)
{
  if (closed_) {
    return;
  }
  if (aError) {
    close(aError.message());
    return;
  }
  heardAt_ = std::chrono::steady_clock::now();
  wireBytes_ += aSize;
  // Events may close the session; they keep their taker until this returns.
  const std::shared_ptr<H2Events> events = events_;
  const ssize_t taken = nghttp2_session_mem_recv(session_, in_.data(), aSize);
  if (closed_) {
    return;
  }
  if (taken < 0) {
    fail("malformed input", static_cast<int>(taken));
    return;
  }
  scheduleFlush();
  read();
}

void
H2Session::scheduleFlush()
{
  if (closed_ || std::exchange(flushScheduled_, true)) {
    return;
  }
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->flush(); });
}

void
H2Session::flush()
{
  flushScheduled_ = false;
  if (closed_ || writing_) {
    return;
  }
  const std::shared_ptr<H2Events> events = events_;
  out_.clear();
  while (out_.size() < kWriteBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_, &data);
    if (closed_) {
      return;
    }
    if (size < 0) {
      fail("cannot send", static_cast<int>(size));
      return;
    }
    if (size == 0) {
      break;
    }
    out_.append(reinterpret_cast<const char*>(data),
                static_cast<std::size_t>(size));
  }
  if (out_.empty()) {
    callAfterWrite();
    if (nghttp2_session_want_read(session_) == 0 &&
        nghttp2_session_want_write(session_) == 0) {
      close("ended");
    }
    return;
  }
  writing_ = true;
  asio::async_write(
    socket_,
    asio::buffer(out_),
    [self = shared_from_this()](const error_code& aError, std::size_t aSize) {
      self->onWritten(aError, aSize);
    });
}

void
H2Session::onWritten(const error_code& aError, std::size_t aSize)
{
  writing_ = false;
  if (closed_) {
    return;
  }
  if (aError) {
    close(aError.message());
    return;
  }
  wireBytes_ += aSize;
  flush();
}

void
H2Session::watchSilence()
{
  timer_.expires_after(limits_.pingAfter_);
  timer_.async_wait([weak = weak_from_this()](const error_code& aError) {
    const auto self = weak.lock();
    if (aError || !self || self->closed_) {
      return;
    }
    const auto silence = std::chrono::steady_clock::now() - self->heardAt_;
    if (silence >= self->limits_.deadAfter_) {
      self->close("no sign of life");
      return;
    }
    if (silence >= self->limits_.pingAfter_) {
      nghttp2_submit_ping(self->session_, NGHTTP2_FLAG_NONE, nullptr);
      self->scheduleFlush();
    }
    self->watchSilence();
  });
}

void
H2Session::fail(const char* aWhat, int aCode)
{
  close(std::string(aWhat) + ": " + nghttp2_strerror(aCode));
}

H2Session::Stream*
H2Session::find(H2StreamId aStream)
{
  const auto found = streams_.find(aStream);
  return found == streams_.end() ? nullptr : &found->second;
}

} // namespace auburnhaven::transport
