// Many daemons of several zones in one process.
#pragma once

#include "coordination/fleet/fleet_node.h"
#include "fakes/fake_observed_vms.h"
#include "fakes/fake_peer_network.h"
#include "fakes/fake_store.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace auburnhaven::fakes {

/** Makes the network of one daemon. */
using NetworkMaker = std::function<std::unique_ptr<coordination::PeerNetwork>(
  const state::Endpoint&)>;

/** One daemon with its fakes. */
struct FleetDaemon
{
  coordination::FleetSettings settings_;               ///< Its settings.
  std::unique_ptr<FakeStore> store_;                   ///< Its store client.
  std::unique_ptr<FakeVmClient> vms_;                  ///< Its VM client.
  std::unique_ptr<coordination::PeerNetwork> network_; ///< Its network.
  std::unique_ptr<coordination::FleetNode> node_;      ///< The daemon.
  bool paused_ = false;          ///< Whether it does nothing at present.
  state::Generation generation_; ///< Greatest generation in force so far.
};

/** Daemons over one clock, store and set of VMs. Not thread-safe. */
class FakeFleet
{
public:
  /**
   * @param aClock Clock of the test.
   * @param aMaker Makes networks.
   * @param aSeed Seed of all random numbers.
   */
  FakeFleet(FakeClock& aClock, NetworkMaker aMaker, std::uint64_t aSeed)
    : clock_(aClock)
    , maker_(std::move(aMaker))
    , data_(std::make_shared<FakeStoreData>())
    , seed_(aSeed)
  {
  }

  /** @return Name of a zone by its number. */
  static std::string zoneName(std::size_t aZone)
  {
    return "zone-" + std::string(1, static_cast<char>('a' + aZone));
  }
  /** @return Endpoint of a daemon; the address tells the zone. */
  static state::Endpoint endpointOf(std::size_t aZone, std::size_t aIndex)
  {
    return { "127.0." + std::to_string(aZone) + ".1",
             static_cast<std::uint16_t>(10000 + aIndex) };
  }
  /** @return Identifier of a daemon. */
  static state::DaemonId idOf(std::size_t aZone, std::size_t aIndex)
  {
    return state::DaemonId(zoneName(aZone) + "-daemon-" +
                           std::to_string(aIndex));
  }

  /**
   * Starts a daemon; a restarted one gets a greater incarnation.
   * @param aZone Number of its zone.
   * @param aIndex Number in the zone.
   * @param aZones Number of zones.
   */
  FleetDaemon& start(std::size_t aZone, std::size_t aIndex, std::size_t aZones)
  {
    const state::DaemonId id = idOf(aZone, aIndex);
    stop(id);
    FleetDaemon& daemon = daemons_[id];
    coordination::FleetSettings& settings = daemon.settings_;
    settings.self_ = { id,
                       state::ZoneId(zoneName(aZone)),
                       endpointOf(aZone, aIndex),
                       state::Incarnation(++incarnation_) };
    settings.zones_ = static_cast<std::uint32_t>(aZones);
    settings.seeds_ = { endpointOf(aZone, 0), endpointOf(aZone, 1) };
    for (std::size_t zone = 0; zone < aZones; ++zone) {
      if (zone != aZone) {
        settings.otherZones_[state::ZoneId(zoneName(zone))] = {
          endpointOf(zone, 0), endpointOf(zone, 1)
        };
      }
    }
    daemon.store_ = std::make_unique<FakeStore>(clock_, data_);
    daemon.vms_ = std::make_unique<FakeVmClient>(clock_, vms_);
    daemon.network_ = maker_(settings.self_.endpoint_);
    daemon.node_ = std::make_unique<coordination::FleetNode>(
      settings,
      coordination::FleetPorts{
        clock_, *daemon.network_, *daemon.store_, *daemon.vms_, *daemon.vms_ },
      [](const state::Configuration&) {
        return std::vector<state::InputError>{};
      },
      seed_ * 1000003 + incarnation_);
    return daemon;
  }

  /** Starts all daemons of some zones. */
  void startAll(std::size_t aZones, std::size_t aDaemons)
  {
    for (std::size_t zone = 0; zone < aZones; ++zone) {
      for (std::size_t index = 0; index < aDaemons; ++index) {
        start(zone, index, aZones);
      }
    }
  }

