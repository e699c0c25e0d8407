// HTTP/1.1 server on the traffic threads.

#include "transport/http_server.h"

#include "transport/http_session.h"
#include "transport/scoped_count.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kAcceptPause(
  50); ///< Pause after a failed accept.

} // namespace

/** Accepts connections on the first traffic thread and deals them out. */
class HttpServer::Listener
  : public std::enable_shared_from_this<HttpServer::Listener>
{
public:
  /** Makes a listener that shares the server's state. */
  Listener(TrafficPool& aPool,
           HttpServerLimits aLimits,
           HttpHandler& aHandler,
           std::shared_ptr<HttpServerState> aState)
    : pool_(aPool)
    , limits_(aLimits)
    , handler_(aHandler)
    , state_(std::move(aState))
    , acceptor_(aPool.context(0))
    , pause_(aPool.context(0))
  {
  }

  /** Binds and listens. @return Empty, or why it could not. */
  std::string open(const state::Endpoint& aEndpoint)
  {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(aEndpoint.address_, error);
    if (error) {
      return "bad address " + aEndpoint.address_;
    }
    const tcp::endpoint endpoint(address, aEndpoint.port_);
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(asio::socket_base::reuse_address(true), error);
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    return error ? error.message() : std::string();
  }

  /** Accepts the next connection on the thread chosen for it. */
  void accept()
  {
    const std::size_t thread = pool_.next();
    acceptor_.async_accept(
      pool_.context(thread),
      [self = shared_from_this(),
       thread](const boost::system::error_code& aError, tcp::socket aSocket) {
        self->accepted(thread, aError, std::move(aSocket));
      });
  }

  /** Stops accepting, after the connections that callers already have. */
  void close()
  {
    const auto counted =
      std::make_shared<ScopedCount<std::uint64_t>>(state_->inFlight_);
    asio::post(acceptor_.get_executor(), [self = shared_from_this(), counted] {
      self->acceptQueued();
      boost::system::error_code ignored;
      self->acceptor_.close(ignored);
      // A connection that was accepted just before is handed over first.
      asio::post(self->acceptor_.get_executor(), [counted] {});
    });
  }

  /** @return Port that it listens on. */
  std::uint16_t port() const
  {
    boost::system::error_code ignored;
    return acceptor_.local_endpoint(ignored).port();
  }

private:
  /** Starts the session of a connection and accepts the next one. */
  void accepted(std::size_t aThread,
                const boost::system::error_code& aError,
                tcp::socket aSocket)
  {
    const bool open = acceptor_.is_open();
    if (aError && !open) {
      return;
    }
    if (aError) {
      pause_.expires_after(kAcceptPause);
      pause_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& aFailure) {
          if (!aFailure) {
            self->accept();
          }
        });
      return;
    }
    if (state_->connections_ < limits_.maxConnections_) {
      startSession(aThread, std::move(aSocket));
    }
    if (open) {
      accept();
    }
  }

  /** Accepts the connections that the system has queued. */
  void acceptQueued()
  {
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
      const std::size_t thread = pool_.next();
      tcp::socket socket(pool_.context(thread));
      acceptor_.accept(socket, error);
      if (!error) {
        startSession(thread, std::move(socket));
      }
    }
  }

  /** Hands a connection to its thread. */
  void startSession(std::size_t aThread, tcp::socket aSocket)
  {
    HttpSessionContext context{ aThread, limits_, &handler_, state_ };
    const auto counted =
      std::make_shared<ScopedCount<std::uint64_t>>(state_->inFlight_);
    asio::post(pool_.context(aThread),
               [socket = std::move(aSocket),
                context = std::move(context),
                counted]() mutable {
                 startHttpSession(std::move(socket), std::move(context));
               });
  }

  TrafficPool& pool_;                      ///< Threads for the sessions.
  HttpServerLimits limits_;                ///< Limits.
  HttpHandler& handler_;                   ///< Answers the requests.
  std::shared_ptr<HttpServerState> state_; ///< Shared with the sessions.
  tcp::acceptor acceptor_;                 ///< Listening socket.
  asio::steady_timer pause_;               ///< Pause after a failed accept.
};

HttpServer::HttpServer(TrafficPool& aPool,
                       state::Endpoint aEndpoint,
                       HttpServerLimits aLimits,
                       HttpHandler& aHandler)
  : pool_(aPool)
  , endpoint_(std::move(aEndpoint))
  , limits_(aLimits)
  , handler_(aHandler)
  , state_(std::make_shared<HttpServerState>(aPool.size()))
{
}

HttpServer::~HttpServer() = default;

std::string
HttpServer::start()
{
  listener_ = std::make_shared<Listener>(pool_, limits_, handler_, state_);
  std::string fault = listener_->open(endpoint_);
  if (fault.empty()) {
    listener_->accept();
  }
  return fault;
}

void
HttpServer::drain()
{
  state_->draining_ = true;
  state_->closing_ = true;
  if (listener_) {
    listener_->close();
  }
  for (std::size_t thread = 0; thread < pool_.size(); ++thread) {
    // Counted from now on, so that nobody takes the server for idle before.
    const auto counted =
      std::make_shared<ScopedCount<std::uint64_t>>(state_->inFlight_);
    asio::post(pool_.context(thread), [state = state_, thread, counted] {
      for (HttpWait* wait : std::set(state->waiting_[thread])) {
        wait->shorten();
      }
    });
  }
}

void
HttpServer::abandon()
{
  for (std::size_t thread = 0; thread < pool_.size(); ++thread) {
    asio::post(pool_.context(thread), [state = state_, thread] {
      for (HttpAnswer* answer : std::set(state->answering_[thread])) {
        answer->abandon();
      }
    });
  }
}

HttpServerCounts
HttpServer::counts() const
{
  HttpServerCounts counts;
  counts.connections_ = state_->connections_;
  counts.closing_ = state_->closers_;
  const std::uint64_t all = state_->inFlight_;
  counts.requests_ = all - std::min(all, counts.closing_);
  counts.closedUnsent_ = state_->closedUnsent_;
  counts.closedUnread_ = state_->closedUnread_;
  counts.callersGone_ = state_->callersGone_;
  counts.halfCloses_ = state_->halfCloses_;
  return counts;
}

std::uint16_t
HttpServer::port() const
{
  return listener_ ? listener_->port() : 0;
}

} // namespace auburnhaven::transport
