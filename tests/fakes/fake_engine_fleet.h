// Daemons of one availability zone over fakes, with faults and invariants.
#pragma once

#include "coordination/group/group_manager.h"
#include "fakes/fake_engine.h"
#include "fakes/fake_observation.h"
#include "fakes/fake_shared_table.h"
#include "fakes/fake_store.h"
#include "state/domain_record_codec.h"
#include "state/domain_record_func.h"

#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

namespace auburnhaven::fakes {

/** Size of a fleet and what its engines do. */
struct FleetShape
{
  int daemons_ = 3;           ///< Daemons of the zone.
  int domains_ = 2;           ///< Fabric domains.
  int vmsPerDomain_ = 7;      ///< VMs of each domain.
  bool checksFencing_ = true; ///< Whether engines refuse old orders.
};

/** One daemon with its connections. */
struct GroupDaemon
{
  GroupDaemon(FakeClock& aClock,
              const std::shared_ptr<FakeStoreData>& aStore,
              const std::shared_ptr<FakeEngineData>& aEngines,
              const std::shared_ptr<FakeTableData>& aTable)
    : store_(aClock, aStore)
    , engines_(aClock, aEngines)
    , tableData_(aTable)
    , table_(std::make_unique<FakeSharedTable>(aTable))
  {
  }

  state::DaemonId id_;                       ///< Its name.
  FakeStore store_;                          ///< Its store client.
  FakeEngineClient engines_;                 ///< Its engine client.
  FakeObservation observation_;              ///< What it knows of VMs.
  std::shared_ptr<FakeTableData> tableData_; ///< Entries of all daemons.
  std::unique_ptr<FakeSharedTable> table_;   ///< Its shared table.
  std::unique_ptr<coordination::GroupManager> manager_; ///< Its part.
  bool paused_ = false; ///< Whether it stands still.
};

/** Daemons, engines and a store under one clock. A broken invariant throws. Not
 * thread-safe. */
class FakeEngineFleet
{
public:
  static constexpr std::chrono::milliseconds kStep{ 100 }; ///< Time of a step.

  explicit FakeEngineFleet(const FleetShape& aShape)
    : shape_(aShape)
  {
    for (int domain = 0; domain < shape_.domains_; ++domain) {
      for (int vm = 0; vm < shape_.vmsPerDomain_; ++vm) {
        engines_->add(infoOf(domain, vm));
      }
    }
    for (int daemon = 0; daemon < shape_.daemons_; ++daemon) {
      daemons_.push_back(
        std::make_unique<GroupDaemon>(clock_, store_, engines_, table_));
      daemons_.back()->id_ = state::DaemonId("daemon" + std::to_string(daemon));
    }
    configuration_.policy_.sparesPerDomain_ = 1;
  }

  /** Adds or changes a group; takes effect by configureAll(). */
  void setGroup(const std::string& aName,
                std::int32_t aPriority,
                std::uint32_t aCopies,
                std::uint32_t aVms)
  {
    state::ServingGroup& group = configuration_.groups_[state::GroupId(aName)];
    group.id_ = state::GroupId(aName);
    group.model_ = "m";
    group.version_ = group.version_.empty() ? "1" : group.version_;
    group.copies_ = aCopies;
    group.vmsPerCopy_ = aVms;
    group.priority_ = aPriority;
  }

  void configureAll()
  {
    shared_ = std::make_shared<state::Configuration>(configuration_);
    for (auto& daemon : daemons_) {
      if (daemon->manager_) {
        daemon->manager_->setConfiguration(shared_);
      }
    }
  }

  void start(std::size_t aDaemon)
  {
    GroupDaemon& daemon = *daemons_.at(aDaemon);
    daemon.paused_ = false;
    daemon.manager_ =
      std::make_unique<coordination::GroupManager>(clock_,
                                                   daemon.store_,
                                                   daemon.engines_,
                                                   daemon.observation_,
                                                   *daemon.table_,
                                                   daemon.id_,
                                                   state::ZoneId("z"),
                                                   limits_);
    daemon.manager_->setConfiguration(shared_);
    updateDaemonLists();
  }

  void startAll()
  {
    configureAll();
    for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
      start(daemon);
    }
  }

