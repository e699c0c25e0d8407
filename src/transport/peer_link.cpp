// Messages between two daemons over one stream of a session.

#include "transport/peer_link.h"

#include "protocol/byte_links_port.h"

#include <boost/endian/conversion.hpp>

#include <array>
#include <cassert>
#include <utility>

namespace auburnhaven::transport {

namespace {

constexpr char kMessagesPath[] = "/peer/messages";
constexpr std::size_t kLengthBytes = 4; ///< Length before a message.

/** @return The length that stands before a message. */
std::size_t
lengthAt(const std::string& aBytes, std::size_t aAt)
{
  return boost::endian::load_big_u32(
    reinterpret_cast<const unsigned char*>(aBytes.data() + aAt));
}

} // namespace

PeerLink::PeerLink(std::shared_ptr<H2Session> aH2,
                   H2Role aRole,
                   state::Endpoint aPeer,
                   PeerLinkOwner* aOwner)
  : h2_(std::move(aH2))
  , role_(aRole)
  , peer_(std::move(aPeer))
  , owner_(aOwner)
  , usedAt_(std::chrono::steady_clock::now())
{
}

void
PeerLink::send(const std::string& aMessage)
{
  assert(up() && aMessage.size() <= protocol::kMaxPeerMessageBytes);
  std::array<unsigned char, kLengthBytes> length{};
  boost::endian::store_big_u32(length.data(),
                               static_cast<std::uint32_t>(aMessage.size()));
  h2_->write(stream_,
             { reinterpret_cast<const char*>(length.data()), length.size() });
  h2_->write(stream_, aMessage);
  usedAt_ = std::chrono::steady_clock::now();
}

void
PeerLink::drain()
{
  draining_ = true;
  h2_->end(stream_, {});
}

void
PeerLink::onReady(const state::Endpoint& aPeer)
{
  peer_ = aPeer;
  if (role_ == H2Role::kClient) {
    const H2StreamId stream = h2_->request({ { ":method", "POST" },
                                             { ":scheme", "http" },
                                             { ":authority", "peer" },
                                             { ":path", kMessagesPath } },
                                           true);
    comeUp(stream);
  }
}

void
PeerLink::comeUp(H2StreamId aStream)
{
  stream_ = aStream;
  if (owner_ != nullptr && stream_ != 0) {
    owner_->onLinkUp(shared_from_this());
  }
}

void
PeerLink::onFields(H2StreamId aStream, const H2Fields& aFields)
{
  if (role_ == H2Role::kClient && aStream == stream_) {
    return;
  }
  if (stream_ != 0 || fieldOf(aFields, ":path") != kMessagesPath) {
    close("peer opened an unknown stream");
    return;
  }
  h2_->respond(aStream, { { ":status", "200" } }, true);
  comeUp(aStream);
}

void
PeerLink::onData(H2StreamId aStream, std::string_view aData)
{
  if (aStream != stream_) {
    close("peer sent data on an unknown stream");
    return;
  }
  in_.append(aData);
  h2_->consume(aStream, aData.size());
  while (takeMessage()) {
  }
  in_.erase(0, std::exchange(taken_, 0));
}

bool
PeerLink::takeMessage()
{
  if (h2_->closed() || in_.size() - taken_ < kLengthBytes) {
    return false;
  }
  const std::size_t length = lengthAt(in_, taken_);
  if (length > protocol::kMaxPeerMessageBytes) {
    close("peer sent an oversize message");
    return false;
  }
  if (in_.size() - taken_ - kLengthBytes < length) {
    return false;
  }
  const std::string message = in_.substr(taken_ + kLengthBytes, length);
  taken_ += kLengthBytes + length;
  usedAt_ = std::chrono::steady_clock::now();
  if (owner_ != nullptr) {
    owner_->onLinkMessage(*this, message);
  }
  return true;
}

void
PeerLink::onEnd(H2StreamId aStream)
{
  if (aStream == stream_ && !draining_) {
    drain();
  }
}

void
PeerLink::onStreamClosed(H2StreamId aStream, H2Close /*aClose*/)
{
  if (aStream == stream_ && role_ == H2Role::kClient) {
    close("drained");
  }
}

void
PeerLink::onSessionClosed(const std::string& aReason)
{
  if (owner_ != nullptr) {
    owner_->onLinkDown(shared_from_this(), aReason);
  }
}

} // namespace auburnhaven::transport
