// Accepts sessions from other daemons.

#include "transport/peer_listener.h"

#include "state/endpoint_func.h"

#include <boost/asio.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxHandshakes = 256; ///< Connections shaking hands.
constexpr std::chrono::milliseconds kAcceptPause{
  100
}; ///< After a failed accept, as when descriptors run out.

/** Lets other event loops listen on the same port. */
void
sharePort(tcp::acceptor& aAcceptor, error_code& aError)
{
  const int on = 1;
  if (::setsockopt(
        aAcceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) !=
      0) {
    aError = error_code(errno, boost::system::system_category());
  }
}

} // namespace

PeerListener::PeerListener(asio::io_context& aContext,
                           PeerSessionSettings aSettings,
                           UserFactory aFactory)
  : context_(aContext)
  , settings_(std::move(aSettings))
  , factory_(std::move(aFactory))
  , acceptor_(aContext)
  , alive_(std::make_shared<PeerListener*>(this))
{
}

PeerListener::~PeerListener()
{
  stop();
  *alive_ = nullptr;
  for (const auto& weak : handshakes_) {
    const auto session = weak.lock();
    if (session && !session->ready()) {
      session->close("listener is gone");
    }
  }
}

std::string
PeerListener::start(bool aSharePort)
{
  error_code error;
  const auto address =
    asio::ip::make_address(settings_.listen_.address_, error);
  const tcp::endpoint endpoint(address, settings_.listen_.port_);
  if (!error) {
    acceptor_.open(endpoint.protocol(), error);
  }
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error && aSharePort) {
    sharePort(acceptor_, error);
  }
  if (!error) {
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return state::textOf(settings_.listen_) + ": " + error.message();
  }
  settings_.listen_.port_ = port();
  accept();
  return {};
}

void
PeerListener::stop()
{
  error_code ignored;
  acceptor_.close(ignored);
}

std::uint16_t
PeerListener::port() const
{
  error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void
PeerListener::accept()
{
  acceptor_.async_accept(
    [alive = alive_](const error_code& aError, tcp::socket aSocket) {
      PeerListener* self = *alive;
      if (self == nullptr || !self->acceptor_.is_open()) {
        return;
      }
      if (!aError) {
        self->takeSocket(std::move(aSocket));
        self->accept();
        return;
      }
      auto timer =
        std::make_shared<asio::steady_timer>(self->context_, kAcceptPause);
      timer->async_wait([alive, timer](const error_code&) {
        if (*alive != nullptr && (*alive)->acceptor_.is_open()) {
          (*alive)->accept();
        }
      });
    });
}

void
PeerListener::takeSocket(tcp::socket aSocket)
{
  if (shakingHands() >= kMaxHandshakes) {
    ++dropped_;
    return;
  }
  const auto session = std::make_shared<PeerSession>(
    std::move(aSocket), H2Role::kServer, settings_, state::Endpoint());
  handshakes_.push_back(session);
  session->start(factory_(session));
}

std::size_t
PeerListener::shakingHands()
{
  std::erase_if(handshakes_, [](const std::weak_ptr<PeerSession>& aWeak) {
    const auto session = aWeak.lock();
    return !session || session->ready() || session->h2()->closed();
  });
  return handshakes_.size();
}

} // namespace auburnhaven::transport
