// Session between two daemons that have proved the shared key to each other.

#include "transport/peer_session.h"

#include "protocol/protocol_type.h"
#include "state/endpoint_func.h"

#include <utility>

namespace auburnhaven::transport {

namespace {

constexpr H2StreamId kHelloStream = 1; ///< Carries the nonces.
constexpr H2StreamId kProofStream = 3; ///< Carries the client's proof.
constexpr char kHelloPath[] = "/peer/hello";
constexpr char kProofPath[] = "/peer/proof";
constexpr char kClientSide[] = "client";
constexpr char kServerSide[] = "server";
constexpr std::size_t kMaxNonce = 64; ///< Longest nonce taken.

/** @return Pseudo headers of a request to a peer. */
H2Fields
requestFields(const char* aPath)
{
  return { { ":method", "POST" },
           { ":scheme", "http" },
           { ":authority", "peer" },
           { ":path", aPath } };
}

} // namespace

PeerSession::PeerSession(boost::asio::ip::tcp::socket aSocket,
                         H2Role aRole,
                         const PeerSessionSettings& aSettings,
                         const state::Endpoint& aPeer)
  : role_(aRole)
  , settings_(aSettings)
  , peer_(aPeer)
  , deadline_(aSocket.get_executor())
{
  h2_ =
    std::make_shared<H2Session>(std::move(aSocket), aRole, settings_.limits_);
}

void
PeerSession::start(std::shared_ptr<PeerSessionUser> aUser)
{
  user_ = std::move(aUser);
  h2_->start(shared_from_this());
  deadline_.expires_after(settings_.handshakeTimeout_);
  deadline_.async_wait(
    [weak = weak_from_this()](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self && !self->ready_) {
        self->close("handshake took too long");
      }
    });
  if (role_ == H2Role::kClient) {
    sendHello();
  }
}

void
PeerSession::sendHello()
{
  challenge_ = { protocol::kProtocolVersion,
                 settings_.purpose_,
                 settings_.listen_,
                 makeNonce(),
                 {} };
  H2Fields fields = requestFields(kHelloPath);
  fields.push_back({ "x-version", std::to_string(challenge_.version_) });
  fields.push_back({ "x-purpose", challenge_.purpose_ });
  fields.push_back({ "x-endpoint", state::textOf(challenge_.client_) });
  fields.push_back({ "x-nonce", challenge_.clientNonce_ });
  h2_->request(fields, false);
}

void
PeerSession::takeHello(H2StreamId aStream, const H2Fields& aFields)
{
  const std::string version = std::to_string(protocol::kProtocolVersion);
  const std::string nonce = fieldOf(aFields, "x-nonce");
  const state::Endpoint client = parseEndpoint(fieldOf(aFields, "x-endpoint"));
  if (fieldOf(aFields, ":path") != kHelloPath ||
      fieldOf(aFields, "x-version") != version ||
      fieldOf(aFields, "x-purpose") != settings_.purpose_ ||
      client.port_ == 0 || nonce.empty() || nonce.size() > kMaxNonce) {
    close("peer speaks another protocol");
    return;
  }
  challenge_ = {
    protocol::kProtocolVersion, settings_.purpose_, client, nonce, makeNonce()
  };
  h2_->respond(
    aStream,
    { { ":status", "200" },
      { "x-nonce", challenge_.serverNonce_ },
      { "x-proof", makeProof(settings_.key_, kServerSide, challenge_) } },
    false);
}

void
PeerSession::takeHelloAnswer(const H2Fields& aFields)
{
  challenge_.serverNonce_ = fieldOf(aFields, "x-nonce");
  const std::string expected =
    makeProof(settings_.key_, kServerSide, challenge_);
  if (!sameSecret(fieldOf(aFields, "x-proof"), expected)) {
    close("peer has another key");
    return;
  }
  H2Fields fields = requestFields(kProofPath);
  fields.push_back(
    { "x-proof", makeProof(settings_.key_, kClientSide, challenge_) });
  h2_->request(fields, false);
}

void
PeerSession::takeProof(H2StreamId aStream, const H2Fields& aFields)
{
  const std::string expected =
    makeProof(settings_.key_, kClientSide, challenge_);
  if (challenge_.serverNonce_.empty() ||
      !sameSecret(fieldOf(aFields, "x-proof"), expected)) {
    close("peer has another key");
    return;
  }
  h2_->respond(aStream, { { ":status", "200" } }, false);
  becomeReady(challenge_.client_);
}

void
PeerSession::takeProofAnswer(const H2Fields& aFields)
{
  if (fieldOf(aFields, ":status") != "200") {
    close("peer refused the proof");
    return;
  }
  becomeReady(peer_);
}

void
PeerSession::becomeReady(const state::Endpoint& aPeer)
{
  ready_ = true;
  deadline_.cancel();
  user_->onReady(aPeer);
}

void
PeerSession::onFields(H2StreamId aStream, const H2Fields& aFields)
{
  if (ready_) {
    user_->onFields(aStream, aFields);
  } else if (aStream == kHelloStream && role_ == H2Role::kServer) {
    takeHello(aStream, aFields);
  } else if (aStream == kHelloStream) {
    takeHelloAnswer(aFields);
  } else if (aStream == kProofStream && role_ == H2Role::kServer) {
    takeProof(aStream, aFields);
  } else if (aStream == kProofStream) {
    takeProofAnswer(aFields);
  } else {
    close("peer did not shake hands");
  }
}

void
PeerSession::onData(H2StreamId aStream, std::string_view aData)
{
  if (ready_ && aStream > kProofStream) {
    user_->onData(aStream, aData);
  } else {
    close("peer did not shake hands");
  }
}

void
PeerSession::onEnd(H2StreamId aStream)
{
  if (ready_ && aStream > kProofStream) {
    user_->onEnd(aStream);
  }
}

void
PeerSession::onStreamClosed(H2StreamId aStream, H2Close aClose)
{
  if (ready_ && aStream > kProofStream) {
    user_->onStreamClosed(aStream, aClose);
  }
}

void
PeerSession::onDrained(H2StreamId aStream)
{
  if (ready_ && aStream > kProofStream) {
    user_->onDrained(aStream);
  }
}

void
PeerSession::onSessionClosed(const std::string& aReason)
{
  deadline_.cancel();
  if (const auto user = std::exchange(user_, nullptr)) {
    user->onSessionClosed(aReason);
  }
}

std::string
fieldOf(const H2Fields& aFields, std::string_view aName)
{
  for (const HttpField& field : aFields) {
    if (field.name_ == aName) {
      return field.value_;
    }
  }
  return {};
}

} // namespace auburnhaven::transport