  /** Ends a daemon without a planned stop; it forgets everything. */
  void crash(std::size_t aDaemon)
  {
    GroupDaemon& daemon = *daemons_.at(aDaemon);
    daemon.manager_.reset();
    daemon.store_.dropPending();
    daemon.engines_.dropAnswers();
    daemon.observation_ = {};
    daemon.table_ = std::make_unique<FakeSharedTable>(daemon.tableData_);
    updateDaemonLists();
  }

  /** Runs for a time, with all invariants checked after each step. */
  void run(state::Duration aTime)
  {
    for (state::Duration done{}; done < aTime; done += kStep) {
      step();
    }
  }

  void step()
  {
    clock_.advance(kStep);
    engines_->advance(kStep);
    noteTruth();
    for (auto& daemon : daemons_) {
      stepDaemon(*daemon);
    }
    ++steps_;
    checkInvariants();
  }

  /** @return Open copies of a group in one daemon's view. */
  std::size_t openCopies(std::size_t aDaemon, const std::string& aGroup) const
  {
    std::size_t open = 0;
    for (const auto& copy : daemons_.at(aDaemon)->manager_->copies()) {
      open += copy.open_ && copy.id_.group_.value() == aGroup ? 1 : 0;
    }
    return open;
  }

  /** @return Daemon that holds a domain's lease, or -1. */
  int holderOf(int aDomain) const
  {
    for (std::size_t index = 0; index < daemons_.size(); ++index) {
      if (holds(*daemons_[index], domainId(aDomain))) {
        return static_cast<int>(index);
      }
    }
    return -1;
  }

  /** @return Record of a domain as the store has it. */
  state::DomainRecord storedRecord(int aDomain) const
  {
    const auto found =
      store_->items_.find("domain/" + domainId(aDomain).value());
    if (found == store_->items_.end()) {
      return {};
    }
    return state::leaf::try_handle_all(
      [&] { return state::decodeDomainRecord(found->second.value_, "store"); },
      []() -> state::DomainRecord {
        throw std::runtime_error("the stored record breaks an invariant");
      });
  }

  static state::DomainId domainId(int aDomain)
  {
    return state::DomainId("d" + std::to_string(aDomain));
  }
  static state::VmId vmId(int aDomain, int aVm)
  {
    return state::VmId("d" + std::to_string(aDomain) + "-vm" +
                       std::to_string(aVm));
  }
  FakeEngine& engine(const state::VmId& aVm)
  {
    return engines_->engines_.at(aVm);
  }

  FleetShape shape_;                   ///< Size.
  FakeClock clock_;                    ///< Clock of all.
  state::Configuration configuration_; ///< Configuration to set next.
  coordination::GroupLimits limits_;   ///< Limits of all daemons.
  std::uint64_t steps_ = 0;            ///< Steps done.
  std::shared_ptr<FakeStoreData> store_ =
    std::make_shared<FakeStoreData>(); ///< The store.
  std::shared_ptr<FakeEngineData> engines_ =
    std::make_shared<FakeEngineData>(); ///< The engines.
  std::shared_ptr<FakeTableData> table_ =
    std::make_shared<FakeTableData>(); ///< Entries of all daemons.
  std::vector<std::unique_ptr<GroupDaemon>> daemons_; ///< The daemons.

private:
  using RoleKey = std::tuple<state::VmId,
                             state::CopyId,
                             std::uint32_t,
                             state::FencingNumber>; ///< A role of a VM.

  state::VmInfo infoOf(int aDomain, int aVm) const
  {
    state::VmInfo info;
    info.id_ = vmId(aDomain, aVm);
    info.zone_ = state::ZoneId("z");
    info.domain_ = domainId(aDomain);
    info.checksFencing_ = shape_.checksFencing_;
    return info;
  }

  void updateDaemonLists()
  {
    std::vector<state::DaemonId> live;
    for (const auto& daemon : daemons_) {
      if (daemon->manager_) {
        live.push_back(daemon->id_);
      }
    }
    for (auto& daemon : daemons_) {
      if (daemon->manager_) {
        daemon->manager_->setZoneDaemons(live);
      }
    }
  }

