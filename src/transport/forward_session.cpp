// Session over which forwarded requests go out.

#include "transport/forward_session.h"

#include "transport/forward_codec.h"

#include <boost/asio.hpp>

#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;
using boost::system::error_code;

ForwardSession::ForwardSession(asio::io_context& aContext)
  : context_(aContext)
{
}

void
ForwardSession::dial(const state::Endpoint& aTo,
                     const ForwardSettings& aSettings)
{
  error_code error;
  const auto address = asio::ip::make_address(aTo.address_, error);
  if (error) {
    closed_ = true;
    return;
  }
  socket_ = std::make_shared<asio::ip::tcp::socket>(context_);
  auto timer =
    std::make_shared<asio::steady_timer>(context_, aSettings.connectTimeout_);
  timer->async_wait([self = shared_from_this()](const error_code& aError) {
    if (!aError && self->socket_) {
      self->close();
    }
  });
  socket_->async_connect(
    { address, aTo.port_ },
    [self = shared_from_this(), timer, aTo, aSettings](
      const error_code& aError) {
      timer->cancel();
      const auto socket = std::exchange(self->socket_, nullptr);
      if (aError || self->closed_) {
        self->onSessionClosed(aError.message());
        return;
      }
      PeerSessionSettings settings;
      settings.key_ = aSettings.key_;
      settings.listen_ = aSettings.listen_;
      settings.purpose_ = "forward";
      settings.limits_ = aSettings.limits_;
      const auto session = std::make_shared<PeerSession>(
        std::move(*socket), H2Role::kClient, settings, aTo);
      self->h2_ = session->h2();
      session->start(self);
    });
}

void
ForwardSession::close()
{
  error_code ignored;
  if (socket_) {
    socket_->close(ignored);
  }
  if (h2_) {
    h2_->close("closed");
  }
  onSessionClosed("closed");
}

bool
ForwardSession::usable() const
{
  return !closed_ && (!ready_ || h2_->takesStreams());
}

void
ForwardSession::notify(const std::shared_ptr<ForwardExchange>& aExchange)
{
  waiting_.push_back(aExchange);
}

bool
ForwardSession::send(const std::shared_ptr<ForwardExchange>& aExchange,
                     const ForwardedRequest& aRequest)
{
  const H2StreamId stream =
    ready() ? h2_->request(encodeForward(aRequest), true) : 0;
  if (stream == 0) {
    return false;
  }
  aExchange->stream_ = stream;
  exchanges_[stream] = aExchange;
  h2_->write(stream, aRequest.call_.payload_);
  h2_->end(stream, {});
  return true;
}

void
ForwardSession::consume(const ForwardExchange& aExchange, std::size_t aBytes)
{
  if (h2_) {
    h2_->consume(aExchange.stream_, aBytes);
  }
}

void
ForwardSession::reset(const ForwardExchange& aExchange)
{
  if (h2_) {
    h2_->reset(aExchange.stream_, false);
  }
  exchanges_.erase(aExchange.stream_);
}

void
ForwardSession::onReady(const state::Endpoint& /*aPeer*/)
{
  ready_ = true;
  wakeAll();
}

void
ForwardSession::wakeAll()
{
  for (const auto& weak : std::exchange(waiting_, {})) {
    if (const auto exchange = weak.lock()) {
      exchange->wake_.cancel();
    }
  }
}

ForwardExchange*
ForwardSession::find(H2StreamId aStream)
{
  const auto found = exchanges_.find(aStream);
  return found == exchanges_.end() ? nullptr : found->second.get();
}

void
ForwardSession::onFields(H2StreamId aStream, const H2Fields& aFields)
{
  ForwardExchange* exchange = find(aStream);
  if (exchange != nullptr && fieldOf(aFields, ":status").empty()) {
    exchange->trailers_ = aFields;
  }
}

void
ForwardSession::onData(H2StreamId aStream, std::string_view aData)
{
  ForwardExchange* exchange = find(aStream);
  if (exchange == nullptr) {
    h2_->consume(aStream, aData.size());
    return;
  }
  exchange->body_.append(aData);
  exchange->wake_.cancel();
}

void
ForwardSession::onEnd(H2StreamId aStream)
{
  if (ForwardExchange* exchange = find(aStream)) {
    exchange->ended_ = true;
    exchange->wake_.cancel();
  }
}

void
ForwardSession::onStreamClosed(H2StreamId aStream, H2Close aClose)
{
  if (ForwardExchange* exchange = find(aStream)) {
    exchange->closed_ = true;
    exchange->refused_ = aClose == H2Close::kRefused;
    exchange->wake_.cancel();
    exchanges_.erase(aStream);
  }
}

void
ForwardSession::onSessionClosed(const std::string& /*aReason*/)
{
  closed_ = true;
  for (const auto& [stream, exchange] : std::exchange(exchanges_, {})) {
    exchange->closed_ = true;
    exchange->wake_.cancel();
  }
  wakeAll();
}

} // namespace auburnhaven::transport
