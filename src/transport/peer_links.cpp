// Kept links for control messages between daemons.

#include "transport/peer_links.h"

#include <boost/asio.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr char kPurpose[] = "messages";
constexpr std::chrono::milliseconds kSweepPeriod{ 1000 }; ///< Of sweep().

} // namespace

PeerLinks::PeerLinks(asio::io_context& aContext, PeerLinksSettings aSettings)
  : context_(aContext)
  , settings_(std::move(aSettings))
  , sweepTimer_(aContext)
  , alive_(std::make_shared<PeerLinks*>(this))
  , random_(settings_.seed_)
{
}

PeerLinks::~PeerLinks()
{
  *alive_ = nullptr;
  for (const LinkPtr& link : links_) {
    link->forgetOwner();
    link->close("links are gone");
  }
}

std::string
PeerLinks::start()
{
  listener_ = std::make_unique<PeerListener>(
    context_,
    sessionSettings(),
    [this](const std::shared_ptr<PeerSession>& aSession) {
      auto link = std::make_shared<PeerLink>(aSession->h2(),
                                             H2Role::kServer,
                                             state::Endpoint(),
                                             static_cast<PeerLinkOwner*>(this));
      links_.insert(link);
      return link;
    });
  std::string error = listener_->start(false);
  if (error.empty()) {
    settings_.listen_.port_ = listener_->port();
    sweepLater();
  }
  return error;
}

void
PeerLinks::shutDown()
{
  stopped_ = true;
  listener_->stop();
  for (const LinkPtr& link : links_) {
    if (link->up()) {
      link->drain();
    } else if (!link->draining()) {
      link->close("stopped");
    }
  }
}

PeerLinksStats
PeerLinks::stats() const
{
  PeerLinksStats stats = stats_;
  for (const LinkPtr& link : links_) {
    stats.links_ += link->up() ? 1 : 0;
    stats.wireBytes_ += link->wireBytes();
  }
  return stats;
}

void
PeerLinks::onMessage(MessageHandler aHandler)
{
  handler_ = std::move(aHandler);
}

void
PeerLinks::send(const state::Endpoint& aTo, std::string aMessage)
{
  if (stopped_ || aMessage.size() > protocol::kMaxPeerMessageBytes) {
    ++stats_.dropped_;
    return;
  }
  Peer& peer = peers_[aTo];
  const LinkPtr link = usableLink(peer);
  if (!link) {
    wait(aTo, peer, std::move(aMessage));
  } else if (link->queuedBytes() + aMessage.size() >
             settings_.maxQueuedBytes_) {
    ++stats_.dropped_;
  } else {
    link->send(aMessage);
    ++stats_.sent_;
  }
}

PeerLinks::LinkPtr
PeerLinks::usableLink(const Peer& aPeer) const
{
  const bool dialled = aPeer.dialled_ && aPeer.dialled_->up();
  const bool accepted = aPeer.accepted_ && aPeer.accepted_->up();
  if (dialled && accepted) {
    const bool mineIsLesser = settings_.listen_ < aPeer.dialled_->peer();
    return mineIsLesser ? aPeer.dialled_ : aPeer.accepted_;
  }
  if (dialled) {
    return aPeer.dialled_;
  }
  return accepted ? aPeer.accepted_ : nullptr;
}

void
PeerLinks::wait(const state::Endpoint& aTo, Peer& aPeer, std::string aMessage)
{
  const bool isFull =
    aPeer.waitingBytes_ + aMessage.size() > settings_.maxQueuedBytes_;
  const bool mayDial =
    aPeer.dialling_ || std::chrono::steady_clock::now() >= aPeer.dialAfter_;
  if (isFull || !mayDial) {
    ++stats_.dropped_;
    return;
  }
  aPeer.waitingBytes_ += aMessage.size();
  aPeer.waiting_.push_back(std::move(aMessage));
  if (!aPeer.dialling_) {
    aPeer.dialling_ = true;
    dial(aTo);
  }
}

void
PeerLinks::dial(const state::Endpoint& aTo)
{
  error_code error;
  const auto address = asio::ip::make_address(aTo.address_, error);
  if (error) {
    asio::post(context_, [alive = alive_, aTo] {
      if (*alive != nullptr) {
        (*alive)->dialFailed(aTo, "not an IP number");
      }
    });
    return;
  }
  auto socket = std::make_shared<tcp::socket>(context_);
  auto timer =
    std::make_shared<asio::steady_timer>(context_, settings_.connectTimeout_);
  timer->async_wait([socket, timer](const error_code& aError) {
    error_code ignored;
    if (!aError) {
      socket->close(ignored);
    }
  });
  socket->async_connect(
    { address, aTo.port_ },
    [alive = alive_, aTo, socket, timer](const error_code& aError) {
      timer->cancel();
      if (*alive == nullptr) {
        return;
      }
      if (aError || !socket->is_open()) {
        (*alive)->dialFailed(aTo, aError.message());
      } else {
        (*alive)->startLink(std::move(*socket), aTo);
      }
    });
}