  /** Ends a daemon without any announcement. */
  void stop(const state::DaemonId& aId) { daemons_.erase(aId); }

  /** Moves time on by steps of one tick. */
  void run(state::Duration aTime)
  {
    const state::TimePoint end = clock_.now() + aTime;
    while (clock_.now() < end) {
      step();
    }
  }

  /**
   * Moves time on until a condition holds.
   * @param aCondition The condition.
   * @param aLimit Longest time.
   * @return Time that it took, or the limit.
   */
  state::Duration runUntil(const std::function<bool()>& aCondition,
                           state::Duration aLimit)
  {
    const state::TimePoint start = clock_.now();
    while (!aCondition() && clock_.now() - start < aLimit) {
      step();
    }
    return clock_.now() - start;
  }

  /** Moves time on by one tick. */
  void step()
  {
    clock_.advance(coordination::kFleetTickPeriod);
    if (deliver_) {
      deliver_();
    }
    for (auto& [id, daemon] : daemons_) {
      if (daemon.paused_) {
        continue;
      }
      daemon.store_->step();
      daemon.vms_->step();
      daemon.node_->tick();
      const state::Generation generation =
        daemon.node_->configuration()->generation_;
      assert(generation >= daemon.generation_);
      daemon.generation_ = generation;
    }
  }

  /** @param aDeliver Hands over the messages whose time has come. */
  void onDeliver(std::function<void()> aDeliver)
  {
    deliver_ = std::move(aDeliver);
  }

  /** @return Whether a daemon belongs to a zone. */
  static bool inZone(const FleetDaemon& aDaemon, std::size_t aZone)
  {
    return aDaemon.settings_.self_.zone_.value() == zoneName(aZone);
  }

  /** @return Whether each running daemon knows exactly the running daemons of
   * its zone as live. */
  bool agreed() const
  {
    std::map<state::ZoneId, std::vector<state::DaemonId>> expected;
    for (const auto& [id, daemon] : daemons_) {
      if (!daemon.paused_) {
        expected[daemon.settings_.self_.zone_].push_back(id);
      }
    }
    return std::all_of(
      daemons_.begin(), daemons_.end(), [&](const auto& aItem) {
        return aItem.second.paused_ ||
               aItem.second.node_->liveMembers() ==
                 expected[aItem.second.settings_.self_.zone_];
      });
  }

  /** @return Whether each running daemon that a rule selects has at least a
   * generation in force. */
  bool inForce(
    state::Generation aGeneration,
    const std::function<bool(const FleetDaemon&)>& aRule =
      [](const FleetDaemon&) { return true; }) const
  {
    return std::all_of(
      daemons_.begin(), daemons_.end(), [&](const auto& aItem) {
        const FleetDaemon& daemon = aItem.second;
        return daemon.paused_ || !aRule(daemon) ||
               daemon.node_->configuration()->generation_ >= aGeneration;
      });
  }

  /** @return A daemon that is running. */
  FleetDaemon& at(std::size_t aZone, std::size_t aIndex)
  {
    return daemons_.at(idOf(aZone, aIndex));
  }
  /** @return All running daemons. */
  std::map<state::DaemonId, FleetDaemon>& daemons() { return daemons_; }
  /** @return The VMs. */
  FakeVms& vms() { return vms_; }
  /** @return Data of the store. */
  FakeStoreData& storeData() { return *data_; }
  /** Sets whether a zone can reach the store and the list. */
  void platformDown(std::size_t aZone, bool aDown)
  {
    for (auto& [id, daemon] : daemons_) {
      if (inZone(daemon, aZone)) {
        daemon.store_->faults().down_ = aDown;
        daemon.vms_->listDown(aDown);
      }
    }
  }

private:
  FakeClock& clock_;                               ///< Clock of the test.
  NetworkMaker maker_;                             ///< Makes networks.
  std::shared_ptr<FakeStoreData> data_;            ///< Data of the store.
  FakeVms vms_;                                    ///< The VMs.
  std::uint64_t seed_;                             ///< Seed.
  std::uint64_t incarnation_ = 0;                  ///< Last incarnation given.
  std::map<state::DaemonId, FleetDaemon> daemons_; ///< Running daemons.
  std::function<void()> deliver_;                  ///< Hands over messages.
};

} // namespace auburnhaven::fakes
