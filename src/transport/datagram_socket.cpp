// Datagrams between daemons.

#include "transport/datagram_socket.h"

#include <boost/asio.hpp>

#include <array>
#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;
using asio::ip::udp;

/** Socket and buffer; kept alive by the pending receive. */
struct DatagramSocket::Impl : std::enable_shared_from_this<Impl>
{
  explicit Impl(asio::io_context& aContext)
    : socket_(aContext)
  {
  }

  /** Waits for the next datagram. */
  void receive()
  {
    socket_.async_receive_from(
      asio::buffer(buffer_),
      from_,
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t aSize) {
        if (aError == asio::error::operation_aborted ||
            !self->socket_.is_open()) {
          return;
        }
        if (!aError) {
          self->handler_(
            { self->from_.address().to_string(), self->from_.port() },
            std::string(self->buffer_.data(), aSize));
        }
        self->receive();
      });
  }

  udp::socket socket_;              ///< The socket.
  udp::endpoint from_;              ///< Sender of the newest datagram.
  std::array<char, 2048> buffer_{}; ///< The newest datagram.
  Handler handler_;                 ///< Takes datagrams.
};

DatagramSocket::DatagramSocket(asio::io_context& aContext)
  : impl_(std::make_shared<Impl>(aContext))
{
}

DatagramSocket::~DatagramSocket()
{
  boost::system::error_code ignored;
  impl_->socket_.close(ignored);
}

std::string
DatagramSocket::start(const state::Endpoint& aListen, Handler aHandler)
{
  impl_->handler_ = std::move(aHandler);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aListen.address_, error);
  const udp::endpoint endpoint(address, aListen.port_);
  if (!error) {
    impl_->socket_.open(endpoint.protocol(), error);
  }
  if (!error) {
    impl_->socket_.bind(endpoint, error);
  }
  if (!error) {
    impl_->socket_.non_blocking(true, error);
  }
  if (error) {
    return error.message();
  }
  impl_->receive();
  return {};
}

void
DatagramSocket::send(const state::Endpoint& aTo, const std::string& aDatagram)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aTo.address_, error);
  if (!error) {
    // A datagram that the network does not take now is as good as lost.
    impl_->socket_.send_to(
      asio::buffer(aDatagram), udp::endpoint(address, aTo.port_), 0, error);
  }
}

} // namespace auburnhaven::transport