void
PeerLinks::startLink(tcp::socket aSocket, const state::Endpoint& aTo)
{
  const auto session = std::make_shared<PeerSession>(
    std::move(aSocket), H2Role::kClient, sessionSettings(), aTo);
  const auto link = std::make_shared<PeerLink>(
    session->h2(), H2Role::kClient, aTo, static_cast<PeerLinkOwner*>(this));
  links_.insert(link);
  peers_[aTo].dialled_ = link;
  session->start(link);
}

void
PeerLinks::dialFailed(const state::Endpoint& aTo, const std::string& aReason)
{
  Peer& peer = peers_[aTo];
  peer.dialling_ = false;
  peer.dialled_ = nullptr;
  ++stats_.failedDials_;
  stats_.dropped_ += peer.waiting_.size();
  peer.waiting_.clear();
  peer.waitingBytes_ = 0;
  peer.backoff_ = std::clamp(
    peer.backoff_ * 2, settings_.firstBackoff_, settings_.longestBackoff_);
  std::uniform_int_distribution<std::int64_t> jitter(0, peer.backoff_.count());
  peer.dialAfter_ = std::chrono::steady_clock::now() + peer.backoff_ / 2 +
                    std::chrono::milliseconds(jitter(random_) / 2);
  LOG(WARNING) << "peers: no link to " << aTo << ": " << aReason;
}

void
PeerLinks::onLinkUp(const LinkPtr& aLink)
{
  if (stopped_) {
    aLink->drain();
    return;
  }
  Peer& peer = peers_[aLink->peer()];
  if (aLink->role() == H2Role::kClient) {
    peer.dialling_ = false;
    peer.backoff_ = std::chrono::milliseconds(0);
  } else {
    const LinkPtr former = std::exchange(peer.accepted_, aLink);
    if (former) {
      former->close("replaced by a newer link");
    }
  }
  LOG(INFO) << "peers: link with " << aLink->peer() << " is up";
  flushWaiting(peer, aLink);
  resolveDouble(aLink->peer(), peer);
}

void
PeerLinks::flushWaiting(Peer& aPeer, const LinkPtr& aLink)
{
  for (const std::string& message : std::exchange(aPeer.waiting_, {})) {
    aLink->send(message);
    ++stats_.sent_;
  }
  aPeer.waitingBytes_ = 0;
}

void
PeerLinks::resolveDouble(const state::Endpoint& aEndpoint, Peer& aPeer)
{
  const bool both = aPeer.dialled_ && aPeer.dialled_->up() && aPeer.accepted_ &&
                    aPeer.accepted_->up();
  if (both && aEndpoint < settings_.listen_) {
    aPeer.dialled_->drain();
  }
}

void
PeerLinks::onLinkMessage(PeerLink& aLink, const std::string& aMessage)
{
  ++stats_.received_;
  if (handler_) {
    handler_(aLink.peer(), aMessage);
  }
}

void
PeerLinks::onLinkDown(const LinkPtr& aLink, const std::string& aReason)
{
  stats_.wireBytes_ += aLink->wireBytes();
  links_.erase(aLink);
  const auto found = peers_.find(aLink->peer());
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  if (peer.accepted_ == aLink) {
    peer.accepted_ = nullptr;
  }
  if (peer.dialled_ == aLink) {
    peer.dialled_ = nullptr;
    if (peer.dialling_) {
      dialFailed(aLink->peer(), aReason);
      return;
    }
  }
  VLOG(1) << "peers: link with " << aLink->peer() << " is down: " << aReason;
}

void
PeerLinks::sweepLater()
{
  sweepTimer_.expires_after(kSweepPeriod);
  sweepTimer_.async_wait([alive = alive_](const error_code& aError) {
    if (!aError && *alive != nullptr) {
      (*alive)->sweep();
      (*alive)->sweepLater();
    }
  });
}

void
PeerLinks::sweep()
{
  const Instant now = std::chrono::steady_clock::now();
  for (const LinkPtr& link : links_) {
    const auto unused = now - link->usedAt();
    if (link->draining() && unused > settings_.drainTimeout_) {
      link->close("drain took too long");
    } else if (link->up() && link->role() == H2Role::kClient &&
               unused > settings_.idleTimeout_) {
      link->drain();
    }
  }
  std::erase_if(peers_, [&](const auto& aItem) {
    const Peer& peer = aItem.second;
    return !peer.dialled_ && !peer.accepted_ && !peer.dialling_ &&
           peer.dialAfter_ + settings_.longestBackoff_ < now;
  });
}

PeerSessionSettings
PeerLinks::sessionSettings() const
{
  PeerSessionSettings settings;
  settings.key_ = settings_.key_;
  settings.listen_ = settings_.listen_;
  settings.purpose_ = kPurpose;
  settings.limits_ = settings_.limits_;
  return settings;
}

} // namespace auburnhaven::transport
