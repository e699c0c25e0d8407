// Connects the nghttp2 library's callbacks with a session.

#include "transport/h2_callbacks.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace auburnhaven::transport {

namespace {

/** @return The session that a callback belongs to. */
H2Session&
sessionOf(void* aUser)
{
  return *static_cast<H2Session*>(aUser);
}

/** @return Text of bytes. */
std::string
toText(const std::uint8_t* aBytes, std::size_t aSize)
{
  return { reinterpret_cast<const char*>(aBytes), aSize };
}

/** @return Bytes of a text, as the library takes them. */
std::uint8_t*
bytesOf(const std::string& aText)
{
  return reinterpret_cast<std::uint8_t*>(const_cast<char*>(aText.data()));
}

} // namespace

nghttp2_session*
H2Callbacks::makeSession(H2Session& aSession)
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_option* option = nullptr;
  nghttp2_session* session = nullptr;
  int error = nghttp2_session_callbacks_new(&callbacks);
  error |= nghttp2_option_new(&option);
  assert(error == 0);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onClose);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onSent);
  nghttp2_option_set_no_auto_window_update(option, 1);
  error =
    aSession.role_ == H2Role::kClient
      ? nghttp2_session_client_new2(&session, callbacks, &aSession, option)
      : nghttp2_session_server_new2(&session, callbacks, &aSession, option);
  assert(error == 0);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  return session;
}

nghttp2_data_provider
H2Callbacks::dataSource()
{
  nghttp2_data_provider source{};
  source.read_callback = readData;
  return source;
}

std::vector<nghttp2_nv>
H2Callbacks::toNv(const H2Fields& aFields)
{
  std::vector<nghttp2_nv> lines;
  lines.reserve(aFields.size());
  for (const HttpField& field : aFields) {
    lines.push_back({ bytesOf(field.name_),
                      bytesOf(field.value_),
                      field.name_.size(),
                      field.value_.size(),
                      NGHTTP2_NV_FLAG_NONE });
  }
  return lines;
}

int
H2Callbacks::onHeader(nghttp2_session* /*aLibrary*/,
                      const nghttp2_frame* aFrame,
                      const std::uint8_t* aName,
                      std::size_t aNameSize,
                      const std::uint8_t* aValue,
                      std::size_t aValueSize,
                      std::uint8_t /*aFlags*/,
                      void* aUser)
{
  H2Session& session = sessionOf(aUser);
  H2Session::Stream& stream = session.streams_[aFrame->hd.stream_id];
  stream.fieldBytes_ += aNameSize + aValueSize;
  if (stream.fieldBytes_ > session.limits_.maxFieldBytes_) {
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }
  stream.fields_.push_back(
    { toText(aName, aNameSize), toText(aValue, aValueSize) });
  return 0;
}

int
H2Callbacks::onFrame(nghttp2_session* /*aLibrary*/,
                     const nghttp2_frame* aFrame,
                     void* aUser)
{
  H2Session& session = sessionOf(aUser);
  const H2StreamId id = aFrame->hd.stream_id;
  if (session.closed_) {
    return 0;
  }
  if (aFrame->hd.type == NGHTTP2_GOAWAY) {
    session.goingAway_ = true;
  }
  if (aFrame->hd.type == NGHTTP2_HEADERS) {
    H2Session::Stream& stream = session.streams_[id];
    stream.headersSent_ = true;
    const H2Fields fields = std::exchange(stream.fields_, {});
    session.events_->onFields(id, fields);
  }
  const bool carriesEnd =
    aFrame->hd.type == NGHTTP2_HEADERS || aFrame->hd.type == NGHTTP2_DATA;
  if (carriesEnd && (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
      !session.closed_) {
    session.events_->onEnd(id);
  }
  return 0;
}

int
H2Callbacks::onData(nghttp2_session* /*aLibrary*/,
                    std::uint8_t /*aFlags*/,
                    std::int32_t aStream,
                    const std::uint8_t* aData,
                    std::size_t aSize,
                    void* aUser)
{
  H2Session& session = sessionOf(aUser);
  if (!session.closed_) {
    session.events_->onData(aStream,
                            { reinterpret_cast<const char*>(aData), aSize });
  }
  return 0;
}

int
H2Callbacks::onClose(nghttp2_session* /*aLibrary*/,
                     std::int32_t aStream,
                     std::uint32_t aError,
                     void* aUser)
{
  H2Session& session = sessionOf(aUser);
  session.streams_.erase(aStream);
  H2Close close = H2Close::kBroken;
  if (aError == NGHTTP2_NO_ERROR) {
    close = H2Close::kWhole;
  } else if (aError == NGHTTP2_REFUSED_STREAM) {
    close = H2Close::kRefused;
  }
  if (!session.closed_) {
    session.events_->onStreamClosed(aStream, close);
  }
  return 0;
}

int
H2Callbacks::onSent(nghttp2_session* /*aLibrary*/,
                    const nghttp2_frame* aFrame,
                    void* aUser)
{
  H2Session& session = sessionOf(aUser);
  H2Session::Stream* stream = session.find(aFrame->hd.stream_id);
  if (aFrame->hd.type == NGHTTP2_HEADERS && stream != nullptr) {
    stream->headersSent_ = true;
  }
  return 0;
}

ssize_t
H2Callbacks::readData(nghttp2_session* aLibrary,
                      std::int32_t aStream,
                      std::uint8_t* aBuffer,
                      std::size_t aSize,
                      std::uint32_t* aFlags,
                      nghttp2_data_source* /*aSource*/,
                      void* aUser)
{
  H2Session& session = sessionOf(aUser);
  H2Session::Stream* stream = session.find(aStream);
  assert(stream != nullptr);
  const std::size_t left = stream->out_.size() - stream->sent_;
  if (left == 0 && !stream->ended_) {
    return NGHTTP2_ERR_DEFERRED;
  }
  const std::size_t size = std::min(left, aSize);
  std::memcpy(aBuffer, stream->out_.data() + stream->sent_, size);
  stream->sent_ += size;
  if (stream->sent_ == stream->out_.size()) {
    stream->out_.clear();
    stream->sent_ = 0;
    if (stream->ended_) {
      *aFlags |= NGHTTP2_DATA_FLAG_EOF;
    }
    if (stream->ended_ && !stream->trailers_.empty()) {
      *aFlags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const auto lines = toNv(stream->trailers_);
      nghttp2_submit_trailer(aLibrary, aStream, lines.data(), lines.size());
    }
    session.events_->onDrained(aStream);
  }
  return static_cast<ssize_t>(size);
}

} // namespace auburnhaven::transport
