// Datagrams between daemons.
#pragma once

#include "state/endpoint_type.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace auburnhaven::transport {

/** Sends and takes datagrams; they may be lost, doubled or late. Used on the
 * thread of its event loop only. */
class DatagramSocket
{
public:
  using Handler =
    std::function<void(const state::Endpoint&,
                       const std::string&)>; ///< Takes one and its sender.

  /** @param aContext Event loop; outlives this object. */
  explicit DatagramSocket(boost::asio::io_context& aContext);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /**
   * Begins to take datagrams. Call once, before the event loop runs.
   * @param aListen Where.
   * @param aHandler Takes them.
   * @return Empty, or why it could not.
   */
  std::string start(const state::Endpoint& aListen, Handler aHandler);
  /**
   * Sends a datagram, or drops it when the network takes none now.
   * @param aTo Where to.
   * @param aDatagram The datagram.
   */
  void send(const state::Endpoint& aTo, const std::string& aDatagram);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_; ///< Socket and buffer.
};

} // namespace auburnhaven::transport