  void stepDaemon(GroupDaemon& aDaemon)
  {
    constexpr std::uint64_t kStepsPerReport = 5;
    aDaemon.engines_.step(aDaemon.paused_ || !aDaemon.manager_);
    if (aDaemon.paused_ || !aDaemon.manager_) {
      return;
    }
    if (steps_ % kStepsPerReport == 0 && !aDaemon.engines_.faults().cut_) {
      noteTruth(); // Orders may have arrived in this step.
      aDaemon.observation_.refresh(*engines_, clock_.now());
    }
    aDaemon.table_->step();
    aDaemon.store_.step();
    aDaemon.manager_->tick();
  }

  /** Notes which roles the engines hold now. */
  void noteTruth()
  {
    for (const auto& [vm, engine] : engines_->engines_) {
      const state::EngineRole& role = engine.report_.role_;
      if (engine.alive_ &&
          engine.report_.phase_ == state::EnginePhase::kReady) {
        lastTrue_[{ vm, role.copy_, role.rank_, role.fencing_ }] = clock_.now();
      }
      checkFencingGrows(vm, engine);
    }
  }

  void checkFencingGrows(const state::VmId& aVm, const FakeEngine& aEngine)
  {
    auto& [incarnation, fencing] = followed_[aVm];
    if (incarnation == aEngine.report_.incarnation_ && shape_.checksFencing_) {
      require(aEngine.report_.role_.fencing_ >= fencing,
              "an old order took effect on " + aVm.value());
    }
    incarnation = aEngine.report_.incarnation_;
    fencing = aEngine.report_.role_.fencing_;
  }

  void checkInvariants() const
  {
    std::map<state::VmId, state::CopyId> members;
    for (int domain = 0; domain < shape_.domains_; ++domain) {
      const state::DomainRecord record = storedRecord(domain);
      for (const auto& [vm, assignment] : record.assignments_) {
        if (assignment.kind_ == state::AssignmentKind::kMember) {
          require(members.emplace(vm, assignment.copy_).second,
                  "VM " + vm.value() + " is in two copies");
        }
      }
      checkOneHolder(domain);
    }
    for (const auto& daemon : daemons_) {
      if (daemon->manager_ && !daemon->paused_) {
        checkOpenCopies(*daemon);
      }
    }
  }

  static bool holds(const GroupDaemon& aDaemon, const state::DomainId& aDomain)
  {
    return aDaemon.manager_ && aDaemon.manager_->holdsLease(aDomain);
  }

  void checkOneHolder(int aDomain) const
  {
    int holders = 0;
    for (const auto& daemon : daemons_) {
      holders += holds(*daemon, domainId(aDomain)) ? 1 : 0;
    }
    require(holders <= 1, "two daemons hold the lease of one domain");
  }

  /** Checks that each member of an open copy was ready in it lately, and that
   * open copies share no VM. */
  void checkOpenCopies(const GroupDaemon& aDaemon) const
  {
    std::map<state::VmId, state::CopyId> used;
    for (const auto& [copy, record] : aDaemon.manager_->openRecords()) {
      for (std::uint32_t rank = 0; rank < record.members_.size(); ++rank) {
        const state::VmId& vm = record.members_[rank];
        require(used.emplace(vm, copy).second,
                "VM " + vm.value() + " serves in two copies");
        const auto known = lastTrue_.find({ vm, copy, rank, record.fencing_ });
        require(known != lastTrue_.end() &&
                  clock_.now() - known->second <= limits_.evidenceLimit_,
                "a copy is open without its member " + vm.value());
      }
    }
  }

  void require(bool aHolds, const std::string& aFault) const
  {
    if (!aHolds) {
      std::ostringstream out;
      out << "step " << steps_ << ": " << aFault;
      throw std::runtime_error(out.str());
    }
  }

  state::ConfigurationPtr shared_; ///< Configuration in force.
  std::map<RoleKey, state::TimePoint>
    lastTrue_; ///< When an engine last held a role.
  std::map<state::VmId, std::pair<state::Incarnation, state::FencingNumber>>
    followed_; ///< Number that each engine follows.
};

} // namespace auburnhaven::fakes
