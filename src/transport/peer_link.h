// Messages between two daemons over one stream of a session.
#pragma once

#include "transport/peer_session.h"

#include <chrono>
#include <memory>
#include <string>

namespace auburnhaven::transport {

class PeerLink;

/** Takes what happens to a link. */
class PeerLinkOwner
{
public:
  virtual ~PeerLinkOwner() = default;
  /** The link takes messages. @param aLink The link. */
  virtual void onLinkUp(const std::shared_ptr<PeerLink>& aLink) = 0;
  /** A message came. @param aLink The link. @param aMessage The message. */
  virtual void onLinkMessage(PeerLink& aLink, const std::string& aMessage) = 0;
  /** The link is gone. @param aLink The link. @param aReason For people. */
  virtual void onLinkDown(const std::shared_ptr<PeerLink>& aLink,
                          const std::string& aReason) = 0;
};

/**
 * One link. The dialling side opens the stream; each side writes its messages
 * with their length before them. One thread.
 */
class PeerLink
  : public PeerSessionUser
  , public std::enable_shared_from_this<PeerLink>
{
public:
  /**
   * @param aH2 The session, not started.
   * @param aRole Which side this is.
   * @param aPeer Whom a client has dialled.
   * @param aOwner Takes what happens.
   */
  PeerLink(std::shared_ptr<H2Session> aH2,
           H2Role aRole,
           state::Endpoint aPeer,
           PeerLinkOwner* aOwner);

  /** Queues a message; the link must be up. @param aMessage The message. */
  void send(const std::string& aMessage);
  /** @return Bytes queued and not yet framed. */
  std::size_t queuedBytes() const { return h2_->queuedBytes(stream_); }
  /** @return Bytes read from and written to the socket. */
  std::size_t wireBytes() const { return h2_->wireBytes(); }
  /** Sends what is queued, lets the peer do the same, and closes. */
  void drain();
  /** Closes at once. @param aReason For people. */
  void close(const std::string& aReason) { h2_->close(aReason); }
  /** Tells the owner nothing more. */
  void forgetOwner() { owner_ = nullptr; }
  /** @return Whether it takes messages. */
  bool up() const { return stream_ != 0 && !draining_ && !h2_->closed(); }
  /** @return Whether drain() was called. */
  bool draining() const { return draining_; }
  /** @return Which side this is. */
  H2Role role() const { return role_; }
  /** @return Where the other daemon listens; known once it is up. */
  const state::Endpoint& peer() const { return peer_; }
  /** @return When a message last went either way. */
  std::chrono::steady_clock::time_point usedAt() const { return usedAt_; }

  void onReady(const state::Endpoint& aPeer) override;
  void onFields(H2StreamId aStream, const H2Fields& aFields) override;
  void onData(H2StreamId aStream, std::string_view aData) override;
  void onEnd(H2StreamId aStream) override;
  void onStreamClosed(H2StreamId aStream, H2Close aClose) override;
  void onSessionClosed(const std::string& aReason) override;

private:
  void comeUp(H2StreamId aStream);
  bool takeMessage();

  std::shared_ptr<H2Session> h2_; ///< The session.
  H2Role role_;                   ///< Which side this is.
  state::Endpoint peer_;          ///< The other daemon.
  PeerLinkOwner* owner_;          ///< Takes what happens; may be null.
  H2StreamId stream_ = 0;         ///< Carries the messages; 0 before it is up.
  bool draining_ = false;         ///< Whether drain() was called.
  std::string in_;                ///< Bytes that came and make no message yet.
  std::size_t taken_ = 0;         ///< Bytes of in_ that were handed out.
  std::chrono::steady_clock::time_point usedAt_; ///< Last message.
};

} // namespace auburnhaven::transport
