// All stand-ins of one run on successive loopback ports.

#include "world.h"

#include <boost/asio/signal_set.hpp>

#include <thread>

namespace auburnhaven::standins {

namespace {

/** @return A handler that calls a stand-in. */
template<class Standin>
ExchangeHandler
handlerOf(Standin& aStandin)
{
  return [&aStandin](Exchange& aExchange) { aStandin.handle(aExchange); };
}

} // namespace

std::vector<state::VmInfo>
makeVms(const WorldOptions& aOptions)
{
  std::vector<state::VmInfo> vms;
  for (const std::string& zone : aOptions.zones_) {
    for (std::uint32_t place = 0;
         place < aOptions.domainsPerZone_ * aOptions.vmsPerDomain_;
         ++place) {
      const std::string domain =
        zone + "-d" + std::to_string(place / aOptions.vmsPerDomain_);
      state::VmInfo vm;
      vm.id_ = state::VmId(domain + "-v" +
                           std::to_string(place % aOptions.vmsPerDomain_));
      vm.zone_ = state::ZoneId(zone);
      vm.domain_ = state::DomainId(domain);
      vm.endpoint_ = { "127.0.0.1",
                       static_cast<std::uint16_t>(aOptions.basePort_ +
                                                  kEnginePort + vms.size()) };
      vm.checksFencing_ = aOptions.checksFencing_;
      vms.push_back(std::move(vm));
    }
  }
  return vms;
}

World::World(const WorldOptions& aOptions)
  : options_(aOptions)
  , vms_(makeVms(aOptions))
  , weights_(aOptions.weightLoadsPerSecond_)
  , vmList_(vms_)
{
  for (std::uint32_t index = 0; index < options_.threads_; ++index) {
    contexts_.push_back(std::make_unique<asio::io_context>(1));
  }
  for (const state::VmInfo& vm : vms_) {
    board_[vm.endpoint_.port_];
  }
  hostPlatform();
  hostEngines();
}

World::~World() = default;

void
World::hostPlatform()
{
  asio::io_context& context = *contexts_.front();
  const auto port = [this](std::size_t aOffset) {
    return static_cast<std::uint16_t>(options_.basePort_ + aOffset);
  };
  listenHttp(context, port(kWeightStorePort), handlerOf(weights_));
  listenHttp(context, port(kVmListPort), handlerOf(vmList_));
  const auto data = std::make_shared<StoreData>();
  for (std::size_t zone = 0; zone < options_.zones_.size(); ++zone) {
    stores_.push_back(std::make_unique<StoreStandin>(data));
    listenHttp(context, port(kStorePort + zone), handlerOf(*stores_.back()));
  }
  const auto runs = std::make_shared<ServiceRuns>();
  const std::size_t services =
    options_.zones_.size() * options_.servicesPerZone_;
  for (std::size_t index = 0; index < services; ++index) {
    services_.push_back(std::make_unique<ServiceStandin>(runs));
    listenHttp(
      context, port(kServicePort + index), handlerOf(*services_.back()));
  }
}

void
World::hostEngines()
{
  for (std::size_t index = 0; index < vms_.size(); ++index) {
    asio::io_context& context = *contexts_[index % contexts_.size()];
    engines_.push_back(std::make_unique<EngineStandin>(
      vms_[index], options_.engine_, board_, weights_, context));
    listenHttp(
      context, vms_[index].endpoint_.port_, handlerOf(*engines_.back()));
  }
}

void
World::run()
{
  asio::signal_set signals(*contexts_.front(), SIGTERM, SIGINT);
  signals.async_wait([this](const boost::system::error_code&, int) {
    for (const auto& context : contexts_) {
      context->stop();
    }
  });
  std::vector<std::thread> threads;
  for (const auto& context : contexts_) {
    threads.emplace_back([&context] { context->run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

} // namespace auburnhaven::standins
