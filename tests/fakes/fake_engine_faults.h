// Random faults on a fleet of fakes.
#pragma once

#include "fakes/fake_engine_fleet.h"

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace auburnhaven::fakes {

/** Puts random faults on a fleet and takes them away again. Equal seeds give
 * equal schedules. Not thread-safe. */
class FaultSchedule
{
public:
  /**
   * @param aFleet The fleet.
   * @param aSeed Selects the schedule.
   */
  FaultSchedule(FakeEngineFleet& aFleet, std::uint64_t aSeed)
    : fleet_(aFleet)
    , random_(aSeed)
  {
  }

  /** Runs one step; at most two faults last at a time. */
  void step()
  {
    constexpr std::size_t kMostFaults = 2;
    constexpr int kMeanGap = 60;
    endDue();
    if (active_.size() < kMostFaults && pick(kMeanGap) == 0) {
      begin();
    }
    fleet_.step();
  }

  /** Ends all faults. */
  void heal()
  {
    for (const Fault& fault : active_) {
      fault.end_();
    }
    active_.clear();
  }

  /** @return Number of faults so far. */
  std::uint64_t count() const { return count_; }

private:
  /** A fault that lasts. */
  struct Fault
  {
    std::string name_;          ///< What it hits.
    std::uint64_t until_ = 0;   ///< Step at which it ends.
    std::function<void()> end_; ///< Ends it.
  };

  int pick(int aCount)
  {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(aCount));
  }

  void endDue()
  {
    for (const Fault& fault : active_) {
      if (fault.until_ <= fleet_.steps_) {
        fault.end_();
      }
    }
    std::erase_if(active_, [&](const Fault& aFault) {
      return aFault.until_ <= fleet_.steps_;
    });
  }

  void add(const std::string& aName, int aMostSteps, std::function<void()> aEnd)
  {
    const bool hit =
      std::any_of(active_.begin(), active_.end(), [&](const Fault& aFault) {
        return aFault.name_ == aName;
      });
    if (!hit) {
      ++count_;
      const auto lasts = static_cast<std::uint64_t>(pick(aMostSteps)) + 1;
      active_.push_back({ aName, fleet_.steps_ + lasts, std::move(aEnd) });
    }
  }

  bool isHit(const std::string& aName) const
  {
    return std::any_of(
      active_.begin(), active_.end(), [&](const Fault& aFault) {
        return aFault.name_ == aName;
      });
  }

  void begin()
  {
    static constexpr int kKinds = 13;
    const auto daemon =
      static_cast<std::size_t>(pick(static_cast<int>(fleet_.daemons_.size())));
    const state::VmId vm = FakeEngineFleet::vmId(
      pick(fleet_.shape_.domains_), pick(fleet_.shape_.vmsPerDomain_));
    const int kind = pick(kKinds);
    if (kind <= 3) {
      hitVm(kind, vm);
    } else if (kind <= 9) {
      hitDaemon(kind, daemon);
    } else {
      hitMany(kind);
    }
  }

  void hitVm(int aKind, const state::VmId& aVm)
  {
    if (isHit(aVm.value())) {
      return;
    }
    FakeEngine& engine = fleet_.engine(aVm);
    switch (aKind) {
      case 0:
        engine.alive_ = false;
        add(aVm.value(), 600, [this, aVm] { fleet_.engines_->restart(aVm); });
        break;
      case 1:
        engine.alive_ = false;
        add(aVm.value(), 900, [&engine] { engine.alive_ = true; });
        break;
      case 2:
        engine.info_.listing_ = state::VmListing::kLeaving;
        add(aVm.value(), 900, [&engine] {
          engine.info_.listing_ = state::VmListing::kLive;
        });
        break;
      default:
        fleet_.engines_->restart(aVm);
        add(aVm.value(), 1, [] {});
    }
  }

  void hitDaemon(int aKind, std::size_t aDaemon)
  {
    GroupDaemon& daemon = *fleet_.daemons_[aDaemon];
    if (isHit(daemon.id_.value())) {
      return;
    }
    const std::string& name = daemon.id_.value();
    switch (aKind) {
      case 4:
        daemon.paused_ = true;
        add(name, 400, [&daemon] { daemon.paused_ = false; });
        break;
      case 5:
        fleet_.crash(aDaemon);
        add(name, 300, [this, aDaemon] { fleet_.start(aDaemon); });
        break;
      case 6:
        daemon.store_.faults().down_ = true;
        add(name, 900, [&daemon] { daemon.store_.faults().down_ = false; });
        break;
      case 7:
        daemon.store_.faults().loseAnswers_ = 3;
        daemon.store_.faults().failWrites_ = 1;
        add(name, 1, [] {});
        break;
      case 8:
        daemon.engines_.faults().delay_ = std::chrono::milliseconds(1900);
        daemon.engines_.faults().loseAnswers_ = 5;
        daemon.engines_.faults().doubled_ = 5;
        add(name, 300, [&daemon] {
          daemon.engines_.faults().delay_ = std::chrono::milliseconds(5);
        });
        break;
      default:
        daemon.table_->cut_ = true;
        daemon.engines_.faults().cut_ = pick(2) == 0;
        add(name, 600, [&daemon] {
          daemon.table_->cut_ = false;
          daemon.engines_.faults().cut_ = false;
        });
    }
  }

  void hitMany(int aKind)
  {
    switch (aKind) {
      case 10:
        hitStore();
        break;
      case 11:
        hitDomain(pick(fleet_.shape_.domains_));
        break;
      default:
        changeConfiguration();
    }
  }

  void hitStore()
  {
    if (active_.size() > 1 || isHit("store")) {
      return;
    }
    for (auto& daemon : fleet_.daemons_) {
      daemon->store_.faults().down_ = true;
    }
    add("store", 3000, [this] {
      for (auto& daemon : fleet_.daemons_) {
        daemon->store_.faults().down_ = false;
      }
    });
  }

  void hitDomain(int aDomain)
  {
    const std::string name = "domain" + std::to_string(aDomain);
    if (isHit(name)) {
      return;
    }
    std::vector<state::VmId> hit;
    for (int vm = 0; vm < fleet_.shape_.vmsPerDomain_; ++vm) {
      const state::VmId id = FakeEngineFleet::vmId(aDomain, vm);
      if (!isHit(id.value()) && fleet_.engine(id).alive_) {
        fleet_.engine(id).alive_ = false;
        hit.push_back(id);
      }
    }
    add(name, 1500, [this, hit] {
      for (const state::VmId& vm : hit) {
        fleet_.engine(vm).alive_ = true;
      }
    });
  }

  void changeConfiguration()
  {
    auto& groups = fleet_.configuration_.groups_;
    auto group = groups.begin();
    std::advance(group, pick(static_cast<int>(groups.size())));
    if (pick(2) == 0) {
      group->second.version_ = std::to_string(1 + pick(3));
    } else {
      group->second.copies_ = static_cast<std::uint32_t>(1 + pick(2));
    }
    fleet_.configuration_.policy_.reservesPerCopy_ =
      static_cast<std::uint32_t>(pick(2));
    fleet_.configureAll();
    add("configuration", 1, [] {});
  }

  FakeEngineFleet& fleet_;    ///< The fleet.
  std::mt19937_64 random_;    ///< Source of the schedule.
  std::vector<Fault> active_; ///< Faults that last.
  std::uint64_t count_ = 0;   ///< Faults so far.
};

