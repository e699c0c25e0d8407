// Test world: a zone of engines and daemons that may coordinate it.
#pragma once

#include "coordination/replica/replica_coordinator.h"
#include "fakes/fake_event_log.h"
#include "fakes/fake_replica_engines.h"
#include "fakes/fake_store.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace auburnhaven::fakes {

/** @return A service with a model of four VMs and one of two. */
inline state::ServiceSpec
replicaService()
{
  state::EngineSpec engine;
  engine.batchSlots_ = 26;
  engine.step_ = state::FloatMs(6);
  engine.stepPerRequest_ = state::FloatMs(0.25);
  engine.promptTokensPerMs_ = 46;
  engine.usualPrompt_ = 1000;
  engine.usualAnswer_ = 120;
  engine.reportLag_ = state::Milliseconds(200);
  engine.openTime_ = state::Milliseconds(300);
  engine.loadsPerSecond_ = 4;
  engine.loadsAtOnce_ = 6;
  const state::Milliseconds load(12000);
  const state::Milliseconds warm(1500);
  engine.models_ = { { state::ModelId("large"), 4, 0.67, 1.0, load, warm },
                     { state::ModelId("small"), 2, 0.33, 0.6, load, warm } };
  return { state::ServiceId("pool"), 700, engine };
}

/** A daemon that competes for the coordination of the zone. */
struct ReplicaDaemon
{
  ReplicaDaemon(FakeClock& aClock,
                std::shared_ptr<FakeStoreData> aStore,
                FakeReplicaFleet& aFleet,
                const std::string& aName)
    : store_(aClock, std::move(aStore))
    , engines_(aClock, aFleet)
    , lease_(aClock, store_, "zone", aName, leaseLimits())
    , coordinator_(aClock,
                   engines_,
                   lease_,
                   log_,
                   { state::ZoneId("zone"), 1, false, {} },
                   {})
  {
    coordinator_.setService(replicaService());
  }

  static coordination::LeaseTiming leaseLimits()
  {
    using std::chrono::milliseconds;
    return { milliseconds(1500),
             milliseconds(400),
             milliseconds(400),
             milliseconds(150) };
  }

  FakeStore store_;                 ///< Its connection to the store.
  FakeReplicaEngineClient engines_; ///< Its client of the engines.
  FakeEventLog log_;                ///< Its log.
  coordination::LeaderLease lease_; ///< Its lease.
  coordination::ReplicaCoordinator coordinator_; ///< Its coordinator.
  bool paused_ = false; ///< Whether the process is suspended.
};

/** A zone of engines and daemons on a simulated clock. Not thread-safe. */
class ReplicaWorld
{
public:
  static constexpr std::chrono::milliseconds kTick{
    20
  }; ///< Simulated time of one step.

  /**
   * @param aDaemons Number of daemons.
   * @param aDomains Number of fabric domains.
   * @param aEngines Number of engines of each domain.
   */
  ReplicaWorld(std::size_t aDaemons, std::size_t aDomains, int aEngines = 8)
    : store_(std::make_shared<FakeStoreData>())
    , fleet_(clock_)
  {
    for (std::size_t domain = 0; domain < aDomains; ++domain) {
      for (int index = 0; index < aEngines; ++index) {
        fleet_.add("vm" + std::to_string(domain) + std::to_string(index),
                   "domain" + std::to_string(domain));
      }
    }
    for (std::size_t index = 0; index < aDaemons; ++index) {
      addDaemon("daemon" + std::to_string(index));
    }
  }

  /** Starts a daemon without any state. */
  void addDaemon(const std::string& aName)
  {
    daemons_.push_back(
      std::make_unique<ReplicaDaemon>(clock_, store_, fleet_, aName));
  }

  /** Advances the simulation by a duration. */
  void run(state::Duration aTime)
  {
    for (state::Duration past{}; past < aTime; past += kTick) {
      clock_.advance(kTick);
      fleet_.step();
      lists_.emplace_back(clock_.now(), fleet_.registered());
      while (clock_.now() - lists_.front().first > listLag_) {
        lists_.pop_front();
      }
      for (const auto& daemon : daemons_) {
        if (!daemon->paused_) {
          step(*daemon);
        }
      }
    }
  }

  /** @return The daemon that holds the lease, or null. */
  ReplicaDaemon* coordinator()
  {
    for (const auto& daemon : daemons_) {
      if (daemon->lease_.holds()) {
        return daemon.get();
      }
    }
    return nullptr;
  }

  state::Duration listLag_{}; ///< Age of the list of VMs that daemons know.
  FakeClock clock_;           ///< Clock.
  std::shared_ptr<FakeStoreData> store_;                ///< The store.
  FakeReplicaFleet fleet_;                              ///< The engines.
  std::vector<std::unique_ptr<ReplicaDaemon>> daemons_; ///< The daemons.

private:
  std::deque<std::pair<state::TimePoint, std::vector<state::Instance>>>
    lists_; ///< Lists of VMs that daemons do not know yet.

  void step(ReplicaDaemon& aDaemon)
  {
    aDaemon.store_.step();
    aDaemon.engines_.step();
    aDaemon.lease_.tick(std::chrono::milliseconds(200));
    aDaemon.coordinator_.setInstances(lists_.front().second);
    aDaemon.coordinator_.tick();
  }
};

} // namespace auburnhaven::fakes
