// Daemons that share targets which end under some requests.
#pragma once

#include "fakes/fake_store.h"
#include "platform/relay_world.h"
#include "transport/control_loop.h"
#include "transport/relay/quarantine_service.h"

#include <algorithm>
#include <atomic>

namespace auburnhaven::fakes {

/** What a target does with requests. */
struct CrashScript
{
  std::string mark_;   ///< Text of the requests that end the target.
  std::string begun_;  ///< What it sends before it ends.
  std::string answer_; ///< What it answers to other requests.
};

/** A target that ends when it begins to answer some requests. */
class CrashingTarget
{
public:
  explicit CrashingTarget(CrashScript aScript)
    : script_(std::move(aScript))
    , server_(
        [this](boost::asio::ip::tcp::socket& aSocket, int) { serve(aSocket); })
  {
  }
  /** @return Its endpoint. */
  state::Endpoint endpoint() const { return endpoint_; }
  /** @return Whether it has ended. */
  bool hasEnded() const { return ended_; }

private:
  void serve(boost::asio::ip::tcp::socket& aSocket)
  {
    const std::string request = RawServer::readRequest(aSocket);
    if (contains(request, script_.mark_)) {
      RawServer::write(aSocket, script_.begun_);
      ended_ = true;
      server_.stopListening();
    } else {
      RawServer::write(aSocket, script_.answer_);
    }
  }

  const CrashScript script_;                      ///< What it does.
  std::atomic<bool> ended_{ false };              ///< Whether it has ended.
  RawServer server_;                              ///< Listener.
  state::Endpoint endpoint_ = server_.endpoint(); ///< Its endpoint.
};

/** @return A loopback endpoint for datagrams that nobody uses. */
inline state::Endpoint
freeDatagramEndpoint()
{
  namespace asio = boost::asio;
  asio::io_context context;
  const asio::ip::udp::socket socket(context,
                                     { asio::ip::address_v4::loopback(), 0 });
  return { "127.0.0.1", socket.local_endpoint().port() };
}

/** A daemon with its control thread; the first one coordinates. */
class GuardedDaemon
{
public:
  /** @param aAll Datagram endpoints of all daemons. @param aIndex Its own. */
  GuardedDaemon(const std::vector<state::Endpoint>& aAll, std::size_t aIndex)
    : service_(clock_,
               control_.context(),
               socket_,
               store_,
               log_,
               aAll[aIndex],
               { "q/", "daemon" },
               [this] {
                 boost::asio::post(world_.pool_.context(0), [this] {
                   world_.relay_.wakeOpenRequests(0);
                 });
               })
    , world_({}, { &service_.quarantine(), &service_.observer() })
  {
    peers_.coordinators_ = { aAll.front() };
    peers_.coordinates_ = aIndex == 0;
    peers_.others_ = aAll;
    std::erase(peers_.others_, aAll[aIndex]);
    const auto take = [this](const state::Endpoint& /*aFrom*/,
                             const std::string& aDatagram) {
      service_.take(aDatagram);
    };
    CPPUNIT_ASSERT_EQUAL(std::string(), socket_.start(aAll[aIndex], take));
    control_.every(std::chrono::milliseconds(20),
                   [this] { service_.tick(peers_, false); });
    thread_ = std::thread([this] { control_.run(); });
  }
  ~GuardedDaemon()
  {
    world_.pool_.stop();
    control_.stop();
    thread_.join();
  }
  GuardedDaemon(const GuardedDaemon&) = delete;
  GuardedDaemon& operator=(const GuardedDaemon&) = delete;

  /** @return Its relay. */
  RelayWorld& world() { return world_; }

private:
  transport::SystemClock clock_;                           ///< Clock.
  LockedEventLog log_;                                     ///< Log.
  transport::ControlLoop control_;                         ///< Control thread.
  transport::DatagramSocket socket_{ control_.context() }; ///< Datagrams.
  FakeClock storeClock_; ///< Clock of the store.
  FakeStore store_{
    storeClock_,
    std::make_shared<FakeStoreData>()
  };                                     ///< Store, which is never reached.
  transport::QuarantineService service_; ///< Joins the reports.
  transport::QuarantinePeers peers_;     ///< The other daemons.
  RelayWorld world_;                     ///< The relay.
  std::thread thread_;                   ///< Control thread.
};

/** Daemons with the same targets. */
class CrashingWorld
{
public:
  /** @param aDaemons Number of daemons. @param aTargets Number of targets.
   * @param aScript What the targets do. */
  CrashingWorld(int aDaemons, int aTargets, const CrashScript& aScript)
  {
    for (int index = 0; index < aTargets; ++index) {
      targets_.push_back(std::make_unique<CrashingTarget>(aScript));
    }
    std::vector<state::Endpoint> endpoints;
    endpoints.reserve(static_cast<std::size_t>(aDaemons));
    for (int index = 0; index < aDaemons; ++index) {
      endpoints.push_back(freeDatagramEndpoint());
    }
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
      daemons_.push_back(std::make_unique<GuardedDaemon>(endpoints, index));
    }
  }

  /** Sends a request to one of the daemons, which know the targets that have
   * not ended. @return Status code of the response. */
  std::string ask(int aIndex, const std::string& aRequest)
  {
    listTargets();
    const auto index = static_cast<std::size_t>(aIndex) % daemons_.size();
    return statusOf(daemons_[index]->world().ask(aRequest));
  }
  /** @return Number of targets that have ended. */
  std::ptrdiff_t ended() const
  {
    return std::count_if(
      targets_.begin(), targets_.end(), [](const auto& aTarget) {
        return aTarget->hasEnded();
      });
  }

private:
  void listTargets()
  {
    for (const auto& daemon : daemons_) {
      RelayWorld& world = daemon->world();
      world.instances_.clear();
      for (std::size_t index = 0; index < targets_.size(); ++index) {
        if (!targets_[index]->hasEnded()) {
          world.addTarget("i-" + std::to_string(index),
                          targets_[index]->endpoint());
        }
      }
      world.start();
    }
  }

  std::vector<std::unique_ptr<CrashingTarget>> targets_; ///< Targets.
  std::vector<std::unique_ptr<GuardedDaemon>> daemons_;  ///< Daemons.
};

} // namespace auburnhaven::fakes
