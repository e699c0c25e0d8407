// Session between two daemons that have proved the shared key to each other.
#pragma once

#include "state/endpoint_type.h"
#include "transport/h2_session.h"
#include "transport/peer_auth.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace auburnhaven::transport {

/** What a daemon brings to its sessions with others. */
struct PeerSessionSettings
{
  std::string key_;        ///< The shared key.
  state::Endpoint listen_; ///< Where this daemon listens for the purpose.
  std::string purpose_;    ///< What the sessions are for.
  std::chrono::milliseconds handshakeTimeout_{ 3000 }; ///< From TCP to ready.
  H2Limits limits_;                                    ///< Limits.
  bool operator==(const PeerSessionSettings&) const = default;
};

/** Takes the events of a session that is ready. */
class PeerSessionUser : public H2Events
{
public:
  /** Both sides have proved the key. @param aPeer Where the other listens. */
  virtual void onReady(const state::Endpoint& aPeer) = 0;
};

/**
 * Shakes hands and then passes the events on to its user. The user gets
 * onSessionClosed() in any case, and nothing before onReady(). One thread.
 */
class PeerSession
  : public H2Events
  , public std::enable_shared_from_this<PeerSession>
{
public:
  /**
   * @param aSocket Connected socket.
   * @param aRole Which side this is.
   * @param aSettings What this daemon brings.
   * @param aPeer Whom a client has dialled; ignored for a server.
   */
  PeerSession(boost::asio::ip::tcp::socket aSocket,
              H2Role aRole,
              const PeerSessionSettings& aSettings,
              const state::Endpoint& aPeer);

  /** Starts. Call once. @param aUser Takes the events; kept until the end. */
  void start(std::shared_ptr<PeerSessionUser> aUser);
  /** @return The session, for streams once it is ready. */
  const std::shared_ptr<H2Session>& h2() { return h2_; }
  /** @return Whether both sides have proved the key. */
  bool ready() const { return ready_; }
  /** Closes at once. @param aReason Text for people. */
  void close(const std::string& aReason) { h2_->close(aReason); }

  void onFields(H2StreamId aStream, const H2Fields& aFields) override;
  void onData(H2StreamId aStream, std::string_view aData) override;
  void onEnd(H2StreamId aStream) override;
  void onStreamClosed(H2StreamId aStream, H2Close aClose) override;
  void onDrained(H2StreamId aStream) override;
  void onSessionClosed(const std::string& aReason) override;

private:
  void sendHello();
  void takeHello(H2StreamId aStream, const H2Fields& aFields);
  void takeHelloAnswer(const H2Fields& aFields);
  void takeProof(H2StreamId aStream, const H2Fields& aFields);
  void takeProofAnswer(const H2Fields& aFields);
  void becomeReady(const state::Endpoint& aPeer);

  H2Role role_;                           ///< Which side this is.
  PeerSessionSettings settings_;          ///< What this daemon brings.
  state::Endpoint peer_;                  ///< The other daemon.
  std::shared_ptr<H2Session> h2_;         ///< The session.
  std::shared_ptr<PeerSessionUser> user_; ///< Takes the events.
  boost::asio::steady_timer deadline_;    ///< Ends a slow handshake.
  PeerChallenge challenge_;               ///< What both sides know.
  bool ready_ = false;                    ///< Whether the key is proved.
};

/**
 * @param aFields Header lines.
 * @param aName Name in lower case.
 * @return Value of the first line of that name, or empty. Thread-safe.
 */
std::string
fieldOf(const H2Fields& aFields, std::string_view aName);

} // namespace auburnhaven::transport