/** @return Empty when a schedule kept all invariants and the fleet recovered
 * after it, else the fault. */
inline std::string
runSchedule(std::uint64_t aSeed, std::uint64_t aSteps, bool aChecksFencing)
{
  FleetShape shape;
  shape.checksFencing_ = aChecksFencing;
  FakeEngineFleet fleet(shape);
  fleet.engines_->loadTime_ = std::chrono::seconds(5);
  fleet.setGroup("drafts", 2, 2, 3);
  fleet.setGroup("notes", 1, 1, 3);
  fleet.configuration_.policy_.reservesPerCopy_ = aSeed % 2;
  try {
    fleet.startAll();
    FaultSchedule schedule(fleet, aSeed);
    for (std::uint64_t step = 0; step < aSteps; ++step) {
      schedule.step();
    }
    schedule.heal();
    fleet.run(std::chrono::minutes(30));
    for (std::size_t daemon = 0; daemon < fleet.daemons_.size(); ++daemon) {
      for (const auto& [id, group] : fleet.configuration_.groups_) {
        if (fleet.openCopies(daemon, id.value()) < group.copies_) {
          return "group " + id.value() + " has not recovered at daemon " +
                 std::to_string(daemon);
        }
      }
    }
  } catch (const std::exception& fault) {
    return fault.what();
  }
  return {};
}

} // namespace auburnhaven::fakes
