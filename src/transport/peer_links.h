// Kept links for control messages between daemons.
#pragma once

#include "protocol/byte_links_port.h"
#include "state/time_type.h"
#include "transport/peer_link.h"
#include "transport/peer_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace auburnhaven::transport {

/** Settings of the links. */
struct PeerLinksSettings
{
  state::Endpoint listen_; ///< Where this daemon listens; peers know it by
                           ///< this.
  std::string key_;        ///< The shared key.
  std::size_t maxQueuedBytes_ =
    std::size_t{ 4 } * 1024 * 1024;                  ///< Queued for one peer.
  std::chrono::milliseconds connectTimeout_{ 2000 }; ///< For a connection.
  std::chrono::milliseconds idleTimeout_{ 60000 };   ///< Unused links close.
  std::chrono::milliseconds drainTimeout_{ 5000 };   ///< For the last messages.
  std::chrono::milliseconds firstBackoff_{ 250 };    ///< After one failure.
  std::chrono::milliseconds longestBackoff_{ 10000 }; ///< After many failures.
  std::uint64_t seed_ = 0; ///< Seed of the back-off's jitter.
  H2Limits limits_;        ///< Limits of the sessions.
  bool operator==(const PeerLinksSettings&) const = default;
};

/** Counters of the links. */
struct PeerLinksStats
{
  std::uint64_t sent_ = 0;        ///< Messages handed to a link.
  std::uint64_t received_ = 0;    ///< Messages that came.
  std::uint64_t dropped_ = 0;     ///< Messages given up.
  std::uint64_t failedDials_ = 0; ///< Connections that did not become links.
  std::uint64_t wireBytes_ = 0;   ///< Bytes on links, both ways.
  std::size_t links_ = 0;         ///< Links that are up.
  bool operator==(const PeerLinksStats&) const = default;
};

/**
 * Sends and takes control messages. Keeps at most one link per pair of daemons
 * after both have dialled at once: the one dialled by the lesser endpoint.
 * Control thread only.
 */
class PeerLinks
  : public protocol::ByteLinks
  , private PeerLinkOwner
{
public:
  /**
   * @param aContext Event loop of the control thread.
   * @param aSettings Settings.
   */
  PeerLinks(boost::asio::io_context& aContext, PeerLinksSettings aSettings);
  ~PeerLinks() override;
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /** Listens. Call once. @return Empty, or why it could not listen. */
  std::string start();
  /** Takes no new links, sends what is queued, and closes the links. */
  void shutDown();
  /** @return Where it listens, with the port that the system gave. */
  const state::Endpoint& endpoint() const { return settings_.listen_; }
  /** @return Counters. */
  PeerLinksStats stats() const;

  void send(const state::Endpoint& aTo, std::string aMessage) override;
  void onMessage(MessageHandler aHandler) override;

private:
  using LinkPtr = std::shared_ptr<PeerLink>;             ///< A link.
  using Instant = std::chrono::steady_clock::time_point; ///< Local time.
  /** What is kept for a peer. */
  struct Peer
  {
    LinkPtr dialled_;                 ///< Link that this daemon has dialled.
    LinkPtr accepted_;                ///< Link that the peer has dialled.
    bool dialling_ = false;           ///< Whether a dial is under way.
    std::deque<std::string> waiting_; ///< Messages for the dialled link.
    std::size_t waitingBytes_ = 0;    ///< Their size.
    std::chrono::milliseconds backoff_{ 0 }; ///< Present back-off.
    Instant dialAfter_{};                    ///< No dial before.
  };

  void onLinkUp(const LinkPtr& aLink) override;
  void onLinkMessage(PeerLink& aLink, const std::string& aMessage) override;
  void onLinkDown(const LinkPtr& aLink, const std::string& aReason) override;
  LinkPtr usableLink(const Peer& aPeer) const;
  void wait(const state::Endpoint& aTo, Peer& aPeer, std::string aMessage);
  void dial(const state::Endpoint& aTo);
  void startLink(boost::asio::ip::tcp::socket aSocket,
                 const state::Endpoint& aTo);
  void dialFailed(const state::Endpoint& aTo, const std::string& aReason);
  void flushWaiting(Peer& aPeer, const LinkPtr& aLink);
  void resolveDouble(const state::Endpoint& aEndpoint, Peer& aPeer);
  void sweepLater();
  void sweep();
  PeerSessionSettings sessionSettings() const;

  boost::asio::io_context& context_;       ///< Event loop.
  PeerLinksSettings settings_;             ///< Settings.
  MessageHandler handler_;                 ///< Takes the messages.
  std::unique_ptr<PeerListener> listener_; ///< Accepts links.
  std::map<state::Endpoint, Peer> peers_;  ///< Known peers.
  std::set<LinkPtr> links_;                ///< Links in any state.
  boost::asio::steady_timer sweepTimer_;   ///< Runs sweep().
  std::shared_ptr<PeerLinks*> alive_;      ///< Null once this is gone.
  std::mt19937_64 random_;                 ///< Jitter of the back-off.
  PeerLinksStats stats_;                   ///< Counters.
  bool stopped_ = false;                   ///< Whether shutDown() was called.
};

} // namespace auburnhaven::transport
