// Takes forwarded requests of daemons of other availability zones.

#include "transport/forward_server.h"

#include "transport/forward_server_session.h"

#include <boost/asio.hpp>

#include <utility>

namespace auburnhaven::transport {

ForwardServer::ForwardServer(TrafficPool& aPool,
                             ForwardSettings aSettings,
                             ForwardHandler& aHandler)
  : pool_(aPool)
  , state_(std::make_shared<ForwardServerState>())
{
  state_->settings_ = std::move(aSettings);
  state_->handler_ = &aHandler;
  state_->threads_.resize(aPool.size());
}

ForwardServer::~ForwardServer()
{
  for (const ForwardServerState::Thread& thread : state_->threads_) {
    for (const auto& weak : thread.sessions_) {
      if (const auto session = weak.lock()) {
        session->close();
      }
    }
  }
}

std::string
ForwardServer::start()
{
  PeerSessionSettings settings;
  settings.key_ = state_->settings_.key_;
  settings.listen_ = state_->settings_.listen_;
  settings.purpose_ = "forward";
  settings.limits_ = state_->settings_.limits_;
  for (std::size_t index = 0; index < pool_.size(); ++index) {
    boost::asio::io_context& context = pool_.context(index);
    listeners_.push_back(std::make_unique<PeerListener>(
      context,
      settings,
      [&context, index, state = state_](
        const std::shared_ptr<PeerSession>& aSession) {
        return std::make_shared<ForwardServerSession>(
          context, index, aSession->h2(), state);
      }));
    std::string error = listeners_.back()->start(true);
    if (!error.empty()) {
      return error;
    }
    settings.listen_.port_ = listeners_.back()->port();
  }
  return {};
}

void
ForwardServer::drain()
{
  state_->draining_ = true;
  for (std::size_t index = 0; index < pool_.size(); ++index) {
    boost::asio::post(
      pool_.context(index),
      [listener = listeners_[index].get(), index, state = state_] {
        listener->stop();
        for (const auto& weak : state->threads_[index].sessions_) {
          if (const auto session = weak.lock()) {
            session->shutDown();
          }
        }
      });
  }
}

std::uint16_t
ForwardServer::port() const
{
  return listeners_.front()->port();
}

} // namespace auburnhaven::transport
