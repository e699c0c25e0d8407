// Accepts sessions from other daemons.
#pragma once

#include "transport/peer_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnhaven::transport {

/**
 * Accepts connections and shakes hands. Strangers are dropped: only a bounded
 * number of connections may be shaking hands at once. One thread.
 */
class PeerListener
{
public:
  /** Makes the user of an accepted session. */
  using UserFactory = std::function<std::shared_ptr<PeerSessionUser>(
    std::shared_ptr<PeerSession>)>;

  /**
   * @param aContext Event loop of the thread.
   * @param aSettings Where to listen and what to bring.
   * @param aFactory Makes the user of a session, before the handshake.
   */
  PeerListener(boost::asio::io_context& aContext,
               PeerSessionSettings aSettings,
               UserFactory aFactory);
  ~PeerListener();
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;

  /**
   * Listens.
   * @param aSharePort Whether other event loops listen on the same port.
   * @return Empty, or why it could not listen.
   */
  std::string start(bool aSharePort);
  /** Takes no more connections. */
  void stop();
  /** @return Port that it listens on. */
  std::uint16_t port() const;
  /** @return Connections dropped because too many were shaking hands. */
  std::uint64_t dropped() const { return dropped_; }

private:
  void accept();
  void takeSocket(boost::asio::ip::tcp::socket aSocket);
  std::size_t shakingHands();

  boost::asio::io_context& context_;        ///< Event loop of the thread.
  PeerSessionSettings settings_;            ///< What to bring.
  UserFactory factory_;                     ///< Makes the users.
  boost::asio::ip::tcp::acceptor acceptor_; ///< Listens.
  std::shared_ptr<PeerListener*> alive_;    ///< Null once this is gone.
  std::vector<std::weak_ptr<PeerSession>>
    handshakes_;              ///< Sessions that may be shaking hands.
  std::uint64_t dropped_ = 0; ///< Connections dropped.
};

} // namespace auburnhaven::transport
